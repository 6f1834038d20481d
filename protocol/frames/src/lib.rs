//! Framing without I/O: HTTP/2 frame headers observed on a connection (RFC 9113, section 4.1), and gRPC's length-prefixed
//! messages, status codes and timeout header.
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
