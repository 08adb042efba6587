//! What the target says of itself: heartbeats, deregistrations, and answers to the first health
//! check.

use std::net::SocketAddr;
use std::rc::Rc;

use platform::heartbeat::Heartbeat;
use policy::Refusal;
use runtime::{MAX_AHEAD_MS, wall_ms};
use wire::link::Life;
use world::{Name, Ruleset};

use crate::guard::incarnations::HeartbeatKind;
use crate::guard::state::{Guard, Target};

impl Guard {
    /// Returns whether a service is the VM's or one of the ruleset's, or whether there is no ruleset
    /// yet.
    fn is_known_service(&self, service: &str) -> bool {
        let has_it = |rules: Rc<Ruleset>| rules.routing.service(service).is_some();
        *self.vm_service == *service || self.rules.current().is_none_or(has_it)
    }

    /// Handles a heartbeat of the target: records the target, its slots, and whether it is cold or
    /// leaves. A stale heartbeat is ignored. Returns false if it names a service that the ruleset
    /// does not have or a start that is no time, so that it is not from a target that can be used.
    pub fn heartbeat(self: &Rc<Guard>, heartbeat: Heartbeat) -> bool {
        if !self.is_known_service(&heartbeat.service) {
            tracing::warn!(
                id = &*heartbeat.id,
                service = &*heartbeat.service,
                "target: a heartbeat names an unknown service"
            );
            return false;
        }
        if heartbeat.born > wall_ms().saturating_add(MAX_AHEAD_MS) {
            // It would hide every later incarnation.
            tracing::warn!(
                id = &*heartbeat.id,
                born = heartbeat.born,
                "target: its start is no time"
            );
            return false;
        }
        let life = Life { id: heartbeat.id.clone(), born: heartbeat.born };
        let mut state = self.state.borrow_mut();
        let kind = state.incarnations.record_heartbeat(&heartbeat);
        if kind == HeartbeatKind::Stale {
            tracing::debug!(
                id = &*heartbeat.id,
                sequence = heartbeat.sequence,
                "target: stale heartbeat ignored"
            );
            return true;
        }
        let before = (state.target.as_ref().map(|target| target.address), state.target_refusal);
        if kind == HeartbeatKind::New {
            tracing::info!(
                id = &*heartbeat.id,
                born = heartbeat.born,
                service = &*heartbeat.service,
                slots = heartbeat.slots,
                cold_us = heartbeat.cold_us,
                "target: new incarnation"
            );
            state.admission.warmth_mut().reset();
            state.admission.reset_named();
            state.target_refusal = None;
            self.pool.clear();
        }
        state.target = Some(Target {
            life: life.clone(),
            service: heartbeat.service.clone(),
            address: heartbeat.address,
        });
        state.admission.set_slots(heartbeat.slots);
        if state.admission.exposure_mut().set_version(&heartbeat.version) {
            self.rollout.forget_evidence();
        }
        if heartbeat.leaving && !state.incarnations.is_gone(&life) {
            tracing::info!(id = &*life.id, sequence = heartbeat.sequence, "target: leaving");
            state.incarnations.mark_gone(life.clone());
        }
        if state.incarnations.is_gone(&life) {
            state.target_refusal = Some(Refusal::Leaving);
        } else if state.target_refusal == Some(Refusal::NoTarget) && kind == HeartbeatKind::Current
        {
            // The same incarnation still sends heartbeats, so the target is not suspected any more.
            state.target_refusal = None;
        }
        let changed =
            before != (Some(heartbeat.address), state.target_refusal) || kind == HeartbeatKind::New;
        drop(state);
        if kind == HeartbeatKind::New {
            self.report_replaced(&life);
        }
        self.update_cold_limit();
        self.update_rollout();
        // It may have been under way for seconds, so that it can show that the target is cold, but
        // not that it is warm.
        if heartbeat.cold_us > 0 {
            self.note_cold(&life, heartbeat.cold_us, "heartbeat");
        }
        if changed {
            self.update_queue();
            self.notify_peers();
        }
        true
    }

    /// Records a target that answered a health check before any heartbeat arrived. Does nothing if
    /// a target is known already or the instance left.
    pub(super) fn adopt(
        self: &Rc<Guard>,
        id: &Name,
        service: Name,
        address: SocketAddr,
        slots: u32,
    ) {
        let mut state = self.state.borrow_mut();
        if state.target.is_some() {
            return;
        }
        let Some(life) = state.incarnations.adopt(id) else { return };
        tracing::info!(id = &**id, service = &*service, slots, "target: found by a health check");
        state.admission.set_slots(slots);
        state.target = Some(Target { life, service, address });
        drop(state);
        self.update_cold_limit();
        self.update_rollout();
        self.update_queue();
        self.notify_peers();
    }

    /// Handles the deregistration of a target, which is gone or about to stop. `born` is the start
    /// time of its incarnation, if it was sent. Without it, the current incarnation of the id is
    /// meant, or each that started until now if the id is not current or its start is unknown.
    pub fn deregister(self: &Rc<Guard>, id: Name, born: Option<u64>) {
        let mut state = self.state.borrow_mut();
        let current = state.incarnations.current().filter(|life| life.id == id).cloned();
        let life = match born {
            Some(born) => Life { id: id.clone(), born },
            None => current.clone().unwrap_or(Life { id: id.clone(), born: 0 }),
        };
        if life.born == 0 {
            state.incarnations.mark_gone_before(id.clone(), wall_ms());
        }
        state.incarnations.mark_gone(life);
        // If a health check found the target, its start time was unknown until `mark_gone` set it,
        // so the current incarnation is read again.
        let is_current =
            state.incarnations.current().is_some_and(|life| state.incarnations.is_gone(life));
        if current.is_none() || !is_current {
            tracing::info!(id = &*id, born, "target: an unknown incarnation deregistered");
            return;
        }
        tracing::info!(id = &*id, "target: deregistered");
        state.target_refusal = Some(Refusal::Leaving);
        drop(state);
        self.update_queue();
        self.notify_peers();
    }

    /// Records a leaving target that this node had acknowledged before it restarted, which a peer
    /// still knows.
    pub fn restore_leaving(&self, life: Life) {
        let mut state = self.state.borrow_mut();
        state.incarnations.mark_gone(life.clone());
        if state.incarnations.current() == Some(&life) {
            state.target_refusal = Some(Refusal::Leaving);
        }
    }
}
