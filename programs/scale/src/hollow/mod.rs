//! A process of hollow front ends: each runs the gateway's fleet node on the gateway's fleet transport, and takes no calls.
//!
//! The parent sends commands as JSON lines on standard input and reads events as JSON lines from standard output. The process ends when
//! its input does, so that it never outlives its parent.
//!
//! - [`protocol`]: commands, events and counters.
//! - [`process`]: the event loop, and what each command does.
//! - `front_ends`: the front ends of one process, their calls and their settings in force.
//! - `watch`: when a change of a separately agreed function takes effect at those that subscribe to it.
//! - `transport`: messages between hollow front ends.
//!
//! It measures nothing but its own counters, and judges nothing: the parent does both.

pub mod process;
pub mod protocol;

mod front_ends;
mod transport;
mod watch;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Front ends that have a loopback address each.
pub const MAX_FRONT_ENDS: usize = 65_000;

/// The loopback address of a front end; `network`, the second octet, keeps runs at the same time apart.
pub fn loopback_address(network: u8, front_end: u32) -> Ipv4Addr {
    let [.., high, low] = (front_end + 1).to_be_bytes();
    Ipv4Addr::new(127, network, high, low)
}

/// The front end with this address; none: it is no address of this run's network.
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
