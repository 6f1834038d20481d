//! A process of hollow front ends, each of which runs the gateway's fleet node on the gateway's fleet transport but takes no calls.
//!
//! The parent writes commands as JSON lines to standard input and reads events as JSON lines from standard output. The process exits when
//! its input is closed, so that it never outlives its parent.
//!
//! - [`protocol`]: commands, events and counters.
//! - [`process`]: the event loop, and how commands are executed.
//! - `front_ends`: the front ends of one process, the functions they call and the settings they have in force.
//! - `watch`: detects when an update of a function takes effect at the front ends that subscribe to it.
//! - `transport`: messages between hollow front ends.
//!
//! The process only reports counters and events; the parent evaluates them.

pub mod process;
pub mod protocol;

mod front_ends;
mod transport;
mod watch;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Maximum number of front ends, so that each has a loopback address of its own.
pub const MAX_FRONT_ENDS: usize = 65_000;

/// Returns the loopback address of a front end. `network` is the second octet and separates concurrent runs.
pub fn loopback_address(network: u8, front_end: u32) -> Ipv4Addr {
    let [.., high, low] = (front_end + 1).to_be_bytes();
    Ipv4Addr::new(127, network, high, low)
}

/// Returns the front end with this address, or `None` if the address is not in this run's network.
fn front_end_at(network: u8, address: SocketAddr) -> Option<u32> {
    let IpAddr::V4(ip) = address.ip() else {
        return None;
    };
    match ip.octets() {
        [127, second, high, low] if second == network => {
            u32::from_be_bytes([0, 0, high, low]).checked_sub(1)
        }
        _ => None,
    }
}
