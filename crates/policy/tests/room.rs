//! Whom a target's guard delays or turns away, under loads that ask for more than there is, in
//! virtual time.

use policy::room::{self, Job, Run};
use policy::{Admission, Decision, Refusal, SlotRequest, Time, Urgency};

const MS: u64 = 1_000;

fn at(ms: u64) -> Time {
    Time(1_000_000_000 + ms * MS)
}

/// Requests of one kind that arrive evenly.
#[derive(Clone, Copy)]
struct Load {
    from_ms: u64,
    to_ms: u64,
    per_s: u64,
    priority: u32,
    aim_ms: u64,
    deadline_ms: u64,
    work_ms: u64,
}

/// What a target does in a span of time.
#[derive(Clone, Copy)]
enum Trouble {
    /// It takes 12 requests a second.
    Cold,
    /// Work that starts takes five times as long.
    Slow,
    /// It is gone: what runs there is lost and what waits is refused.
    Down,
}

/// What became of the requests of one load.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    asked: usize,
    in_time: usize,
    late: usize,
    /// The longest wait of a request that was refused, in milliseconds.
    refused_ms: u64,
}

impl Served {
    fn share(&self) -> f64 {
        (self.in_time + self.late) as f64 / self.asked as f64
    }

    fn share_in_time(&self) -> f64 {
        self.in_time as f64 / self.asked as f64
    }
}

/// A request that was not answered or refused yet.
struct Open {
    id: u64,
    load: usize,
    arrived: u64,
    /// When its answer is due.
    ends: Option<u64>,
}

/// Plays loads at a target with 18 slots, one millisecond after the other.
fn play(loads: &[Load], troubles: &[(u64, u64, Trouble)]) -> Vec<Served> {
    let mut admission = Admission::default();
    admission.set_slots(18);
    admission.warmth_mut().set_limit(12, true);
    let mut served = vec![Served::default(); loads.len()];
    let mut open: Vec<Open> = Vec::new();
    let mut last_id = 0;
    let end = loads.iter().map(|load| load.to_ms + load.deadline_ms).max().unwrap();
    for now_ms in 0..end {
        let now = at(now_ms);
        let is_in = |wanted: fn(&Trouble) -> bool| {
            troubles
                .iter()
                .any(|(from, to, trouble)| (*from..*to).contains(&now_ms) && wanted(trouble))
        };
        let is_down = is_in(|trouble| matches!(trouble, Trouble::Down));
        let slowness = if is_in(|trouble| matches!(trouble, Trouble::Slow)) { 5 } else { 1 };
        admission.set_slowness(now, slowness as f64);
        match is_in(|trouble| matches!(trouble, Trouble::Cold)) {
            true => admission.warmth_mut().record_cold(now, now.after(10 * MS)),
            false => admission.warmth_mut().record_warm(now),
        }
        let mut decided = Vec::new();
        open.retain(|request| {
            let answered = request.ends.is_some_and(|ends| ends <= now_ms);
            let took = (loads[request.load].work_ms) * MS;
            if answered || is_down && request.ends.is_some() {
                admission.done(now, request.id, answered.then_some(took));
            }
            if answered {
                let result = &mut served[request.load];
                match now_ms - request.arrived <= loads[request.load].aim_ms {
                    true => result.in_time += 1,
                    false => result.late += 1,
                }
            }
            !(answered || is_down && request.ends.is_some())
        });
        if is_down {
            decided.extend(admission.refuse_waiting(Refusal::NoTarget));
        }
        for (at_load, load) in loads.iter().enumerate() {
            let is_on = (load.from_ms..load.to_ms).contains(&now_ms);
            let (before, after) = (now_ms * load.per_s / 1_000, (now_ms + 1) * load.per_s / 1_000);
            for _ in before..if is_on { after } else { before } {
                served[at_load].asked += 1;
                if is_down {
                    continue;
                }
                last_id += 1;
                open.push(Open { id: last_id, load: at_load, arrived: now_ms, ends: None });
                let request = SlotRequest {
                    id: last_id,
                    priority: load.priority,
                    aim: at(now_ms + load.aim_ms),
                    deadline: at(now_ms + load.deadline_ms),
                    work_us: load.work_ms * MS,
                    elsewhere: false,
                };
                decided.push((last_id, admission.admit(now, request)));
            }
        }
        decided.extend(admission.poll(now));
        for (id, decision) in decided {
            let place = open.iter().position(|request| request.id == id).unwrap();
            match decision {
                Decision::Wait => {}
                Decision::Run => {
                    open[place].ends = Some(now_ms + loads[open[place].load].work_ms * slowness);
                }
                Decision::Refuse(_) => {
                    let request = open.remove(place);
                    let result = &mut served[request.load];
                    result.refused_ms = result.refused_ms.max(now_ms - request.arrived);
                }
            }
        }
    }
    served
}

