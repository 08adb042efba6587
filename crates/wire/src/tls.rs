//! QUIC and TLS configuration of the links between nodes, with certificates on both ends.

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

/// The DNS name in every node's certificate, the same for all nodes.
pub const SERVER_NAME: &str = "bamboowheel";
/// The ALPN protocol of links. Handshakes of other protocols fail.
const ALPN_PROTOCOL: &[u8] = b"bamboowheel/1";
/// The number of streams that a peer may have open at once. An entry has a few dozen attempts at
/// one guard at most, and each stream takes some 70 bytes of memory on every link, open or not.
const MAX_STREAMS: u32 = 128;
/// The flow-control window of one stream: what a peer may send before it is read.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
/// The flow-control window of all streams of one link.
const LINK_WINDOW_BYTES: u32 = 8 * 1024 * 1024;

/// The initial size of packets: a path MTU of 1,500 bytes less the headers of IP and UDP, and less
/// 72 bytes for the headers of a tunnel.
const PACKET_BYTES: u16 = 1_400;

/// The source of a node's certificate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Trust {
    /// Generated at start and signed by an authority whose private key is in the source. Not for
    /// production.
    Development,
    /// Read from PEM files.
    Files {
        /// The certificate of the authority that signed every node's certificate.
        ca: PathBuf,
        /// The certificate of this node.
        cert: PathBuf,
        /// The private key of this node's certificate.
        key: PathBuf,
    },
}

/// The timeouts of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// A link on which no packet arrives for this long is closed.
    pub idle: Duration,
    /// The interval of the keep-alive packets that are sent on an idle link.
    pub keep_alive: Duration,
}

/// Why links cannot be configured.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A file cannot be read, or does not hold the expected PEM section.
    #[snafu(display("cannot read a certificate or key from {path}: {source}"))]
    File {
        /// The path of the file.
        path: String,
        /// The error of the file system or the PEM parser.
        source: rustls::pki_types::pem::Error,
    },
    /// TLS or QUIC rejects a certificate, a key or a timeout, or a key does not match its
    /// certificate.
    #[snafu(display("cannot configure links with these certificates and timeouts: {detail}"))]
    Rejected {
        /// The error of the library that rejected the configuration.
        detail: String,
    },
}

/// The configuration of a node's QUIC endpoint, with its certificate in both parts.
#[derive(Debug)]
pub struct Identity {
    /// Used for links that other nodes open.
    pub server: ServerConfig,
    /// Used for links that this node opens.
    pub client: ClientConfig,
}

/// A node's certificate and key, and the authority that it trusts.
struct Chain {
    roots: Arc<RootCertStore>,
    cert: CertificateDer<'static>,
    key: PrivateKeyDer<'static>,
}

/// Loads or generates the certificates and returns the configuration of both ends of links.
pub fn open(trust: &Trust, timing: Timing) -> Result<Identity, Error> {
    let chain = match trust {
        Trust::Development => generate_chain().map_err(rejected)?,
        Trust::Files { ca, cert, key } => load_chain(ca, cert, key)?,
    };
    let transport = Arc::new(transport_config(timing)?);
    let mut server = ServerConfig::with_crypto(Arc::new(server_config(&chain)?));
    server.transport_config(transport.clone());
    let mut client = ClientConfig::new(Arc::new(client_config(chain)?));
    client.transport_config(transport);
    Ok(Identity { server, client })
}

fn load_chain(ca: &Path, cert: &Path, key: &Path) -> Result<Chain, Error> {
    let show = |path: &Path| path.display().to_string();
    let ca_cert = CertificateDer::from_pem_file(ca).context(FileSnafu { path: show(ca) })?;
    let cert = CertificateDer::from_pem_file(cert).context(FileSnafu { path: show(cert) })?;
    let key = PrivateKeyDer::from_pem_file(key).context(FileSnafu { path: show(key) })?;
    Ok(Chain { roots: root_store(ca_cert).map_err(rejected)?, cert, key })
}

/// Generates a certificate that the authority of the development mode signs. The authority's key
/// is no secret.
fn generate_chain() -> Result<Chain, rcgen::Error> {
    /// The bytes that precede the seed in the PKCS #8 encoding of an Ed25519 key.
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
    let roots =
        root_store(ca_cert.der().clone()).map_err(|_| rcgen::Error::CouldNotParseCertificate)?;
    let key = PrivateKeyDer::Pkcs8(PrivatePkcs8KeyDer::from(key.serialize_der()));
    Ok(Chain { roots, cert: cert.der().clone(), key })
}

fn root_store(ca: CertificateDer<'static>) -> Result<Arc<RootCertStore>, rustls::Error> {
    let mut roots = RootCertStore::empty();
    roots.add(ca)?;
    Ok(Arc::new(roots))
}

fn server_config(chain: &Chain) -> Result<QuicServerConfig, Error> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier =
        WebPkiClientVerifier::builder_with_provider(chain.roots.clone(), provider.clone())
            .build()
            .map_err(rejected)?;
    let mut config = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(rejected)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(vec![chain.cert.clone()], chain.key.clone_key())
        .map_err(rejected)?;
    config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    // Links are reopened too rarely for session resumption to be of use.
    config.send_tls13_tickets = 0;
    QuicServerConfig::try_from(config).map_err(rejected)
}

fn client_config(chain: Chain) -> Result<QuicClientConfig, Error> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(rejected)?
        .with_root_certificates(chain.roots)
        .with_client_auth_cert(vec![chain.cert], chain.key)
        .map_err(rejected)?;
    config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    QuicClientConfig::try_from(config).map_err(rejected)
}

fn transport_config(timing: Timing) -> Result<TransportConfig, Error> {
    let mut transport = TransportConfig::default();
    let idle = IdleTimeout::try_from(timing.idle).map_err(rejected)?;
    transport.max_idle_timeout(Some(idle));
    transport.keep_alive_interval(Some(timing.keep_alive));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS));
    transport.max_concurrent_uni_streams(VarInt::from_u32(0));
    transport.stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES));
    transport.receive_window(VarInt::from_u32(LINK_WINDOW_BYTES));
    transport.send_window(u64::from(LINK_WINDOW_BYTES));
    // The probes of MTU discovery were most of the bytes that a new link sent. Where packets of the
    // initial size are lost, they shrink to the smallest size that QUIC allows.
    transport.mtu_discovery_config(None);
    transport.initial_mtu(PACKET_BYTES);
    Ok(transport)
}

fn rejected(error: impl ToString) -> Error {
    RejectedSnafu { detail: error.to_string() }.build()
}
