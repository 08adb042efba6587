//! Decisions under heavy load, in virtual time: more work than can meet its latency objective,
//! noisy neighbours, targets that slow down when nearly full, cold starts, retries, traffic between
//! data centres.

use policy::{
    Admission, Candidate, Decision, Knee, Occupancy, RateWindow, Refusal, Report, RequestEstimate,
    RetryBound, RetryBudget, SlotRequest, TargetView, Time, choose,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const MS: u64 = 1_000;

fn at(ms: u64) -> Time {
    Time(1_000_000_000 + ms * MS)
}

fn slot_request(id: u64, aim_ms: u64, deadline_ms: u64) -> SlotRequest {
    let (aim, deadline) = (at(aim_ms), at(deadline_ms));
    SlotRequest { id, priority: 1, aim, deadline, work_us: 100 * MS, elsewhere: false }
}

fn admission(slots: u32) -> Admission {
    let mut admission = Admission::default();
    admission.set_slots(slots);
    admission
}

mod latency_objectives {
    use super::*;

    #[test]
    fn requests_that_can_meet_their_aim_start_first_nearest_aim_first() {
        let mut admission = admission(1);
        assert_eq!(admission.admit(at(0), slot_request(1, 300, 2_000)), Decision::Run);
        // When a slot becomes free, 2 can no longer meet its aim, and the aim of 4 is nearer than
        // 3's.
        for (id, aim_ms) in [(2, 150), (3, 900), (4, 600)] {
            assert_eq!(admission.admit(at(0), slot_request(id, aim_ms, 2_000)), Decision::Wait);
        }
        let mut order = Vec::new();
        for (done, id) in [(100, 1), (200, 4), (300, 3)] {
            admission.done(at(done), id, Some(100 * MS));
            order.extend(admission.poll(at(done)).into_iter().map(|(id, _)| id));
        }
        assert_eq!(order, [4, 3, 2]);
    }

    #[test]
    fn excess_requests_are_refused_at_once_and_none_waits_to_its_deadline() {
        let mut admission = admission(2);
        let decisions = (0..40).map(|id| admission.admit(at(0), slot_request(id, 300, 1_000)));
        let decisions: Vec<Decision> = decisions.collect();
        let waits = decisions.iter().filter(|decision| **decision == Decision::Wait).count();
        assert_eq!(decisions[0], Decision::Run);
        assert_eq!(decisions[39], Decision::Refuse(Refusal::Full));
        // Two slots start one request every 50 ms, and none may wait longer than 400 ms.
        assert!((5..=8).contains(&waits), "{waits} requests wait");
        let due = admission.due(at(0));
        assert_eq!(due, at(400));
        let refused = admission.poll(due);
        assert_eq!(refused.len(), waits);
        assert!(refused.iter().all(|(_, decision)| *decision == Decision::Refuse(Refusal::Full)));
    }

    #[test]
    fn a_request_with_other_targets_does_not_wait() {
        let mut admission = admission(1);
        assert_eq!(admission.admit(at(0), slot_request(1, 300, 1_000)), Decision::Run);
        let elsewhere = SlotRequest { elsewhere: true, ..slot_request(2, 300, 1_000) };
        assert_eq!(admission.admit(at(0), elsewhere), Decision::Refuse(Refusal::Busy));
        assert_eq!(admission.admit(at(1_000), elsewhere), Decision::Refuse(Refusal::Late));
    }

    #[test]
    fn running_requests_never_exceed_the_slots() {
        for seed in 0..50 {
            let mut rng = SmallRng::seed_from_u64(seed);
            let mut admission = admission(4);
            let mut running = Vec::new();
            for step in 0..2_000 {
                let now = at(step * 7);
                let id = step;
                match rng.random_range(0..3) {
                    0 | 1 => {
                        let aim_ms = step * 7 + rng.random_range(0..500);
                        let deadline_ms = aim_ms + rng.random_range(0..700);
                        let decision = admission.admit(now, slot_request(id, aim_ms, deadline_ms));
                        running.extend((decision == Decision::Run).then_some(id));
                    }
                    _ if running.is_empty() => {}
                    _ => {
                        let at = rng.random_range(0..running.len());
                        admission.done(now, running.swap_remove(at), Some(50 * MS));
                    }
                }
                let decided = admission.poll(now).into_iter();
                let runs = decided.filter(|(_, decision)| *decision == Decision::Run);
                running.extend(runs.map(|(id, _)| id));
                assert!(running.len() <= 4, "seed {seed}");
                assert_eq!(running.len(), admission.running() as usize, "seed {seed}");
            }
        }
    }
}

mod noisy_neighbours {
    use super::*;

    fn view(slowness: u8, free: i16, now: Time) -> TargetView {
        let mut view = TargetView::default();
        view.reported(now, Report { open: true, free, slots: 12, slowness, strain: 0 });
        view
    }

    /// Returns how often each of two targets is chosen in 1,000 choices.
    fn count_choices(now: Time, views: &[(TargetView, bool); 2], bytes: f64) -> [usize; 2] {
        let mut rng = SmallRng::seed_from_u64(7);
        let estimate = RequestEstimate { work_us: 100.0 * MS as f64, bytes };
        let mut counts = [0; 2];
        for _ in 0..1_000 {
            let candidates = views.iter().map(|(view, near)| Candidate { view, near: *near });
            counts[choose(now, &mut rng, &estimate, candidates).unwrap()] += 1;
        }
        counts
    }

    #[test]
    fn a_slow_vm_is_avoided_until_its_report_is_old() {
        let views = [(view(50, 6, at(0)), true), (view(10, 6, at(0)), true)];
        assert_eq!(count_choices(at(10), &views, 500.0)[0], 0);
        let old_report = count_choices(at(1_000), &views, 500.0);
        assert!(old_report[0] > 300, "{old_report:?}");
    }

    #[test]
    fn a_target_without_recent_reports_is_chosen_last() {
        // Reports come every two seconds; after two that are missing the target may be gone.
        let views = [(view(10, 12, at(0)), true), (view(50, 0, at(4_300)), true)];
        assert!(count_choices(at(4_400), &views, 500.0)[0] > 900);
        assert_eq!(count_choices(at(4_600), &views, 500.0)[0], 0);
    }

    #[test]
    fn a_slow_vm_refuses_requests_that_have_other_targets() {
        let mut admission = admission(8);
        admission.set_slowness(at(0), 5.0);
        let elsewhere = SlotRequest { elsewhere: true, ..slot_request(1, 300, 1_000) };
        assert_eq!(admission.admit(at(10), elsewhere), Decision::Refuse(Refusal::Slow));
        // The report is older than a neighbour's busy period, so the guard probes again.
        assert_eq!(admission.admit(at(200), elsewhere), Decision::Wait);
        assert!(admission.needs_probe(at(200)));
        admission.set_slowness(at(202), 1.0);
        assert_eq!(admission.poll(at(202)), [(1, Decision::Run)]);
        admission.done(at(300), 1, Some(98 * MS));
        assert_eq!(admission.admit(at(340), elsewhere), Decision::Wait);
        admission.set_slowness(at(342), 5.0);
        assert_eq!(admission.poll(at(342)), [(1, Decision::Refuse(Refusal::Slow))]);
    }

    #[test]
    fn long_work_without_other_targets_waits_until_the_vm_is_fast() {
        let mut admission = admission(8);
        admission.set_slowness(at(0), 5.0);
        assert_eq!(admission.admit(at(10), slot_request(1, 300, 2_000)), Decision::Wait);
        assert!(!admission.needs_probe(at(10)), "the slowness was reported 10 ms ago");
        assert_eq!(admission.due(at(10)), at(25));
        for probe_ms in [25, 50, 75] {
            assert!(admission.needs_probe(at(probe_ms)));
            admission.set_slowness(at(probe_ms), 5.0);
            assert_eq!(admission.poll(at(probe_ms)), []);
        }
        admission.set_slowness(at(101), 1.0);
        assert_eq!(admission.poll(at(101)), [(1, Decision::Run)]);
    }

    #[test]
    fn a_vm_that_stays_slow_still_gets_work() {
        let mut admission = admission(8);
        for probe_ms in (0..=600).step_by(25) {
            admission.set_slowness(at(probe_ms), 5.0);
        }
        assert_eq!(admission.admit(at(610), slot_request(1, 300, 2_000)), Decision::Run);
        let elsewhere = SlotRequest { elsewhere: true, ..slot_request(2, 300, 2_000) };
        assert_eq!(admission.admit(at(610), elsewhere), Decision::Refuse(Refusal::Slow));
    }

    #[test]
    fn short_work_and_cold_targets_need_no_probe() {
        let mut admission = admission(8);
        admission.set_slowness(at(0), 1.0);
        let short = SlotRequest { work_us: 20 * MS, ..slot_request(1, 300, 2_000) };
        assert_eq!(admission.admit(at(500), short), Decision::Run);
        admission.warmth_mut().set_limit(20, false);
        admission.warmth_mut().record_cold(at(0), at(3_000));
        assert_eq!(admission.admit(at(500), slot_request(2, 300, 2_000)), Decision::Run);
    }

    #[test]
    fn a_probe_without_a_slowness_does_not_delay_work() {
        let mut admission = admission(8);
        admission.set_slowness(at(0), 5.0);
        assert_eq!(admission.admit(at(500), slot_request(1, 300, 2_000)), Decision::Wait);
        admission.set_slowness_unknown(at(540));
        assert_eq!(admission.poll(at(540)), [(1, Decision::Run)]);
        assert_eq!(admission.admit(at(900), slot_request(2, 300, 2_000)), Decision::Run);
    }

    #[test]
    fn a_full_target_is_not_probed() {
        let mut admission = admission(1);
        admission.set_slowness(at(0), 1.0);
        assert_eq!(admission.admit(at(1), slot_request(1, 300, 2_000)), Decision::Run);
        assert_eq!(admission.admit(at(60), slot_request(2, 300, 2_000)), Decision::Wait);
        assert!(!admission.needs_probe(at(60)));
        assert!(admission.due(at(60)) > at(600));
        admission.done(at(150), 1, Some(149 * MS));
        assert!(admission.needs_probe(at(150)));
    }

    #[test]
    fn uploads_stay_in_their_data_centre_and_small_requests_may_leave_it() {
        let views = [(view(10, 2, at(0)), true), (view(10, 11, at(0)), false)];
        assert_eq!(count_choices(at(1), &views, 60_000.0)[1], 0);
        assert!(count_choices(at(1), &views, 500.0)[1] > 500);
    }

    #[test]
    fn a_failing_target_is_avoided_and_an_unresponsive_one_chosen_last() {
        let mut failing = view(10, 6, at(0));
        (0..10).for_each(|_| failing.ended(at(0), false));
        let views = [(failing, true), (view(10, 6, at(0)), true)];
        assert_eq!(count_choices(at(10), &views, 500.0)[0], 0);
        let mut silent = view(10, 12, at(0));
        silent.mark_unresponsive();
        let views = [(silent, true), (view(50, 0, at(0)), true)];
        assert_eq!(count_choices(at(10), &views, 500.0)[0], 0);
    }
}

mod nearly_full {
    use super::*;

    /// Returns the strain that is found of a target that works `strain` times slower once more than
    /// four fifths of its slots are taken.
    fn learn_strain(strain: f64, seed: u64) -> Option<f64> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut knee = Knee::default();
        for _ in 0..400 {
            let occupancy = Knee::occupancy(rng.random_range(1..=12), 12);
            let work = rng.random_range(0.6..1.4);
            let ratio = if occupancy == Occupancy::High { work * strain } else { work };
            knee.answered(occupancy, ratio);
        }
        knee.strain()
    }

    #[test]
    fn strain_separates_targets_that_slow_down_from_others() {
        for seed in 0..20 {
            assert!(learn_strain(1.7, seed).unwrap() > 1.25, "seed {seed}");
            assert!(learn_strain(1.0, seed).unwrap() < 1.25, "seed {seed}");
        }
    }

    #[test]
    fn slots_are_reduced_once_the_service_is_known_to_slow_down() {
        let mut admission = admission(12);
        let mut free = |strain| {
            admission.set_service_strain(strain);
            admission.free_slots(at(0))
        };
        assert_eq!([free(None), free(Some(1.1)), free(Some(1.6))], [12, 12, 9]);
    }
}