const URGENT: Load = Load {
    from_ms: 0,
    to_ms: 6_000,
    per_s: 60,
    priority: 0,
    aim_ms: 250,
    deadline_ms: 1_500,
    work_ms: 100,
};
const LOWER: Load = Load { priority: 1, aim_ms: 600, ..URGENT };

#[test]
fn what_matters_most_is_served_and_nothing_starves() {
    struct Case {
        pattern: &'static str,
        loads: [Load; 2],
        troubles: &'static [(u64, u64, Trouble)],
        /// The least share of the first load that is served in time.
        urgent_in_time: f64,
        /// The least share of the second load that is served.
        lower: f64,
    }
    let cases = [
        Case {
            pattern: "a workspace of lower priority asks for three times what there is",
            loads: [
                Load { priority: 1, ..URGENT },
                Load { priority: 1 << 16, per_s: 600, ..LOWER },
            ],
            troubles: &[],
            urgent_in_time: 0.95,
            lower: 0.18,
        },
        Case {
            pattern: "a burst of the urgent kind beyond all slots, a few others beside it",
            loads: [Load { per_s: 250, ..URGENT }, Load { per_s: 30, ..LOWER }],
            troubles: &[],
            urgent_in_time: 0.5,
            lower: 0.25,
        },
        Case {
            pattern: "a shared service: urgent requests and calls of less urgent ones",
            loads: [Load { work_ms: 120, ..URGENT }, Load { per_s: 250, work_ms: 78, ..LOWER }],
            troubles: &[],
            urgent_in_time: 0.95,
            lower: 0.4,
        },
        Case {
            pattern: "cold after a loss of power",
            loads: [Load { per_s: 9, ..URGENT }, Load { per_s: 40, ..LOWER }],
            troubles: &[(0, 6_000, Trouble::Cold)],
            urgent_in_time: 0.8,
            lower: 0.03,
        },
        Case {
            pattern: "load that comes and goes with another data centre's wave",
            loads: [URGENT, Load { from_ms: 2_000, to_ms: 4_000, per_s: 400, ..LOWER }],
            troubles: &[],
            urgent_in_time: 0.95,
            lower: 0.25,
        },
        Case {
            pattern: "a target that is gone at times",
            loads: [URGENT, Load { per_s: 200, ..LOWER }],
            troubles: &[(1_000, 1_500, Trouble::Down), (3_000, 3_500, Trouble::Down)],
            urgent_in_time: 0.75,
            lower: 0.4,
        },
        Case {
            pattern: "five times as slow for 150 ms at a time",
            loads: [URGENT, Load { per_s: 100, ..LOWER }],
            troubles: &[(1_000, 1_150, Trouble::Slow), (2_000, 2_150, Trouble::Slow)],
            urgent_in_time: 0.9,
            lower: 0.9,
        },
    ];
    for Case { pattern, loads, troubles, urgent_in_time, lower } in cases {
        let served = play(&loads, troubles);
        assert!(served[0].share_in_time() >= urgent_in_time, "{pattern}: {served:?}");
        assert!(served[1].share() >= lower, "{pattern}: {served:?}");
        let all: usize = served.iter().map(|served| served.in_time + served.late).sum();
        let asked: usize = served.iter().map(|served| served.asked).sum();
        let quarter = all as f64 / asked as f64 / 4.0;
        assert!(served[1].share() >= quarter, "{pattern} starves the lower rank: {served:?}");
        assert!(served.iter().all(|served| served.refused_ms <= 600), "{pattern}: {served:?}");
    }
}

