//! Collects the facts of a run by request and by process.

use super::processes::Lifetime;
use super::{Attempt, Oracle, Sent};
use crate::facts::{Fact, RequestId, Signal};
use std::time::Duration;

impl Oracle {
    pub(super) fn collect(&mut self, at: Duration, fact: &Fact) {
        match *fact {
            Fact::ResponseReceived { id, status, .. } => {
                *self.counts.statuses.entry(status).or_default() += 1;
                self.ends.insert(id, at);
            }
            Fact::ClientDisconnected { id } => {
                self.counts.disconnected += 1;
                self.ends.insert(id, at);
            }
            Fact::ResponseTimedOut { id } => {
                self.ends.insert(id, at);
            }
            Fact::WorkerStateChanged {
                event,
                worker,
                ready,
            } => {
                self.states.entry(worker).or_default().push((event, ready));
            }
            Fact::AttemptStarted { id, .. } => {
                self.counts.attempts += 1;
                self.attempts.entry(id).or_default().push(Attempt {
                    started: at,
                    ended: None,
                });
            }
            Fact::AttemptEnded { id, never_ran, .. } => self.collect_attempt_end(at, id, never_ran),
            Fact::ProcessStarted { front_end, process } => {
                self.counts.processes += 1;
                self.processes.insert(
                    (front_end, process),
                    Lifetime {
                        started: at,
                        ..Lifetime::default()
                    },
                );
            }
            Fact::FaultChanged(_) => self.counts.fault_changes += 1,
            _ => {
                self.collect_sent(at, fact);
                self.collect_process(at, fact);
            }
        }
    }

    fn collect_sent(&mut self, at: Duration, fact: &Fact) {
        let Fact::RequestSent {
            id,
            front_end,
            process,
            effect,
            timeout,
            idle_before,
        } = *fact
        else {
            return;
        };
        self.counts.sent += 1;
        self.sent.entry(id).or_default().push(Sent {
            at,
            process: (front_end, process),
            effect,
            timeout,
            idle_before,
        });
    }

    fn collect_attempt_end(&mut self, at: Duration, id: RequestId, never_ran: bool) {
        let attempts = self.attempts.get_mut(&id).into_iter().flatten();
        // If two attempts are open, which is a violation itself, the end is attributed to the earlier one.
        for attempt in attempts {
            if attempt.ended.is_none() {
                attempt.ended = Some((at, never_ran));
                return;
            }
        }
    }

    fn collect_process(&mut self, at: Duration, fact: &Fact) {
        let (Fact::ProcessReady { front_end, process }
        | Fact::SignalSent {
            front_end, process, ..
        }
        | Fact::ProcessExited {
            front_end, process, ..
        }
        | Fact::PollReceived {
            front_end, process, ..
        }
        | Fact::PollReplyStarted {
            front_end, process, ..
        }) = fact
        else {
            return;
        };
        let Some(lifetime) = self.processes.get_mut(&(*front_end, *process)) else {
            return;
        };
        match fact {
            Fact::ProcessReady { .. } => lifetime.ready = Some(at),
            Fact::ProcessExited { .. } => lifetime.exited = Some(at),
            Fact::PollReceived { event, .. } => lifetime.polled.push((at, *event)),
            Fact::PollReplyStarted { event, .. } => lifetime.notified.push((at, *event)),
            Fact::SignalSent { signal, .. } => {
                self.counts.signals += 1;
                match signal {
                    Signal::Terminate => lifetime.terminated = Some(at),
                    Signal::Kill => lifetime.killed = Some(at),
                    Signal::Reload => {}
                    Signal::Stop => lifetime.stopped_since = Some(at),
                    Signal::Continue => {
                        let since = lifetime.stopped_since.take().unwrap_or(at);
                        lifetime.stops.push((since, at));
                    }
                }
            }
            _ => {}
        }
    }
}
