//! The leader's subscription table: memory, and the time to process a request, to process the full lists sent to a new
//! leader, and to find the subscribers that a change waits for.

use crate::inputs::{self, FunctionPopularity};
use crate::measure::{ms, timed, Distribution, MemoryGrowth, OutputRecord};
use crate::{Args, BenchError};
use std::collections::BTreeSet;
use std::time::Duration;
use tansy_agreement::lease::Member;
use tansy_agreement::log::Revision;
use tansy_agreement::scope::scope_number;
use tansy_agreement::session::{SessionRequest, SessionTable, SubscribeOutcome};
use tansy_agreement::subscription::SubscribeRequest;

/// Revision of the state, later than any change of a function.
const REVISION: Revision = Revision(1 << 20);
/// Number of front ends that subscribe to one more function.
const ADDED_SUBSCRIPTIONS: usize = 2_000;
/// Number of functions whose subscribers are looked up.
const LOOKUPS: usize = 5_000;
/// Number of front ends that are removed.
const REMOVALS: usize = 200;

/// Draws the functions that a front end subscribes to: half by popularity, half uniformly.
fn draw_subscriptions(
    count: usize,
    functions: usize,
    popularity: &FunctionPopularity,
    rng: &mut fastrand::Rng,
) -> BTreeSet<usize> {
    let mut drawn = BTreeSet::new();
    while drawn.len() < count.min(functions) {
        let function = if rng.bool() {
            popularity.next(rng)
        } else {
            rng.usize(..functions)
        };
        drawn.insert(function);
    }
    drawn
}

fn subscribe_request(table: &SessionTable, from: Member, seq: u64) -> SubscribeRequest {
    SubscribeRequest {
        from,
        epoch: table.epoch(),
        seq,
        revision: REVISION,
        scopes: Vec::new(),
        unsubscribed: Vec::new(),
        full_list: None,
    }
}

/// Processes a request and returns the time taken.
fn process_request(
    table: &mut SessionTable,
    request: &SubscribeRequest,
) -> Result<Duration, BenchError> {
    let (outcome, took) = timed(|| table.on_subscribe(request));
    match outcome {
        SubscribeOutcome::Accepted => Ok(took),
        other => Err(BenchError::failed(
            "a subscribe request",
            format!("{other:?}"),
        )),
    }
}

/// Measures the leader's table with the subscriptions of all front ends.
pub(crate) fn subscription_table(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let names = inputs::function_names(args.functions, args.seed);
    let mut rng = fastrand::Rng::with_seed(args.seed);
    let popularity = FunctionPopularity::new(names.len(), args.seed);
    let growth = MemoryGrowth::begin();
    let members: Vec<Member> = (0..args.front_ends)
        .map(|number| inputs::member(number, args.seed))
        .collect();
    let timing = inputs::session_timing();
    let mut table = SessionTable::new(timing, members.iter().copied(), 0);
    output.figure("register_mb", growth.mb());
    add_full_lists(
        args,
        &names,
        &members,
        &popularity,
        &mut table,
        &mut rng,
        output,
    )?;
    output.figure("memory_mb", growth.mb());
    add_requests(&names, &members, &mut table, &mut rng, output)?;
    add_lookups(&names, &table, output);
    let mut removals = Distribution::default();
    for member in members.iter().take(REMOVALS) {
        let ((), took) = timed(|| table.remove(*member));
        removals.add(took);
    }
    output.insert("dismiss_us", removals.us());
    output.figure("peak_mb", growth.peak_mb());
    Ok(())
}

/// Times processing the full subscription lists that all front ends send to a new leader.
fn add_full_lists(
    args: &Args,
    names: &[String],
    members: &[Member],
    popularity: &FunctionPopularity,
    table: &mut SessionTable,
    rng: &mut fastrand::Rng,
    output: &mut OutputRecord,
) -> Result<(), BenchError> {
    let mut times = Distribution::default();
    let mut total = Duration::ZERO;
    for from in members {
        let session = SessionRequest {
            from: *from,
            seq: 1,
            revision: REVISION,
            supports_scopes: true,
        };
        table.grant(1, session);
        let functions = draw_subscriptions(args.subscriptions, names.len(), popularity, rng);
        let scopes = functions.into_iter();
        let full_list = scopes
            .map(|function| scope_number(&names[function]))
            .collect();
        let request = SubscribeRequest {
            full_list: Some(full_list),
            ..subscribe_request(table, *from, 1)
        };
        let took = process_request(table, &request)?;
        times.add(took);
        total += took;
    }
    output.count("held", args.subscriptions);
    output.count("holdings", table.subscription_count());
    output.insert("tell_us", times.us());
    output.figure("tell_all_ms", ms(total));
    Ok(())
}

/// Times requests that subscribe to one more function.
fn add_requests(
    names: &[String],
    members: &[Member],
    table: &mut SessionTable,
    rng: &mut fastrand::Rng,
    output: &mut OutputRecord,
) -> Result<(), BenchError> {
    let mut times = Distribution::default();
    for from in members.iter().take(ADDED_SUBSCRIPTIONS) {
        let request = SubscribeRequest {
            scopes: vec![names[rng.usize(..names.len())].clone()],
            ..subscribe_request(table, *from, 2)
        };
        times.add(process_request(table, &request)?);
    }
    output.insert("want_us", times.us());
    Ok(())
}

/// Times the lookup of subscribers that a change waits for: of various functions, and of the one with the most subscribers.
fn add_lookups(names: &[String], table: &SessionTable, output: &mut OutputRecord) {
    let after = REVISION.next();
    let subscribers = |name: &str| table.subscribers_behind(scope_number(name), after).count();
    let mut times = Distribution::default();
    for name in names.iter().take(LOOKUPS) {
        let (_, took) = timed(|| subscribers(name));
        times.add(took);
    }
    output.insert("waits_us", times.us());
    let most = names.iter().map(|name| (subscribers(name), name)).max();
    if let Some((count, name)) = most {
        output.count("most_holders", count);
        let (_, took) = timed(|| subscribers(name));
        output.figure("most_waits_us", took.as_secs_f64() * 1e6);
    }
}
