//! Accepting changes: races, lost answers, outages.

use std::time::Duration;

use bamboowheelctl::{Error, change, current};
use table::{Fake, Faults, Table};
use world::{Config, Key};

fn note(config: &mut Config, note: &str) -> Result<(), Error> {
    config.note = note.into();
    Ok(())
}

#[tokio::test(start_paused = true)]
async fn a_change_is_accepted_and_in_the_history() {
    let table = Fake::open();
    let accepted = change(&table, "c1", 0, |config| note(config, "first")).await.unwrap();
    assert_eq!((accepted.config.version, accepted.overtaken), (1, 0));
    change(&table, "c2", 0, |config| note(config, "second")).await.unwrap();
    assert_eq!(current(&table).await.unwrap().version, 2);
    assert_eq!(table.list(Key::HISTORY).await.unwrap().len(), 2);
}

/// Makes another operator's change win while this one is being made.
async fn overtake(table: &Fake, again: u32) -> Result<bamboowheelctl::Accepted, Error> {
    let mut first = true;
    let other = table.clone();
    change(table, "mine", again, move |config| {
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
            futures_executor(other.write(writes)).unwrap();
        }
        note(config, "mine")
    })
    .await
}

/// Polls a future that is ready at once.
fn futures_executor<F: Future>(future: F) -> F::Output {
    let mut future = std::pin::pin!(future);
    let waker = std::task::Waker::noop();
    match future.as_mut().poll(&mut std::task::Context::from_waker(waker)) {
        std::task::Poll::Ready(output) => output,
        std::task::Poll::Pending => panic!("the fake waits without a fault"),
    }
}

#[tokio::test(start_paused = true)]
async fn a_racing_operator_is_told_who_won() {
    let error = overtake(&Fake::open(), 0).await.unwrap_err();
    assert!(matches!(error, Error::Conflict { version: 1, .. }), "{error}");
}

#[tokio::test(start_paused = true)]
async fn a_mark_is_made_again_on_the_new_version() {
    let accepted = overtake(&Fake::open(), 3).await.unwrap();
    assert_eq!((accepted.config.version, accepted.overtaken), (2, 1));
}

struct Lost {
    what: &'static str,
    faults: Faults,
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_found_out() {
    let late = Some((1, Duration::from_millis(600)));
    let cases = [
        Lost { what: "one answer lost", faults: Faults { lost: 1, ..Faults::default() } },
        Lost { what: "three answers lost", faults: Faults { lost: 3, ..Faults::default() } },
        Lost { what: "the write comes late", faults: Faults { late, ..Faults::default() } },
    ];
    for case in cases {
        let table = Fake::open();
        table.set_faults(case.faults);
        let accepted = change(&table, "c1", 0, |config| note(config, "x")).await;
        assert_eq!(accepted.expect(case.what).config.version, 1, "{}", case.what);
        tokio::time::sleep(Duration::from_secs(2)).await;
        let held = current(&table).await.unwrap();
        assert_eq!((held.version, &*held.change), (1, "c1"), "{}", case.what);
    }
}

#[tokio::test(start_paused = true)]
async fn an_outage_is_no_success() {
    let table = Fake::open();
    table.set_faults(Faults { down: true, ..Faults::default() });
    let error = change(&table, "c1", 0, |config| note(config, "x")).await.unwrap_err();
    assert!(matches!(error, Error::Store { .. }), "{error}");
    let table = Fake::open();
    table.set_faults(Faults { lost: 100, ..Faults::default() });
    let settled = change(&table, "c2", 0, |config| note(config, "x")).await.unwrap();
    assert_eq!(settled.config.version, 1, "no answer ever comes, and reading back tells");
}
