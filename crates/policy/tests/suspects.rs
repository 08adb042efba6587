//! Requests that crash the targets that run them.

use policy::{Fingerprint, Permit, Quarantine, SuspectRequest, Time};

const NOW: Time = Time(1_000_000);

fn broke(print: u64, request: u64, guard: u64) -> SuspectRequest {
    SuspectRequest { print: Fingerprint(print), request, guard, convicted: false }
}

/// Guards that tell each other everything, as those of one service do.
struct Guards {
    guards: Vec<Quarantine>,
    lost: usize,
}

impl Guards {
    fn open(count: usize) -> Guards {
        Guards { guards: vec![Quarantine::default(); count], lost: 0 }
    }

    /// Runs a request that crashes its target beside innocent ones. Returns whether it ran.
    fn crash(&mut self, at: usize, request: u64, innocent: &[u64]) -> bool {
        let permit = self.guards[at].admit(NOW, Fingerprint(666));
        if permit == Permit::Refused {
            return false;
        }
        self.lost += 1;
        let mut news = vec![self.guards[at].connection_broke(NOW, broke(666, request, at as u64))];
        for print in innocent {
            news.push(self.guards[at].connection_broke(NOW, broke(*print, *print, at as u64)));
        }
        for guard in &mut self.guards {
            for suspicion in &news {
                guard.merge(NOW, *suspicion);
            }
        }
        true
    }
}

#[test]
fn at_most_two_targets_are_lost_wherever_it_is_sent_again() {
    let mut guards = Guards::open(6);
    for resend in 0..50 {
        guards.crash(resend % 6, resend as u64, &[1, 2, 3]);
    }
    assert_eq!(guards.lost, 2);
    for guard in &mut guards.guards {
        assert_eq!(guard.admit(NOW, Fingerprint(666)), Permit::Refused);
    }
}

#[test]
fn without_suspicion_every_resend_loses_a_target() {
    // What the machine is for: guards that are told nothing lose one target each.
    let mut lost = 0;
    for _ in 0..6 {
        let mut alone = Quarantine::default();
        lost += usize::from(alone.admit(NOW, Fingerprint(666)) != Permit::Refused);
    }
    assert_eq!(lost, 6);
}

#[test]
fn both_attempts_of_a_hedge_count() {
    let mut guards = Guards::open(3);
    guards.guards[0].admit(NOW, Fingerprint(666));
    guards.guards[1].admit(NOW, Fingerprint(666));
    let first = guards.guards[0].connection_broke(NOW, broke(666, 5, 0));
    let second = guards.guards[1].connection_broke(NOW, broke(666, 5, 1));
    assert!(!first.convicted && !second.convicted, "neither knows of the other yet");
    guards.guards[2].merge(NOW, first);
    assert!(guards.guards[2].merge(NOW, second).convicted);
}

#[test]
fn innocents_are_cleared_by_an_answer() {
    let mut guards = Guards::open(2);
    guards.crash(0, 1, &[7]);
    let guard = &mut guards.guards[1];
    assert_eq!(guard.admit(NOW, Fingerprint(7)), Permit::Alone);
    assert_eq!(guard.admit(NOW, Fingerprint(666)), Permit::Busy, "suspects run one by one");
    assert!(guard.answered(Fingerprint(7)));
    assert_eq!(guard.admit(NOW, Fingerprint(7)), Permit::Free);
    assert_eq!(guard.admit(NOW, Fingerprint(666)), Permit::Alone);
    let held = guard.connection_broke(NOW, broke(8, 8, 1));
    assert!(!held.convicted, "what ran beside the suspect is only suspected");
    assert!(guard.connection_broke(NOW, broke(666, 2, 1)).convicted);
    assert!(!guard.answered(Fingerprint(666)), "no answer clears a convict");
    guard.cleared(Fingerprint(666));
    assert_eq!(guard.admit(NOW, Fingerprint(666)), Permit::Refused);
}

#[test]
fn suspicion_ends_and_memory_is_bounded() {
    let mut suspects = Quarantine::default();
    for print in 0..20_000 {
        suspects.connection_broke(Time(print), broke(print, print, 0));
    }
    assert_eq!(suspects.entries(Time(20_000)).len(), 4_096);
    assert!(suspects.entries(Time(700_000_000)).is_empty());
    assert_eq!(suspects.admit(Time(700_000_000), Fingerprint(19_999)), Permit::Free);
}

#[test]
fn fingerprints_tell_requests_apart() {
    let one = Fingerprint::of("s", "POST", "/a", b"body");
    let others = [
        Fingerprint::of("t", "POST", "/a", b"body"),
        Fingerprint::of("s", "PUT", "/a", b"body"),
        Fingerprint::of("s", "POST", "/ab", b"ody"),
        Fingerprint::of("s", "POST", "/a", b"bodx"),
    ];
    assert!(others.iter().all(|other| *other != one));
    assert_eq!(one, Fingerprint::of("s", "POST", "/a", b"body"));
}
