//! Operators' queries other than the status: versions, counters, the last rollout, functions.

use super::{changing_functions, check_fleet, decode, Rejection, Reply};
use crate::transport::FleetTransport;
use prost::Message;
use tansy_agreement::log::FleetState;
use tansy_agreement::scope::MAX_UPDATES_PER_TRANSACTION;
use tansy_fleet_wire::{encode_scope_record, encode_settings, pb};
use tansy_frames::grpc::Code;

/// The versions that the leader retains.
pub(super) fn history(transport: &FleetTransport, fleet: u64, bytes: &[u8]) -> Reply {
    let request: pb::HistoryRequest = decode(bytes)?;
    check_fleet(transport, request.fleet, fleet)?;
    transport.with_node(|node, _| {
        let Some(log) = node.log() else {
            let leader = node.leader_address();
            let reason = format!("this front end does not lead the fleet: ask {leader}");
            return Err(Rejection::new(Code::FailedPrecondition, reason));
        };
        let state = log.state();
        let next = state.next.as_ref();
        let reply = pb::HistoryReply {
            versions: log.history().map(encode_settings).collect(),
            in_force: state.in_force.version.0,
            next: next.map_or(0, |(next, _)| next.version.0),
        };
        Ok(reply.encode_to_vec())
    })
}

/// The counters of this front end.
pub(super) fn counts(transport: &FleetTransport, fleet: u64, bytes: &[u8]) -> Reply {
    let request: pb::CountsRequest = decode(bytes)?;
    check_fleet(transport, request.fleet, fleet)?;
    let mut reply = (transport.read_counters)();
    let traffic = transport.traffic();
    reply.traffic = Some(pb::TrafficCounters {
        received: traffic.received,
        received_bytes: traffic.received_bytes,
        sent: traffic.sent,
        sent_bytes: traffic.sent_bytes,
        dropped: transport.dropped(),
    });
    transport.with_node(|node, now| {
        let setup = node.config();
        let active = node.active_state(now);
        reply.name = setup.name.clone();
        reply.incarnation = setup.node.incarnation;
        reply.ready =
            active.lease_remaining > 0 && active.session_remaining > 0 && active.state.is_some();
        reply.uptime = node.active_for(now);
        reply.is_voter = node.voters().iter().any(|voter| voter.0 == setup.node.id);
        let state = active.state;
        reply.acts_on_canary = state.is_some_and(|state| acts_on_canary(state, &setup.name));
    });
    Ok(reply.encode_to_vec())
}

fn acts_on_canary(state: &FleetState, name: &str) -> bool {
    let canary = state.canary.as_ref();
    state.next.is_none() && canary.is_some_and(|canary| canary.members.contains(name))
}

/// The last rollout, and the program that all front ends are to run.
pub(super) fn rollout(transport: &FleetTransport, fleet: u64, bytes: &[u8]) -> Reply {
    let request: pb::RolloutRequest = decode(bytes)?;
    check_fleet(transport, request.fleet, fleet)?;
    transport.with_node(|node, _| {
        let (_, log) = node
            .applied_log()
            .ok_or_else(|| Rejection::not_a_voter(node))?;
        let (label, path) = log.program().unwrap_or_default();
        let rollout = log.rollout();
        let reply = pb::RolloutReply {
            rollout: rollout
                .and_then(|rollout| serde_json::to_string(rollout).ok())
                .unwrap_or_default(),
            label: label.into(),
            path: path.into(),
            is_leader: node.log().is_some(),
        };
        Ok(reply.encode_to_vec())
    })
}

/// The records of functions that have a scope of their own, and the result of a transaction.
pub(super) fn functions(transport: &FleetTransport, fleet: u64, bytes: &[u8]) -> Reply {
    let request: pb::FunctionsRequest = decode(bytes)?;
    check_fleet(transport, request.fleet, fleet)?;
    let requested = request.names.len();
    if requested > MAX_UPDATES_PER_TRANSACTION {
        return Err(Rejection::invalid(format!(
            "{requested} functions requested: want at most {MAX_UPDATES_PER_TRANSACTION}"
        )));
    }
    transport.with_node(|node, now| {
        let (_, log) = node
            .applied_log()
            .ok_or_else(|| Rejection::not_a_voter(node))?;
        let catalog = log.catalog();
        let named = |name: String| pb::NamedFunction {
            record: catalog.get(&name).map(encode_scope_record),
            name,
        };
        let result = catalog.transaction_result(request.id);
        let reply = pb::FunctionsReply {
            functions: request.names.into_iter().map(named).collect(),
            transaction_result: result.map(|result| pb::TransactionResult {
                revision: result.revision.0,
                joint: result.joint,
                in_force: result.in_force,
                reverted: result.reverted,
            }),
            blocked_functions: changing_functions(node, now),
        };
        Ok(reply.encode_to_vec())
    })
}
