//! Which nodes this one keeps links to: a subset of the targets of each service that its requests
//! use, and the members that it probes. So the cost of links does not grow with the fleet.

use std::rc::Rc;
use std::time::Duration;

use policy::{LinkCandidate, Member, Time, select_subset};
use wire::link::{Frame, Node, Reply};
use world::Name;

use crate::peers::directory::Peer;
use crate::peers::links::{CLOSE_DELAY, Peers};
use crate::peers::membership::node_of;

/// The time between two selections while nothing changes.
const INTERVAL: Duration = Duration::from_millis(500);
/// The least time between two selections, since changes of the member list often come together.
const MIN_INTERVAL: Duration = Duration::from_millis(50);
/// Up to this many services are linked to at once; of more, only those that requests use.
const PRELINKED_SERVICES: usize = 4;
/// How long the first request of a service waits for a link to one of its targets.
const FIRST_LINK_WAIT: Duration = Duration::from_millis(300);
/// How often that request checks for a link.
const LINK_CHECK: Duration = Duration::from_millis(10);
/// A service counts as used for this long after a request, in microseconds.
const USE_RETENTION_US: u64 = 60_000_000;
/// A node that could not be linked to, or whose target refuses requests, for this long is replaced,
/// in microseconds.
const REPLACE_AFTER_US: u64 = 1_000_000;
/// A link that is not needed is given up after no request used it for this long, in microseconds.
const RELEASE_AFTER_US: u64 = 20_000_000;
/// A node that went down is linked to again for this long, in microseconds: it may restart while it
/// can learn of no other node, since the store is down too.
const RETURN_US: u64 = 30_000_000;
/// A node without a link is forgotten after this time, in microseconds.
const FORGET_AFTER_US: u64 = 60_000_000;

impl Peers {
    /// Selects the nodes to link to whenever the member list changes, for as long as the process
    /// runs.
    pub(super) async fn run_selection(self: Rc<Peers>) {
        loop {
            let _ = tokio::time::timeout(INTERVAL, self.membership.changed.notified()).await;
            self.select_links();
            self.clean_up();
            tokio::time::sleep(MIN_INTERVAL).await;
        }
    }

    /// Records that a request uses a service, so that links to its targets are kept. If none were
    /// kept before, waits until the first one is open, or for [`FIRST_LINK_WAIT`].
    pub async fn use_service(&self, service: &Name) {
        let now = self.clock.now();
        let is_unused = {
            let mut used = self.used_services.borrow_mut();
            match used.binary_search_by(|(name, _)| name.cmp(service)) {
                Ok(at) => now.since(std::mem::replace(&mut used[at].1, now)) >= USE_RETENTION_US,
                Err(at) => {
                    used.insert(at, (service.clone(), now));
                    true
                }
            }
        };
        if is_unused && self.membership.members.borrow().services() > PRELINKED_SERVICES {
            self.membership.changed.notify_one();
            let linked = async {
                while !self.is_linked_to(service) {
                    tokio::time::sleep(LINK_CHECK).await;
                }
            };
            let _ = tokio::time::timeout(FIRST_LINK_WAIT, linked).await;
        }
    }

    /// Returns whether a target of a service can be sent a request.
    fn is_linked_to(&self, service: &Name) -> bool {
        let mut is_linked = self.guard.serves(service);
        self.directory.for_each(|peer| is_linked |= peer.serves(service));
        is_linked
    }

    /// Wants links to the selected nodes, and for a while to those that went down since they were
    /// selected.
    fn select_links(self: &Rc<Peers>) {
        let now = self.clock.now();
        let wanted = self.selected(now);
        self.directory.for_each(|peer| {
            if peer.wanted_until.get() == Time::NEVER {
                let is_up = self.membership.members.borrow().is_up(&peer.node().name);
                peer.wanted_until.set(if is_up { now } else { now.after(RETURN_US) });
            }
        });
        for node in wanted {
            self.want_link(&node, Time::NEVER);
        }
    }

