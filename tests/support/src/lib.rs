//! What tests and test programs with real sockets share.
//!
//! - [`address`]: addresses that are known before the program that listens there starts.
//! - [`platform_configuration`]: configurations of front ends that speak the platform's protocol.
//! - [`process`]: programs that say where they serve, and end with the test.
//! - [`fleet`]: front ends of a fleet as processes, and what an operator asks them.
//! - [`folder`]: folders that end with the test.
//! - [`wait`]: waiting for a state that another process reaches by itself.
//!
//! It is not for product code, and decides nothing that a test judges.
//!
//! ```
//! use tansy_test_support::address::ReservedAddress;
//!
//! let reserved = ReservedAddress::on([127, 0, 0, 1])?;
//! // A program that is started now can be told this address, and nobody else is given it.
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
