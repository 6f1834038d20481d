//! gRPC over HTTP/2 on a calloop loop, one thread: listeners and server streams, links to servers and exchanges on
//! them. What has really left or reached a socket is followed by its frame headers (`tansy_frames::tap`).
//!
//! - [`io`], [`traffic`]: the socket under the HTTP/2 library, and what has passed on it.
//! - [`link`], [`exchange`]: the client's side: one connection to a server, one request on it.
//! - [`server`], [`requests`], [`responses`]: the server's side: connections, the messages of requests, answers.
//! - [`status_server`]: a small port for health checks and counters.

pub mod exchange;
pub mod io;
pub mod link;
pub mod requests;
pub mod responses;
pub mod server;
pub mod status_server;
pub mod traffic;
