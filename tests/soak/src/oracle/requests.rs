//! The invariants of requests: answers, attempts, repeats and drains.

use super::{Attempt, Invariant, Oracle, ORDER_SLACK, TIMEOUT_SLACK};
use crate::clients::{ANSWER_SLACK, CLOSE_RACE_WINDOW};
use crate::configuration::REPEAT_WINDOW;
use crate::facts::{ConnectionEnd, Effect, Fact, RequestId, WorkerId};
use std::time::Duration;

/// How long after its request has ended for the client an attempt may still start.
const CLIENT_END_SLACK: Duration = Duration::from_millis(100);
/// How long after a front end acknowledged a drain its attempts may still reach the worker.
const DRAIN_SLACK: Duration = Duration::from_millis(300);
/// Requests that are sent later than this after SIGTERM need no answer.
const ACCEPTED_AFTER_TERM: Duration = Duration::from_millis(700);

impl Oracle {
    /// Checks a fact against the collected facts.
    pub(super) fn check(&mut self, at: Duration, fact: &Fact) {
        match *fact {
            Fact::ResponseReceived {
                id,
                status,
                body_matches,
            } => self.check_answer(at, id, status, body_matches),
            Fact::ConnectionLost { id, end } => self.check_lost(at, id, Some(end)),
            Fact::ResponseTimedOut { id } => self.check_lost(at, id, None),
            Fact::AttemptStarted {
                id,
                worker,
                timeout_ms,
                maybe_queued,
                ..
            } => {
                self.check_repeat(at, id);
                if !maybe_queued {
                    self.check_attempt(at, id, timeout_ms);
                    self.check_drain(at, id, worker);
                }
            }
            Fact::MalformedRequest {
                front_end,
                process,
                after,
                served,
            } => {
                self.check_abuse(at, (front_end, process), after, served);
            }
            Fact::ProcessExited {
                front_end,
                process,
                code,
                ref last_line,
            } => {
                self.check_exit(at, (front_end, process), code, last_line);
            }
            _ => {}
        }
    }

    /// Checks an answer's status, body and time.
    fn check_answer(&mut self, at: Duration, id: RequestId, status: u16, body_matches: bool) {
        let Some(sent) = self.sent_before(id, at) else {
            return;
        };
        if !matches!(status, 200 | 502 | 503 | 504) {
            self.report(
                Invariant::ProperAnswer,
                at,
                Some(id),
                format!("status {status} to a good request"),
            );
        }
        if status == 200 && !body_matches {
            self.report(
                Invariant::ProperAnswer,
                at,
                Some(id),
                "served with another body".into(),
            );
        }
        let took = at.saturating_sub(sent.at);
        let stopped = self
            .processes
            .get(&sent.process)
            .is_some_and(|lifetime| lifetime.was_stopped(at));
        if took > sent.timeout + ANSWER_SLACK && !stopped {
            let description = format!("answered after {took:?} of {:?}", sent.timeout);
            self.report(Invariant::InTime, at, Some(id), description);
        }
    }

    /// Reports a request without an answer, unless that is excused. `end` is `None` if the client timed out.
    fn check_lost(&mut self, at: Duration, id: RequestId, end: Option<ConnectionEnd>) {
        let Some(sent) = self.sent_before(id, at) else {
            return;
        };
        let Some(lifetime) = self.processes.get(&sent.process) else {
            return;
        };
        let was_killed = lifetime
            .killed
            .is_some_and(|killed| killed <= at + ORDER_SLACK)
            && lifetime.terminated.is_none();
        let sent_after_shutdown = lifetime
            .terminated
            .is_some_and(|terminated| sent.at > terminated + ACCEPTED_AFTER_TERM);
        let lost_close_race =
            end == Some(ConnectionEnd::Closed) && at.saturating_sub(sent.at) <= CLOSE_RACE_WINDOW;
        let stopped = end.is_none() && lifetime.was_stopped(at);
        if was_killed || sent_after_shutdown || lost_close_race || stopped {
            self.counts.excused += 1;
            return;
        }
        let ended = end.map_or("no answer".to_string(), |end| {
            format!("connection ended: {end:?}")
        });
        let idle = if sent.idle_before {
            ", on a connection that had been idle"
        } else {
            ""
        };
        let description = format!(
            "{ended} {:?} after it was sent{idle}",
            at.saturating_sub(sent.at)
        );
        self.report(Invariant::Answered, at, Some(id), description);
    }

