//! The gRPC data path of a front end: accepts calls from clients, sends attempts to workers and drives the dispatcher.
//!
//! The path of a call: [`clients`] reads the request and passes the call to the [`driver`]. The driver feeds events to the
//! dispatcher's state machine (`tansy_dispatch`) and executes its commands. [`attempts`] sends the request to a worker and
//! reports the response, which reaches the client through the [`response_queue`] of the call.
//!
//! Each module uses only those above it in this list:
//!
//! - [`options`]: limits and metadata keys. [`directory`]: lookup of functions that the settings do not name.
//! - [`trailers`], [`answers`], [`messages`]: convert between the dispatcher's types and gRPC's.
//! - [`response_queue`]: messages queued for a client. [`call`]: the state of a call in progress.
//! - [`attempts`], [`control`]: run one attempt or one control request from its command to its end.
//! - [`driver`]: feeds the dispatcher and executes its commands.
//! - `request_status`: the status of a request that is rejected before it becomes a call. [`queries`], [`status`]:
//!   requests that the front end answers without a worker. [`clients`]: serves the requests of clients.

pub mod answers;
pub mod attempts;
pub mod call;
pub mod clients;
pub mod control;
pub mod directory;
pub mod driver;
pub mod messages;
pub mod options;
pub mod queries;
mod request_status;
pub mod response_queue;
pub mod status;
pub mod trailers;

pub use directory::{DirectoryEntry, FunctionDirectory};
pub use driver::Driver;
pub use options::{DriverOptions, MetadataKeys, WorkerEndpoint};