mod cold_starts {
    use super::*;

    #[test]
    fn no_second_exceeds_the_limit_of_a_cold_target() {
        let mut admission = admission(50);
        admission.warmth_mut().set_limit(30, false);
        admission.warmth_mut().record_cold(at(0), at(5_000));
        let mut sent: Vec<u64> = Vec::new();
        for ms in 0..4_000 {
            let decision = admission.admit(at(ms), slot_request(ms, ms + 300, ms + 20));
            let decided = admission.poll(at(ms)).into_iter();
            let started = decided.filter(|(_, decision)| *decision == Decision::Run).count();
            let started = started + usize::from(decision == Decision::Run);
            sent.extend(std::iter::repeat_n(ms, started));
            (0..=ms).for_each(|id| admission.done(at(ms), id, None));
        }
        for from in &sent {
            let second = *from..*from + 1_000;
            let count = sent.iter().filter(|ms| second.contains(ms)).count();
            assert!(count <= 30, "{count} requests in the second from {from} ms");
        }
        assert!(sent.len() > 100, "only {} requests in four seconds", sent.len());
    }

    #[test]
    fn the_rate_window_slides() {
        let mut window = RateWindow::default();
        (0..3).for_each(|step| window.sent(at(step * 400)));
        assert_eq!(window.room(at(900), 3), 0);
        assert_eq!(window.room(at(1_100), 3), 1);
        assert_eq!(window.next_room(at(1_100)), at(1_450));
    }
}

