//! The platform's protocol without sockets: the configuration, a client's fields to a call, a worker's reply to an outcome
//! and its trailers, the coordinator's events to changes of the list. Nothing is decided here.
//!
//! - [`config`]: the configuration file. [`request`]: a client's request. [`reply`]: a worker's reply.
//! - [`endpoints`]: the coordinator's events.

pub mod config;
pub mod endpoints;
pub mod reply;
pub mod request;

pub use config::{Config, ConfigError};
pub use endpoints::{EndpointChange, EndpointList, EndpointUpdates};
pub use reply::{parse_reply, WorkerReply};
pub use request::{CallRequest, RequestError, RequestSchema};
