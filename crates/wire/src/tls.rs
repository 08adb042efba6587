//! Certificates of the links between nodes, authenticated both ways.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair, PKCS_ED25519};
use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer};
use rustls::server::WebPkiClientVerifier;
use snafu::{ResultExt, Snafu};

/// The name in every node's certificate.
pub const SERVER_NAME: &str = "bamboowheel";
/// What links speak; another program's handshake is refused.
const PROTOCOL: &[u8] = b"bamboowheel/1";
/// Streams that a peer may have open at once. Each takes some 70 bytes of every link, open or not; an
/// entry has a few dozen attempts at one guard at most.
const STREAMS: u32 = 128;
/// Bytes of one stream that a peer may send ahead.
const STREAM_WINDOW: u32 = 256 * 1024;
/// Bytes of one link that a peer may send ahead.
const LINK_WINDOW: u32 = 8 * 1024 * 1024;

/// The longest packet, in bytes: a path of 1,500 bytes less the headers of IP and UDP, and 72 bytes for
/// what a tunnel may add.
const PACKET: u16 = 1_400;

/// Where a node's certificate comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Trust {
    /// Made at start, under an authority whose key is public.
    Development,
    /// Read from files.
    Files {
        /// The authority that signed every node's certificate.
        ca: PathBuf,
        /// This node's certificate.
        cert: PathBuf,
        /// Its key.
        key: PathBuf,
    },
}

/// How a link is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// A link without any packet for this long is closed.
    pub idle: Duration,
    /// Time between packets that keep a link open.
    pub keep_alive: Duration,
}

/// Why the links' certificates cannot be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A file cannot be read.
    #[snafu(display("{path} cannot be used: {source}"))]
    File {
        /// The file.
        path: String,
        /// What was wrong.
        source: rustls::pki_types::pem::Error,
    },
    /// The certificates do not fit together.
    #[snafu(display("the link's certificates do not fit together: {detail}"))]
    Unfit {
        /// What was wrong.
        detail: String,
    },
}

/// The two sides of a node's links.
#[derive(Debug)]
pub struct Identity {
    /// For links that others open.
    pub server: ServerConfig,
    /// For links that this node opens.
    pub client: ClientConfig,
}

struct Chain {
    roots: Arc<RootCertStore>,
    cert: CertificateDer<'static>,
    key: PrivateKeyDer<'static>,
}

/// Loads or makes the certificates of the links.
pub fn open(trust: &Trust, timing: Timing) -> Result<Identity, Error> {
    let chain = match trust {
        Trust::Development => development().map_err(unfit)?,
        Trust::Files { ca, cert, key } => files(ca, cert, key)?,
    };
    let transport = Arc::new(transport(timing)?);
    let mut server = ServerConfig::with_crypto(Arc::new(server(&chain)?));
    server.transport_config(transport.clone());
    let mut client = ClientConfig::new(Arc::new(client(chain)?));
    client.transport_config(transport);
    Ok(Identity { server, client })
}

fn files(ca: &Path, cert: &Path, key: &Path) -> Result<Chain, Error> {
    let show = |path: &Path| path.display().to_string();
    let ca_cert = CertificateDer::from_pem_file(ca).context(FileSnafu { path: show(ca) })?;
    let cert = CertificateDer::from_pem_file(cert).context(FileSnafu { path: show(cert) })?;
    let key = PrivateKeyDer::from_pem_file(key).context(FileSnafu { path: show(key) })?;
    Ok(Chain { roots: roots(ca_cert).map_err(unfit)?, cert, key })
}

/// Makes a certificate under the authority of the development mode. Its key is no secret.
fn development() -> Result<Chain, rcgen::Error> {
    /// The fixed part of an Ed25519 key in PKCS #8.
    const PREFIX: [u8; 16] = [48, 46, 2, 1, 0, 48, 5, 6, 3, 43, 101, 112, 4, 34, 4, 32];
    const SEED: &[u8; 32] = b"bamboowheel development links---";
    let der = PrivatePkcs8KeyDer::from([&PREFIX[..], &SEED[..]].concat());
    let ca_key = KeyPair::from_pkcs8_der_and_sign_algo(&der, &PKCS_ED25519)?;
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let ca_cert = params.self_signed(&ca_key)?;
    let issuer = Issuer::new(params, ca_key);
    let key = KeyPair::generate()?;
    let own = CertificateParams::new(vec![SERVER_NAME.to_owned()])?;
    let cert = own.signed_by(&key, &issuer)?;
    let roots = roots(ca_cert.der().clone()).map_err(|_| rcgen::Error::CouldNotParseCertificate)?;
    let key = PrivateKeyDer::Pkcs8(PrivatePkcs8KeyDer::from(key.serialize_der()));
    Ok(Chain { roots, cert: cert.der().clone(), key })
}

fn roots(ca: CertificateDer<'static>) -> Result<Arc<RootCertStore>, rustls::Error> {
    let mut roots = RootCertStore::empty();
    roots.add(ca)?;
    Ok(Arc::new(roots))
}

fn server(chain: &Chain) -> Result<QuicServerConfig, Error> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier =
        WebPkiClientVerifier::builder_with_provider(chain.roots.clone(), provider.clone())
            .build()
            .map_err(unfit)?;
    let mut config = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(unfit)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(vec![chain.cert.clone()], chain.key.clone_key())
        .map_err(unfit)?;
    config.alpn_protocols = vec![PROTOCOL.to_vec()];
    // A link is opened anew too rarely for a session to be resumed.
    config.send_tls13_tickets = 0;
    QuicServerConfig::try_from(config).map_err(unfit)
}

fn client(chain: Chain) -> Result<QuicClientConfig, Error> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(unfit)?
        .with_root_certificates(chain.roots)
        .with_client_auth_cert(vec![chain.cert], chain.key)
        .map_err(unfit)?;
    config.alpn_protocols = vec![PROTOCOL.to_vec()];
    QuicClientConfig::try_from(config).map_err(unfit)
}

fn transport(timing: Timing) -> Result<TransportConfig, Error> {
    let mut transport = TransportConfig::default();
    let idle = IdleTimeout::try_from(timing.idle).map_err(unfit)?;
    transport.max_idle_timeout(Some(idle));
    transport.keep_alive_interval(Some(timing.keep_alive));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(STREAMS));
    transport.max_concurrent_uni_streams(VarInt::from_u32(0));
    transport.stream_receive_window(VarInt::from_u32(STREAM_WINDOW));
    transport.receive_window(VarInt::from_u32(LINK_WINDOW));
    transport.send_window(u64::from(LINK_WINDOW));
    // Probes for the path's limit were most of the bytes of a link at its start. Where packets of
    // this size are lost they shrink to the least that the protocol allows.
    transport.mtu_discovery_config(None);
    transport.initial_mtu(PACKET);
    Ok(transport)
}

fn unfit(error: impl ToString) -> Error {
    UnfitSnafu { detail: error.to_string() }.build()
}
