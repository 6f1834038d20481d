//! What processes show: ends, readiness, endpoint lists, and clients that send no requests.

use super::{Invariant, Oracle, ProcessId};
use crate::abuse::RESPONSE_DUE_WITHIN;
use crate::clients::ANSWER_SLACK;
use crate::facts::Fact;
use crate::process::READY_WITHIN;
use std::time::Duration;

/// A front end has received an event so long after it happened, whatever the coordinator does.
const NOTIFIED_WITHIN: Duration = Duration::from_millis(8000);

/// One process of a front end.
#[derive(Default)]
pub(super) struct Lifetime {
    pub started: Duration,
    pub ready: Option<Duration>,
    pub terminated: Option<Duration>,
    pub killed: Option<Duration>,
    pub exited: Option<Duration>,
    /// When it was stopped (SIGSTOP).
    pub stops: Vec<(Duration, Duration)>,
    pub stopped_since: Option<Duration>,
    /// The last event that it had received, and since when.
    pub polled: Vec<(Duration, u64)>,
    /// The last event that it can have been notified of, and since when.
    pub notified: Vec<(Duration, u64)>,
}

impl Lifetime {
    /// How long it was stopped in all.
    pub fn time_stopped(&self) -> Duration {
        self.stops.iter().map(|(from, to)| *to - *from).sum()
    }

    /// Whether it was stopped then, or had just been resumed, and so could not answer in time what was due.
    pub fn was_stopped(&self, at: Duration) -> bool {
        let stopped = self.stopped_since.is_some_and(|since| since <= at);
        stopped
            || self
                .stops
                .iter()
                .any(|(from, to)| *from <= at && at <= *to + ANSWER_SLACK)
    }
}

impl Oracle {
    /// A client that sends no request is answered or closed soon, and never served.
    pub(super) fn check_abuse(
        &mut self,
        at: Duration,
        process: ProcessId,
        after: Option<Duration>,
        served: bool,
    ) {
        if served {
            self.report(
                Invariant::Abuse,
                at,
                None,
                format!("{process:?} served what is no request"),
            );
        }
        let Some(lifetime) = self.processes.get(&process) else {
            return;
        };
        // One that was stopped meanwhile could not answer.
        let stopped = lifetime
            .stops
            .iter()
            .any(|(_, to)| *to + RESPONSE_DUE_WITHIN + ANSWER_SLACK >= at)
            || lifetime.was_stopped(at);
        if !stopped && after.is_none_or(|after| after > RESPONSE_DUE_WITHIN + ANSWER_SLACK) {
            self.report(
                Invariant::Abuse,
                at,
                None,
                format!("{process:?} left it open: {after:?}"),
            );
        }
    }

    /// A process ends only when signalled to, and its own checks found nothing.
    pub(super) fn check_exit(
        &mut self,
        at: Duration,
        process: ProcessId,
        code: Option<i32>,
        last_line: &str,
    ) {
        let Some(lifetime) = self.processes.get(&process) else {
            return;
        };
        let (terminated, killed) = (lifetime.terminated.is_some(), lifetime.killed.is_some());
        let in_order = match code {
            Some(0) => terminated,
            Some(_) => false,
            None => killed,
        };
        if !in_order {
            let description = format!(
                "front end {} process {} ended with {code:?}",
                process.0, process.1
            );
            self.report(Invariant::Process, at, None, description);
        }
        if code == Some(0) {
            for expected in ["guarded=0", "violations=0", "open=0"] {
                let name = expected.split('=').next().unwrap_or(expected);
                let is_reported = last_line.split(' ').any(|word| word == expected);
                if !is_reported && last_line.contains(&format!("{name}=")) {
                    self.report(
                        Invariant::SelfChecks,
                        at,
                        None,
                        format!("{process:?}: {last_line}"),
                    );
                }
            }
        }
    }

    /// Each event of the endpoint list reaches each front end in time.
    pub(super) fn check_list(&mut self, facts: &[(Duration, Fact)]) {
        let listed = facts.iter().filter_map(|(at, fact)| match fact {
            Fact::WorkerStateChanged { event, .. } => Some((*at, *event)),
            _ => None,
        });
        let listed: Vec<_> = listed.collect();
        let down = outages(facts);
        let mut late = Vec::new();
        for (process, lifetime) in &self.processes {
            let Some(ready) = lifetime.ready else {
                continue;
            };
            let end = [lifetime.terminated, lifetime.killed, lifetime.exited]
                .into_iter()
                .flatten()
                .min();
            for (at, event) in &listed {
                let outage: Duration = down
                    .iter()
                    .filter(|outage| outage.1 > *at)
                    .map(|outage| outage.1 - outage.0.max(*at))
                    .sum();
                let due = (*at).max(ready) + NOTIFIED_WITHIN + lifetime.time_stopped() + outage;
                let alive = end.is_none_or(|end| end > due);
                let received = lifetime
                    .polled
                    .iter()
                    .any(|(time, polled)| polled >= event && *time <= due);
                if alive && !received && facts.last().is_some_and(|fact| fact.0 > due) {
                    late.push((
                        due,
                        format!("front end {process:?} had not received event {event} by then"),
                    ));
                    break;
                }
            }
        }
        late.into_iter().for_each(|(at, description)| {
            self.report(Invariant::ListReceived, at, None, description)
        });
    }

    /// Each process is ready in time.
    pub(super) fn check_ready(&mut self) {
        let mut slow = Vec::new();
        for (process, lifetime) in &self.processes {
            let by = lifetime.started + READY_WITHIN;
            let ready = lifetime.ready.is_some_and(|ready| ready <= by);
            if !ready
                && lifetime.killed.is_none_or(|killed| killed > by)
                && lifetime.exited.is_none_or(|exited| exited > by)
            {
                slow.push((
                    by,
                    format!("front end {process:?} was not ready in {READY_WITHIN:?}"),
                ));
            }
        }
        slow.into_iter()
            .for_each(|(at, description)| self.report(Invariant::Ready, at, None, description));
    }
}

/// The times in which the coordinator gave no whole answer.
fn outages(facts: &[(Duration, Fact)]) -> Vec<(Duration, Duration)> {
    let mut outages = Vec::new();
    let mut since = None;
    for (at, fact) in facts {
        match fact {
            Fact::DiscoveryAvailability { answers: false } => since = since.or(Some(*at)),
            Fact::DiscoveryAvailability { answers: true } => {
                outages.extend(since.take().map(|from| (from, *at)))
            }
            _ => {}
        }
    }
    outages
}
