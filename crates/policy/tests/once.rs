//! Idempotency keys: which attempt may run a request, and how later attempts are answered.

use policy::{
    IdempotencyRecord, IdempotencyState, IdempotencyStep, KeyedAttempt, StoredAnswer, TableReply,
};
use world::Code;

fn new_attempt() -> (KeyedAttempt, IdempotencyRecord) {
    let (attempt, step) = KeyedAttempt::new(7, "node-1".into(), 1, 99);
    let IdempotencyStep::Insert(record) = step else { panic!("{step:?}") };
    (attempt, record)
}

fn other_record(state: IdempotencyState) -> IdempotencyRecord {
    IdempotencyRecord { attempt: 8, node: "node-2".into(), incarnation: 1, print: 99, state }
}

fn stored() -> StoredAnswer {
    StoredAnswer { status: 200, headers: Vec::new(), body: b"booked".to_vec() }
}

/// A record found by a read, and the expected step.
struct Found {
    what: &'static str,
    record: IdempotencyRecord,
    alive: bool,
    step: IdempotencyStep,
}

#[test]
fn the_found_record_decides_the_next_step() {
    let refuse = |code| IdempotencyStep::Refuse(code, false);
    let (_, own) = new_attempt();
    let cases = [
        Found {
            what: "still running",
            record: other_record(IdempotencyState::Running),
            alive: true,
            step: refuse(Code::KeyRunning),
        },
        Found {
            what: "its guard restarted or died",
            record: other_record(IdempotencyState::Running),
            alive: false,
            step: refuse(Code::KeyUnknown),
        },
        Found {
            what: "its target crashed",
            record: other_record(IdempotencyState::Lost),
            alive: true,
            step: refuse(Code::KeyUnknown),
        },
        Found {
            what: "answered",
            record: other_record(IdempotencyState::Done(stored())),
            alive: false,
            step: IdempotencyStep::Answer(stored()),
        },
        Found {
            what: "answered, too large to store",
            record: other_record(IdempotencyState::TooLarge),
            alive: true,
            step: refuse(Code::AnswerLost),
        },
        Found {
            what: "voided",
            record: other_record(IdempotencyState::Void),
            alive: false,
            step: IdempotencyStep::Replace(3, own),
        },
        Found {
            what: "another request with the same key",
            record: IdempotencyRecord { print: 1, ..other_record(IdempotencyState::Void) },
            alive: true,
            step: refuse(Code::KeyReused),
        },
    ];
    for case in cases {
        let (mut attempt, _) = new_attempt();
        assert_eq!(attempt.replied(TableReply::Conflict, |_| true), IdempotencyStep::Read);
        let found = TableReply::Found(Some((3, case.record)));
        assert_eq!(attempt.replied(found, |_| case.alive), case.step, "{}", case.what);
    }
}

#[test]
fn an_insert_with_a_lost_reply_is_read_back() {
    let (mut attempt, record) = new_attempt();
    assert_eq!(attempt.replied(TableReply::Unknown, |_| true), IdempotencyStep::Read);
    assert_eq!(attempt.replied(TableReply::Unavailable, |_| true), IdempotencyStep::Read);
    let found = TableReply::Found(Some((1, record)));
    assert_eq!(attempt.replied(found, |_| true), IdempotencyStep::Run);
    assert!(attempt.may_dispatch());
}

#[test]
fn an_insert_in_doubt_that_is_not_found_is_repeated() {
    let (mut attempt, record) = new_attempt();
    attempt.replied(TableReply::Unknown, |_| true);
    let step = attempt.replied(TableReply::Found(None), |_| true);
    assert_eq!(step, IdempotencyStep::Insert(record.clone()));
    // The first insert took effect late: the second one conflicts, and the row is this attempt's.
    assert_eq!(attempt.replied(TableReply::Conflict, |_| true), IdempotencyStep::Read);
    assert_eq!(
        attempt.replied(TableReply::Found(Some((1, record))), |_| true),
        IdempotencyStep::Run
    );
}

#[test]
fn an_unavailable_store_refuses_the_request_as_not_run() {
    let (mut attempt, _) = new_attempt();
    let step = attempt.replied(TableReply::Unavailable, |_| true);
    assert_eq!(step, IdempotencyStep::Refuse(Code::StoreDown, true));
    assert_eq!(attempt.give_up(), IdempotencyStep::Stop, "no write is in doubt");
}

#[test]
fn giving_up_with_an_insert_in_doubt_voids_the_record() {
    let (mut attempt, record) = new_attempt();
    attempt.replied(TableReply::Unknown, |_| true);
    assert_eq!(attempt.give_up(), IdempotencyStep::Read);
    let void = IdempotencyRecord { state: IdempotencyState::Void, ..record.clone() };
    let step = attempt.replied(TableReply::Found(None), |_| true);
    assert_eq!(
        step,
        IdempotencyStep::Insert(void.clone()),
        "a void row makes the late insert fail"
    );
    assert_eq!(attempt.replied(TableReply::Conflict, |_| true), IdempotencyStep::Read);
    let step = attempt.replied(TableReply::Found(Some((1, record))), |_| true);
    assert_eq!(
        step,
        IdempotencyStep::Replace(1, void.clone()),
        "the late insert took effect first"
    );
    assert_eq!(attempt.replied(TableReply::Unknown, |_| true), IdempotencyStep::Read);
    assert_eq!(
        attempt.replied(TableReply::Found(Some((2, void))), |_| true),
        IdempotencyStep::Stop
    );
    assert!(!attempt.may_dispatch());
}

#[test]
fn giving_up_with_a_replace_in_doubt_voids_the_record() {
    let (mut attempt, _) = new_attempt();
    attempt.replied(TableReply::Conflict, |_| true);
    let void = other_record(IdempotencyState::Void);
    let step = attempt.replied(TableReply::Found(Some((5, void.clone()))), |_| true);
    assert!(matches!(step, IdempotencyStep::Replace(5, _)));
    attempt.replied(TableReply::Unknown, |_| true);
    assert_eq!(attempt.give_up(), IdempotencyStep::Read);
    let step = attempt.replied(TableReply::Found(Some((5, void))), |_| true);
    assert!(
        matches!(step, IdempotencyStep::Replace(5, record) if record.state == IdempotencyState::Void)
    );
}

#[test]
fn giving_up_after_the_insert_voids_the_record() {
    let (mut attempt, record) = new_attempt();
    assert_eq!(attempt.replied(TableReply::Done, |_| true), IdempotencyStep::Run);
    assert_eq!(attempt.give_up(), IdempotencyStep::Read);
    let step = attempt.replied(TableReply::Found(Some((1, record))), |_| true);
    assert!(
        matches!(step, IdempotencyStep::Replace(1, record) if record.state == IdempotencyState::Void)
    );
    assert_eq!(attempt.replied(TableReply::Done, |_| true), IdempotencyStep::Stop);
}
