//! `certs`: makes certificates for the links between nodes.

use std::path::Path;

use gumdrop::Options;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use snafu::ResultExt;

use super::Context;
use crate::Error;
use crate::error::FileSnafu;

/// The name that every node's certificate carries.
const NODE: &str = "bamboowheel";

const USAGE: &str = "\
Makes an authority and one node's certificate for the links between nodes: ca.pem, ca.key, node.pem
and node.key. An authority that is there already is used again, so that each node may have a
certificate of its own.

Usage:
    bamboowheelctl certs DIR

Options:";

/// The command's arguments.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help", no_short)]
    help: bool,
    #[options(free, help = "where the files are written")]
    dir: Vec<String>,
}

/// Runs the command.
pub fn run(_context: &Context, args: &Args) -> Result<(), Error> {
    if args.help {
        println!("{USAGE}\n{}", Args::usage());
        return Ok(());
    }
    let [dir] = &args.dir[..] else { return Err(Error::usage("certs takes one DIR")) };
    let dir = Path::new(dir);
    let key = authority_key(dir)?;
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    if !dir.join("ca.pem").exists() {
        write(&dir.join("ca.pem"), &params.self_signed(&key)?.pem())?;
    }
    let issuer = Issuer::new(params, key);
    let node_key = KeyPair::generate()?;
    let node = CertificateParams::new(vec![NODE.to_owned()])?.signed_by(&node_key, &issuer)?;
    write(&dir.join("node.pem"), &node.pem())?;
    write_secret(&dir.join("node.key"), &node_key.serialize_pem())?;
    println!("{}: ca.pem, ca.key, node.pem, node.key", dir.display());
    Ok(())
}

fn authority_key(dir: &Path) -> Result<KeyPair, Error> {
    let path = dir.join("ca.key");
    if path.exists() {
        let pem = std::fs::read_to_string(&path);
        return Ok(KeyPair::from_pem(&pem.context(FileSnafu { path: show(&path) })?)?);
    }
    let key = KeyPair::generate()?;
    write_secret(&path, &key.serialize_pem())?;
    Ok(key)
}

fn write(path: &Path, text: &str) -> Result<(), Error> {
    std::fs::write(path, text).context(FileSnafu { path: show(path) })
}

fn write_secret(path: &Path, text: &str) -> Result<(), Error> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;
    let mut options = std::fs::OpenOptions::new();
    options.write(true).create(true).truncate(true).mode(0o600);
    let mut file = options.open(path).context(FileSnafu { path: show(path) })?;
    file.write_all(text.as_bytes()).context(FileSnafu { path: show(path) })
}

fn show(path: &Path) -> String {
    path.display().to_string()
}
