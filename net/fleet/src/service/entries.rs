//! Operators' requests that append an entry to the replicated log.

use super::{check_fleet, decode, Rejection, Reply};
use crate::transport::FleetTransport;
use pb::enter_request::Entry;
use prost::Message;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;
use tansy_agreement::compatibility::{changed_fields, Compatibility, Fields};
use tansy_agreement::log::{ApplyOutcome, LogEntry, Version};
use tansy_agreement::scope::ScopeTransaction;
use tansy_fleet_node::{name_to_id, RequestRejection};
use tansy_fleet_wire::{decode_rollout_entry, decode_scope_transaction, decode_settings, pb};
use tansy_frames::grpc::Code;
use tansy_net_sockets::within;

/// Time within which an entry must be persisted.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(10);

/// Appends an entry to the log and waits for its outcome.
pub(super) async fn enter(transport: &Rc<FleetTransport>, fleet: u64, bytes: &[u8]) -> Reply {
    let request: pb::EnterRequest = decode(bytes)?;
    check_fleet(transport, request.fleet, fleet)?;
    let entry = request.entry;
    let entry = log_entry(
        transport,
        entry.ok_or_else(|| Rejection::invalid("no entry"))?,
    )?;
    let pending = transport.request(entry);
    let pending = pending.ok_or_else(|| {
        Rejection::new(
            Code::ResourceExhausted,
            "too many requests are pending: retry later",
        )
    })?;
    let outcome = poll_fn(|cx| pending.poll(cx));
    let outcome = within(transport.spawner.sleep(ENTRY_TIMEOUT), outcome).await;
    let outcome = outcome.ok_or_else(|| {
        Rejection::new(
            Code::Unavailable,
            "the entry was not persisted in time: retry with the same id to learn the result",
        )
    })?;
    let applied = outcome.map_err(rejection)?;
    Ok(enter_reply(&applied).encode_to_vec())
}

/// Validates a request and converts it to a log entry.
fn log_entry(transport: &FleetTransport, entry: Entry) -> Result<LogEntry, Rejection> {
    match entry {
        Entry::Propose(settings) => propose(transport, settings),
        Entry::Abandon(version) => Ok(LogEntry::Abandon {
            version: Version(version),
        }),
        Entry::Dismiss(name) => dismiss(transport, &name),
        Entry::ReplaceVoter(request) => replace_voter(transport, &request),
        Entry::Rollout(request) => rollout(transport, request),
        Entry::ScopeTransaction(request) => update_scopes(transport, request),
    }
}

fn propose(transport: &FleetTransport, settings: pb::Settings) -> Result<LogEntry, Rejection> {
    let settings = decode_settings(settings).map_err(Rejection::invalid)?;
    if settings.id == 0 {
        return Err(Rejection::invalid(
            "the proposal has no id: a retry could not be told from a new proposal",
        ));
    }
    (transport.validate_version)(&settings.fields).map_err(Rejection::invalid)?;
    Ok(LogEntry::Propose {
        id: settings.id,
        base: settings.version,
        fields: settings.fields,
        reason: settings.reason,
    })
}

fn dismiss(transport: &FleetTransport, name: &str) -> Result<LogEntry, Rejection> {
    transport.with_node(|node, _| {
        let Some(log) = node.log() else {
            // This node does not lead: it rejects any entry and names the leader.
            let version = Version(0);
            return Ok(LogEntry::Abandon { version });
        };
        match log.roster().find(|(_, rostered)| *rostered == name) {
            Some((member, _)) => Ok(LogEntry::Leave { member }),
            None => Err(Rejection::new(
                Code::NotFound,
                format!("no front end named {name:?} is on the roster"),
            )),
        }
    })
}

/// Starts the replacement of a voter, which may be down, by a front end that is up.
fn replace_voter(
    transport: &FleetTransport,
    request: &pb::ReplaceVoter,
) -> Result<LogEntry, Rejection> {
    let new = name_to_id(&request.new_voter);
    let replaced = name_to_id(&request.replaced);
    let address = transport.with_node(|node, _| {
        let found = node.other_members().find(|other| other.id == new);
        found.map(|other| other.address)
    });
    let address = address.ok_or_else(|| {
        Rejection::new(
            Code::NotFound,
            format!(
                "no front end named {:?} is up: start it with --state, then retry",
                request.new_voter
            ),
        )
    })?;
    Ok(LogEntry::BeginVoterReplacement {
        new,
        address,
        replaced,
    })
}

