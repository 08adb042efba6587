//! What a target is sent while it may be cold, in virtual time.

use policy::{Time, Warmth};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const MS: u64 = 1_000;
/// Limit of requests in any second.
const LIMIT: u32 = 20;

fn at(ms: u64) -> Time {
    Time((1_000 + ms) * MS)
}

fn warmth() -> Warmth {
    let mut warmth = Warmth::default();
    warmth.set_limit(LIMIT, true);
    warmth
}

/// Sends as many requests at a moment as there is room for, `most` of them at most. Returns their
/// number.
fn send(warmth: &mut Warmth, now: Time, most: u32) -> u32 {
    let count = warmth.room(now).unwrap_or(u32::MAX).min(most);
    (0..count).for_each(|_| warmth.sent(now));
    count
}

// Guards against a target that becomes cold between two statements and gets its full load until the
// next one.
#[test]
fn what_is_sent_without_a_proof_stays_within_the_cold_limit() {
    let mut warmth = warmth();
    // One more is left for a health check.
    assert_eq!(send(&mut warmth, at(0), 100), LIMIT - 1);
    assert!(warmth.needs_check(at(0)));
    // What was sent before the check is proved; what was sent after it is not.
    warmth.record_warm(at(1));
    assert_eq!(send(&mut warmth, at(2), 9), 9);
    assert!(!warmth.needs_check(at(2)));
    assert_eq!(send(&mut warmth, at(2), 100), LIMIT - 10);
    warmth.record_no_answer(at(3));
    assert!(!warmth.needs_check(at(200)) && warmth.needs_check(at(260)));
    assert_eq!((warmth.room(at(260)), warmth.next_room(at(260))), (Some(0), at(1_052)));
}

// Guards against health checks that use up what a target may get, when it says again and again that it
// is cold for a moment only.
#[test]
fn a_target_that_is_cold_for_moments_is_not_asked_at_once_again() {
    let mut warmth = warmth();
    send(&mut warmth, at(0), LIMIT / 2);
    assert!(warmth.needs_check(at(1)));
    warmth.record_cold(at(1), at(3));
    assert!(!warmth.needs_check(at(4)) && warmth.needs_check(at(260)));
}

#[test]
fn statements_count_by_their_age() {
    struct Case {
        /// When the target said that it is cold, and until when.
        cold_ms: (u64, u64),
        /// When the health check was sent to which it said that it is warm.
        warm_ms: u64,
        is_cold: bool,
    }
    let cases = [
        Case { cold_ms: (100, 3_000), warm_ms: 50, is_cold: true },
        Case { cold_ms: (100, 3_000), warm_ms: 100, is_cold: true },
        Case { cold_ms: (100, 3_000), warm_ms: 150, is_cold: false },
    ];
    for Case { cold_ms: (said, until), warm_ms, is_cold } in cases {
        let mut warmth = warmth();
        warmth.record_cold(at(said), at(until));
        // One that was under way for long does not shorten it.
        warmth.record_cold(at(said), at(until - 2_000));
        warmth.record_warm(at(warm_ms));
        assert_eq!(warmth.is_cold(at(2_000)), is_cold, "warm at {warm_ms}");
        assert!(!warmth.is_cold(at(until)));
        // Another incarnation has said nothing, and what was sent counts.
        send(&mut warmth, at(2_000), 100);
        warmth.reset();
        assert_eq!((warmth.is_cold(at(2_000)), warmth.room(at(2_000))), (false, Some(0)));
    }
}

// Guards against orders of sends, checks, lost answers, late heartbeats and cold times in which a cold
// target gets more than its limit.
#[test]
fn no_second_of_a_cold_target_exceeds_the_limit() {
    for seed in 0..300 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut warmth = warmth();
        let (mut cold_until, mut sent_cold) = (0_u64, Vec::new());
        let (mut sent, mut checks) = (0, 0);
        // A health check under way: when it was sent, when it is answered and with what.
        let mut check: Option<(u64, u64, Option<u64>)> = None;
        for ms in 0..12_000 {
            if ms >= cold_until && rng.random_bool(0.0005) {
                cold_until = ms + rng.random_range(500..3_000);
                sent_cold.clear();
            }
            let cold_ms = cold_until.saturating_sub(ms);
            if rng.random_bool(0.0007) {
                // A heartbeat, which may be late. It proves nothing if it says nothing of the cold.
                let late_ms = rng.random_range(0..2_000) * u64::from(rng.random_bool(0.3));
                let said_ms = (cold_ms + late_ms) * u64::from(cold_ms > 0);
                if said_ms > 0 {
                    warmth.record_cold(at(ms), at(ms + said_ms));
                }
            }
            match check {
                Some((checked, due, answer)) if due <= ms => {
                    match answer {
                        Some(0) => warmth.record_warm(at(checked)),
                        Some(cold_ms) => warmth.record_cold(at(ms), at(ms + cold_ms)),
                        None => warmth.record_no_answer(at(ms)),
                    }
                    check = None;
                }
                None if warmth.needs_check(at(ms)) => {
                    warmth.sent(at(ms));
                    let answer = rng.random_bool(0.8).then_some(cold_ms);
                    check = Some((ms, ms + rng.random_range(0..40), answer));
                    checks += 1;
                    sent_cold.extend((cold_ms > 0).then_some(ms));
                }
                _ => {}
            }
            let count = send(&mut warmth, at(ms), rng.random_range(0..3) / 2);
            sent += count;
            if cold_ms > 0 {
                sent_cold.extend(std::iter::repeat_n(ms, count as usize));
            }
            let second = sent_cold.iter().filter(|sent| ms - **sent < 1_000).count();
            assert!(second <= LIMIT as usize, "seed {seed}: {second} at {ms} ms");
        }
        // A target that is cold all the time would get as much.
        assert!(sent >= 11 * (LIMIT - 1), "seed {seed}: only {sent} sent");
        assert!(checks * 5 <= sent, "seed {seed}: {checks} checks for {sent}");
    }
}
