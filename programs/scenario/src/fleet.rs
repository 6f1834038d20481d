//! What the scenarios with a fleet of front ends share: texts of its settings, reserved addresses, and waiting until it is ready.

use crate::error::ScenarioError;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tansy_fleet::client::Client;
use tansy_fleet_wire::pb::StatusReply;
use tansy_test_support::address::ReservedAddress;

/// The voters as a settings file lists them; each front end `fN` has the Nth address.
pub(crate) fn voter_list(peers: &[SocketAddr], voters: usize) -> String {
    let voter = |(index, address): (usize, &SocketAddr)| {
        format!("{{name: \"f{index}\", address: \"{address}\"}}")
    };
    let entries: Vec<String> = peers[..voters].iter().enumerate().map(voter).collect();
    entries.join(", ")
}

/// The settings without the fleet, for processes that are in none.
pub(crate) fn without_fleet(settings: &str) -> String {
    let lines: Vec<&str> = settings
        .lines()
        .filter(|line| !line.starts_with("fleet:"))
        .collect();
    lines.join("\n")
}

/// Reserves one address for each host.
///
/// Each name keeps its address over its processes. The hosts are loopback addresses that nothing else here connects from: what
/// the kernel gives to connections is never one of these while a process is away.
pub(crate) fn reserve_addresses(
    hosts: impl Iterator<Item = [u8; 4]>,
) -> io::Result<Vec<ReservedAddress>> {
    hosts.map(ReservedAddress::on).collect()
}

/// The addresses themselves.
pub(crate) fn addresses(reserved: &[ReservedAddress]) -> Vec<SocketAddr> {
    reserved.iter().map(ReservedAddress::address).collect()
}

/// The leader of a fleet, as far as any voter says of itself, and its status.
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

/// How long, and how often, front ends are asked whether they are ready.
pub(crate) struct ReadinessPolling {
    /// The longest time that is waited.
    pub timeout: Duration,
    /// Time between two questions.
    pub interval: Duration,
}

/// Waits until all members of a fleet have found each other and may act.
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
