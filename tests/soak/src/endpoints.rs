//! Where clients reach each front end, and whether they may.

use crate::facts::FrontEndIndex;
use std::net::SocketAddr;
use std::sync::RwLock;

/// What clients know of a front end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Its address.
    pub address: SocketAddr,
    /// Which of its processes serves.
    pub process: u64,
    /// New requests go there.
    pub open: bool,
}

/// The endpoints of all front ends. As a load balancer's table, it changes while clients use it.
pub struct EndpointTable {
    endpoints: Vec<RwLock<Endpoint>>,
}

impl EndpointTable {
    /// None of them is open.
    pub fn new(addresses: impl IntoIterator<Item = SocketAddr>) -> EndpointTable {
        let closed = |address| {
            RwLock::new(Endpoint {
                address,
                process: 0,
                open: false,
            })
        };
        EndpointTable {
            endpoints: addresses.into_iter().map(closed).collect(),
        }
    }

    /// How many front ends there are.
    pub fn front_ends(&self) -> usize {
        self.endpoints.len()
    }

    /// The endpoint as it stands.
    pub fn get(&self, front_end: FrontEndIndex) -> Endpoint {
        *self.endpoints[front_end].read().expect("not poisoned")
    }

    /// Replaces an endpoint.
    pub fn set(&self, front_end: FrontEndIndex, endpoint: Endpoint) {
        *self.endpoints[front_end].write().expect("not poisoned") = endpoint;
    }
}