mod retries {
    use super::*;

    const BOUND: RetryBound = RetryBound { ratio: 0.2, slack: 64.0, window_us: 10_000_000 };

    #[test]
    fn nodes_together_stay_within_the_bound_without_coordination() {
        let nodes = 13;
        let mut budgets = vec![RetryBudget::default(); nodes];
        let (mut requests, mut retries) = (0, 0);
        for step in 0..8_000 {
            let budget = &mut budgets[step % nodes];
            let now = Time(step as u64 * 1_000);
            budget.record_request(now, &BOUND);
            requests += 1;
            retries += usize::from(budget.take(now, &BOUND, nodes));
        }
        let most = 0.2 * requests as f64 + 64.0;
        assert!(retries as f64 <= most, "{retries} retries, limit {most}");
        assert!(retries > 500, "{retries} retries");
    }

    #[test]
    fn spent_retries_expire_with_the_window() {
        let mut budget = RetryBudget::default();
        while budget.take(Time(0), &BOUND, 4) {}
        assert!(!budget.take(Time(5_000_000), &BOUND, 4));
        assert!(budget.take(Time(11_000_000), &BOUND, 4));
    }
}

mod bytes_between_data_centres {
    use super::*;

    struct Case {
        name: &'static str,
        /// Slowness of the near target in tenths, and how many of its 12 slots are free.
        near: (u8, i16),
        /// Whether the near target is chosen before an idle one in another data centre.
        preferred: bool,
    }

