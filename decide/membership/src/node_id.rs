//! The identity of a process in the membership protocol.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tansy_agreement::lease::Member;

/// Identity and address of a front end's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId {
    /// Id of the front end.
    pub id: u64,
    /// Incarnation of the process, which increases with each restart of the front end.
    pub incarnation: u64,
    /// How often the process renewed its identity, because others had declared it down.
    #[serde(rename = "life")]
    pub renewals: u32,
    /// Address of the front end.
    pub address: SocketAddr,
}

impl NodeId {
    /// The identity of a new process.
    pub fn new(id: u64, incarnation: u64, address: SocketAddr) -> NodeId {
        NodeId {
            id,
            incarnation,
            renewals: 0,
            address,
        }
    }

    /// The id and incarnation.
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
