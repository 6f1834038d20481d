//! gRPC over HTTP/2 on a calloop loop, one thread: listeners and server streams, links to servers and exchanges on
//! them. What has truly left or reached a socket is watched by its frame headers (`tansy_frames::tap`).

pub mod exchange;
pub mod io;
pub mod link;
pub mod server;
pub mod side;
