//! The addresses of the front ends, and whether clients may send to them.

use crate::facts::FrontEndIndex;
use std::net::SocketAddr;
use std::sync::RwLock;

/// A front end as its clients see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The front end's address, the same for all its processes.
    pub address: SocketAddr,
    /// The number of the process that serves.
    pub process: u64,
    /// Whether clients may send new requests.
    pub open: bool,
}

/// The endpoints of all front ends. Like the table of a load balancer, it changes while clients use it.
pub struct EndpointTable {
    endpoints: Vec<RwLock<Endpoint>>,
}

impl EndpointTable {
    /// A table in which no endpoint is open yet.
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

    /// Number of front ends.
    pub fn front_ends(&self) -> usize {
        self.endpoints.len()
    }

    /// The present endpoint of a front end.
    pub fn get(&self, front_end: FrontEndIndex) -> Endpoint {
        *self.endpoints[front_end].read().expect("not poisoned")
    }

    /// Replaces the endpoint of a front end.
    pub fn set(&self, front_end: FrontEndIndex, endpoint: Endpoint) {
        *self.endpoints[front_end].write().expect("not poisoned") = endpoint;
    }
}
