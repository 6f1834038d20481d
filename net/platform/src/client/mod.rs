//! Client connections, in layers: [`table`] tracks open connections and selects which to evict, [`connection`] reads
//! requests and writes responses or a [`rejection`], [`session`] answers requests, [`listener`] accepts connections.
//! [`capacity`] frees connections for others, [`accept_queue`] tells how long connections waited to be accepted.

pub mod accept_queue;
pub mod capacity;
pub mod connection;
pub mod listener;
pub mod rejection;
pub mod session;
pub mod table;
