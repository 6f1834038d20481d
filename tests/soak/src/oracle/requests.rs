//! What requests show: answers, attempts, repeats and drains.

use super::{Attempt, Invariant, Oracle, ORDER_SLACK, TIMEOUT_SLACK};
use crate::clients::{ANSWER_SLACK, CLOSE_RACE_WINDOW};
use crate::configuration::REPEAT_WINDOW;
use crate::facts::{ConnectionEnd, Effect, Fact, RequestId, WorkerId};
use std::time::Duration;

/// An attempt may begin so long after its client has gone.
const GONE_SLACK: Duration = Duration::from_millis(100);
/// A call may come so long after its front end received the event of the drain.
const DRAIN_SLACK: Duration = Duration::from_millis(300);
/// Requests are taken until then after SIGTERM; later ones need no answer.
const TAKEN_AFTER_TERM: Duration = Duration::from_millis(700);

impl Oracle {
    /// Checks one fact against all that was collected.
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

    /// An answer is a proper one, and comes in the client's time.
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

    /// A request ended without an answer, by its connection's end (some) or by its time.
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
        let came_too_late = lifetime
            .terminated
            .is_some_and(|terminated| sent.at > terminated + TAKEN_AFTER_TERM);
        let lost_close_race =
            end == Some(ConnectionEnd::Closed) && at.saturating_sub(sent.at) <= CLOSE_RACE_WINDOW;
        let stopped = end.is_none() && lifetime.was_stopped(at);
        if was_killed || came_too_late || lost_close_race || stopped {
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

    /// An attempt is for a client that is still there, and has no more time than that.
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
        let gone = self.ends.get(&id).copied();
        if let Some(gone) = gone.filter(|gone| at > *gone + GONE_SLACK) {
            let description = format!("an attempt began {:?} after its client's end", at - gone);
            self.report(Invariant::ClientPresent, at, Some(id), description);
        }
    }

    /// A further attempt does no effect twice, and is never beside another.
    fn check_repeat(&mut self, at: Duration, id: RequestId) {
        let Some(sent) = self.sent_before(id, at) else {
            return;
        };
        let before: Vec<Attempt> = self
            .attempts
            .get(&id)
            .into_iter()
            .flatten()
            .filter(|attempt| attempt.began < at)
            .copied()
            .collect();
        for earlier in before {
            let (end, never_ran) = earlier.ended.unwrap_or((Duration::MAX, false));
            if end > at + ORDER_SLACK {
                let description = "an attempt began while another was open".to_string();
                self.report(Invariant::OneAttempt, at, Some(id), description);
            }
            let after = at.saturating_sub(earlier.began);
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

    /// Nothing goes to a worker that its front end knew to drain.
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
        // Not ready by all that it knew, from well before until now.
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
