//! Scopes: what the log accepts, what a front end subscribes to, and random histories of both.

mod catalog;
mod histories;
mod subscriptions;
#[path = "../support/mod.rs"]
mod support;

use tansy_agreement::compatibility::{
    Compatibility, ExpiredLeasePolicy, Fields, Restrictiveness, Schema, Value,
};
use tansy_agreement::lease::LeaseTiming;
use tansy_agreement::log::{ApplyOutcome, EntryRejection, Log, LogEntry, Revision};
use tansy_agreement::scope::{ScopeTransaction, ScopeUpdate};
use tansy_agreement::session::{SessionTable, SubscribeOutcome};
use tansy_agreement::subscription::{SubscribeReply, SubscribeRequest};

const SESSION: LeaseTiming = LeaseTiming {
    span: 6_000_000,
    drift_ppm: 1_000,
};

fn schema() -> Schema {
    let joint = Compatibility::Joint(
        Restrictiveness::Smallest,
        ExpiredLeasePolicy::Strictest(Value::Int(1)),
    );
    Schema::new([
        ("functions.*.class", Compatibility::Strict),
        ("functions.*.lanes", joint),
    ])
}

fn fields(class: i64, lanes: i64) -> Fields {
    [("class", Value::Int(class)), ("lanes", Value::Int(lanes))]
        .map(|(name, value)| (name.to_string(), value))
        .into()
}

fn update(scope: &str, base: u64, fields: Option<Fields>) -> ScopeUpdate {
    ScopeUpdate {
        scope: scope.into(),
        base: Revision(base),
        fields,
    }
}

fn transaction(id: u64, updates: Vec<ScopeUpdate>) -> ScopeTransaction {
    ScopeTransaction {
        id,
        updates,
        reason: String::new(),
    }
}

fn apply(log: &mut Log, transactions: Vec<ScopeTransaction>) -> Vec<(usize, EntryRejection)> {
    match log.apply(LogEntry::UpdateScopes { transactions }) {
        Ok(ApplyOutcome::ScopesChanged { rejected, .. }) => rejected,
        other => panic!("{other:?}"),
    }
}

/// Brings changes in progress in force, or reverts them, and then settles them.
fn finish(log: &mut Log, revert: bool) {
    for _ in 0..2 {
        let open: Vec<(String, Revision, bool)> = log
            .catalog()
            .unsettled()
            .filter_map(|(name, record)| {
                Some((
                    name.to_string(),
                    record.phase.since()?,
                    record.next().is_some(),
                ))
            })
            .collect();
        let (joint, ended): (Vec<_>, Vec<_>) = open.into_iter().partition(|(_, _, joint)| *joint);
        let pairs = |all: Vec<(String, Revision, bool)>| {
            all.into_iter()
                .map(|(name, since, _)| (name, since))
                .collect::<Vec<_>>()
        };
        if revert && !joint.is_empty() {
            log.apply(LogEntry::RevertScopes {
                scopes: pairs(joint),
            })
            .expect("the changes are reverted");
        } else {
            let _ = log.apply(LogEntry::AdvanceScopes {
                in_force: pairs(joint),
                settled: pairs(ended),
            });
        }
    }
}

fn new_log() -> Log {
    Log::new(
        Fields::from([("worker.may_order".to_string(), Value::Flag(true))]),
        [],
    )
}

fn effective_field(fields: &Option<Fields>, name: &str) -> Option<Value> {
    fields.as_ref().and_then(|fields| fields.get(name).cloned())
}

/// The leader's reply to a request.
fn reply_to(
    log: &Log,
    table: &mut SessionTable,
    request: &SubscribeRequest,
) -> Option<SubscribeReply> {
    let reply = |epoch, seq, scopes| SubscribeReply {
        to: request.from,
        epoch,
        seq,
        revision: log.state().revision,
        scopes,
    };
    match table.on_subscribe(request) {
        SubscribeOutcome::ResyncRequired(epoch) => Some(reply(epoch, None, Vec::new())),
        SubscribeOutcome::Accepted => {
            let scopes = request
                .scopes
                .iter()
                .map(|scope| (scope.clone(), log.catalog().get(scope).cloned()))
                .collect();
            Some(reply(request.epoch, Some(request.seq), scopes))
        }
        SubscribeOutcome::Stale | SubscribeOutcome::UnknownMember => None,
    }
}
