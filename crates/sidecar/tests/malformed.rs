//! Malformed messages on every socket of a node: each is rejected or ignored, the process goes on,
//! and requests are served as before.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use policy::{Health, Member, MemberMessage, MessageKind, Watcher};
use quinn::{Connection, Endpoint};
use standin::caller::{Caller, TestRequest};
use standin::deployment::{Deployment, eventually};
use standin::malformed::{garbage, heartbeat_body, nested, odd_heartbeats};
use wire::link::{Attempt, Datagram, Frame, Hello, Life, Node, Status};
use wire::tls::{self, SERVER_NAME, Timing, Trust};

const NODE: &str = env!("CARGO_BIN_EXE_bamboowheel-sidecar");

async fn started_deployment() -> Deployment {
    let mut deployment = Deployment::prepare(NODE, &[("dc-1", "a"), ("dc-1", "b")]).await;
    deployment.start_nodes().await;
    deployment
}

/// Checks that both nodes run and serve requests, through a link too.
async fn check(deployment: &mut Deployment, after: &str) {
    for vm in &mut deployment.vms {
        assert_eq!(vm.exit_status(), None, "{}: after {after}", vm.name);
    }
    for at in 0..2 {
        let request = TestRequest { id: after, ..TestRequest::default() };
        let status = deployment.send_request(at, &request).await.map(|answer| answer.status);
        assert_eq!(status, Some(200), "vm-{at}: after {after}");
    }
}

#[tokio::test]
async fn garbage_on_any_socket_changes_nothing() {
    let mut deployment = started_deployment().await;
    let callers = deployment.vms[0].caller_address();
    let control = deployment.vms[0].control_address();
    let readiness = SocketAddr::new(callers.ip(), 8625);
    let metrics = SocketAddr::new(callers.ip(), 9464);
    for address in [callers, control, readiness, metrics] {
        for bytes in garbage() {
            if let Ok(mut caller) = Caller::connect(address).await {
                // The node may close the connection before everything is sent.
                let _ = caller.send(&bytes).await;
                let _ = tokio::time::timeout(Duration::from_millis(50), caller.receive()).await;
            }
        }
    }
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for bytes in garbage() {
        socket.send_to(&bytes, SocketAddr::new(callers.ip(), 7600)).await.unwrap();
    }
    check(&mut deployment, "garbage").await;
}

#[tokio::test]
async fn an_answer_that_cannot_be_read_fails_only_its_request() {
    let mut deployment = started_deployment().await;
    for bytes in ["\\x00\\xff", "HTTP/1.1 abc", "HTTP/1.1 200 OK\\r\\nx: \\x01\\r\\n\\r\\n"] {
        let behaviour = format!("raw={}", bytes.replace(' ', "\\x20"));
        let request = TestRequest { id: "raw", behaviour: &behaviour, ..Default::default() };
        let status = deployment.send_request(1, &request).await.map(|answer| answer.status);
        assert!(matches!(status, Some(502..=504)), "{bytes}: {status:?}");
        check(&mut deployment, "after-raw").await;
    }
}

#[tokio::test]
async fn a_heartbeat_of_an_unknown_service_names_no_target() {
    let mut deployment = started_deployment().await;
    let heartbeat = deployment.vms[0].heartbeat_of_service("zz", "i-other", 99_999_999_999_999);
    assert_eq!(heartbeat.send().await, 400);
    check(&mut deployment, "an unknown service").await;
}

// Guards against an odd heartbeat of another writer that ends the process, that takes the place of the
// target, or that makes the node ignore the target's own heartbeats from then on.
#[tokio::test]
async fn an_odd_heartbeat_names_no_target_and_hides_none() {
    let mut deployment = started_deployment().await;
    let ip = deployment.vms[0].ip;
    let path = "/api/rpc?call=instances.heartbeat&of=i-vm-0";
    for body in odd_heartbeats(ip) {
        let shown: String = body.chars().take(200).collect();
        assert_ne!(body, heartbeat_body(ip, "9", ""), "{shown}");
        assert_eq!(deployment.vms[0].send_control(path, &body).await, 400, "{shown}");
        check(&mut deployment, "an odd heartbeat").await;
    }
    // A field that is not known is ignored, however it looks.
    let body = heartbeat_body(ip, "1", &format!(",\"other\":{}", nested()));
    assert_eq!(deployment.vms[0].send_control(path, &body).await, 200);
    check(&mut deployment, "a nested field").await;
    // The target's own heartbeats still count.
    assert_eq!(deployment.vms[0].heartbeat("draining", 0.0).await, 200);
    let request = TestRequest { id: "left", timeout_ms: 300, ..TestRequest::default() };
    let status = deployment.send_request(1, &request).await.map(|answer| answer.status);
    assert_eq!(status, Some(503));
}

