//! The platform's protocol on sockets: calls in over HTTP/1.1, attempts and control requests out to workers over RESP, the
//! list of workers from a coordinator's long poll. All on one thread; every choice is the dispatcher's.
//!
//! Layers, each using only those above it in this list:
//!
//! - [`limits`], [`reasons`]: the limits to serve by, and counters of why connections and requests ended.
//! - [`outbox`]: messages that wait to be sent on one connection. [`response_slot`]: where a call's response is put.
//! - [`call`]: a call on its way.
//! - [`worker_connection`]: one connection to a worker. It reports events to a handler, and knows nothing of who that is.
//! - [`worker_pool`]: the connections to one worker.
//! - [`driver`]: feeds the dispatcher, runs its commands, handles the events of connections.
//! - [`client`]: the listener and the connections of clients. [`endpoint_poller`]: the coordinator's long poll.

pub mod call;
pub mod client;
pub mod driver;
pub mod endpoint_poller;
pub mod limits;
pub mod outbox;
pub mod reasons;
pub mod response_slot;
pub mod worker_connection;
pub mod worker_pool;

pub use client::listener::ClientListener;
pub use driver::Driver;
pub use endpoint_poller::EndpointPoller;
pub use limits::ServingLimits;
