//! Quarantine: requests that crash targets are convicted, and others are cleared.

use policy::{Fingerprint, Permit, Quarantine, SuspectRequest, Time};

const NOW: Time = Time(1_000_000);

fn suspect(print: u64, request: u64, guard: u64) -> SuspectRequest {
    SuspectRequest { print: Fingerprint(print), request, guard, convicted: false }
}

/// Guards that send each other every suspect, as those of one service do.
struct Guards {
    guards: Vec<Quarantine>,
    /// Targets that crashed.
    lost: usize,
}

impl Guards {
    fn new(count: usize) -> Guards {
        Guards { guards: vec![Quarantine::default(); count], lost: 0 }
    }

    /// Runs the request with fingerprint 666, which crashes its target, beside innocent ones.
    /// Returns whether it ran.
    fn crash(&mut self, at: usize, request: u64, innocent: &[u64]) -> bool {
        let permit = self.guards[at].admit(NOW, Fingerprint(666));
        if permit == Permit::Refused {
            return false;
        }
        self.lost += 1;
        let mut suspects =
            vec![self.guards[at].connection_broke(NOW, suspect(666, request, at as u64))];
        for print in innocent {
            suspects
                .push(self.guards[at].connection_broke(NOW, suspect(*print, *print, at as u64)));
        }
        for guard in &mut self.guards {
            for suspect in &suspects {
                guard.merge(NOW, *suspect);
            }
        }
        true
    }
}

#[test]
fn a_crashing_request_costs_at_most_two_targets() {
    let mut guards = Guards::new(6);
    for resend in 0..50 {
        guards.crash(resend % 6, resend as u64, &[1, 2, 3]);
    }
    assert_eq!(guards.lost, 2);
    for guard in &mut guards.guards {
        assert_eq!(guard.admit(NOW, Fingerprint(666)), Permit::Refused);
    }
}

#[test]
fn guards_that_share_no_suspects_lose_a_target_each() {
    // The baseline for the test above: without shared suspects, every guard runs the request.
    let mut lost = 0;
    for _ in 0..6 {
        let mut alone = Quarantine::default();
        lost += usize::from(alone.admit(NOW, Fingerprint(666)) != Permit::Refused);
    }
    assert_eq!(lost, 6);
}

#[test]
fn both_attempts_of_a_hedged_request_convict_it() {
    let mut guards = Guards::new(3);
    guards.guards[0].admit(NOW, Fingerprint(666));
    guards.guards[1].admit(NOW, Fingerprint(666));
    let first = guards.guards[0].connection_broke(NOW, suspect(666, 5, 0));
    let second = guards.guards[1].connection_broke(NOW, suspect(666, 5, 1));
    assert!(!first.convicted && !second.convicted, "neither guard knows of the other break yet");
    guards.guards[2].merge(NOW, first);
    assert!(guards.guards[2].merge(NOW, second).convicted);
}

#[test]
fn an_answer_clears_a_suspect_but_not_a_convicted_request() {
    let mut guards = Guards::new(2);
    guards.crash(0, 1, &[7]);
    let guard = &mut guards.guards[1];
    assert_eq!(guard.admit(NOW, Fingerprint(7)), Permit::Alone);
    assert_eq!(guard.admit(NOW, Fingerprint(666)), Permit::Busy, "only one suspect runs at a time");
    assert!(guard.answered(Fingerprint(7)));
    assert_eq!(guard.admit(NOW, Fingerprint(7)), Permit::Free);
    assert_eq!(guard.admit(NOW, Fingerprint(666)), Permit::Alone);
    let entry = guard.connection_broke(NOW, suspect(8, 8, 1));
    assert!(!entry.convicted, "a request that ran beside the suspect is not convicted");
    assert!(guard.connection_broke(NOW, suspect(666, 2, 1)).convicted);
    assert!(!guard.answered(Fingerprint(666)), "an answer does not clear a conviction");
    guard.cleared(Fingerprint(666));
    assert_eq!(guard.admit(NOW, Fingerprint(666)), Permit::Refused);
}

#[test]
fn suspects_expire_and_their_number_is_bounded() {
    let mut suspects = Quarantine::default();
    for print in 0..20_000 {
        suspects.connection_broke(Time(print), suspect(print, print, 0));
    }
    assert_eq!(suspects.entries(Time(20_000)).len(), 4_096);
    assert!(suspects.entries(Time(700_000_000)).is_empty());
    assert_eq!(suspects.admit(Time(700_000_000), Fingerprint(19_999)), Permit::Free);
}

#[test]
fn fingerprints_differ_between_requests() {
    let one = Fingerprint::of("s", "POST", "/a", b"body");
    let others = [
        Fingerprint::of("t", "POST", "/a", b"body"),
        Fingerprint::of("s", "PUT", "/a", b"body"),
        Fingerprint::of("s", "POST", "/ab", b"ody"),
        Fingerprint::of("s", "POST", "/a", b"bodx"),
        one.in_workspace(b"w"),
        one.in_workspace(b"v"),
    ];
    assert!(others.iter().all(|other| *other != one));
    assert_ne!(one.in_workspace(b"w"), one.in_workspace(b"v"));
    assert_eq!(one, Fingerprint::of("s", "POST", "/a", b"body"));
}
