//! Links that this node opens to others: one QUIC connection to a peer, one stream an exchange.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use policy::MemberMessage;
use quinn::{
    ClientConfig, Connection, Endpoint, EndpointConfig, RecvStream, SendStream, TokioRuntime,
    VarInt,
};
use snafu::{OptionExt, Snafu};
use wire::tls::{Identity, SERVER_NAME};
use wire::{Open, Reply};

use crate::node::{Node, lock};

/// The longest wait for a handshake.
const CONNECT: Duration = Duration::from_secs(2);
/// The longest wait for the answer to an exchange other than a call.
const ASK: Duration = Duration::from_secs(2);
/// The code with which a link to a dead peer is closed.
const GONE: u32 = 1;

/// Why an exchange with a peer failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The link could not be opened, and nothing was sent.
    #[snafu(display("no link to {address}: {detail}"))]
    NoLink {
        /// The peer.
        address: SocketAddr,
        /// What went wrong.
        detail: String,
    },
    /// The link broke.
    #[snafu(display("the link broke: {source}"), context(false))]
    Broken {
        /// What the codec said.
        source: wire::Error,
    },
    /// The peer took too long.
    #[snafu(display("the peer took too long"))]
    Slow,
}

type Shared = Arc<tokio::sync::Mutex<Option<Connection>>>;

/// The links of one node.
#[derive(Debug)]
pub struct Links {
    endpoint: Endpoint,
    client: ClientConfig,
    /// Sorted by address.
    peers: Mutex<Vec<(SocketAddr, Shared)>>,
}

impl Links {
    /// Opens the links on a bound socket, at which other nodes reach this one. To be called from
    /// the runtime that drives them.
    pub fn open_on(socket: UdpSocket, identity: Identity) -> std::io::Result<Links> {
        let config = EndpointConfig::default();
        let runtime = Arc::new(TokioRuntime);
        let endpoint = Endpoint::new(config, Some(identity.server), socket, runtime)?;
        Ok(Links { endpoint, client: identity.client, peers: Mutex::default() })
    }

    /// Returns the endpoint at which other nodes' links are accepted.
    pub fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Returns the address as others see it: the bound port where the setting left it open.
    pub fn local(&self, setting: SocketAddr) -> SocketAddr {
        let port = self.endpoint.local_addr().map_or(setting.port(), |bound| bound.port());
        SocketAddr::new(setting.ip(), port)
    }

    /// Opens a stream to a peer, over a new link where none is open.
    pub async fn open(&self, address: SocketAddr) -> Result<(SendStream, RecvStream), Error> {
        let link = self.connect(address).await?;
        link.open_bi().await.map_err(|error| no_link(address, error))
    }

    /// Returns the link to a peer, opened where none is.
    pub async fn connect(&self, address: SocketAddr) -> Result<Connection, Error> {
        let shared = self.shared(address);
        let mut slot = shared.lock().await;
        if let Some(link) = slot.as_ref().filter(|link| link.close_reason().is_none()) {
            return Ok(link.clone());
        }
        let connecting = self.endpoint.connect_with(self.client.clone(), address, SERVER_NAME);
        let connecting = connecting.map_err(|error| no_link(address, error))?;
        let link = tokio::time::timeout(CONNECT, connecting).await;
        let link = link.ok().context(SlowSnafu).map_err(|error| no_link(address, error))?;
        let link = link.map_err(|error| no_link(address, error))?;
        *slot = Some(link.clone());
        Ok(link)
    }

    /// Closes the link to a dead peer, so that exchanges under way fail at once.
    pub fn close(&self, address: SocketAddr) {
        let shared = self.shared(address);
        if let Ok(mut slot) = shared.try_lock() {
            slot.take().inspect(|link| link.close(VarInt::from_u32(GONE), b"gone"));
        }
    }

    /// Sends a membership message. Lost messages are the business of the membership.
    pub fn tell(&self, node: &Arc<Node>, address: SocketAddr, message: MemberMessage) {
        let node = node.clone();
        node.clone().spawn(async move {
            let Ok(frame) = wire::encode(&Open::Member(Box::new(message))) else { return };
            let Ok(link) = node.links.connect(address).await else { return };
            node.metrics.control(frame.len());
            if let Err(error) = link.send_datagram(frame.into()) {
                tracing::debug!("members: a message to {address} was not sent: {error}");
            }
        });
    }

    /// Sends one frame and reads the peer's answer.
    pub async fn ask(&self, node: &Node, address: SocketAddr, open: &Open) -> Result<Reply, Error> {
        let asked = async {
            let (mut send, mut receive) = self.open(address).await?;
            let frame = wire::encode(open)?;
            node.metrics.control(frame.len());
            send.write_all(&frame).await.map_err(|error| no_link(address, error))?;
            let _ = send.finish();
            Ok(wire::read(&mut receive).await?)
        };
        tokio::time::timeout(ASK, asked).await.unwrap_or(SlowSnafu.fail())
    }

    /// Returns the bytes that went out on all links.
    pub fn bytes_sent(&self) -> u64 {
        let peers = lock(&self.peers);
        let open = peers.iter().filter_map(|(_, shared)| shared.try_lock().ok()?.clone());
        open.map(|link| link.stats().udp_tx.bytes).sum()
    }

    fn shared(&self, address: SocketAddr) -> Shared {
        let mut peers = lock(&self.peers);
        match peers.binary_search_by_key(&address, |(address, _)| *address) {
            Ok(at) => peers[at].1.clone(),
            Err(at) => {
                peers.insert(at, (address, Shared::default()));
                peers[at].1.clone()
            }
        }
    }
}

fn no_link(address: SocketAddr, detail: impl ToString) -> Error {
    NoLinkSnafu { address, detail: detail.to_string() }.build()
}
