//! Detects when an update of a function takes effect at the front ends that subscribe to it.

use super::protocol::HollowEvent;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tansy_agreement::compatibility::Fields;
use tansy_agreement::log::Revision;
use tansy_agreement::scope::ScopeChange;
use tansy_fleet_node::FleetNode;
use tansy_net_fleet::FleetTransport;

/// A function for whose update a watch waits.
pub(super) struct WatchedFunction {
    name: String,
    target: Fields,
    /// Changes up to this revision are ignored.
    since: Revision,
    /// Front ends that subscribed to the function when the watch started and have not applied the update yet.
    pub(super) pending: BTreeSet<u32>,
    is_reported: bool,
    /// Whether a front end of this process has learned that the update is in force.
    is_known_in_force: bool,
}

impl WatchedFunction {
    pub(super) fn new(name: String, target: Fields, since: Revision) -> WatchedFunction {
        WatchedFunction {
            name,
            target,
            since,
            pending: BTreeSet::new(),
            is_reported: false,
            is_known_in_force: false,
        }
    }

    /// Whether a front end knows that the update is in force. `None` if its history starts too late to tell, as after a snapshot.
    fn is_in_force_at(&self, node: &FleetNode, now: i64) -> Option<bool> {
        let Some(state) = node.active_state(now).state else {
            return Some(false);
        };
        let is_this_change = |change: &ScopeChange| {
            change.scope == self.name
                && change.record.next().is_none()
                && change.record.fields.as_ref() == Some(&self.target)
        };
        state
            .history
            .since(self.since)
            .map(|mut changes| changes.any(|change| is_this_change(change)))
    }

    /// Whether a front end subscribes to the function and has not applied the update yet.
    pub(super) fn is_behind(&self, node: &FleetNode, now: i64) -> bool {
        let Some(settings) = node.effective_settings(now, &self.name) else {
            return false;
        };
        settings.rejected
            || settings.fields.as_ref() != Some(&self.target)
            || self.is_in_force_at(node, now) == Some(false)
    }

    /// Whether a front end admits calls of the function by a class other than the new one.
    fn admits_by_other_class(&self, node: &FleetNode, now: i64) -> bool {
        let class = |fields: &Fields| fields.get("class").cloned();
        node.effective_settings(now, &self.name)
            .filter(|settings| !settings.rejected)
            .and_then(|settings| settings.fields)
            .is_some_and(|fields| class(&fields) != class(&self.target))
    }

    /// Reports, at most once, that all subscribers have applied the update.
    fn report_if_applied(&mut self, id: u64, position: usize, at: i64) {
        if self.pending.is_empty() && !std::mem::replace(&mut self.is_reported, true) {
            HollowEvent::Applied { id, position, at }.send();
        }
    }

    fn report_stale_admission(&self, front_end: u32) {
        HollowEvent::StaleAdmission {
            front_end,
            function: self.name.clone(),
        }
        .send();
    }

    /// Checks at a front end's new revision whether any front end still admits calls by the old class although the update is in force.
    fn check_admission(
        &mut self,
        front_end: u32,
        node: &FleetNode,
        now: i64,
        running: &BTreeMap<u32, Rc<FleetTransport>>,
    ) {
        if !self.is_known_in_force && self.is_in_force_at(node, now) == Some(true) {
            self.is_known_in_force = true;
            for (other, transport) in running.iter().filter(|(index, _)| **index != front_end) {
                if transport.with_node(|node, now| self.admits_by_other_class(node, now)) {
                    self.report_stale_admission(*other);
                }
            }
        }
        if self.is_known_in_force && self.admits_by_other_class(node, now) {
            self.report_stale_admission(front_end);
        }
    }
}

/// All watches of a process, by id.
#[derive(Default)]
pub(super) struct Watches(RefCell<BTreeMap<u64, Vec<WatchedFunction>>>);

impl Watches {
    /// Starts a watch, and reports how many front ends subscribe to each function.
    pub(super) fn insert(&self, id: u64, functions: Vec<WatchedFunction>) {
        HollowEvent::Watching {
            id,
            subscribers: functions
                .iter()
                .map(|function| function.pending.len())
                .collect(),
        }
        .send();
        self.0.borrow_mut().insert(id, functions);
    }

    pub(super) fn remove(&self, id: u64) {
        self.0.borrow_mut().remove(&id);
    }

    /// Stops waiting for a killed front end.
    pub(super) fn remove_front_end(&self, front_end: u32, now: i64) {
        for (id, functions) in self.0.borrow_mut().iter_mut() {
            for (position, function) in functions.iter_mut().enumerate() {
                function.pending.remove(&front_end);
                function.report_if_applied(*id, position, now);
            }
        }
    }

    /// Updates all watches after a front end's state may have changed.
    pub(super) fn on_state_change(
        &self,
        front_end: u32,
        node: &FleetNode,
        now: i64,
        is_new_revision: bool,
        running: &BTreeMap<u32, Rc<FleetTransport>>,
    ) {
        for (id, functions) in self.0.borrow_mut().iter_mut() {
            for (position, function) in functions.iter_mut().enumerate() {
                if is_new_revision {
                    function.check_admission(front_end, node, now, running);
                }
                if function.pending.contains(&front_end) && !function.is_behind(node, now) {
                    function.pending.remove(&front_end);
                    function.report_if_applied(*id, position, now);
                }
            }
        }
    }
}
