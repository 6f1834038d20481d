//! Helpers shared by tests and test programs that use real sockets and processes.
//!
//! - [`address`]: reserved TCP addresses, known before the program that listens on them starts.
//! - [`platform_configuration`]: configurations for front ends that speak the platform's protocol.
//! - [`process`]: child processes that print their addresses once they serve, and are killed at the end of the test.
//! - [`fleet`]: front ends of one fleet as processes, and the operator's commands to them.
//! - [`folder`]: temporary folders that are removed at the end of a test.
//! - [`wait`]: polling for a state that another thread or process reaches.
//!
//! Product code must not depend on this crate. It contains no logic that is under test.
//!
//! ```
//! use tansy_test_support::address::ReservedAddress;
//!
//! let reserved = ReservedAddress::on([127, 0, 0, 1])?;
//! // A program under test can be started with this address; the kernel gives its port to no other socket.
//! let listener = std::net::TcpListener::bind(reserved.address())?;
//! assert_eq!(listener.local_addr()?, reserved.address());
//! # Ok::<(), std::io::Error>(())
//! ```

pub mod address;
pub mod fleet;
pub mod folder;
pub mod platform_configuration;
pub mod process;
pub mod wait;
