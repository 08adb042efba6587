//! Selection of the targets that an entry links to: how evenly targets are chosen, and how little
//! changes when the fleet does.

use policy::{LinkCandidate, select_subset};

const DATA_CENTRES: usize = 5;

struct Fleet {
    /// Names of the targets of one service, with their data centres.
    targets: Vec<(String, usize)>,
    /// Names of all nodes, with their data centres.
    entries: Vec<(String, usize)>,
}

impl Fleet {
    /// Every second node has a target of the service.
    fn open(nodes: usize) -> Fleet {
        let entries: Vec<(String, usize)> =
            (0..nodes).map(|at| (format!("side-{at:04}"), at % DATA_CENTRES)).collect();
        let targets = entries.iter().step_by(2).cloned().collect();
        Fleet { targets, entries }
    }

    fn subset(&self, entry: &(String, usize), usable: impl Fn(usize) -> bool) -> Vec<usize> {
        let candidates: Vec<LinkCandidate<'_>> = self
            .targets
            .iter()
            .enumerate()
            .map(|(at, (name, data_centre))| LinkCandidate {
                name,
                near: *data_centre == entry.1,
                usable: usable(at),
            })
            .collect();
        select_subset(&entry.0, &candidates)
    }

    /// Returns how many entries chose each target.
    fn counts(&self, usable: impl Fn(usize) -> bool + Copy) -> Vec<usize> {
        let mut counts = vec![0; self.targets.len()];
        for entry in &self.entries {
            self.subset(entry, usable).into_iter().for_each(|at| counts[at] += 1);
        }
        counts
    }
}

#[test]
fn a_small_service_is_linked_to_whole() {
    let fleet = Fleet::open(16);
    assert_eq!(fleet.targets.len(), 8);
    assert_eq!(fleet.subset(&fleet.entries[3], |at| at != 2).len(), 8);
}

#[test]
fn every_target_is_chosen_and_none_much_more_than_the_others() {
    for nodes in [30, 100, 300] {
        let counts = Fleet::open(nodes).counts(|_| true);
        let mean = counts.iter().sum::<usize>() as f64 / counts.len() as f64;
        let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
        assert!(*least as f64 >= mean * 0.3, "{nodes} nodes: {least} of {mean}");
        assert!(*most as f64 <= mean * 2.2, "{nodes} nodes: {most} of {mean}");
        assert!(mean <= 16.0, "{nodes} nodes: {mean} links to each target");
    }
}

#[test]
fn entries_of_a_lost_data_centre_use_the_others() {
    let fleet = Fleet::open(300);
    let is_left = |at: usize| fleet.targets[at].1 != 0;
    let counts = fleet.counts(is_left);
    let left: Vec<usize> = (0..counts.len()).filter(|at| is_left(*at)).collect();
    let mean = left.iter().map(|at| counts[*at]).sum::<usize>() as f64 / left.len() as f64;
    assert!(left.iter().all(|at| counts[*at] as f64 >= mean * 0.3), "{counts:?}");
    assert!(left.iter().all(|at| counts[*at] as f64 <= mean * 2.2), "{counts:?}");
    for entry in &fleet.entries {
        let usable = fleet.subset(entry, is_left).into_iter().filter(|at| is_left(*at)).count();
        assert_eq!(usable, 8, "{entry:?}");
    }
}

#[test]
fn a_change_of_the_fleet_replaces_only_what_it_concerns() {
    let fleet = Fleet::open(300);
    let mut smaller = Fleet::open(300);
    smaller.targets.remove(70);
    let mut replaced = 0;
    for entry in &fleet.entries {
        let name = |fleet: &Fleet, at: usize| fleet.targets[at].0.clone();
        let before: Vec<String> =
            fleet.subset(entry, |_| true).into_iter().map(|at| name(&fleet, at)).collect();
        let after: Vec<String> =
            smaller.subset(entry, |_| true).into_iter().map(|at| name(&smaller, at)).collect();
        let kept = before.iter().filter(|name| after.contains(name)).count();
        assert!(kept >= before.len() - 1, "{entry:?}");
        replaced += before.len() - kept;
    }
    assert!(replaced <= 30, "{replaced} links were replaced after one target of 150 left");
}