#[test]
fn a_request_that_urgent_ones_push_back_is_refused_before_its_time_is_used_up() {
    let mut admission = Admission::default();
    admission.set_slots(2);
    let request = |id, priority| SlotRequest {
        id,
        priority,
        aim: at(2_000),
        deadline: at(2_000),
        work_us: 100 * MS,
        elsewhere: false,
    };
    for id in [1, 2] {
        assert_eq!(admission.admit(at(0), request(id, 0)), Decision::Run);
    }
    assert_eq!(admission.admit(at(0), request(3, 1)), Decision::Wait);
    for id in 4..11 {
        assert_eq!(admission.admit(at(10), request(id, 0)), Decision::Wait);
    }
    // Request 3 may wait for 800 ms. Seven go before it, a start takes 50 ms, and half of that is
    // too long from 600 ms on.
    assert_eq!(admission.poll(at(590)), []);
    assert_eq!(admission.poll(at(610)), [(3, Decision::Refuse(Refusal::Full))]);
}

#[test]
fn longest_work_is_planned_last_where_not_all_can_meet_their_aims() {
    struct Case {
        name: &'static str,
        /// Priority, aim in ms and work in ms of each job.
        jobs: &'static [(u32, u64, u64)],
        order: &'static [usize],
    }
    let cases = [
        Case { name: "all fit: by aim", jobs: &[(1, 900, 300), (1, 500, 100)], order: &[1, 0] },
        Case {
            name: "long work with the nearest aim gives way to two short ones",
            jobs: &[(1, 400, 300), (1, 420, 100), (1, 440, 100)],
            order: &[1, 2, 0],
        },
        Case {
            name: "priority goes before the number that is served",
            jobs: &[(0, 400, 300), (1, 420, 100), (1, 440, 100)],
            order: &[0, 1, 2],
        },
        Case {
            name: "what is late already comes last",
            jobs: &[(0, 50, 100), (1, 300, 100)],
            order: &[1, 0],
        },
    ];
    for Case { name, jobs, order } in cases {
        let jobs = jobs.iter().map(|(priority, aim_ms, work_ms)| Job {
            priority: *priority,
            aim: at(*aim_ms),
            work_us: work_ms * MS,
            arrived: at(0),
        });
        assert_eq!(room::order(at(0), 1, &jobs.collect::<Vec<_>>()), order, "{name}");
    }
}

#[test]
fn a_call_is_as_urgent_as_the_request_that_expires_with_it() {
    struct Case {
        name: &'static str,
        /// Priority, aim, deadline and expected end of each running request, in ms.
        runs: &'static [(u32, u64, u64, u64)],
        deadline_ms: u64,
        /// Priority and aim in ms.
        urgency: Option<(u32, u64)>,
    }
    let cases = [
        Case { name: "nothing runs", runs: &[], deadline_ms: 900, urgency: None },
        Case {
            name: "the aim less what is left of the parent's work",
            runs: &[(2, 600, 1_500, 140)],
            deadline_ms: 1_500,
            urgency: Some((2, 500)),
        },
        Case {
            name: "whole milliseconds are cut off",
            runs: &[(2, 600, 1_500, 0)],
            deadline_ms: 1_498,
            urgency: Some((2, 600)),
        },
        Case {
            name: "a caller's request that expires at another time",
            runs: &[(2, 600, 1_500, 0)],
            deadline_ms: 1_540,
            urgency: None,
        },
        Case {
            name: "the nearest of several",
            runs: &[(0, 300, 1_490, 0), (1, 600, 1_500, 0)],
            deadline_ms: 1_501,
            urgency: Some((1, 600)),
        },
        Case {
            name: "the most urgent of equally near ones",
            runs: &[(1, 600, 1_500, 0), (0, 300, 1_500, 0)],
            deadline_ms: 1_500,
            urgency: Some((0, 300)),
        },
    ];
    for Case { name, runs, deadline_ms, urgency } in cases {
        let runs = runs.iter().map(|(priority, aim, deadline, ends)| Run {
            priority: *priority,
            aim: at(*aim),
            deadline: at(*deadline),
            ends: at(*ends),
        });
        let expected = urgency.map(|(priority, aim_ms)| Urgency { priority, aim: at(aim_ms) });
        assert_eq!(room::parent(at(40), at(deadline_ms), runs), expected, "{name}");
    }
}

