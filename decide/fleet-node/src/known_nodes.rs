//! The other front ends of the fleet, found by the membership protocol or provided by the host.

use std::net::SocketAddr;
use std::sync::Arc;
use tansy_agreement::lease::Time;
use tansy_agreement::lease_tree::{LeaseTopology, RendezvousOrder};
use tansy_membership::{Datagram, Membership, MembershipEvent, NodeId, RejectedDatagram};

/// The members of a fleet as the host knows them. The nodes of a large simulation share one directory, since a membership
/// protocol for each would need too much memory.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Sorted by id.
    nodes: Vec<NodeId>,
    order: RendezvousOrder,
}

impl Directory {
    /// Creates a directory of these processes. Of several with the same id it keeps the latest.
    pub fn new(processes: impl IntoIterator<Item = NodeId>) -> Directory {
        let mut nodes: Vec<NodeId> = processes.into_iter().collect();
        nodes.sort_by(|a, b| {
            (a.id, b.incarnation, b.renewals).cmp(&(b.id, a.incarnation, a.renewals))
        });
        nodes.dedup_by_key(|node| node.id);
        let order = nodes.iter().map(|node| node.id).collect();
        Directory { nodes, order }
    }

    /// The number of nodes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether the directory has no nodes.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    fn position(&self, id: u64) -> Result<usize, usize> {
        self.nodes.binary_search_by_key(&id, |node| node.id)
    }
}

/// The source of a front end's knowledge of the others.
pub(crate) enum KnownNodes {
    /// The membership protocol finds them.
    Discovered(Box<Membership>),
    /// The host provides them; `id` is this front end's own.
    Given { id: u64, directory: Arc<Directory> },
}

impl KnownNodes {
    /// The other front ends that are up.
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

    /// The number of other front ends that are up.
    pub(crate) fn count(&self) -> usize {
        match self {
            KnownNodes::Discovered(membership) => membership.other_member_count(),
            KnownNodes::Given { id, directory } => {
                directory.len() - usize::from(directory.position(*id).is_ok())
            }
        }
    }

    /// The address of the front end at this position of [`KnownNodes::iter`].
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

    /// The address of another front end by its id.
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

    /// The lease tree of all front ends that are up, with this leader as its root.
    pub(crate) fn topology(&self, leader: u64) -> LeaseTopology {
        match self {
            KnownNodes::Discovered(membership) => membership.topology(leader),
            KnownNodes::Given { id, directory } => {
                // The directory may not list this front end, which is up.
                let mut order = directory.order.clone();
                order.insert(*id);
                LeaseTopology::with_order(leader, order)
            }
        }
    }

    /// Announces this front end to another one, which may be down.
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

    /// Takes the datagrams to send and the events since the last call.
    pub(crate) fn take(&mut self) -> (Vec<Datagram>, Vec<MembershipEvent>) {
        match self {
            KnownNodes::Discovered(membership) => {
                (membership.take_datagrams(), membership.take_events())
            }
            KnownNodes::Given { .. } => (Vec::new(), Vec::new()),
        }
    }
}
