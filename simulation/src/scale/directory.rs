//! The shared member directories of the hollow tier: one for each group of processes that can reach each other.

use super::{DETECTED_DOWN_AFTER, DETECTED_UP_AFTER};
use crate::fault::Time;
use crate::network::Network;
use std::collections::VecDeque;
use std::sync::Arc;
use tansy_fleet_node::Directory;
use tansy_membership::NodeId;

/// The start or end of a process, which the directories show from `due` on.
struct MembershipChange {
    due: Time,
    process: usize,
    node: NodeId,
    is_up: bool,
}

/// Accurate member directories that are updated with a delay.
pub(crate) struct SharedDirectories {
    listed: Vec<Option<NodeId>>,
    pending: VecDeque<MembershipChange>,
    /// One directory for each side of a partition.
    sides: Vec<Arc<Directory>>,
    /// Whether the directories reflect a partition, which they do with a delay.
    shows_partition: bool,
}

impl SharedDirectories {
    /// Creates empty directories for this number of front ends.
    pub(crate) fn new(front_ends: usize) -> SharedDirectories {
        SharedDirectories {
            listed: vec![None; front_ends],
            pending: VecDeque::new(),
            sides: vec![Arc::default()],
            shows_partition: false,
        }
    }

    /// Records the start of a process.
    pub(crate) fn on_start(&mut self, now: Time, process: usize, node: NodeId) {
        self.insert(now + DETECTED_UP_AFTER, process, node, true);
    }

    /// Records the end of a process. A process that notified the others disappears as quickly as a started one appears.
    pub(crate) fn on_end(&mut self, now: Time, process: usize, node: NodeId, notified: bool) {
        let after = if notified {
            DETECTED_UP_AFTER
        } else {
            DETECTED_DOWN_AFTER
        };
        self.insert(now + after, process, node, false);
    }

    fn insert(&mut self, due: Time, process: usize, node: NodeId, is_up: bool) {
        let index = self.pending.partition_point(|change| change.due <= due);
        let change = MembershipChange {
            due,
            process,
            node,
            is_up,
        };
        self.pending.insert(index, change);
    }

    /// The directory for a front end.
    pub(crate) fn directory(&self, network: &Network, process: usize) -> Arc<Directory> {
        let side = if self.shows_partition {
            network.side(process)
        } else {
            0
        };
        self.sides.get(side).cloned().unwrap_or_default()
    }

    /// Applies the changes that are due, and returns whether the directories changed.
    pub(super) fn update(&mut self, network: &Network, now: Time) -> bool {
        let mut changed = false;
        while self.pending.front().is_some_and(|change| change.due <= now) {
            let Some(change) = self.pending.pop_front() else {
                break;
            };
            changed |= self.apply(change);
        }
        let shows_partition = network.is_partitioned(now - DETECTED_DOWN_AFTER)
            && network.is_partitioned(now - DETECTED_UP_AFTER);
        if !changed && shows_partition == self.shows_partition {
            return false;
        }
        self.shows_partition = shows_partition;
        let sides = if shows_partition { network.sides() } else { 1 };
        self.sides = (0..sides)
            .map(|side| Arc::new(self.list_side(network, side)))
            .collect();
        true
    }

    /// Applies a change, and returns whether the list changed.
    fn apply(&mut self, change: MembershipChange) -> bool {
        let listed = &mut self.listed[change.process];
        let incarnation = listed.as_ref().map(|node| node.incarnation);
        if change.is_up && incarnation.is_none_or(|listed| listed < change.node.incarnation) {
            *listed = Some(change.node);
            return true;
        }
        if !change.is_up && incarnation == Some(change.node.incarnation) {
            *listed = None;
            return true;
        }
        false
    }

    fn list_side(&self, network: &Network, side: usize) -> Directory {
        let on_side = |process: usize| !self.shows_partition || network.side(process) == side;
        let listed = self.listed.iter().enumerate();
        Directory::new(
            listed
                .filter(|(process, _)| on_side(*process))
                .filter_map(|(_, node)| node.clone()),
        )
    }
}
