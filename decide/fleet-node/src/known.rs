//! Who is there: found by membership's letters, or told from outside.

use std::net::SocketAddr;
use std::sync::Arc;
use tansy_agreement::lease::Time;
use tansy_agreement::lease_tree::{LeaseTopology, RendezvousOrder};
use tansy_membership::{Datagram, Membership, MembershipEvent, NodeId, RejectedDatagram};

/// Who is there, as something beside the fleet knows it: one for all that are told, in place of a view that each has to
/// find and keep. A model of a large fleet has no memory for these.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// By their numbers.
    names: Vec<NodeId>,
    order: RendezvousOrder,
}

impl Directory {
    /// Of these processes; of two of one name the later.
    pub fn new(names: impl IntoIterator<Item = NodeId>) -> Directory {
        let mut names: Vec<NodeId> = names.into_iter().collect();
        names.sort_by(|a, b| (a.id, b.incarnation, b.life).cmp(&(b.id, a.incarnation, a.life)));
        names.dedup_by_key(|n| n.id);
        let order = names.iter().map(|n| n.id).collect();
        Directory { names, order }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    fn place(&self, id: u64) -> Result<usize, usize> {
        self.names.binary_search_by_key(&id, |n| n.id)
    }
}

/// What a peer knows of the others.
pub(crate) enum KnownNodes {
    Found(Box<Membership>),
    Told { me: u64, all: Arc<Directory> },
}

impl KnownNodes {
    /// The others.
    pub(crate) fn all(&self) -> impl Iterator<Item = &NodeId> {
        let (found, told) = match self {
            KnownNodes::Found(members) => (Some(members.all()), None),
            KnownNodes::Told { me, all } => (None, Some(all.names.iter().filter(|n| n.id != *me))),
        };
        found
            .into_iter()
            .flatten()
            .chain(told.into_iter().flatten())
    }

    /// How many others there are.
    pub(crate) fn count(&self) -> usize {
        match self {
            KnownNodes::Found(members) => members.count(),
            KnownNodes::Told { me, all } => all.len() - usize::from(all.place(*me).is_ok()),
        }
    }

    /// Where one of them is heard, by its place among [`KnownNodes::all`].
    pub(crate) fn nth(&self, n: usize) -> Option<SocketAddr> {
        match self {
            KnownNodes::Found(members) => members.all().nth(n).map(|n| n.address),
            KnownNodes::Told { me, all } => {
                let skip = all.place(*me).is_ok_and(|at| at <= n);
                all.names.get(n + usize::from(skip)).map(|n| n.address)
            }
        }
    }

    /// Where the one of this number is heard.
    pub(crate) fn address(&self, id: u64) -> Option<SocketAddr> {
        match self {
            KnownNodes::Found(members) => members.address(id),
            KnownNodes::Told { me, .. } if *me == id => None,
            KnownNodes::Told { all, .. } => all.place(id).ok().map(|at| all.names[at].address),
        }
    }

    /// The view for leases.
    pub(crate) fn view(&self, seat: u64) -> LeaseTopology {
        match self {
            KnownNodes::Found(members) => members.topology(seat),
            KnownNodes::Told { me, all } => {
                // Itself is there, told or not.
                let mut order = all.order.clone();
                order.insert(*me);
                LeaseTopology::with_order(seat, order)
            }
        }
    }

    pub(crate) fn join(&mut self, now: Time, to: NodeId) {
        if let KnownNodes::Found(members) = self {
            members.join(now, to);
        }
    }

    pub(crate) fn leave(&mut self, now: Time) {
        if let KnownNodes::Found(members) = self {
            members.leave(now);
        }
    }

    pub(crate) fn hear(&mut self, now: Time, bytes: &[u8]) -> Result<(), RejectedDatagram> {
        match self {
            KnownNodes::Found(members) => members.on_datagram(now, bytes),
            KnownNodes::Told { .. } => Ok(()),
        }
    }

    pub(crate) fn tick(&mut self, now: Time) {
        if let KnownNodes::Found(members) = self {
            members.tick(now);
        }
    }

    pub(crate) fn next(&self) -> Time {
        match self {
            KnownNodes::Found(members) => members.next_deadline().unwrap_or(Time::MAX),
            KnownNodes::Told { .. } => Time::MAX,
        }
    }

    pub(crate) fn take(&mut self) -> (Vec<Datagram>, Vec<MembershipEvent>) {
        match self {
            KnownNodes::Found(members) => (members.take_datagrams(), members.take_events()),
            KnownNodes::Told { .. } => (Vec::new(), Vec::new()),
        }
    }
}
