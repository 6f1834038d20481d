//! A front end that subscribes to a subset of all functions: memory, and the time to admit a call, to subscribe at a
//! function's first call, and to apply changes.

use super::{scope_fields, BURST};
use crate::measure::{ms, timed, Distribution, MemoryGrowth, OutputRecord};
use crate::{inputs, Args, BenchError};
use std::sync::Arc;
use std::time::Duration;
use tansy_agreement::compatibility::Schema;
use tansy_agreement::log::{FleetState, Revision, Version, VersionedSettings};
use tansy_agreement::scope::{ChangeHistory, ScopeChange, ScopeRecord, StateDelta, MAX_HISTORY};
use tansy_agreement::subscription::{
    Admission, ResyncEpoch, ScopeSubscriptions, SubscribeReply, SubscribeRequest,
    SubscriptionLimits,
};
use tansy_settings::agreement;
use tansyrouter::{Micros, SECOND};

/// Number of timed calls of subscribed functions.
const CALLS: usize = 20_000;
/// Number of timed subscriptions that are added after the requested ones.
const ADDITIONAL_SUBSCRIPTIONS: usize = 200;
/// Virtual time between two first calls.
const FIRST_CALL_INTERVAL: Micros = SECOND / 10;
/// Number of ticks within which a first call must be answered.
const MAX_TICKS: i64 = 20;
/// Virtual time between two ticks.
const TICK_INTERVAL: Micros = SECOND / 1000;

fn scope_record(revision: Revision, lanes: i64) -> ScopeRecord {
    ScopeRecord {
        revision,
        fields: Some(scope_fields(lanes)),
        ..ScopeRecord::default()
    }
}

/// A front end's copy of the state, with a full history of changes.
fn fleet_state(names: &[String]) -> FleetState {
    let in_force = VersionedSettings {
        version: Version(1),
        fields: inputs::version_fields(&["one".to_string()]),
        reason: "bench".into(),
        id: 1,
    };
    let state = FleetState {
        revision: Revision(2),
        in_force,
        next: None,
        canary: None,
        versions_revision: Revision(2),
        scopes_since: Some(Revision(2)),
        history: ChangeHistory::after(Revision(2)),
    };
    after_changes(state, names, MAX_HISTORY)
}

/// The state after `changes` changes, each with its own revision.
fn after_changes(mut state: FleetState, names: &[String], changes: usize) -> FleetState {
    let from = state.revision;
    let change = |number: usize| {
        let revision = Revision(from.0 + 1 + number as u64);
        Arc::new(ScopeChange {
            revision,
            scope: names[number % names.len()].clone(),
            record: scope_record(revision, 1 + number as i64 % 4000),
        })
    };
    let changes: Vec<_> = (0..changes).map(change).collect();
    let to = changes.last().map_or(from, |change| change.revision);
    state.apply_delta(&StateDelta { from, to, changes });
    state
}

/// A front end with its subscriptions.
struct Subscriber {
    subscriptions: ScopeSubscriptions,
    state: FleetState,
    schema: Schema,
    now: Micros,
}

impl Subscriber {
    /// Creates a front end that has the state and has begun a resync epoch with the leader.
    fn new(state: FleetState, schema: Schema, seed: u64) -> Subscriber {
        let member = inputs::member(1, seed);
        let mut subscriptions = ScopeSubscriptions::new(member, SubscriptionLimits::default(), 0);
        subscriptions.on_state(0, &state, &schema);
        let begin = SubscribeReply {
            to: member,
            epoch: ResyncEpoch { term: 1, count: 1 },
            seq: None,
            revision: state.revision,
            scopes: Vec::new(),
        };
        subscriptions.on_reply(0, begin, Some(&state), &schema);
        Subscriber {
            subscriptions,
            state,
            schema,
            now: 0,
        }
    }

    fn admit(&mut self, now: Micros, name: &str) -> Admission {
        self.subscriptions.admit(now, &self.schema, name, true)
    }

