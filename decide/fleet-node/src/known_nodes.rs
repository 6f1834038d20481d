//! The other front ends of the fleet: found by the membership protocol, or given by the host.

use std::net::SocketAddr;
use std::sync::Arc;
use tansy_agreement::lease::Time;
use tansy_agreement::lease_tree::{LeaseTopology, RendezvousOrder};
use tansy_membership::{Datagram, Membership, MembershipEvent, NodeId, RejectedDatagram};

/// The members of a fleet as its host knows them. Many nodes of one process share it in place of a membership protocol
/// each, for which a simulation of a large fleet has no memory.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// In the order of their numbers.
    nodes: Vec<NodeId>,
    order: RendezvousOrder,
}

impl Directory {
    /// A directory of these processes; of two with one number the later one.
    pub fn new(processes: impl IntoIterator<Item = NodeId>) -> Directory {
        let mut nodes: Vec<NodeId> = processes.into_iter().collect();
        nodes.sort_by(|a, b| {
            (a.id, b.incarnation, b.renewals).cmp(&(b.id, a.incarnation, a.renewals))
        });
        nodes.dedup_by_key(|node| node.id);
        let order = nodes.iter().map(|node| node.id).collect();
        Directory { nodes, order }
    }

    /// How many nodes there are.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    fn position(&self, id: u64) -> Result<usize, usize> {
        self.nodes.binary_search_by_key(&id, |node| node.id)
    }
}

/// What a front end knows of the others.
pub(crate) enum KnownNodes {
    /// It finds them itself.
    Discovered(Box<Membership>),
    /// The host gives them; `id` is this front end's own.
    Given { id: u64, directory: Arc<Directory> },
}

impl KnownNodes {
    /// The others.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &NodeId> {
        let (discovered, given) = match self {
            KnownNodes::Discovered(membership) => (Some(membership.other_members()), None),
            KnownNodes::Given { id, directory } => {
                let others = directory.nodes.iter().filter(|node| node.id != *id);
                (None, Some(others))
            }
        };
        discovered
            .into_iter()
            .flatten()
            .chain(given.into_iter().flatten())
    }

    /// How many others there are.
    pub(crate) fn count(&self) -> usize {
        match self {
            KnownNodes::Discovered(membership) => membership.other_member_count(),
            KnownNodes::Given { id, directory } => {
                directory.len() - usize::from(directory.position(*id).is_ok())
            }
        }
    }

    /// The address of one, by its position in [`KnownNodes::iter`].
    pub(crate) fn nth_address(&self, position: usize) -> Option<SocketAddr> {
        match self {
            KnownNodes::Discovered(membership) => membership
                .other_members()
                .nth(position)
                .map(|node| node.address),
            KnownNodes::Given { id, directory } => {
                let is_after_self = directory.position(*id).is_ok_and(|own| own <= position);
                let node = directory.nodes.get(position + usize::from(is_after_self));
                node.map(|node| node.address)
            }
        }
    }

    /// The address of the one with this number.
    pub(crate) fn address(&self, id: u64) -> Option<SocketAddr> {
        match self {
            KnownNodes::Discovered(membership) => membership.address(id),
            KnownNodes::Given { id: own, .. } if *own == id => None,
            KnownNodes::Given { directory, .. } => {
                let position = directory.position(id).ok()?;
                Some(directory.nodes[position].address)
            }
        }
    }

    /// The lease tree below this leader.
    pub(crate) fn topology(&self, leader: u64) -> LeaseTopology {
        match self {
            KnownNodes::Discovered(membership) => membership.topology(leader),
            KnownNodes::Given { id, directory } => {
                // This front end is up, whether the directory lists it or not.
                let mut order = directory.order.clone();
                order.insert(*id);
                LeaseTopology::with_order(leader, order)
            }
        }
    }

    /// Announces this front end to one that may be up.
    pub(crate) fn join(&mut self, now: Time, to: NodeId) {
        if let KnownNodes::Discovered(membership) = self {
            membership.join(now, to);
        }
    }

    /// Announces that this front end leaves.
    pub(crate) fn leave(&mut self, now: Time) {
        if let KnownNodes::Discovered(membership) = self {
            membership.leave(now);
        }
    }

    pub(crate) fn on_datagram(&mut self, now: Time, bytes: &[u8]) -> Result<(), RejectedDatagram> {
        match self {
            KnownNodes::Discovered(membership) => membership.on_datagram(now, bytes),
            KnownNodes::Given { .. } => Ok(()),
        }
    }

    pub(crate) fn tick(&mut self, now: Time) {
        if let KnownNodes::Discovered(membership) = self {
            membership.tick(now);
        }
    }

    pub(crate) fn next_deadline(&self) -> Time {
        match self {
            KnownNodes::Discovered(membership) => membership.next_deadline().unwrap_or(Time::MAX),
            KnownNodes::Given { .. } => Time::MAX,
        }
    }

    /// Datagrams to send and events since the last call.
    pub(crate) fn take(&mut self) -> (Vec<Datagram>, Vec<MembershipEvent>) {
        match self {
            KnownNodes::Discovered(membership) => {
                (membership.take_datagrams(), membership.take_events())
            }
            KnownNodes::Given { .. } => (Vec::new(), Vec::new()),
        }
    }
}
