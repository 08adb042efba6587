//! `explain`: shows what several nodes logged about one request.

use std::io::Read;

use gumdrop::Options;
use serde_json::{Map, Value, json};
use snafu::ResultExt;

use super::Context;
use crate::error::FileSnafu;
use crate::{Error, output};

const USAGE: &str = "\
Shows the log lines of all nodes about one request, ordered by timestamp. The clocks of the nodes
may differ.

Usage:
    bamboowheelctl explain ID [FILE...]

Each FILE holds the log lines of one node, as JSON. Without a FILE, or for -, lines are read from
standard input. Text before the first brace of a line, such as a prefix of a log collector, is
ignored.
";

/// Lines that are not JSON objects are counted and left out.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help", no_short)]
    help: bool,
    #[options(free, help = "id of the request, and log files")]
    words: Vec<String>,
}

/// A log line about the request.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// The log file, or `-` for standard input.
    pub source: String,
    /// The fields of the line, sorted by name.
    pub fields: Map<String, Value>,
}

/// The result of searching logs for a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SearchResult {
    /// The lines whose field `request` is the id.
    pub lines: Vec<LogLine>,
    /// The number of lines that are not JSON objects.
    pub unreadable: usize,
}

/// Reads the logs and prints the lines of the request, ordered by their timestamps.
pub fn run(context: &Context, args: &Args) -> Result<(), Error> {
    if args.help {
        println!("{USAGE}\n{}", Args::usage());
        return Ok(());
    }
    let Some((id, files)) = args.words.split_first() else {
        return Err(Error::usage("explain takes an ID"));
    };
    let standard = [String::from("-")];
    let mut result = SearchResult::default();
    for file in if files.is_empty() { &standard[..] } else { files } {
        let text = read(file).context(FileSnafu { path: file })?;
        let found = find_lines(file, &text, id);
        result.lines.extend(found.lines);
        result.unreadable += found.unreadable;
    }
    if result.unreadable > 0 {
        eprintln!(
            "bamboowheelctl: {} log lines are not JSON objects and were left out",
            result.unreadable
        );
    }
    if result.lines.is_empty() {
        return Err(Error::RequestUnknown { id: id.clone() });
    }
    result.lines.sort_by_key(|line| text(line, "timestamp").to_owned());
    for line in &result.lines {
        match context.json {
            true => output::json(&json!({ "source": line.source, "fields": line.fields })),
            false => println!("{}", format_line(line)),
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

/// Finds the lines of a request in the text of one log; `source` is the name of the log.
pub fn find_lines(source: &str, text: &str, id: &str) -> SearchResult {
    let mut result = SearchResult::default();
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        let start = line.find('{').unwrap_or(line.len());
        match serde_json::from_str::<Map<String, Value>>(&line[start..]) {
            Ok(fields) if fields.get("request").and_then(Value::as_str) == Some(id) => {
                result.lines.push(LogLine { source: source.to_owned(), fields });
            }
            Ok(_) => {}
            Err(_) => result.unreadable += 1,
        }
    }
    result
}

/// Formats a line as its timestamp, source, message and other fields. Leaves out the level, the id
/// of the request and empty texts.
pub fn format_line(line: &LogLine) -> String {
    let excluded = ["timestamp", "level", "message", "request"];
    let is_shown = |(name, value): &(&String, &Value)| {
        !excluded.contains(&name.as_str()) && value.as_str() != Some("")
    };
    let rest = line.fields.iter().filter(is_shown);
    let rest: Vec<String> = rest
        .map(|(name, value)| match value.as_str() {
            Some(text) => format!("{name}={text}"),
            None => format!("{name}={value}"),
        })
        .collect();
    let (time, message) = (text(line, "timestamp"), text(line, "message"));
    format!("{time}  {}  {message}  {}", line.source, rest.join(" "))
}

fn text<'l>(line: &'l LogLine, name: &str) -> &'l str {
    line.fields.get(name).and_then(Value::as_str).unwrap_or_default()
}
