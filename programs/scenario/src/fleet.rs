//! Helpers for scenarios with a fleet of front ends: settings text, reserved addresses, and readiness.

use crate::error::ScenarioError;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tansy_fleet::client::Client;
use tansy_fleet_wire::pb::StatusReply;
use tansy_test_support::address::ReservedAddress;

/// The value of `fleet.seats` in the settings; front end `fN` has the address `peers[N]`.
pub(crate) fn voter_list(peers: &[SocketAddr], voters: usize) -> String {
    let voter = |(index, address): (usize, &SocketAddr)| {
        format!("{{name: \"f{index}\", address: \"{address}\"}}")
    };
    let entries: Vec<String> = peers[..voters].iter().enumerate().map(voter).collect();
    entries.join(", ")
}

/// The settings without the `fleet` line, for processes that belong to no fleet.
pub(crate) fn without_fleet(settings: &str) -> String {
    let lines: Vec<&str> = settings
        .lines()
        .filter(|line| !line.starts_with("fleet:"))
        .collect();
    lines.join("\n")
}

/// Reserves one address for each host.
///
/// A front end keeps its address across restarts. The hosts are loopback addresses that no connection of the scenario is made from,
/// so the kernel can't assign a reserved port to an outgoing connection while the front end is down.
pub(crate) fn reserve_addresses(
    hosts: impl Iterator<Item = [u8; 4]>,
) -> io::Result<Vec<ReservedAddress>> {
    hosts.map(ReservedAddress::on).collect()
}

/// The socket addresses of the reservations.
pub(crate) fn addresses(reserved: &[ReservedAddress]) -> Vec<SocketAddr> {
    reserved.iter().map(ReservedAddress::address).collect()
}

/// Address and status of the voter that reports itself as the leader, if one does.
pub(crate) fn find_leader(
    client: &mut Client,
    voters: &[SocketAddr],
) -> Option<(SocketAddr, StatusReply)> {
    let statuses = client.statuses(voters);
    let mut answers = voters.iter().zip(statuses);
    answers.find_map(|(voter, status)| {
        let status = status.ok().filter(|status| status.is_leader)?;
        Some((*voter, status))
    })
}

/// Timeout and poll interval of [`wait_until_ready`].
pub(crate) struct ReadinessPolling {
    /// Maximum time until the fleet is ready.
    pub timeout: Duration,
    /// Time between two status requests.
    pub interval: Duration,
}

/// Waits until each member of a fleet has a lease and a session, and knows all other members.
pub(crate) fn wait_until_ready(
    client: &mut Client,
    members: &[SocketAddr],
    polling: &ReadinessPolling,
) -> Result<(), ScenarioError> {
    let started = Instant::now();
    let is_ready = |status: &StatusReply| {
        status.lease_remaining > 0
            && status.session_remaining > 0
            && status.other_members.len() + 1 == members.len()
    };
    loop {
        let statuses = client.statuses(members);
        if statuses
            .iter()
            .all(|status| status.as_ref().is_ok_and(is_ready))
        {
            return Ok(());
        }
        if started.elapsed() > polling.timeout {
            return Err(ScenarioError::FleetNotReady {
                timeout: polling.timeout,
                statuses: format!("{statuses:?}"),
            });
        }
        client.wait(polling.interval);
    }
}
