//! Changes of the configuration: concurrent changes, lost answers of the store, outages.

use std::time::Duration;

use bamboowheelctl::{Error, change, current};
use table::{Fake, Faults, Table};
use world::{Config, Key};

fn note(config: &mut Config, note: &str) -> Result<(), Error> {
    config.note = note.into();
    Ok(())
}

#[tokio::test(start_paused = true)]
async fn accepted_changes_are_in_the_history() {
    let table = Fake::open();
    let accepted = change(&table, "c1", 0, |config| note(config, "first")).await.unwrap();
    assert_eq!((accepted.config.version, accepted.conflicts), (1, 0));
    change(&table, "c2", 0, |config| note(config, "second")).await.unwrap();
    assert_eq!(current(&table).await.unwrap().version, 2);
    assert_eq!(table.list(Key::HISTORY).await.unwrap().len(), 2);
}

/// Makes a change while another operator's change is accepted first.
async fn change_with_conflict(
    table: &Fake,
    max_retries: u32,
) -> Result<bamboowheelctl::Accepted, Error> {
    let mut first = true;
    let other = table.clone();
    change(table, "mine", max_retries, move |config| {
        if std::mem::take(&mut first) {
            let other = other.clone();
            let winner =
                Config { version: config.version, change: "theirs".into(), ..config.clone() };
            let body = serde_json::to_vec(&winner).unwrap();
            let row = |key| table::Row { key, version: winner.version, body: body.clone() };
            let put = |key| table::Write {
                row: row(key),
                condition: table::Condition::Any,
                expires: None,
            };
            let writes = vec![put(Key::config()), put(Key::history(winner.version))];
            poll_ready(other.write(writes)).unwrap();
        }
        note(config, "mine")
    })
    .await
}

/// Polls a future once and returns its output. Panics if it is not ready.
fn poll_ready<F: Future>(future: F) -> F::Output {
    let mut future = std::pin::pin!(future);
    let waker = std::task::Waker::noop();
    match future.as_mut().poll(&mut std::task::Context::from_waker(waker)) {
        std::task::Poll::Ready(output) => output,
        std::task::Poll::Pending => panic!("a write without faults is not ready at once"),
    }
}

#[tokio::test(start_paused = true)]
async fn a_conflict_without_retries_reports_the_accepted_version() {
    let error = change_with_conflict(&Fake::open(), 0).await.unwrap_err();
    assert!(matches!(error, Error::Conflict { version: 1, .. }), "{error}");
}

#[tokio::test(start_paused = true)]
async fn a_conflicting_change_is_retried_on_the_new_version() {
    let accepted = change_with_conflict(&Fake::open(), 3).await.unwrap();
    assert_eq!((accepted.config.version, accepted.conflicts), (2, 1));
}

struct FaultCase {
    name: &'static str,
    faults: Faults,
}

#[tokio::test(start_paused = true)]
async fn a_change_is_accepted_once_despite_lost_or_late_writes() {
    let late = Some((1, Duration::from_millis(600)));
    let cases = [
        FaultCase { name: "one answer lost", faults: Faults { lost: 1, ..Faults::default() } },
        FaultCase { name: "three answers lost", faults: Faults { lost: 3, ..Faults::default() } },
        FaultCase {
            name: "the write takes effect late",
            faults: Faults { late, ..Faults::default() },
        },
    ];
    for case in cases {
        let table = Fake::open();
        table.set_faults(case.faults);
        let accepted = change(&table, "c1", 0, |config| note(config, "x")).await;
        assert_eq!(accepted.expect(case.name).config.version, 1, "{}", case.name);
        tokio::time::sleep(Duration::from_secs(2)).await;
        let held = current(&table).await.unwrap();
        assert_eq!((held.version, &*held.change), (1, "c1"), "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn an_outage_is_an_error_and_a_lost_answer_is_read_back() {
    let table = Fake::open();
    table.set_faults(Faults { down: true, ..Faults::default() });
    let error = change(&table, "c1", 0, |config| note(config, "x")).await.unwrap_err();
    assert!(matches!(error, Error::Store { .. }), "{error}");
    let table = Fake::open();
    table.set_faults(Faults { lost: 100, ..Faults::default() });
    let accepted = change(&table, "c2", 0, |config| note(config, "x")).await.unwrap();
    assert_eq!(accepted.config.version, 1, "no answer arrives, but reading back shows the write");
}
