//! The platform protocol over sockets: client calls over HTTP/1.1, attempts and control requests to workers over
//! RESP, and the worker list from the coordinator's long poll. Everything runs on one thread; all decisions are made
//! by the dispatcher.
//!
//! Modules form layers; each uses only itself and the modules listed before it:
//!
//! - [`limits`], [`reasons`]: serving limits, and counters of why connections closed and requests were refused.
//! - [`outbox`]: the send queue of one connection. [`response_slot`]: hands a response to its client's task.
//! - [`call`]: the context of an accepted call and its attempts.
//! - [`worker_connection`]: one connection to a worker, which reports events to a
//!   [`worker_connection::events::ConnectionHandler`].
//! - [`worker_pool`]: the connections to one worker.
//! - [`driver`]: feeds the dispatcher, runs its commands and handles connection events.
//! - [`client`]: the listener and client connections. [`endpoint_poller`]: the coordinator's long poll.

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