    /// Checks that an attempt's timeout is within the client's remaining time, and that the request has not ended for the client.
    fn check_attempt(&mut self, at: Duration, id: RequestId, timeout_ms: u64) {
        let Some(sent) = self.sent_before(id, at) else {
            return;
        };
        let remaining = (sent.at + sent.timeout).saturating_sub(at);
        let timeout = Duration::from_millis(timeout_ms);
        if timeout > remaining + TIMEOUT_SLACK {
            let description =
                format!("a worker was given {timeout:?}, the client had {remaining:?} left");
            self.report(Invariant::AttemptTimeout, at, Some(id), description);
        }
        let end = self.ends.get(&id).copied();
        if let Some(end) = end.filter(|end| at > *end + CLIENT_END_SLACK) {
            let description = format!("an attempt began {:?} after its client's end", at - end);
            self.report(Invariant::ClientPresent, at, Some(id), description);
        }
    }

    /// Checks that a further attempt can't repeat an effect, and that no other attempt is open.
    fn check_repeat(&mut self, at: Duration, id: RequestId) {
        let Some(sent) = self.sent_before(id, at) else {
            return;
        };
        let before: Vec<Attempt> = self
            .attempts
            .get(&id)
            .into_iter()
            .flatten()
            .filter(|attempt| attempt.started < at)
            .copied()
            .collect();
        for earlier in before {
            let (end, never_ran) = earlier.ended.unwrap_or((Duration::MAX, false));
            if end > at + ORDER_SLACK {
                let description = "an attempt began while another was open".to_string();
                self.report(Invariant::OneAttempt, at, Some(id), description);
            }
            let after = at.saturating_sub(earlier.started);
            let twice = match sent.effect {
                Effect::Safe => false,
                Effect::Unsafe => true,
                Effect::Keyed => after > REPEAT_WINDOW + ORDER_SLACK,
            };
            if twice && !never_ran {
                let description = format!(
                    "sent again after {after:?} though it may have run: {:?}",
                    sent.effect
                );
                self.report(Invariant::NoEffectTwice, at, Some(id), description);
            }
        }
    }

    /// Checks that the front end did not know the attempt's worker to drain.
    fn check_drain(&mut self, at: Duration, id: RequestId, worker: WorkerId) {
        let Some(sent) = self.sent_before(id, at) else {
            return;
        };
        let Some(lifetime) = self.processes.get(&sent.process) else {
            return;
        };
        let settled = lifetime
            .polled
            .iter()
            .rev()
            .find(|(polled, _)| *polled + DRAIN_SLACK <= at);
        let Some((_, known)) = settled.copied() else {
            return;
        };
        let notified = lifetime.notified.iter().filter(|(time, _)| *time <= at);
        let newest = notified.map(|(_, event)| *event).max().unwrap_or(known);
        // A violation needs the worker to be draining in every list that the front end may have had since `known`.
        let states = self.states.get(&worker).map_or(&[][..], Vec::as_slice);
        let state = states.iter().rev().find(|(event, _)| *event <= known);
        let is_ready = state.is_none_or(|(_, ready)| *ready);
        let changed = states
            .iter()
            .any(|(event, _)| *event > known && *event <= newest);
        if !is_ready && !changed {
            let description =
                format!("sent to worker {worker}, which it knew to drain (event {known})");
            self.report(Invariant::Drain, at, Some(id), description);
        }
    }
}
