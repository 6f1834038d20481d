//! The identity of a process in the membership protocol.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tansy_agreement::lease::Member;

/// A process of a front end, as the others know it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId {
    /// The front end's number.
    pub id: u64,
    /// Which of its processes; a later one has a larger number.
    pub incarnation: u64,
    /// How often this process was taken for down and came back.
    pub renewals: u32,
    /// Its address.
    pub address: SocketAddr,
}

impl NodeId {
    /// A new process.
    pub fn new(id: u64, incarnation: u64, address: SocketAddr) -> NodeId {
        NodeId {
            id,
            incarnation,
            renewals: 0,
            address,
        }
    }

    /// The same without address and life.
    pub fn member(&self) -> Member {
        Member {
            id: self.id,
            incarnation: self.incarnation,
        }
    }
}

impl Identity for NodeId {
    type Addr = u64;

    fn renew(&self) -> Option<NodeId> {
        Some(NodeId {
            renewals: self.renewals.checked_add(1)?,
            ..self.clone()
        })
    }

    fn addr(&self) -> u64 {
        self.id
    }

    fn win_addr_conflict(&self, other: &NodeId) -> bool {
        (self.incarnation, self.renewals) > (other.incarnation, other.renewals)
    }
}
