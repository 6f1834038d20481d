//! Client connections, in layers: [`table`] tracks open connections and selects which to evict, [`connection`] reads
//! requests and writes responses or a [`rejection`], [`session`] answers requests, [`listener`] accepts connections.

pub mod connection;
pub mod listener;
pub mod rejection;
pub mod session;
pub mod table;
