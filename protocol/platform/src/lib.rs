//! The platform's protocol without I/O.
//!
//! - [`config`]: reads the configuration file.
//! - [`request`]: parses a client's request to a call, and writes the fields of an attempt.
//! - [`reply`]: parses a worker's answer to an outcome and trailers.
//! - [`endpoints`]: converts the coordinator's events to changes of the worker list.

pub mod config;
pub mod endpoints;
pub mod reply;
pub mod request;

pub use config::{Config, ConfigError};
pub use endpoints::{EndpointChange, EndpointList, EndpointUpdates};
pub use reply::{parse_answer, AnswerError, WorkerAnswer, WorkerReply};
pub use request::{CallRequest, RequestError, RequestSchema};