// Guards against one odd row that ends the nodes that read it, hides the other rows, or makes a node
// unreachable for good under its name.
#[tokio::test]
async fn an_odd_row_hides_no_other_row() {
    let mut deployment = started_deployment().await;
    let ip = deployment.vms[0].ip;
    let row = |name: &str, port: &str, started: &str| {
        format!(
            r#"{{"name":"{name}","data_centre":"dc-1","address":"{ip}:{port}","started":{started},"service":"a"}}"#
        )
    };
    let far = "18446744073709551615";
    let odd = [
        nested(),
        format!("{{\"name\":{}}}", nested()),
        row("vm-1", "7600", far),
        row("vm-1", "0", "5"),
        row("vm-1", "70000", "5"),
        row("vm-1", "7600", "1e400"),
        row("", "7600", "5"),
        row("vm-0", "1", far),
    ];
    for (number, value) in odd.iter().enumerate() {
        // Under keys before, between and after those of the nodes.
        for key in ["a", "vm-0a", "zz"] {
            deployment.store.put("nodes", &format!("{key}-{number}"), value.as_bytes());
        }
        deployment.store.put("op", &format!("evacuate/{number}"), value.as_bytes());
        deployment.store.put("op", &format!("other-{number}"), value.as_bytes());
    }
    deployment.store.put("nodes", "vm-1", row("vm-1", "7600", far).as_bytes());
    deployment.store.put_raw("nodes", "raw", "no base64!");
    deployment.store.put_raw("op", "raw", "no base64!");
    check(&mut deployment, "odd rows").await;
    deployment.set_routes(&[("/safe/", "a", "safe")]);
    let known = eventually(Duration::from_secs(2), async || deployment.is_current(1).await);
    assert!(known.await, "the operator's table is followed no more");
    for at in [0, 1] {
        deployment.vms[at].kill().await;
        deployment.start_node(at);
    }
    let deployment = Arc::new(deployment);
    let serves = async || {
        let request = TestRequest { id: "again", ..TestRequest::default() };
        let answer = deployment.send_request(1, &request).await;
        answer.is_some_and(|answer| answer.status == 200)
    };
    assert!(eventually(Duration::from_secs(5), serves).await, "the nodes do not find each other");
}

