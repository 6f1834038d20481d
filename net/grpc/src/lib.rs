//! gRPC over HTTP/2 on a single-threaded calloop event loop: servers, links to servers, and exchanges on them. Client
//! connections follow the frame headers on the wire (`tansy_frames::tap`) to learn what was really sent and received.
//!
//! - [`io`], [`traffic`]: the buffered socket under the HTTP/2 library, and what has been transferred on it.
//! - [`link`], [`exchange`]: the client side: a reconnecting connection to a server, and one request with its
//!   response.
//! - [`server`], [`requests`], [`responses`]: the server side: connections, request messages and responses.
//! - [`status_server`]: an HTTP/1.1 server for health checks and counters.

pub mod exchange;
pub mod io;
pub mod link;
pub mod requests;
pub mod responses;
pub mod server;
pub mod status_server;
pub mod traffic;
