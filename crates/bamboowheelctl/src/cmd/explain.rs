//! `explain`: tells the story of one request from the logs of several nodes.

use std::io::Read;

use gumdrop::Options;
use serde_json::{Map, Value, json};
use snafu::ResultExt;

use super::Context;
use crate::error::FileSnafu;
use crate::{Error, output};

const USAGE: &str = "\
Tells what every node logged of one request, in the order of the nodes' clocks.

Usage:
    bamboowheelctl explain ID [FILE...]

Each FILE holds the log lines of one node; without any, or for -, they are read from standard input.
What stands before a line's first brace is left out.

Options:";

/// The command's arguments.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help", no_short)]
    help: bool,
    #[options(free, help = "the request's id, and files of log lines")]
    words: Vec<String>,
}

/// What one node logged of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Where the line stands.
    pub source: String,
    /// The fields in the order of their names.
    pub fields: Map<String, Value>,
}

/// What the logs of one node hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Story {
    /// The lines of the request.
    pub lines: Vec<Line>,
    /// Lines that cannot be read.
    pub unreadable: usize,
}

/// Runs the command.
pub fn run(context: &Context, args: &Args) -> Result<(), Error> {
    if args.help {
        println!("{USAGE}\n{}", Args::usage());
        return Ok(());
    }
    let Some((id, files)) = args.words.split_first() else {
        return Err(Error::usage("explain takes an ID"));
    };
    let standard = [String::from("-")];
    let mut story = Story::default();
    for file in if files.is_empty() { &standard[..] } else { files } {
        let text = read(file).context(FileSnafu { path: file })?;
        let found = find(file, &text, id);
        story.lines.extend(found.lines);
        story.unreadable += found.unreadable;
    }
    if story.unreadable > 0 {
        eprintln!("bamboowheelctl: {} log lines cannot be read", story.unreadable);
    }
    if story.lines.is_empty() {
        return Err(Error::RequestUnknown { id: id.clone() });
    }
    story.lines.sort_by_key(|line| text(line, "timestamp").to_owned());
    for line in &story.lines {
        match context.json {
            true => output::json(&json!({ "source": line.source, "fields": line.fields })),
            false => println!("{}", show(line)),
        }
    }
    Ok(())
}

fn read(file: &str) -> std::io::Result<String> {
    if file != "-" {
        return std::fs::read_to_string(file);
    }
    let mut text = String::new();
    std::io::stdin().read_to_string(&mut text)?;
    Ok(text)
}

/// Finds the lines of a request in the logs of one node.
pub fn find(source: &str, text: &str, id: &str) -> Story {
    let mut story = Story::default();
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        let start = line.find('{').unwrap_or(line.len());
        match serde_json::from_str::<Map<String, Value>>(&line[start..]) {
            Ok(fields) if fields.get("request").and_then(Value::as_str) == Some(id) => {
                story.lines.push(Line { source: source.to_owned(), fields });
            }
            Ok(_) => {}
            Err(_) => story.unreadable += 1,
        }
    }
    story
}

/// Shows a line: its time, where it stands, what happened, and what decided it.
pub fn show(line: &Line) -> String {
    let shown = ["timestamp", "level", "message", "request"];
    let rest = line.fields.iter().filter(|(name, _)| !shown.contains(&name.as_str()));
    let rest: Vec<String> = rest
        .map(|(name, value)| match value.as_str() {
            Some(text) => format!("{name}={text}"),
            None => format!("{name}={value}"),
        })
        .collect();
    let (time, message) = (text(line, "timestamp"), text(line, "message"));
    format!("{time}  {}  {message}  {}", line.source, rest.join(" "))
}

fn text<'l>(line: &'l Line, name: &str) -> &'l str {
    line.fields.get(name).and_then(Value::as_str).unwrap_or_default()
}