#[tokio::test]
async fn rows_that_cannot_be_read_are_ignored() {
    let mut deployment = started_deployment().await;
    for value in ["", "{", "[]", "{\"version\":\"x\"}", "{\"version\":1e999}"] {
        deployment.store.put("op", "config", value.as_bytes());
        deployment.store.put("nodes", "zz", value.as_bytes());
        deployment.store.put("op", "evacuate/", value.as_bytes());
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    check(&mut deployment, "rows").await;
    deployment.vms[1].kill().await;
    deployment.set_routes(&[("/safe/", "a", "safe")]);
    deployment.start_node(1);
    let ready = eventually(Duration::from_secs(5), async || deployment.vms[1].is_ready().await);
    assert!(ready.await);
    tokio::time::sleep(Duration::from_millis(700)).await;
    check(&mut deployment, "a restart").await;
}

/// Opens a link as a node that the others do not know.
async fn link(address: SocketAddr) -> (Endpoint, Connection) {
    let timing = Timing { idle: Duration::from_secs(3), keep_alive: Duration::from_secs(1) };
    let identity = tls::open(&Trust::Development, timing).unwrap();
    let endpoint = Endpoint::client("127.0.0.1:0".parse().unwrap()).unwrap();
    let connecting = endpoint.connect_with(identity.client, address, SERVER_NAME).unwrap();
    (endpoint, connecting.await.unwrap())
}

fn extreme_member(name: &str) -> Member {
    Member {
        name: name.into(),
        data_centre: "".into(),
        address: ([255, 255, 255, 255], 0).into(),
        service: Some("".into()),
        started: u64::MAX,
        incarnation: u64::MAX,
        health: Health::Dead,
    }
}

#[tokio::test]
async fn frames_that_are_malformed_or_extreme_change_nothing() {
    let mut deployment = started_deployment().await;
    let address = SocketAddr::new(deployment.vms[0].ip, 7600);
    let node = Node {
        name: "zz".into(),
        data_centre: "dc-1".into(),
        address: ([127, 0, 0, 1], 1).into(),
        started: u64::MAX,
    };
    let status = Status {
        service: Some("a".into()),
        report: policy::Report {
            open: true,
            free: i16::MIN,
            slots: 0,
            slowness: 255,
            strain: 65_535,
        },
        leaving: Some(Life { id: "x".into(), born: u64::MAX }),
        revision: u64::MAX,
        followed: true,
    };
    let hello = Hello { node, status: status.clone(), leaving: None };
    let attempt = Attempt {
        id: "\r\n".to_owned(),
        service: "a".into(),
        caller: "\r\n".into(),
        method: " ".to_owned(),
        path: "\u{0}".to_owned(),
        fields: Vec::new(),
        length: u64::MAX,
        left_us: u64::MAX,
        aim_us: u64::MAX,
        work_us: u64::MAX,
        priority: u32::MAX,
        elsewhere: false,
    };
    let message = MemberMessage {
        probe: MessageKind::Ask("vm-1".into()),
        from: extreme_member("zz"),
        digest: 0,
        version: u64::MAX,
        news: vec![extreme_member("vm-0"), extreme_member("vm-1"), extreme_member("")],
    };
    let watcher = Watcher {
        name: "".into(),
        started: u64::MAX,
        number: u64::MAX,
        revision: u64::MAX,
        active: true,
        age_us: u64::MAX,
    };
    let frames: Vec<Vec<u8>> = vec![
        vec![1, 255, 255, 255, 255],
        vec![1, 4, 0, 0, 0, 250, 250, 250, 250],
        vec![9, 0, 0, 0, 0],
        wire::encode(&Frame::Hello(Box::new(hello.clone()))).unwrap(),
        wire::encode(&Frame::Status(Box::new(status.clone()))).unwrap(),
        wire::encode(&Frame::Attempt(Box::new(attempt))).unwrap(),
        wire::encode(&Frame::Sync(Vec::new())).unwrap(),
        wire::encode(&Frame::Sync(vec![7; 1_000])).unwrap(),
        wire::encode(&Frame::Members(vec![extreme_member("vm-0"), extreme_member("yy")])).unwrap(),
        wire::encode(&Frame::Release).unwrap(),
    ];
    let datagrams: Vec<Vec<u8>> = vec![
        vec![],
        vec![255; 900],
        wire::encode(&Datagram::Status(Box::new(status))).unwrap(),
        wire::encode(&Datagram::Member(Box::new(message))).unwrap(),
        wire::encode(&Datagram::Beacons(vec![watcher; 20])).unwrap(),
    ];
    for greets in [false, true] {
        let (_endpoint, connection) = link(address).await;
        if greets {
            let (mut send, mut receive) = connection.open_bi().await.unwrap();
            wire::write(&mut send, &Frame::Hello(Box::new(hello.clone()))).await.unwrap();
            let _: Hello = wire::read(&mut receive).await.unwrap();
        }
        for frame in &frames {
            let Ok((mut send, _receive)) = connection.open_bi().await else { break };
            let _ = send.write_all(frame).await;
            let _ = send.finish();
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        for datagram in &datagrams {
            let _ = connection.send_datagram(bytes::Bytes::from(datagram.clone()));
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        check(&mut deployment, "frames").await;
        connection.close(0u32.into(), b"");
    }
    // The nodes refute claims about them, and still find each other after a restart.
    deployment.vms[1].kill().await;
    deployment.start_node(1);
    let ready = eventually(Duration::from_secs(5), async || deployment.vms[1].is_ready().await);
    assert!(ready.await);
    let deployment = Arc::new(deployment);
    let serves = async || {
        let request = TestRequest { id: "back", ..TestRequest::default() };
        deployment.send_request(1, &request).await.is_some_and(|answer| answer.status == 200)
    };
    assert!(eventually(Duration::from_secs(5), serves).await);
}
