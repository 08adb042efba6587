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
