//! Links between nodes: after a node was replaced, and while nodes are idle.

use std::time::Duration;

use standin::caller::TestRequest;
use standin::deployment::Deployment;

const NODE: &str = env!("CARGO_BIN_EXE_bamboowheel-sidecar");

#[tokio::test]
async fn a_node_is_not_linked_again_after_another_node_took_its_address() {
    let vms = [("dc-1", "b"), ("dc-1", "a"), ("dc-1", "b")];
    let mut deployment = Deployment::prepare(NODE, &vms).await;
    deployment.start_nodes().await;
    deployment.vms[1].kill().await;
    deployment.vms[1].rename("vm-9");
    deployment.vms[1].target.set_id("i-vm-9");
    deployment.start_node(1);
    deployment.announce_targets().await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let links = deployment.vms[0].counter("bamboowheel_links_total").await.unwrap();
    // Two links at the start and one to the new node, each opened from both ends at worst. A node
    // that kept connecting to the replaced one would reach the new one and open a link each time.
    assert!(links <= 6, "{links} links were opened to two peers");
    assert_eq!(
        deployment
            .send_request(0, &TestRequest { id: "a", ..TestRequest::default() })
            .await
            .unwrap()
            .status,
        200
    );
}

#[tokio::test]
async fn idle_nodes_keep_their_links_and_open_no_new_ones() {
    let vms = [("dc-1", "b"), ("dc-1", "a"), ("dc-2", "a"), ("dc-2", "b")];
    let mut deployment = Deployment::prepare(NODE, &vms).await;
    deployment.start_nodes().await;
    let mut before = Vec::new();
    for vm in &deployment.vms {
        before.push(vm.counter("bamboowheel_links_total").await.unwrap());
    }
    tokio::time::sleep(Duration::from_secs(11)).await;
    for (vm, before) in deployment.vms.iter().zip(before) {
        let links = vm.counter("bamboowheel_links_total").await.unwrap();
        assert_eq!(links, before, "{}", vm.name);
    }
}

#[tokio::test]
async fn the_first_request_of_a_service_waits_for_a_link_where_there_are_many_services() {
    const SERVICES: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];
    let vms = SERVICES.map(|service| ("dc-1", service));
    let mut deployment = Deployment::prepare(NODE, &vms).await;
    deployment.start_nodes().await;
    let routes = SERVICES.map(|service| (format!("/{service}/"), service));
    let routes: Vec<_> =
        routes.iter().map(|(prefix, service)| (prefix.as_str(), *service, "safe")).collect();
    deployment.set_routes(&routes);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut links = 0;
    // The node three places before a target's does not probe it, nor the other way round.
    for (at, service) in SERVICES.iter().enumerate() {
        let path = format!("/{service}/x");
        let request = TestRequest { id: service, path: &path, ..TestRequest::default() };
        let answer = deployment.send_request((at + 3) % 12, &request).await.unwrap();
        assert_eq!(answer.status, 200, "{service}: {answer:?}");
        links += deployment.vms[at].counter("bamboowheel_links_total").await.unwrap();
    }
    // Each node is linked to those that it probes and those that probe it, and to one for its
    // request.
    assert!(links < 12 * 11, "{links} links were opened");
}
