//! The status of the fleet and of its voters, and the removal of a front end from the roster.

use crate::client::Client;
use crate::rows::{FleetStatus, FrontEndStatus};
use crate::{parse_address, scopes, CommandContext, FleetError};
use std::net::SocketAddr;
use tansy_fleet_wire::pb;
use tansy_fleet_wire::pb::enter_request::Entry;
use tansy_net_fleet::client::RequestError;

/// `status`: prints the front ends, their versions, and what a change in progress waits for.
pub(crate) fn status(context: &mut CommandContext) -> Result<(), FleetError> {
    let fleet = fleet_status(&mut context.client, context.front_end)?;
    context.output.show(&fleet, || fleet.to_text());
    Ok(())
}

/// `dismiss`: removes a front end from the roster.
pub(crate) fn dismiss(context: &mut CommandContext, name: String) -> Result<(), FleetError> {
    let leader = context.leader()?;
    context.client.enter(leader, Entry::Dismiss(name.clone()))?;
    context
        .output
        .done(&format!("{name} was removed from the roster"));
    Ok(())
}

/// `seats`: prints the voters, as known by the leader, or by the front end that is asked first if the leader does not answer. Voters
/// know them from the log, other front ends from their settings.
pub(crate) fn voters(context: &mut CommandContext) -> Result<(), FleetError> {
    let leader = context.leader()?;
    let known = context
        .client
        .status(leader)
        .or_else(|_| context.client.status(context.front_end))?;
    let addresses = known
        .voter_addresses
        .iter()
        .map(|address| parse_address(address))
        .collect::<Result<Vec<_>, _>>()?;
    let answers = context.client.statuses(&addresses);
    let rows: Vec<FrontEndStatus> = addresses
        .iter()
        .zip(answers)
        .map(|(address, answer)| front_end_status(*address, answer.as_ref()))
        .collect();
    context.output.show(&rows, || {
        rows.iter().map(FrontEndStatus::voter_line).collect()
    });
    Ok(())
}

fn front_end_status(
    address: SocketAddr,
    answer: Result<&pb::StatusReply, &RequestError>,
) -> FrontEndStatus {
    match answer {
        Ok(status) => FrontEndStatus::of(status),
        Err(error) => FrontEndStatus::unreachable(address.to_string(), error.to_string()),
    }
}

/// The fleet's status, from the answers of the front end at this address and of all front ends that it knows.
pub(crate) fn fleet_status(
    client: &mut Client,
    address: SocketAddr,
) -> Result<FleetStatus, FleetError> {
    let first = client.status(address)?;
    let others: Vec<SocketAddr> = first
        .other_members
        .iter()
        .filter_map(|process| process.address.parse().ok())
        .collect();
    let answers = client.statuses(&others);
    let mut front_ends = vec![FrontEndStatus::of(&first)];
    for (address, answer) in others.iter().zip(&answers) {
        front_ends.push(front_end_status(*address, answer.as_ref()));
    }
    front_ends.sort_by(|one, other| one.name.cmp(&other.name));
    let leader = std::iter::once(&first)
        .chain(answers.iter().flatten())
        .find(|status| status.is_leader);
    Ok(join(&first, leader, front_ends))
}

/// Combines the answers. `first`: the answer of the front end that was asked first. `leader`: the leader's answer, which tells what
/// changes wait for.
fn join(
    first: &pb::StatusReply,
    leader: Option<&pb::StatusReply>,
    front_ends: Vec<FrontEndStatus>,
) -> FleetStatus {
    let roster: &[pb::RosterEntry] = leader.map_or(&[], |leader| &leader.roster);
    let name = |member: &pb::Member| {
        roster
            .iter()
            .find(|entry| {
                entry
                    .member
                    .as_ref()
                    .is_some_and(|known| known.id == member.id)
            })
            .map_or_else(|| format!("{:x}", member.id), |entry| entry.name.clone())
    };
    let is_away = |entry: &&pb::RosterEntry| !front_ends.iter().any(|row| row.name == entry.name);
    let away = roster
        .iter()
        .filter(is_away)
        .map(|entry| entry.name.clone())
        .collect();
    let conflicting = leader.unwrap_or(first).conflicting.iter();
    FleetStatus {
        fleet: first.fleet.clone(),
        leader: first.leader_address.clone(),
        away,
        conflicting: conflicting.map(|calls| calls.calls.clone()).collect(),
        waits_for: leader.map_or(Vec::new(), |leader| {
            leader.blocking_members.iter().map(name).collect()
        }),
        waits_for_leases: leader.is_some_and(|leader| leader.blocked_by_leases),
        changing: leader
            .map(|leader| scopes::awaited_front_ends(&leader.blocked_functions))
            .unwrap_or_default(),
        front_ends,
    }
}
