//! Idempotency keys: who may run a request, and what a resend is told.

use policy::{
    IdempotencyRecord, IdempotencyState, IdempotencyStep, KeyedAttempt, StoredAnswer, TableReply,
};
use world::Code;

fn open() -> (KeyedAttempt, IdempotencyRecord) {
    let (once, step) = KeyedAttempt::new(7, "node-1".into(), 1, 99);
    let IdempotencyStep::Insert(record) = step else { panic!("{step:?}") };
    (once, record)
}

fn other(state: IdempotencyState) -> IdempotencyRecord {
    IdempotencyRecord { attempt: 8, node: "node-2".into(), incarnation: 1, print: 99, state }
}

fn stored() -> StoredAnswer {
    StoredAnswer { status: 200, headers: Vec::new(), body: b"booked".to_vec() }
}

struct Found {
    what: &'static str,
    record: IdempotencyRecord,
    alive: bool,
    step: IdempotencyStep,
}

#[test]
fn a_resend_is_told_what_became_of_the_first() {
    let refuse = |code| IdempotencyStep::Refuse(code, false);
    let (_, own) = open();
    let cases = [
        Found {
            what: "still running",
            record: other(IdempotencyState::Running),
            alive: true,
            step: refuse(Code::KeyRunning),
        },
        Found {
            what: "its guard died",
            record: other(IdempotencyState::Running),
            alive: false,
            step: refuse(Code::KeyUnknown),
        },
        Found {
            what: "its target crashed",
            record: other(IdempotencyState::Lost),
            alive: true,
            step: refuse(Code::KeyUnknown),
        },
        Found {
            what: "answered",
            record: other(IdempotencyState::Done(stored())),
            alive: false,
            step: IdempotencyStep::Answer(stored()),
        },
        Found {
            what: "answered at length",
            record: other(IdempotencyState::TooLarge),
            alive: true,
            step: refuse(Code::AnswerLost),
        },
        Found {
            what: "not run",
            record: other(IdempotencyState::Void),
            alive: false,
            step: IdempotencyStep::Replace(3, own),
        },
        Found {
            what: "another request",
            record: IdempotencyRecord { print: 1, ..other(IdempotencyState::Void) },
            alive: true,
            step: refuse(Code::KeyReused),
        },
    ];
    for case in cases {
        let (mut once, _) = open();
        assert_eq!(once.replied(TableReply::Conflict, |_| true), IdempotencyStep::Read);
        let found = TableReply::Found(Some((3, case.record)));
        assert_eq!(once.replied(found, |_| case.alive), case.step, "{}", case.what);
    }
}

#[test]
fn an_insert_whose_answer_was_lost_is_read_back() {
    let (mut once, record) = open();
    assert_eq!(once.replied(TableReply::Unknown, |_| true), IdempotencyStep::Read);
    assert_eq!(once.replied(TableReply::Unavailable, |_| true), IdempotencyStep::Read);
    let found = TableReply::Found(Some((1, record)));
    assert_eq!(once.replied(found, |_| true), IdempotencyStep::Run);
    assert!(once.may_dispatch());
}

#[test]
fn an_insert_that_is_not_there_yet_is_written_again_never_trusted() {
    let (mut once, record) = open();
    once.replied(TableReply::Unknown, |_| true);
    let step = once.replied(TableReply::Found(None), |_| true);
    assert_eq!(step, IdempotencyStep::Insert(record.clone()));
    // The first insert came late and won: the second conflicts, and the row is this attempt's own.
    assert_eq!(once.replied(TableReply::Conflict, |_| true), IdempotencyStep::Read);
    assert_eq!(once.replied(TableReply::Found(Some((1, record))), |_| true), IdempotencyStep::Run);
}

#[test]
fn a_store_that_is_down_means_not_run() {
    let (mut once, _) = open();
    let step = once.replied(TableReply::Unavailable, |_| true);
    assert_eq!(step, IdempotencyStep::Refuse(Code::StoreDown, true));
    assert_eq!(once.give_up(), IdempotencyStep::Stop, "nothing is in doubt");
}

#[test]
fn an_attempt_given_up_in_doubt_is_voided_so_that_its_late_write_fails() {
    let (mut once, record) = open();
    once.replied(TableReply::Unknown, |_| true);
    assert_eq!(once.give_up(), IdempotencyStep::Read);
    let void = IdempotencyRecord { state: IdempotencyState::Void, ..record.clone() };
    let step = once.replied(TableReply::Found(None), |_| true);
    assert_eq!(step, IdempotencyStep::Insert(void.clone()), "a row in the way of the late insert");
    assert_eq!(once.replied(TableReply::Conflict, |_| true), IdempotencyStep::Read);
    let step = once.replied(TableReply::Found(Some((1, record))), |_| true);
    assert_eq!(step, IdempotencyStep::Replace(1, void.clone()), "the late insert won the race");
    assert_eq!(once.replied(TableReply::Unknown, |_| true), IdempotencyStep::Read);
    assert_eq!(once.replied(TableReply::Found(Some((2, void))), |_| true), IdempotencyStep::Stop);
    assert!(!once.may_dispatch());
}

#[test]
fn a_late_takeover_is_outbid_too() {
    let (mut once, _) = open();
    once.replied(TableReply::Conflict, |_| true);
    let void = other(IdempotencyState::Void);
    let step = once.replied(TableReply::Found(Some((5, void.clone()))), |_| true);
    assert!(matches!(step, IdempotencyStep::Replace(5, _)));
    once.replied(TableReply::Unknown, |_| true);
    assert_eq!(once.give_up(), IdempotencyStep::Read);
    let step = once.replied(TableReply::Found(Some((5, void))), |_| true);
    assert!(
        matches!(step, IdempotencyStep::Replace(5, record) if record.state == IdempotencyState::Void)
    );
}

#[test]
fn a_run_that_was_refused_after_its_insert_is_given_back() {
    let (mut once, record) = open();
    assert_eq!(once.replied(TableReply::Done, |_| true), IdempotencyStep::Run);
    assert_eq!(once.give_up(), IdempotencyStep::Read);
    let step = once.replied(TableReply::Found(Some((1, record))), |_| true);
    assert!(
        matches!(step, IdempotencyStep::Replace(1, record) if record.state == IdempotencyState::Void)
    );
    assert_eq!(once.replied(TableReply::Done, |_| true), IdempotencyStep::Stop);
}
