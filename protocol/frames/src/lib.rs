//! Framing without I/O: HTTP/2 frame headers as they pass on a connection (RFC 9113, section 4.1), messages in
//! gRPC's length-prefixed form, and gRPC's time-out header.

pub mod grpc;
pub mod tap;
