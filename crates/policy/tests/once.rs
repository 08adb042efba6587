//! Idempotency keys: who may run a request, and what a resend is told.

use policy::{Once, OnceRecord, OnceState, OnceStep, Stored, TableReply};
use world::Code;

fn open() -> (Once, OnceRecord) {
    let (once, step) = Once::new(7, "node-1".into(), 1, 99);
    let OnceStep::Insert(record) = step else { panic!("{step:?}") };
    (once, record)
}

fn other(state: OnceState) -> OnceRecord {
    OnceRecord { attempt: 8, node: "node-2".into(), incarnation: 1, print: 99, state }
}

fn stored() -> Stored {
    Stored { status: 200, headers: Vec::new(), body: b"booked".to_vec() }
}

struct Found {
    what: &'static str,
    record: OnceRecord,
    alive: bool,
    step: OnceStep,
}

#[test]
fn a_resend_is_told_what_became_of_the_first() {
    let refuse = |code| OnceStep::Refuse(code, false);
    let (_, own) = open();
    let cases = [
        Found {
            what: "still running",
            record: other(OnceState::Running),
            alive: true,
            step: refuse(Code::KeyRunning),
        },
        Found {
            what: "its guard died",
            record: other(OnceState::Running),
            alive: false,
            step: refuse(Code::KeyUnknown),
        },
        Found {
            what: "its target crashed",
            record: other(OnceState::Lost),
            alive: true,
            step: refuse(Code::KeyUnknown),
        },
        Found {
            what: "answered",
            record: other(OnceState::Done(stored())),
            alive: false,
            step: OnceStep::Answer(stored()),
        },
        Found {
            what: "answered at length",
            record: other(OnceState::TooLarge),
            alive: true,
            step: refuse(Code::AnswerLost),
        },
        Found {
            what: "not run",
            record: other(OnceState::Void),
            alive: false,
            step: OnceStep::Replace(3, own),
        },
        Found {
            what: "another request",
            record: OnceRecord { print: 1, ..other(OnceState::Void) },
            alive: true,
            step: refuse(Code::KeyReused),
        },
    ];
    for case in cases {
        let (mut once, _) = open();
        assert_eq!(once.replied(TableReply::Conflict, |_| true), OnceStep::Read);
        let found = TableReply::Found(Some((3, case.record)));
        assert_eq!(once.replied(found, |_| case.alive), case.step, "{}", case.what);
    }
}

#[test]
fn an_insert_whose_answer_was_lost_is_read_back() {
    let (mut once, record) = open();
    assert_eq!(once.replied(TableReply::Unknown, |_| true), OnceStep::Read);
    assert_eq!(once.replied(TableReply::Unavailable, |_| true), OnceStep::Read);
    let found = TableReply::Found(Some((1, record)));
    assert_eq!(once.replied(found, |_| true), OnceStep::Run);
    assert!(once.is_held());
}

#[test]
fn an_insert_that_is_not_there_yet_is_written_again_never_trusted() {
    let (mut once, record) = open();
    once.replied(TableReply::Unknown, |_| true);
    let step = once.replied(TableReply::Found(None), |_| true);
    assert_eq!(step, OnceStep::Insert(record.clone()));
    // The first insert came late and won: the second conflicts, and the row is this attempt's own.
    assert_eq!(once.replied(TableReply::Conflict, |_| true), OnceStep::Read);
    assert_eq!(once.replied(TableReply::Found(Some((1, record))), |_| true), OnceStep::Run);
}

#[test]
fn a_store_that_is_down_means_not_run() {
    let (mut once, _) = open();
    let step = once.replied(TableReply::Unavailable, |_| true);
    assert_eq!(step, OnceStep::Refuse(Code::StoreDown, true));
    assert_eq!(once.give_up(), OnceStep::Stop, "nothing is in doubt");
}

#[test]
fn an_attempt_given_up_in_doubt_is_voided_so_that_its_late_write_fails() {
    let (mut once, record) = open();
    once.replied(TableReply::Unknown, |_| true);
    assert_eq!(once.give_up(), OnceStep::Read);
    let void = OnceRecord { state: OnceState::Void, ..record.clone() };
    let step = once.replied(TableReply::Found(None), |_| true);
    assert_eq!(step, OnceStep::Insert(void.clone()), "a row in the way of the late insert");
    assert_eq!(once.replied(TableReply::Conflict, |_| true), OnceStep::Read);
    let step = once.replied(TableReply::Found(Some((1, record))), |_| true);
    assert_eq!(step, OnceStep::Replace(1, void.clone()), "the late insert won the race");
    assert_eq!(once.replied(TableReply::Unknown, |_| true), OnceStep::Read);
    assert_eq!(once.replied(TableReply::Found(Some((2, void))), |_| true), OnceStep::Stop);
    assert!(!once.is_held());
}

#[test]
fn a_late_takeover_is_outbid_too() {
    let (mut once, _) = open();
    once.replied(TableReply::Conflict, |_| true);
    let void = other(OnceState::Void);
    let step = once.replied(TableReply::Found(Some((5, void.clone()))), |_| true);
    assert!(matches!(step, OnceStep::Replace(5, _)));
    once.replied(TableReply::Unknown, |_| true);
    assert_eq!(once.give_up(), OnceStep::Read);
    let step = once.replied(TableReply::Found(Some((5, void))), |_| true);
    assert!(matches!(step, OnceStep::Replace(5, record) if record.state == OnceState::Void));
}

#[test]
fn a_run_that_was_refused_after_its_insert_is_given_back() {
    let (mut once, record) = open();
    assert_eq!(once.replied(TableReply::Done, |_| true), OnceStep::Run);
    assert_eq!(once.give_up(), OnceStep::Read);
    let step = once.replied(TableReply::Found(Some((1, record))), |_| true);
    assert!(matches!(step, OnceStep::Replace(1, record) if record.state == OnceState::Void));
    assert_eq!(once.replied(TableReply::Done, |_| true), OnceStep::Stop);
}