fn rollout(
    transport: &FleetTransport,
    request: pb::RolloutLogEntry,
) -> Result<LogEntry, Rejection> {
    let (entry, fields) = decode_rollout_entry(request).map_err(Rejection::invalid)?;
    if let Some(fields) = &fields {
        (transport.validate_version)(fields).map_err(Rejection::invalid)?;
        check_no_strict_changes(transport, fields)?;
    }
    Ok(LogEntry::Rollout {
        entry: Box::new(entry),
        fields,
    })
}

/// Rejects settings that differ from those in force in strict fields: front ends must not act on both at the same time, which
/// a rollout in stages requires.
fn check_no_strict_changes(transport: &FleetTransport, fields: &Fields) -> Result<(), Rejection> {
    let strict = transport.with_node(|node, now| {
        let state = node.active_state(now).state?;
        let changes = changed_fields(&node.config().schema, &state.in_force.fields, fields);
        let strict = changes
            .into_iter()
            .filter(|change| change.compatibility == Compatibility::Strict);
        let paths: Vec<_> = strict.map(|change| change.path).collect();
        Some(paths.join(", "))
    });
    match strict {
        Some(paths) if !paths.is_empty() => Err(Rejection::new(
            Code::FailedPrecondition,
            format!("{paths}: strict fields can't differ between front ends, so a rollout can't change them in stages: propose the change instead"),
        )),
        _ => Ok(()),
    }
}

fn update_scopes(
    transport: &FleetTransport,
    request: pb::ScopeTransaction,
) -> Result<LogEntry, Rejection> {
    let transaction = decode_scope_transaction(request).map_err(Rejection::invalid)?;
    if transaction.id == 0 {
        return Err(Rejection::invalid(
            "the change has no id: a retry could not be told from a new change",
        ));
    }
    check_functions(transport, &transaction)?;
    Ok(LogEntry::UpdateScopes {
        transactions: vec![transaction],
    })
}

/// Validates the fields that the transaction gives its functions.
fn check_functions(
    transport: &FleetTransport,
    transaction: &ScopeTransaction,
) -> Result<(), Rejection> {
    transport.with_node(|node, now| {
        // Without a state the classes are unknown here, so that the fields can't be validated. A node that does not lead
        // rejects the entry and names the leader.
        let Some(state) = node.active_state(now).state else {
            return Ok(());
        };
        for update in &transaction.updates {
            if let Some(fields) = &update.fields {
                (transport.validate_function)(&update.scope, fields, state)
                    .map_err(Rejection::invalid)?;
            }
        }
        Ok(())
    })
}

fn enter_reply(applied: &ApplyOutcome) -> pb::EnterReply {
    let version = match applied {
        ApplyOutcome::Announced(version) | ApplyOutcome::Duplicate(version) => version.0,
        ApplyOutcome::Advanced(_)
        | ApplyOutcome::RosterUpdated
        | ApplyOutcome::VotersChanged
        | ApplyOutcome::RolloutChanged
        | ApplyOutcome::ScopesChanged { .. } => 0,
    };
    let revision = match applied {
        ApplyOutcome::ScopesChanged { revision, .. } => revision.0,
        _ => 0,
    };
    pb::EnterReply {
        version,
        is_duplicate: matches!(applied, ApplyOutcome::Duplicate(_)),
        revision,
    }
}

fn rejection(rejection: RequestRejection) -> Rejection {
    let code = match rejection {
        RequestRejection::Log(_) => Code::Aborted,
        RequestRejection::NotLeader { .. } => Code::FailedPrecondition,
        RequestRejection::Busy => Code::ResourceExhausted,
        RequestRejection::Storage(_) | RequestRejection::LeadershipLost => Code::Unavailable,
    };
    Rejection::new(code, rejection.to_string())
}
