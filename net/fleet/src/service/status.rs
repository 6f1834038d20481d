//! The status of a front end: the state that it acts on, and the members that it knows.

use super::{changing_functions, check_fleet, decode, Reply};
use crate::transport::FleetTransport;
use prost::Message;
use tansy_agreement::compatibility::AffectedCalls;
use tansy_agreement::lease::Time;
use tansy_agreement::log::ReplacementPhase;
use tansy_fleet_node::{ActiveState, FleetNode};
use tansy_fleet_wire::{encode_member, encode_process, encode_state, pb};

pub(super) fn status(transport: &FleetTransport, fleet: u64, bytes: &[u8]) -> Reply {
    let request: pb::StatusRequest = decode(bytes)?;
    check_fleet(transport, request.fleet, fleet)?;
    let reply = transport.with_node(|node, now| status_reply(transport, node, now));
    Ok(reply.encode_to_vec())
}

fn status_reply(transport: &FleetTransport, node: &FleetNode, now: Time) -> pb::StatusReply {
    let setup = node.config();
    let active = node.active_state(now);
    let voters = node.voters();
    let blockers = node.change_blockers(now);
    let waits_for_leases = blockers.as_ref().is_some_and(|blockers| blockers.leases);
    let waits_for = blockers
        .map(|blockers| blockers.sessions.into_iter().map(encode_member).collect())
        .unwrap_or_default();
    pb::StatusReply {
        fleet: transport.fleet.clone(),
        name: setup.name.clone(),
        process: Some(encode_process(&setup.node)),
        leader_address: node.leader_address().to_string(),
        voter_addresses: voters.iter().map(|voter| voter.1.to_string()).collect(),
        is_leader: node.log().is_some(),
        voter_replacement: voter_replacement(node),
        state: active.state.map(encode_state),
        lease_remaining: active.lease_remaining,
        session_remaining: active.session_remaining,
        other_members: node.other_members().map(encode_process).collect(),
        conflicting: conflicting_calls(node, &active),
        roster: roster(node),
        blocked_by_leases: waits_for_leases,
        blocking_members: waits_for,
        error: transport.error.borrow().clone().unwrap_or_default(),
        subscriptions: node.subscription_count() as u64,
        blocked_functions: changing_functions(node, now),
    }
}

fn voter_replacement(node: &FleetNode) -> Option<pb::VoterReplacement> {
    let (_, log) = node.applied_log()?;
    let replacement = log.voter_replacement()?;
    let replaced = node.address(replacement.replaced);
    Some(pb::VoterReplacement {
        new_voter: replacement.address.to_string(),
        replaced: replaced
            .map(|address| address.to_string())
            .unwrap_or_default(),
        is_voting: replacement.phase == ReplacementPhase::JointConsensus,
    })
}

fn conflicting_calls(node: &FleetNode, active: &ActiveState<'_>) -> Vec<pb::ConflictingCalls> {
    let schema = &node.config().schema;
    let conflicts = active.state.map(|state| state.conflicting_fields(schema));
    let mut calls: Vec<String> = conflicts
        .unwrap_or_default()
        .iter()
        .map(|conflict| describe(&conflict.affected))
        .collect();
    calls.sort();
    calls.dedup();
    calls
        .into_iter()
        .map(|calls| pb::ConflictingCalls { calls })
        .collect()
}

fn describe(affected: &AffectedCalls) -> String {
    match affected {
        AffectedCalls::All => "all".into(),
        AffectedCalls::Class(name) => format!("class {name}"),
        AffectedCalls::Tenant(name) => format!("tenant {name}"),
        AffectedCalls::Function(name) => format!("function {name}"),
    }
}

fn roster(node: &FleetNode) -> Vec<pb::RosterEntry> {
    let Some(log) = node.log() else {
        return Vec::new();
    };
    let rostered = |(entry, name): (_, &str)| pb::RosterEntry {
        member: Some(encode_member(entry)),
        name: name.into(),
    };
    log.roster().map(rostered).collect()
}
