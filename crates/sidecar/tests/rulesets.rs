//! How a node gets a newer ruleset from its peers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use policy::Report;
use quinn::{Connection, Endpoint};
use standin::caller::TestRequest;
use standin::deployment::{Deployment, eventually};
use wire::link::{Datagram, Frame, Hello, Node, Reply, Status};
use wire::tls::{self, SERVER_NAME, Timing, Trust};
use world::Ruleset;

const NODE: &str = env!("CARGO_BIN_EXE_bamboowheel-sidecar");
/// A change must be in force on every node within this time of its acknowledgement.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);

/// Time between two reports of a peer that sends no ruleset.
const REPORT_INTERVAL: Duration = Duration::from_millis(20);

/// Links to a node as another one that has a ruleset of `revision` and sends it to nobody.
async fn link_silent_peer(
    address: SocketAddr,
    name: &str,
    revision: u64,
) -> (Endpoint, Connection) {
    let timing = Timing { idle: Duration::from_secs(10), keep_alive: Duration::from_secs(1) };
    let identity = tls::open(&Trust::Development, timing).unwrap();
    let endpoint = Endpoint::client("127.0.0.1:0".parse().unwrap()).unwrap();
    let connecting = endpoint.connect_with(identity.client, address, SERVER_NAME).unwrap();
    let connection = connecting.await.unwrap();
    let (mut send, mut receive) = connection.open_bi().await.unwrap();
    let node = Node {
        name: name.into(),
        data_centre: "dc-1".into(),
        address: ([127, 0, 0, 1], 1).into(),
        started: 1,
    };
    let report = Report { open: false, ..Report::default() };
    let status = Status { service: None, report, leaving: None, revision, followed: true };
    let hello = Hello { node, status: status.clone(), leaving: None };
    wire::write(&mut send, &Frame::Hello(Box::new(hello))).await.unwrap();
    let _: Hello = wire::read(&mut receive).await.unwrap();
    let reporting = connection.clone();
    tokio::spawn(async move {
        let report = wire::encode(&Datagram::Status(Box::new(status))).unwrap();
        while reporting.send_datagram(report.clone().into()).is_ok() {
            tokio::time::sleep(REPORT_INTERVAL).await;
        }
    });
    (endpoint, connection)
}

// Guards against a node that waits for a newer ruleset from peers that cannot send it, such as those
// behind a link that passes packets in one direction only, and does not ask others that have it too.
#[tokio::test]
async fn a_ruleset_that_one_peer_does_not_send_is_fetched_from_another() {
    let mut deployment = Deployment::prepare(NODE, &[("dc-1", "a"); 3]).await;
    deployment.start_nodes().await;
    // The third node does not watch the store, and first hears of the change from these peers.
    let address = SocketAddr::new(deployment.vms[2].ip, 7600);
    let mut peers = Vec::new();
    for name in ["x-1", "x-2", "x-3", "x-4"] {
        peers.push(link_silent_peer(address, name, 1_000_000).await);
    }
    deployment.set_routes(&[("/new/", "a", "safe")]);
    let acknowledged = Instant::now();
    let known = eventually(IN_FORCE_LIMIT, async || deployment.is_current(2).await).await;
    assert!(known, "after {:?}", acknowledged.elapsed());
}

// Guards against a node that waits for a ruleset with workspaces from peers of an earlier version, and
// against many reads of the table for one revision.
#[tokio::test]
async fn a_ruleset_that_only_earlier_versions_have_is_read_from_the_store_once() {
    let mut deployment = Deployment::prepare(NODE, &[("dc-1", "a"); 3]).await;
    deployment.start_nodes().await;
    let store = &deployment.vms[2].store_endpoint;
    let calls = store.call_count();
    let address = SocketAddr::new(deployment.vms[2].ip, 7600);
    let (_endpoint, peer) = link_silent_peer(address, "x-1", 1_000_000).await;
    let closing = tokio::spawn(async move {
        // Earlier versions drop a stream whose first frame they cannot decode.
        while peer.accept_bi().await.is_ok() {}
    });
    let is_read = eventually(IN_FORCE_LIMIT, async || store.call_count() > calls).await;
    assert!(is_read, "the table was not read");
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(store.call_count() <= calls + 2, "{} reads", store.call_count() - calls);
    closing.abort();
}

/// Routes that are newer than those in the store.
const NEWER_ROUTES: &str = r#"{"version":100,"routes":[{"name":"r","host":"test.example",
"pathPrefix":"/lost/","kind":"safe","timeoutS":2,"targetLatencyS":0.3,"service":"a"}],
"services":[{"name":"a","healthPath":"/health"}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutS":3,"idleTimeoutS":15}}"#;

// Guards against a node that serves by an older copy of the table, since it read that before it was
// linked to the nodes that know better.
#[tokio::test]
async fn a_node_that_read_an_older_copy_takes_the_newer_routes_of_its_peers() {
    let mut deployment = Deployment::prepare(NODE, &[("dc-1", "a")]).await;
    deployment.store.come_back(0);
    deployment.start_nodes().await;
    let address = SocketAddr::new(deployment.vms[0].ip, 7600);
    let (_endpoint, peer) = link_silent_peer(address, "x-1", 1).await;
    tokio::spawn(async move {
        while let Ok((mut send, mut receive)) = peer.accept_bi().await {
            if let Ok(Frame::FetchRules) = wire::read(&mut receive).await {
                let routing = platform::operator::routing(NEWER_ROUTES.as_bytes()).unwrap();
                let ruleset =
                    Ruleset { revision: 1, routing, out: Vec::new(), rollouts: Vec::new() };
                wire::write(&mut send, &Reply::Rules(Some(Box::new(ruleset)))).await.unwrap();
                let _ = send.finish();
            }
        }
    });
    let request = TestRequest { path: "/lost/x", id: "lost", ..TestRequest::default() };
    let is_served = async || deployment.send_request(0, &request).await.unwrap().status == 200;
    assert!(eventually(IN_FORCE_LIMIT, is_served).await);
}
