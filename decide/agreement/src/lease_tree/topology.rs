//! Which member requests its lease from which: a tree that every member computes alone.

use super::FAN_OUT;
use std::sync::Arc;

/// Names in an order that every member computes alike, maintained as names come and go. Copies are cheap until one of
/// them changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RendezvousOrder {
    /// Each name with its [`mix`], by which they are sorted and which no two names share.
    ranked: Arc<Vec<(u64, u64)>>,
}

impl RendezvousOrder {
    /// Adds a name. False: it was there.
    pub fn insert(&mut self, name: u64) -> bool {
        let position = self.position(name);
        if let Err(index) = position {
            Arc::make_mut(&mut self.ranked).insert(index, (mix(name), name));
        }
        position.is_err()
    }

    /// Removes a name. False: it was not there.
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

    /// The index of a name, or the one at which it would be inserted.
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

/// A bijection that scatters names over the order, so that no two names share a rank.
fn mix(name: u64) -> u64 {
    let mixed = (name ^ (name >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The members that one knows, as a tree: the leader is its root, the others follow in [`RendezvousOrder`].
#[derive(Clone, Debug, Default)]
pub struct LeaseTopology {
    leader: u64,
    order: RendezvousOrder,
    /// The leader's index in the order, if it is in it.
    leader_index: Option<usize>,
}

impl LeaseTopology {
    /// The tree of these names under a leader.
    pub fn new(leader: u64, names: impl IntoIterator<Item = u64>) -> LeaseTopology {
        LeaseTopology::with_order(leader, names.into_iter().collect())
    }

    /// The tree of names that are in order already.
    pub fn with_order(leader: u64, order: RendezvousOrder) -> LeaseTopology {
        let leader_index = order.position(leader).ok();
        LeaseTopology {
            leader,
            order,
            leader_index,
        }
    }

    /// The member that another requests its lease from at its n-th choice: its parent, that one's parent, and so on up
    /// to the leader.
    pub fn ancestor(&self, name: u64, level: u32) -> Option<u64> {
        let mut place = self.place_of(name)?;
        for _ in 0..=level {
            place = place.checked_sub(1)? / FAN_OUT;
            if place == 0 {
                break;
            }
        }
        self.name_at(place)
    }

    /// The choice after this one. After the leader it starts over with the own parent: the leader is gone, or has no
    /// room.
    pub(super) fn next_level(&self, name: u64, level: u32) -> u32 {
        match self.ancestor(name, level) {
            Some(parent) if parent != self.leader => level.saturating_add(1),
            _ => 0,
        }
    }

    /// The place of a name in the tree, counted by levels from the leader's, which is zero.
    fn place_of(&self, name: u64) -> Option<usize> {
        if name == self.leader {
            return Some(0);
        }
        let index = self.order.position(name).ok()?;
        let before_leader = self.leader_index.is_none_or(|leader| leader > index);
        Some(index + usize::from(before_leader))
    }

    fn name_at(&self, place: usize) -> Option<u64> {
        let Some(index) = place.checked_sub(1) else {
            return Some(self.leader);
        };
        let after_leader = self.leader_index.is_some_and(|leader| leader <= index);
        let index = index + usize::from(after_leader);
        self.order.ranked.get(index).map(|(_, name)| *name)
    }

    /// The number of members beside the leader.
    fn followers(&self) -> usize {
        self.order.len() - usize::from(self.leader_index.is_some())
    }
}

impl PartialEq for LeaseTopology {
    /// The same members under the same leader, which counts as one of them whether it is in the order or not.
    fn eq(&self, other: &LeaseTopology) -> bool {
        if self.leader != other.leader {
            return false;
        }
        if Arc::ptr_eq(&self.order.ranked, &other.order.ranked) {
            return true;
        }
        self.followers() == other.followers()
            && (1..=self.followers()).all(|place| self.name_at(place) == other.name_at(place))
    }
}

impl Eq for LeaseTopology {}
