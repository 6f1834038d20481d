//! Random histories of waiting calls: each call ends exactly once and in time.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use support::call;
use tansy_dispatch::pending_lookups::{
    LookupResult, PendingLookups, WaitOutcome, WaitRefusal, MAX_PENDING_CALLS,
    MAX_PENDING_CALLS_PER_FUNCTION, MAX_WAIT,
};
use tansy_dispatch::CallId;
use tansyrouter::{Time, SECOND};

/// The expected state of a waiting call.
struct WaitingCall {
    function: usize,
    arrived: i64,
    deadline: i64,
}

/// Runs a random history and returns the number of releases and of refusals.
#[expect(clippy::too_many_lines, reason = "one match over the kinds of events")]
fn history(seed: u64) -> Result<(u64, u64), String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut lookups, mut now, mut next) = (PendingLookups::default(), 0i64, 0u64);
    let mut open: BTreeMap<CallId, WaitingCall> = BTreeMap::new();
    let (mut released, mut refused, mut closed) = (0, 0, false);
    for step in 0..400 {
        // A driver wakes up at each deadline.
        let mut to = now + rng.i64(0..60_000);
        to = lookups.next_due().map_or(to, |t| to.min(t.0));
        now = to;
        let mut outcomes = Vec::new();
        lookups.expire(Time(now), &mut outcomes);
        let due: Vec<CallId> = open
            .iter()
            .filter(|(_, call)| call.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &due {
            let expired = |end: &WaitOutcome| {
                *end == WaitOutcome::Refuse {
                    call: *id,
                    reason: WaitRefusal::TimedOut,
                }
            };
            if !outcomes.iter().any(expired) {
                return Err(format!("{step}: {id:?} waits past its deadline"));
            }
        }
        let mut expected = due;
        match rng.u32(0..100) {
            0..60 => {
                next += 1;
                let (function, max_wait) = (rng.usize(0..4), rng.i64(-5_000..2 * MAX_WAIT));
                let id = CallId(next);
                open.insert(
                    id,
                    WaitingCall {
                        function,
                        arrived: now,
                        deadline: now + max_wait.min(MAX_WAIT),
                    },
                );
                lookups.add(
                    Time(now),
                    call(next, &format!("f{function}")),
                    max_wait,
                    &mut outcomes,
                );
                if max_wait <= 0 || closed {
                    expected.push(id);
                }
            }
            60..75 => {
                let function = rng.usize(0..4);
                let result = if rng.bool() {
                    LookupResult::Proceed
                } else {
                    LookupResult::Refuse
                };
                let all = open
                    .iter()
                    .filter(|(id, call)| call.function == function && !expected.contains(id));
                let all: Vec<CallId> = all.map(|(id, _)| *id).collect();
                expected.extend(all);
                lookups.resolve(Time(now), &format!("f{function}"), result, &mut outcomes);
            }
            75..99 => {
                let position = if open.is_empty() {
                    0
                } else {
                    rng.usize(0..open.len())
                };
                if let Some(id) = open
                    .keys()
                    .nth(position)
                    .copied()
                    .filter(|id| !expected.contains(id))
                {
                    if !lookups.remove(id) || lookups.remove(id) {
                        return Err(format!("{step}: {id:?} must be removed exactly once"));
                    }
                    open.remove(&id);
                }
            }
            _ => {
                closed = true;
                expected = open.keys().copied().collect();
                lookups.close(&mut outcomes);
            }
        }
        let mut ended = Vec::new();
        for end in outcomes {
            let id = match &end {
                WaitOutcome::Release { call, .. } => call.id,
                WaitOutcome::Refuse { call, .. } => *call,
            };
            let Some(waiting) = open.remove(&id) else {
                return Err(format!("{step}: {id:?} ended but was not waiting"));
            };
            match end {
                WaitOutcome::Release { call, waited } => {
                    released += 1;
                    if now >= waiting.deadline
                        || waited != now - waiting.arrived
                        || call.function != format!("f{}", waiting.function)
                    {
                        return Err(format!(
                            "{step}: {call:?} was released at {now} after {waited}"
                        ));
                    }
                }
                WaitOutcome::Refuse { .. } => refused += 1,
            }
            ended.push(id);
        }
        let functions: BTreeSet<String> = open
            .values()
            .map(|call| format!("f{}", call.function))
            .collect();
        if !lookups.functions().eq(functions.iter().map(String::as_str)) {
            return Err(format!(
                "{step}: {:?} wait",
                lookups.functions().collect::<Vec<_>>()
            ));
        }
        ended.sort();
        expected.sort();
        if ended != expected || lookups.len() != open.len() || lookups.is_empty() != open.is_empty()
        {
            return Err(format!(
                "{step}: {ended:?} ended, expected {expected:?}; {} wait",
                lookups.len()
            ));
        }
    }
    Ok((released, refused))
}

#[test]
fn every_waiting_call_ends_once_in_time_and_never_after_its_client_left() {
    let (mut released, mut refused) = (0, 0);
    for seed in 0..300 {
        let (history_released, history_refused) =
            history(seed).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        (released, refused) = (released + history_released, refused + history_refused);
    }
    assert!(released > 1_000 && refused > 1_000, "{released} {refused}");
}

#[test]
fn waiting_calls_are_limited_in_total_and_per_function() {
    let (mut lookups, mut outcomes) = (PendingLookups::default(), Vec::new());
    for id in 0..=MAX_PENDING_CALLS_PER_FUNCTION as u64 {
        lookups.add(Time(0), call(id, "hot"), SECOND, &mut outcomes);
    }
    let full = |id| WaitOutcome::Refuse {
        call: CallId(id),
        reason: WaitRefusal::Full,
    };
    assert_eq!(
        std::mem::take(&mut outcomes),
        [full(MAX_PENDING_CALLS_PER_FUNCTION as u64)]
    );
    for id in 1000..1000 + MAX_PENDING_CALLS as u64 {
        lookups.add(Time(0), call(id, &format!("f{id}")), SECOND, &mut outcomes);
    }
    assert_eq!(
        (lookups.len(), outcomes.len(), &outcomes[0]),
        (
            MAX_PENDING_CALLS,
            MAX_PENDING_CALLS_PER_FUNCTION,
            &full(1000 + (MAX_PENDING_CALLS - MAX_PENDING_CALLS_PER_FUNCTION) as u64)
        )
    );
    // A removed call makes room for another.
    outcomes.clear();
    assert!(lookups.remove(CallId(1000)));
    lookups.add(Time(0), call(9999, "hot"), SECOND, &mut outcomes);
    lookups.add(Time(0), call(9998, "cold"), SECOND, &mut outcomes);
    assert_eq!(
        (lookups.len(), outcomes),
        (MAX_PENDING_CALLS, vec![full(9999)])
    );
}

#[test]
fn a_result_at_the_deadline_is_too_late() {
    for (at, is_late) in [(MAX_WAIT - 1, false), (MAX_WAIT, true)] {
        let (mut lookups, mut outcomes) = (PendingLookups::default(), Vec::new());
        lookups.add(Time(0), call(1, "f"), SECOND, &mut outcomes);
        lookups.resolve(Time(at), "f", LookupResult::Proceed, &mut outcomes);
        let end = WaitOutcome::Refuse {
            call: CallId(1),
            reason: WaitRefusal::TimedOut,
        };
        assert_eq!(
            (outcomes.len(), outcomes[0] == end),
            (1, is_late),
            "{outcomes:?}"
        );
    }
}
