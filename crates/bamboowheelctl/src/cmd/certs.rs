//! `certs`: creates certificates for the links between nodes.

use std::path::Path;

use gumdrop::Options;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use snafu::ResultExt;

use super::Context;
use crate::Error;
use crate::error::FileSnafu;

/// The DNS name in the certificate of every node.
const NODE_NAME: &str = "bamboowheel";

const USAGE: &str = "\
Creates a certificate authority and the certificate of one node for the links between nodes, in the
files ca.pem, ca.key, node.pem and node.key. An authority that exists already is used again, so that
each node can have its own certificate.

Usage:
    bamboowheelctl certs DIR
";

/// New key files get mode 0600. The key and certificate of the node are always replaced.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help", no_short)]
    help: bool,
    #[options(free, help = "directory for the files")]
    dir: Vec<String>,
}

/// Creates the authority if it does not exist, and the node's key and certificate.
pub fn run(_context: &Context, args: &Args) -> Result<(), Error> {
    if args.help {
        println!("{USAGE}\n{}", Args::usage());
        return Ok(());
    }
    let [dir] = &args.dir[..] else { return Err(Error::usage("certs takes exactly one DIR")) };
    let dir = Path::new(dir);
    let key = authority_key(dir)?;
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    if !dir.join("ca.pem").exists() {
        write(&dir.join("ca.pem"), &params.self_signed(&key)?.pem())?;
    }
    let issuer = Issuer::new(params, key);
    let node_key = KeyPair::generate()?;
    let node = CertificateParams::new(vec![NODE_NAME.to_owned()])?.signed_by(&node_key, &issuer)?;
    write(&dir.join("node.pem"), &node.pem())?;
    write_secret(&dir.join("node.key"), &node_key.serialize_pem())?;
    println!("{}: ca.pem, ca.key, node.pem, node.key", dir.display());
    Ok(())
}

/// Reads the key of the authority, or creates it if the file does not exist.
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

/// Writes a file; a new one can only be read and written by its owner.
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