    /// Returns the nodes to link to.
    fn selected(&self, now: Time) -> Vec<Node> {
        let members = self.membership.members.borrow();
        let mut wanted: Vec<Node> = members.probed().map(node_of).collect();
        let mut by_service: Vec<(&Name, &Member)> =
            members.up().filter_map(|member| Some((member.service.as_ref()?, member))).collect();
        by_service.sort_by_key(|(service, _)| *service);
        let groups: Vec<&[(&Name, &Member)]> =
            by_service.chunk_by(|(one, _), (other, _)| one == other).collect();
        let used = self.used_services.borrow();
        let is_used = |service: &Name| {
            let found = used.binary_search_by(|(name, _)| name.cmp(service));
            found.is_ok_and(|at| now.since(used[at].1) < USE_RETENTION_US)
        };
        for group in &groups {
            if groups.len() <= PRELINKED_SERVICES || is_used(group[0].0) {
                wanted.extend(self.subset(now, group));
            }
        }
        wanted
    }

    /// Returns the nodes to link to among the members whose targets run one service.
    fn subset(&self, now: Time, group: &[(&Name, &Member)]) -> Vec<Node> {
        let candidate = |(_, member): &(&Name, &Member)| self.is_usable(now, member);
        let usable: Vec<bool> = group.iter().map(candidate).collect();
        let candidates: Vec<LinkCandidate<'_>> = group
            .iter()
            .zip(usable)
            .map(|((_, member), usable)| LinkCandidate {
                name: &member.name,
                near: self.is_same_data_centre(&member.data_centre),
                usable,
            })
            .collect();
        let chosen = select_subset(&self.local_node().name, &candidates);
        chosen.into_iter().map(|at| node_of(group[at].1)).collect()
    }

    /// Returns whether a member's target can be used as far as this node knows. One that was not
    /// linked to yet can.
    fn is_usable(&self, now: Time, member: &Member) -> bool {
        let is_out = || self.rules.current().is_some_and(|set| set.is_out(&member.data_centre));
        if self.directory.is_replaced(&node_of(member)) || is_out() {
            return false;
        }
        let Some(peer) = self.directory.find(&member.name) else { return true };
        if peer.is_open() {
            peer.closed_since.set(None);
            return true;
        }
        let since = peer.closed_since.get().unwrap_or(now);
        peer.closed_since.set(Some(since));
        now.since(since) < REPLACE_AFTER_US
    }

    /// Gives up links that are not needed, and forgets nodes without one.
    fn clean_up(self: &Rc<Peers>) {
        let now = self.clock.now();
        for peer in self.directory.all() {
            let is_wanted = peer.wanted_until.get() > now;
            if peer.link().is_some() {
                let unused_us = now.since(peer.last_used.get());
                if !is_wanted && unused_us >= RELEASE_AFTER_US && peer.opened_link() {
                    peer.last_used.set(now);
                    tokio::task::spawn_local(self.clone().release(peer));
                }
            } else if !is_wanted && now.since(peer.last_received()) >= FORGET_AFTER_US {
                self.directory.remove(&peer.node().name);
            }
        }
    }

    /// Closes a link if its other end does not need it either.
    async fn release(self: Rc<Peers>, peer: Rc<Peer>) {
        match self.request(&peer, &Frame::Release).await {
            Ok(Reply::Noted) => {
                if let Some(unused) = peer.take_link() {
                    tracing::info!(peer = &*peer.node().name, "peers: released a link");
                    tokio::time::sleep(CLOSE_DELAY).await;
                    unused.close(0u32.into(), b"released");
                }
            }
            Ok(_) => {}
            Err(error) => tracing::debug!(%error, "peers: cannot release a link"),
        }
    }

    /// Answers a peer that does not need its link.
    pub(super) fn handle_release(&self, peer: &Peer) -> Reply {
        if peer.wanted_until.get() > self.clock.now() {
            return Reply::Kept;
        }
        // The other end closes it once the requests on it have ended.
        peer.take_link();
        Reply::Noted
    }
}
