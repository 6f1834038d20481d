//! The invariants of processes: ends, readiness, endpoint lists, and malformed requests.

use super::{Invariant, Oracle, ProcessId};
use crate::abuse::RESPONSE_DUE_WITHIN;
use crate::clients::ANSWER_SLACK;
use crate::facts::Fact;
use crate::process::READY_WITHIN;
use std::time::Duration;

/// Within this time after an event a front end has to receive it, not counting times when the coordinator or the process was down.
const NOTIFIED_WITHIN: Duration = Duration::from_millis(8000);

/// The lifetime of a process of a front end.
#[derive(Default)]
pub(super) struct Lifetime {
    pub started: Duration,
    pub ready: Option<Duration>,
    pub terminated: Option<Duration>,
    pub killed: Option<Duration>,
    pub exited: Option<Duration>,
    /// The intervals from SIGSTOP to SIGCONT.
    pub stops: Vec<(Duration, Duration)>,
    /// The time of SIGSTOP, while the process is stopped.
    pub stopped_since: Option<Duration>,
    /// The time of each poll, and the last event that it acknowledged.
    pub polled: Vec<(Duration, u64)>,
    /// The time of each reply to a poll, and the last event in it.
    pub notified: Vec<(Duration, u64)>,
}

impl Lifetime {
    /// The total time for which the process was stopped.
    pub fn time_stopped(&self) -> Duration {
        self.stops.iter().map(|(from, to)| *to - *from).sum()
    }

    /// Whether the process was stopped at this time or resumed less than [`ANSWER_SLACK`] before, and could not answer in time.
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
    /// Checks that a malformed request was answered or its connection closed in time, and that it was not served.
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
        // A process that was stopped in the meantime could not answer.
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

    /// Checks that a process ended after a signal, and that it reports no violation of its own checks.
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
        let is_expected = match code {
            Some(0) => terminated,
            Some(_) => false,
            None => killed,
        };
        if !is_expected {
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

    /// Checks that each event of the endpoint list reached each process in time.
    pub(super) fn check_list(&mut self, facts: &[(Duration, Fact)]) {
        let events = facts.iter().filter_map(|(at, fact)| match fact {
            Fact::WorkerStateChanged { event, .. } => Some((*at, *event)),
            _ => None,
        });
        let events: Vec<_> = events.collect();
        let outages = outages(facts);
        let mut late = Vec::new();
        for (process, lifetime) in &self.processes {
            let Some(ready) = lifetime.ready else {
                continue;
            };
            let end = [lifetime.terminated, lifetime.killed, lifetime.exited]
                .into_iter()
                .flatten()
                .min();
            for (at, event) in &events {
                let outage: Duration = outages
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

    /// Checks that each process was ready in time.
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

/// The intervals in which the coordinator sent no complete replies.
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
