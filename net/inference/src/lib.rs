//! The sockets of a front end: calls of clients in, attempts to workers out, the dispatcher between.
//!
//! The path of a call: [`clients`] reads requests and gives each call to the [`driver`]; the driver passes events to the
//! state machine (`tansy_dispatch`) and executes its commands; [`attempts`] sends the request to a worker and reports
//! what comes back; the answer leaves through the call's [`response_queue`].
//!
//! Each module uses only those above it in this list:
//!
//! - [`options`]: bounds and metadata keys. [`directory`]: functions that the settings do not name.
//! - [`trailers`], [`answers`], [`messages`]: between the dispatcher's terms and gRPC's.
//! - [`response_queue`]: messages that wait for a client. [`call`]: what is kept of a call.
//! - [`attempts`], [`control`]: one attempt, one control request, from its command to its end.
//! - [`driver`]: feeds the dispatcher and executes its commands.
//! - `request_status`: requests that never become calls. [`queries`], [`status`]: questions that the front end answers
//!   itself. [`clients`]: the requests of clients.

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
