//! The status that this node sends to the peers that it is linked to: at intervals, and at once when
//! a change must not wait.

use std::rc::Rc;
use std::time::Duration;

use policy::{CrashNotice, VALID_US};
use rand::seq::SliceRandom;
use wire::link::{Datagram, Frame};
use world::Name;

use crate::guard::CrashUpdate;
use crate::peers::directory::Peer;
use crate::peers::links::Peers;
use crate::peers::membership::send_datagram;

/// The least and the most time between two status reports to every peer. They are for peers that
/// send no requests here: answers carry the load, and changes of a target are sent at once. Reports
/// in both directions, a second apart at the mean, also keep links open.
const REPORT_INTERVALS: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_millis(2_000));
/// Time between two status reports per link, so that their number per second does not grow with the
/// links.
const REPORT_INTERVAL_PER_LINK: Duration = Duration::from_millis(40);
/// Peers to which a ruleset that a peer sent is passed on at once: with six, some 997 of 1,000
/// nodes have it after a few hops.
const FORWARD_PEERS: usize = 6;

/// The most updates on crashes that are sent together.
const MAX_UPDATES: usize = 256;

impl Peers {
    /// Sends the status to every peer at intervals, for as long as the process runs.
    pub(super) async fn send_reports(self: Rc<Peers>) {
        loop {
            let (least, most) = REPORT_INTERVALS;
            let interval = REPORT_INTERVAL_PER_LINK * self.directory.count_linked();
            tokio::time::sleep(interval.clamp(least, most)).await;
            self.update_service_strain();
            let status = self.guard.status();
            self.own_view.borrow_mut().reported(self.clock.now(), status.report);
            let Ok(datagram) = wire::encode(&Datagram::Status(Box::new(status))) else { continue };
            let datagram = bytes::Bytes::from(datagram);
            // A report may get lost like any datagram, and the next one replaces it.
            self.directory.for_each(|peer| send_datagram(peer, &datagram));
        }
    }

    /// Passes the strain of the peers' targets of the same service to the guard.
    fn update_service_strain(&self) {
        let Some(service) = self.guard.service() else { return };
        let mut strains = Vec::new();
        self.directory.for_each(|peer| {
            if peer.serves(&service) {
                let strain = peer.view.borrow().report.strain;
                strains.extend((strain > 0).then(|| f64::from(strain) / 100.0));
            }
        });
        self.guard.update_service_strain(strains.into_iter());
    }

    /// Sends what the guard finds of requests that crash targets to every linked peer, and what it
    /// repeats to some, for as long as the process runs.
    pub(super) async fn send_crash_updates(self: Rc<Peers>) {
        let Some(mut updates) = self.guard.take_crash_updates() else { return };
        let mut received = Vec::new();
        while updates.recv_many(&mut received, MAX_UPDATES).await > 0 {
            // What ran at a target that crashed is reported together.
            let mut found = Vec::new();
            for update in received.drain(..) {
                match update {
                    CrashUpdate::Found(notice) => found.push(notice),
                    CrashUpdate::Repeated(notices) => {
                        self.send_frame(&Rc::new(Frame::Crashes(notices)), FORWARD_PEERS);
                    }
                }
            }
            if !found.is_empty() {
                self.send_frame(&Rc::new(Frame::Crashes(found)), usize::MAX);
            }
        }
    }

    /// Returns the nodes whose targets run a service, sorted by name; none while the list of members
    /// may be incomplete.
    pub fn replicas(&self, service: &Name) -> Vec<Name> {
        if !self.membership.is_complete() {
            return Vec::new();
        }
        let members = self.membership.members.borrow();
        let others = members.up().filter(|member| member.service.as_ref() == Some(service));
        let mut names: Vec<Name> = others.map(|member| member.name.clone()).collect();
        if self.guard.service().as_ref() == Some(service) {
            names.push(self.local_node.name.clone());
        }
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Applies notices of a peer, passes on those that are new, and tells the peer which of its
    /// reports were cleared.
    pub(super) fn handle_crash_notices(
        self: &Rc<Peers>,
        peer: &Rc<Peer>,
        notices: Vec<CrashNotice>,
    ) {
        let cleared = self.guard.cleared_among(&notices);
        if !cleared.is_empty() {
            let (peers, peer) = (self.clone(), peer.clone());
            tokio::task::spawn_local(async move {
                let frame = Frame::Crashes(vec![CrashNotice::Answered(cleared)]);
                if let Err(error) = peers.request(&peer, &frame).await {
                    tracing::debug!(%error, "peers: cannot send notices of crashes");
                }
            });
        }
        let fresh: Vec<CrashNotice> =
            notices.into_iter().filter(|notice| self.guard.note_crash(notice)).collect();
        if !fresh.is_empty() {
            self.send_frame(&Rc::new(Frame::Crashes(fresh)), FORWARD_PEERS);
        }
    }

    /// Sends a frame to at most `most` linked peers, chosen at random among those that were heard
    /// from recently and then among the others, and waits for no reply.
    fn send_frame(self: &Rc<Peers>, frame: &Rc<Frame>, most: usize) {
        let mut receivers = self.directory.all();
        receivers.retain(|peer| peer.link().is_some());
        receivers.shuffle(&mut rand::rng());
        // A link to a node that died stays open for seconds.
        let now = self.clock.now();
        receivers.sort_by_key(|peer| now.since(peer.last_received()) >= VALID_US);
        for peer in receivers.into_iter().take(most) {
            let (peers, frame) = (self.clone(), frame.clone());
            tokio::task::spawn_local(async move {
                if let Err(error) = peers.request(&peer, &frame).await {
                    tracing::debug!(%error, "peers: cannot send a frame to a peer");
                }
            });
        }
    }

    /// Sends the status at once when a change must not wait for the next report: to every linked
    /// peer if the target changed or this node got a new ruleset from the store, and to a few if it
    /// got the ruleset from a peer, who all pass it on. The others learn of it from a report.
    pub(super) async fn send_changes(self: Rc<Peers>) {
        let mut target = self.guard.subscribe();
        let mut revision = self.rules.subscribe();
        let mut watching = self.rules.subscribe_watching();
        loop {
            let to_all = tokio::select! {
                _ = watching.changed() => {
                    self.update_own_watch(self.clock.now());
                    continue;
                }
                _ = target.changed() => true,
                _ = revision.changed() => {
                    self.guard.ruleset_changed();
                    self.rules.is_watching()
                }
            };
            let status = self.guard.status();
            self.own_view.borrow_mut().reported(self.clock.now(), status.report);
            let frame = Rc::new(Frame::Status(Box::new(status)));
            self.send_frame(&frame, if to_all { usize::MAX } else { FORWARD_PEERS });
        }
    }
}