#[test]
fn a_call_without_a_known_parent_is_as_urgent_as_the_middle_of_what_may_be_it() {
    struct Case {
        name: &'static str,
        /// Priority and deadline in ms of each running request.
        runs: &'static [(u32, u64)],
        priority: Option<u32>,
    }
    let cases = [
        Case { name: "nothing runs", runs: &[], priority: None },
        Case { name: "all expire before it", runs: &[(0, 300), (1, 400)], priority: None },
        Case { name: "one may be it", runs: &[(0, 300), (7, 900)], priority: Some(7) },
        Case { name: "the middle", runs: &[(9, 900), (2, 900), (4, 800)], priority: Some(4) },
    ];
    for Case { name, runs, priority } in cases {
        let runs = runs.iter().map(|(priority, deadline)| Run {
            priority: *priority,
            aim: at(*deadline),
            deadline: at(*deadline),
            ends: at(0),
        });
        assert_eq!(room::likely_priority(at(500), runs), priority, "{name}");
    }
}

#[test]
fn refused_callers_come_back_spread_and_with_most_of_their_time() {
    struct Case {
        refusal: Refusal,
        left_ms: u64,
        /// The earliest and the latest return, in ms.
        range: (u64, u64),
    }
    let cases = [
        Case { refusal: Refusal::Full, left_ms: 1_500, range: (50, 250) },
        Case { refusal: Refusal::Full, left_ms: 300, range: (50, 100) },
        Case { refusal: Refusal::Cold, left_ms: 1_500, range: (50, 500) },
        Case { refusal: Refusal::Cold, left_ms: 9_000, range: (50, 1_000) },
        Case { refusal: Refusal::Limited, left_ms: 0, range: (50, 50) },
    ];
    for Case { refusal, left_ms, range } in cases {
        let after_ms = |draw| room::retry_after_us(refusal, left_ms * MS, draw) / MS;
        assert_eq!((after_ms(0.0), after_ms(1.0)), range, "{refusal} with {left_ms} ms left");
    }
    // A wait in vain takes two fifths of a request's time, after which its caller comes back.
    assert!(room::may_queue_again(20 * MS, 1_480 * MS));
    assert!(!room::may_queue_again(600 * MS, 900 * MS));
}

// Guards against a guard that restarts beside a full target, which never answers what it cannot queue.
#[test]
fn what_an_earlier_process_left_takes_slots_until_it_has_ended() {
    struct Case {
        name: &'static str,
        found: u32,
        /// What the target reports later to run or queue, at 100 ms.
        reported: Option<u32>,
        now_ms: u64,
        /// How many of 18 slots may be used.
        starts: usize,
    }
    let cases = [
        Case { name: "nothing left", found: 0, reported: None, now_ms: 0, starts: 18 },
        Case { name: "some slots", found: 7, reported: None, now_ms: 0, starts: 11 },
        Case { name: "more than the slots", found: 30, reported: None, now_ms: 0, starts: 1 },
        Case { name: "some have ended", found: 30, reported: Some(5), now_ms: 200, starts: 13 },
        Case { name: "reports of more", found: 2, reported: Some(9), now_ms: 200, starts: 16 },
        Case { name: "their time is over", found: 30, reported: None, now_ms: 1_500, starts: 18 },
    ];
    for Case { name, found, reported, now_ms, starts } in cases {
        let mut admission = Admission::default();
        admission.set_slots(18);
        admission.found_pending(found, at(1_500));
        if let Some(count) = reported {
            admission.reported_pending(count);
        }
        let request = |id| SlotRequest {
            id,
            priority: 0,
            aim: at(now_ms + 250),
            deadline: at(now_ms + 1_500),
            work_us: 100 * MS,
            elsewhere: true,
        };
        let decided = (0..40).map(|id| admission.admit(at(now_ms), request(id)));
        let started = decided.filter(|decision| *decision == Decision::Run).count();
        assert_eq!(started, starts, "{name}");
    }
}
