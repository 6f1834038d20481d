//! Framing without I/O: HTTP/2 frame headers as they pass on a connection (RFC 9113, section 4.1), messages in
//! gRPC's length-prefixed form, and gRPC's time-out header.
//!
//! ```
//! use tansy_frames::grpc::{frame, Assembler};
//!
//! let mut assembler = Assembler::new(1024);
//! assembler.push(&frame(b"message"));
//! let message = assembler.next_message()?;
//! assert_eq!(message.as_deref(), Some(&b"message"[..]));
//! # Ok::<(), tansy_frames::grpc::FrameError>(())
//! ```

pub mod grpc;
pub mod tap;