    /// Makes a first call to each function, which subscribes to it; returns the times.
    fn subscribe<'a>(
        &mut self,
        names: impl Iterator<Item = &'a String>,
    ) -> Result<Distribution, BenchError> {
        let mut times = Distribution::default();
        for name in names {
            self.now += FIRST_CALL_INTERVAL;
            let (subscribed, took) = timed(|| self.first_call(name));
            subscribed?;
            times.add(took);
        }
        Ok(times)
    }

    /// Makes a first call: subscribes, processes the reply, and admits the call.
    fn first_call(&mut self, name: &str) -> Result<(), BenchError> {
        self.admit(self.now, name);
        for tick in 0..MAX_TICKS {
            let now = self.now + tick * TICK_INTERVAL;
            let revision = self.state.revision;
            let Some(request) = self.subscriptions.tick(now, revision, true) else {
                continue;
            };
            let reply = reply(request, revision);
            self.subscriptions
                .on_reply(now, reply, Some(&self.state), &self.schema);
            if matches!(self.admit(now, name), Admission::Admit(_)) {
                return Ok(());
            }
        }
        Err(BenchError::failed(
            "a first call",
            "the call was not admitted in time",
        ))
    }

    /// Calls subscribed functions; returns the times to admit each call.
    fn call(&mut self, names: &[&String]) -> Result<Distribution, BenchError> {
        let mut times = Distribution::default();
        for call in 0..CALLS {
            let name = names[call % names.len()];
            let now = self.now;
            let (admission, took) = timed(|| self.admit(now, name));
            times.add(took);
            if !matches!(admission, Admission::Admit(_)) {
                return Err(BenchError::failed(
                    "a call",
                    format!("a subscribed function was not admitted: {admission:?}"),
                ));
            }
        }
        Ok(times)
    }

    /// Applies a changed state and returns the time taken.
    fn update(&mut self, state: &FleetState) -> Duration {
        let (now, schema) = (self.now, &self.schema);
        let ((), took) = timed(|| self.subscriptions.on_state(now, state, schema));
        took
    }

    /// Builds the full subscription list for a new leader; returns its length and the time taken.
    fn resync(&mut self, revision: Revision) -> (usize, Duration) {
        self.subscriptions.on_new_leader(self.now);
        self.now += SECOND;
        let now = self.now;
        let (request, took) = timed(|| self.subscriptions.tick(now, revision, true));
        let full_list = request.and_then(|request| request.full_list);
        (full_list.map_or(0, |scopes| scopes.len()), took)
    }
}

fn reply(request: SubscribeRequest, revision: Revision) -> SubscribeReply {
    let record = |scope| (scope, Some(scope_record(Revision(2), 1)));
    SubscribeReply {
        to: request.from,
        epoch: request.epoch,
        seq: Some(request.seq),
        revision,
        scopes: request.scopes.into_iter().map(record).collect(),
    }
}

/// Measures a front end's subscriptions: memory, and the time of calls, subscriptions and changes.
pub(crate) fn scope_subscriptions(
    args: &Args,
    output: &mut OutputRecord,
) -> Result<(), BenchError> {
    let names = inputs::function_names(args.functions, args.seed);
    let schema = agreement::compatibility_schema();
    let mut order: Vec<&String> = names.iter().collect();
    fastrand::Rng::with_seed(args.seed).shuffle(&mut order);
    let (subscribed, others) = order.split_at(args.subscriptions.min(names.len()));
    let growth = MemoryGrowth::begin();
    let state = fleet_state(&names);
    output.figure("state_mb", growth.mb());
    let mut subscriber = Subscriber::new(state, schema, args.seed);
    let subscribe_times = subscriber.subscribe(subscribed.iter().copied())?;
    output.count("held", subscriber.subscriptions.len());
    output.count("weight_bytes", subscriber.subscriptions.memory_bytes());
    output.figure("memory_mb", growth.mb());
    output.insert("ask_us", subscribe_times.us());
    output.insert("call_us", subscriber.call(subscribed)?.us());
    let others = others.iter().copied().take(ADDITIONAL_SUBSCRIPTIONS);
    output.insert("more_us", subscriber.subscribe(others)?.us());
    output.count("squeezed", subscriber.subscriptions.evicted() as usize);
    // In a burst, each scope changes twice: to joint, then in force.
    let after = after_changes(subscriber.state.clone(), &names, 2 * BURST);
    output.figure("burst_ms", ms(subscriber.update(&after)));
    let (scopes, took) = subscriber.resync(after.revision);
    output.count("told", scopes);
    output.figure("told_ms", ms(took));
    output.figure("peak_mb", growth.peak_mb());
    Ok(())
}
