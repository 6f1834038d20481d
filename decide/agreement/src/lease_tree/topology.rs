//! Which member requests its lease from which: a tree that every member computes on its own.

use super::FAN_OUT;
use std::sync::Arc;

/// Member names in an order that is the same at every member, maintained as members come and go. Cloning is cheap until
/// a copy is changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RendezvousOrder {
    /// Each name with its rank, [`mix`], which the names are sorted by. No two names have the same rank.
    ranked: Arc<Vec<(u64, u64)>>,
}

impl RendezvousOrder {
    /// Adds a name. Returns false if it was present.
    pub fn insert(&mut self, name: u64) -> bool {
        let position = self.position(name);
        if let Err(index) = position {
            Arc::make_mut(&mut self.ranked).insert(index, (mix(name), name));
        }
        position.is_err()
    }

    /// Removes a name. Returns false if it was not present.
    pub fn remove(&mut self, name: u64) -> bool {
        let position = self.position(name);
        if let Ok(index) = position {
            Arc::make_mut(&mut self.ranked).remove(index);
        }
        position.is_ok()
    }

    /// The number of names.
    pub fn len(&self) -> usize {
        self.ranked.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.ranked.is_empty()
    }

    /// The index of a name, or the index at which to insert it.
    fn position(&self, name: u64) -> Result<usize, usize> {
        self.ranked
            .binary_search_by_key(&mix(name), |(rank, _)| *rank)
    }
}

impl FromIterator<u64> for RendezvousOrder {
    fn from_iter<I: IntoIterator<Item = u64>>(names: I) -> RendezvousOrder {
        let mut ranked: Vec<(u64, u64)> = names.into_iter().map(|n| (mix(n), n)).collect();
        ranked.sort_unstable();
        ranked.dedup();
        RendezvousOrder {
            ranked: Arc::new(ranked),
        }
    }
}

/// The rank of a name: a bijection (the finalizer of SplitMix64), so that ranks are scattered and unique.
fn mix(name: u64) -> u64 {
    let mixed = (name ^ (name >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The tree of the known members: the leader is the root, the others follow level by level in [`RendezvousOrder`].
#[derive(Clone, Debug, Default)]
pub struct LeaseTopology {
    leader: u64,
    order: RendezvousOrder,
    /// The leader's index in the order, if it is part of it.
    leader_index: Option<usize>,
}

impl LeaseTopology {
    /// Creates the tree of these names under a leader.
    pub fn new(leader: u64, names: impl IntoIterator<Item = u64>) -> LeaseTopology {
        LeaseTopology::with_order(leader, names.into_iter().collect())
    }

    /// Creates the tree from an order that is already maintained.
    pub fn with_order(leader: u64, order: RendezvousOrder) -> LeaseTopology {
        let leader_index = order.position(leader).ok();
        LeaseTopology {
            leader,
            order,
            leader_index,
        }
    }

    /// The ancestor of a member at a level: 0 is its parent, 1 the parent's parent, and so on. Levels above the leader
    /// stand for the leader. `None` for the leader itself and for unknown members.
    pub fn ancestor(&self, name: u64, level: u32) -> Option<u64> {
        let mut tree_index = self.tree_index_of(name)?;
        for _ in 0..=level {
            tree_index = tree_index.checked_sub(1)? / FAN_OUT;
            if tree_index == 0 {
                break;
            }
        }
        self.name_at(tree_index)
    }

    /// The level to turn to after this one. The leader is followed by the parent again: the leader is unavailable or
    /// has no room.
    pub(super) fn next_level(&self, name: u64, level: u32) -> u32 {
        match self.ancestor(name, level) {
            Some(granter) if granter != self.leader => level.saturating_add(1),
            _ => 0,
        }
    }

    /// The index of a name in the tree, counted level by level from the leader at index 0.
    fn tree_index_of(&self, name: u64) -> Option<usize> {
        if name == self.leader {
            return Some(0);
        }
        let index = self.order.position(name).ok()?;
        let before_leader = self.leader_index.is_none_or(|leader| leader > index);
        Some(index + usize::from(before_leader))
    }

    fn name_at(&self, tree_index: usize) -> Option<u64> {
        let Some(index) = tree_index.checked_sub(1) else {
            return Some(self.leader);
        };
        let after_leader = self.leader_index.is_some_and(|leader| leader <= index);
        let index = index + usize::from(after_leader);
        self.order.ranked.get(index).map(|(_, name)| *name)
    }

    /// The number of members other than the leader.
    fn followers(&self) -> usize {
        self.order.len() - usize::from(self.leader_index.is_some())
    }
}

impl PartialEq for LeaseTopology {
    /// Compares the members and the leader, which counts as a member whether or not it is in the order.
    fn eq(&self, other: &LeaseTopology) -> bool {
        if self.leader != other.leader {
            return false;
        }
        if Arc::ptr_eq(&self.order.ranked, &other.order.ranked) {
            return true;
        }
        self.followers() == other.followers()
            && (1..=self.followers())
                .all(|tree_index| self.name_at(tree_index) == other.name_at(tree_index))
    }
}

impl Eq for LeaseTopology {}