    #[test]
    fn a_near_target_with_room_is_preferred_to_an_idle_far_one() {
        let cases = [
            Case { name: "half full", near: (10, 6), preferred: true },
            Case { name: "slowness unknown", near: (0, 5), preferred: true },
            Case { name: "nearly full", near: (10, 1), preferred: false },
            Case { name: "requests wait", near: (10, -3), preferred: false },
            Case { name: "slow", near: (50, 12), preferred: false },
        ];
        let estimate = RequestEstimate { work_us: 100.0 * MS as f64, bytes: 2_000.0 };
        for Case { name, near, preferred } in cases {
            let mut rng = SmallRng::seed_from_u64(7);
            let views = [near, (10, 12)].map(|(slowness, free)| {
                let mut view = TargetView::default();
                view.reported(at(0), Report { open: true, free, slots: 12, slowness, strain: 0 });
                view
            });
            let mut count = 0;
            for _ in 0..1_000 {
                let candidates = views.iter().zip([true, false]);
                let candidates = candidates.map(|(view, near)| Candidate { view, near });
                count += usize::from(choose(at(10), &mut rng, &estimate, candidates) == Some(0));
            }
            let expected = if preferred { 1_000..=1_000 } else { 0..=100 };
            assert!(expected.contains(&count), "{name}: {count}");
        }
    }

