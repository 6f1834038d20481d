//! Selection of the next front end to release, within the limit on unavailable front ends of a zone.

use super::FrontEndObservation;
use crate::plan::{RolloutChange, Target};
use crate::state::{Rollout, RolloutPhase};

/// A rollout and the latest samples of the front ends.
pub(super) struct FleetView<'a> {
    pub(super) rollout: &'a Rollout,
    pub(super) front_ends: &'a [FrontEndObservation],
}

impl<'a> FleetView<'a> {
    pub(super) fn front_end(&self, name: &str) -> Option<&'a FrontEndObservation> {
        self.front_ends
            .iter()
            .find(|front_end| front_end.report.name == name)
    }

    fn is_ready(&self, name: &str) -> bool {
        self.front_end(name)
            .is_some_and(|front_end| front_end.ready)
    }

    /// The first front end still to be changed, or changed back, that may be released.
    pub(super) fn next_to_release(&self) -> Option<&'a str> {
        let rollout = self.rollout;
        let candidates: Vec<&str> = match rollout.phase {
            RolloutPhase::RollingBack => rollout.changed.iter().map(String::as_str).collect(),
            _ => rollout
                .plan
                .targets_through(rollout.stage)
                .map(|target| target.name.as_str())
                .collect(),
        };
        candidates
            .into_iter()
            .find(|name| rollout.may_release(name) && self.zone_allows(name))
    }

    /// Whether the front end's zone stays within the limit on unavailable front ends if it is released. Front ends that are down
    /// without having been released count as unavailable too; one that is down itself may always be released.
    fn zone_allows(&self, name: &str) -> bool {
        let rollout = self.rollout;
        let Some(target) = rollout.plan.target(name) else {
            return false;
        };
        if rollout.change == RolloutChange::Settings || !self.is_ready(name) {
            return true;
        }
        let released = rollout
            .released
            .iter()
            .filter_map(|name| rollout.plan.target(name))
            .filter(|other| other.zone == target.zone)
            .count();
        released + self.down_in_zone(target) < rollout.plan.max_unavailable
    }

    /// Number of other front ends of the target's zone that are down without having been released.
    fn down_in_zone(&self, target: &Target) -> usize {
        let is_down = |other: &&Target| {
            other.zone == target.zone
                && other.name != target.name
                && !self.rollout.released.contains(&other.name)
                && !self.is_ready(&other.name)
        };
        self.rollout.plan.targets().filter(is_down).count()
    }
}
