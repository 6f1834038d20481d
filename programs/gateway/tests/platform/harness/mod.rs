//! The environment of a front end under test, on loopback and on ports that the kernel chooses.
//!
//! - [`front_end`]: a front end on its own thread.
//! - [`process`]: the program as a separate process.
//! - [`manual`]: a front end whose event loop the test runs step by step, with a worker and a coordinator that act only when the
//!   test calls them.
//! - [`worker`], [`coordinator`], [`client`]: the peers of a front end; [`http`]: their HTTP messages.
//! - [`configuration`]: configurations of front ends.
//! - [`scenarios`]: initial states that several tests share.
//! - [`network`]: the kernel's state of TCP connections.

pub mod client;
pub mod configuration;
pub mod coordinator;
pub mod front_end;
pub mod http;
pub mod manual;
pub mod network;
pub mod process;
pub mod scenarios;
pub mod worker;

pub use client::{call, Call, Client};
pub use configuration::{configuration_at, configuration_for, write_configuration, ANY_PORT};
pub use coordinator::Coordinator;
pub use front_end::FrontEnd;
pub use http::reply;
pub use network::unused_address;
pub use tansy_test_support::platform_configuration::PlatformConfiguration;
pub use worker::{array, served, serving, worker_with_delayed_answers, Worker};

use std::time::{Duration, Instant};

/// Waits until a condition holds, for at most ten seconds.
pub fn until(description: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(10);
    while !holds() {
        assert!(Instant::now() < end, "not within 10 s: {description}");
        std::thread::yield_now();
    }
}