    #[test]
    fn only_large_requests_are_cheaper_near() {
        let estimate = |bytes| RequestEstimate { work_us: 100.0 * MS as f64, bytes };
        assert!(estimate(60_000.0).is_cheaper_near());
        assert!(!estimate(2_000.0).is_cheaper_near());
    }
}

mod cold_work {
    use super::*;

    /// Returns an admission of a target that is cold for ten seconds.
    fn cold_admission(slots: u32) -> Admission {
        let mut admission = admission(slots);
        admission.warmth_mut().set_limit(100, false);
        admission.warmth_mut().record_cold(at(0), at(10_000));
        admission
    }

    #[test]
    fn the_time_of_cold_work_is_learned_and_decides_who_can_meet_the_aim() {
        let mut admission = cold_admission(1);
        // Work of 100 ms takes 220 ms while the target is cold.
        for id in 0..40 {
            let begun = id * 220;
            let request = slot_request(id, begun + 300, begun + 2_000);
            assert_eq!(admission.admit(at(begun), request), Decision::Run);
            admission.done(at(begun + 220), id, Some(220 * MS));
        }
        // What is learned of cold work does not change what is expected of warm work.
        assert_eq!(admission.work_us(), 100 * MS);
        let now = 40 * 220;
        assert_eq!(
            admission.admit(at(now), slot_request(50, now + 300, now + 2_000)),
            Decision::Run
        );
        // In 100 ms, 51 has 180 ms left to its aim, too few for cold work; 52 has 300.
        let waiting =
            [slot_request(51, now + 280, now + 2_000), slot_request(52, now + 400, now + 2_000)];
        for request in waiting {
            assert_eq!(admission.admit(at(now), request), Decision::Wait);
        }
        admission.done(at(now + 100), 50, None);
        assert_eq!(admission.poll(at(now + 100)), [(52, Decision::Run)]);
    }
}

mod hung_targets {
    use super::*;

    /// Returns an admission whose eight slots are taken by requests that never end.
    fn hung_admission() -> Admission {
        let mut admission = admission(8);
        for id in 0..8 {
            assert_eq!(admission.admit(at(0), slot_request(id, 300, 1_000)), Decision::Run);
        }
        admission
    }

    #[test]
    fn a_target_that_answers_nothing_gets_one_request_at_a_time_until_it_does() {
        let mut admission = hung_admission();
        (0..8).for_each(|id| admission.done(at(1_000), id, None));
        let request = |id| SlotRequest { elsewhere: true, ..slot_request(id, 1_400, 2_100) };
        assert_eq!(admission.free_slots(at(1_000)), 1);
        assert_eq!(admission.admit(at(1_001), request(10)), Decision::Run);
        assert_eq!(admission.admit(at(1_002), request(11)), Decision::Refuse(Refusal::Busy));
        // It answers again.
        admission.done(at(1_100), 10, Some(99 * MS));
        assert_eq!(admission.free_slots(at(1_100)), 8);
    }

    #[test]
    fn its_load_is_reported_while_the_first_requests_still_hang() {
        let mut admission = admission(8);
        for id in 0..3 {
            assert_eq!(admission.admit(at(0), slot_request(id, 300, 1_000)), Decision::Run);
        }
        assert_eq!(admission.free_slots(at(100)), 5);
        assert_eq!(admission.free_slots(at(450)), 0);
    }

    #[test]
    fn a_target_that_answers_some_is_not_taken_for_hung() {
        let mut admission = hung_admission();
        // One of two requests hangs.
        admission.done(at(100), 0, Some(100 * MS));
        assert_eq!(admission.admit(at(100), slot_request(20, 400, 1_100)), Decision::Run);
        admission.done(at(200), 20, Some(100 * MS));
        assert_eq!(admission.free_slots(at(600)), 1);
        (1..8).for_each(|id| admission.done(at(1_000), id, None));
        assert_eq!(admission.free_slots(at(1_000)), 8);
    }
}
