//! The DynamoDB client (against a stand-in service) and the fake table behave alike, also under
//! the same faults.

use std::time::Duration;

use table::{Condition, Dynamo, Error, Fake, Row, Settings, Table, Write};
use testkit::table::{Faults, Table as StandIn};
use world::Key;

fn write(id: &str, version: u64, condition: Condition) -> Write {
    let row = Row { key: Key::new("part", id), version, body: id.as_bytes().to_vec() };
    Write { row, condition, expires: None }
}

async fn open(timeout: Duration) -> (StandIn, testkit::http::Server, Dynamo) {
    let stand_in = StandIn::default();
    let server = stand_in.serve(([127, 0, 0, 1], 0).into()).await.unwrap();
    let dynamo = Dynamo::open(Settings {
        endpoint: Some(format!("http://{}", server.address)),
        region: "us-east-1".to_owned(),
        table: "bamboowheel".to_owned(),
        access_key: "id".to_owned(),
        secret_key: "secret".to_owned(),
        timeout,
    });
    (stand_in, server, dynamo)
}

/// Checks what every table must do: conditional writes, transactions and listing.
async fn check_table(table: &impl Table) {
    let absent = Condition::Absent;
    assert_eq!(table.read(&Key::new("part", "a")).await, Ok(None));
    table.write(vec![write("a", 1, absent)]).await.unwrap();
    let again = table.write(vec![write("a", 2, absent)]).await;
    assert_eq!(again, Err(Error::Conflict { at: 0 }));
    let row = table.read(&Key::new("part", "a")).await.unwrap().unwrap();
    assert_eq!((row.version, &row.body[..]), (1, &b"a"[..]));
    table.write(vec![write("a", 2, Condition::Version(1))]).await.unwrap();
    let stale = table.write(vec![write("a", 3, Condition::Version(1))]).await;
    assert_eq!(stale, Err(Error::Conflict { at: 0 }));
    let group = vec![write("b", 1, absent), write("a", 9, absent), write("c", 1, absent)];
    assert_eq!(table.write(group).await, Err(Error::Conflict { at: 1 }));
    assert_eq!(table.read(&Key::new("part", "b")).await, Ok(None), "all or none");
    table.write(vec![write("b", 1, absent), write("c", 1, Condition::Any)]).await.unwrap();
    let ids: Vec<String> =
        table.list("part").await.unwrap().iter().map(|row| row.key.id.to_string()).collect();
    assert_eq!(ids, ["a", "b", "c"]);
    assert!(table.list("other").await.unwrap().is_empty());
}

#[tokio::test]
async fn both_tables_check_conditions_and_write_all_or_none() {
    check_table(&Fake::open()).await;
    let (_stand_in, _server, dynamo) = open(Duration::from_secs(20)).await;
    check_table(&dynamo).await;
}

#[tokio::test]
async fn a_write_whose_answer_is_lost_is_unknown_and_took_effect() {
    let (stand_in, _server, dynamo) = open(Duration::from_secs(20)).await;
    stand_in.set_faults(Faults { lost: 1, ..Faults::default() });
    let lost = dynamo.write(vec![write("a", 1, Condition::Absent)]).await;
    assert!(matches!(lost, Err(Error::Unknown { .. })), "{lost:?}");
    assert!(dynamo.read(&Key::new("part", "a")).await.unwrap().is_some());
    let fake = Fake::open();
    fake.set_faults(table::Faults { lost: 1, ..table::Faults::default() });
    let lost = fake.write(vec![write("a", 1, Condition::Absent)]).await;
    assert!(matches!(lost, Err(Error::Unknown { .. })));
    assert!(fake.read(&Key::new("part", "a")).await.unwrap().is_some());
}

#[tokio::test]
async fn when_the_store_hangs_writes_are_unknown_and_reads_unavailable() {
    let (stand_in, _server, dynamo) = open(Duration::from_millis(200)).await;
    stand_in.set_faults(Faults { hang: true, ..Faults::default() });
    let hung = dynamo.write(vec![write("a", 1, Condition::Absent)]).await;
    assert!(matches!(hung, Err(Error::Unknown { .. })), "{hung:?}");
    let hung = dynamo.read(&Key::new("part", "a")).await;
    assert!(matches!(hung, Err(Error::Unavailable { .. })), "{hung:?}");
}

#[tokio::test]
async fn a_write_whose_connection_is_refused_is_unavailable() {
    let (_stand_in, server, dynamo) = open(Duration::from_secs(20)).await;
    drop(server);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let refused = dynamo.write(vec![write("a", 1, Condition::Absent)]).await;
    assert!(matches!(refused, Err(Error::Unavailable { .. })), "{refused:?}");
}
