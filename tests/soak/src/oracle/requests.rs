//! What requests show: answers, attempts, repeats and drains.

use super::{Attempt, Invariant, Oracle, ORDER_SLACK, PATIENCE_SLACK};
use crate::clients::{CROSSING, LATE};
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
            Fact::Answered {
                id,
                status,
                own_body,
            } => self.check_answer(at, id, status, own_body),
            Fact::Dropped { id, how } => self.check_lost(at, id, Some(how)),
            Fact::Unanswered { id } => self.check_lost(at, id, None),
            Fact::Began {
                id,
                worker,
                patience_ms,
                waited,
                ..
            } => {
                self.check_repeat(at, id);
                if !waited {
                    self.check_attempt(at, id, patience_ms);
                    self.check_drain(at, id, worker);
                }
            }
            Fact::Abused {
                place,
                process,
                after,
                served,
            } => {
                self.check_abuse(at, (place, process), after, served);
            }
            Fact::Exited {
                place,
                process,
                code,
                ref account,
            } => {
                self.check_exit(at, (place, process), code, account);
            }
            _ => {}
        }
    }

    /// An answer is a proper one, and comes in the client's time.
    fn check_answer(&mut self, at: Duration, id: RequestId, status: u16, own_body: bool) {
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
        if status == 200 && !own_body {
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
        if took > sent.timeout + LATE && !stopped {
            let description = format!("answered after {took:?} of {:?}", sent.timeout);
            self.report(Invariant::InTime, at, Some(id), description);
        }
    }

    /// A request ended without an answer, by its connection's end (some) or by its time.
    fn check_lost(&mut self, at: Duration, id: RequestId, how: Option<ConnectionEnd>) {
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
        let crossed = how == Some(ConnectionEnd::Closed) && at.saturating_sub(sent.at) <= CROSSING;
        let stopped = how.is_none() && lifetime.was_stopped(at);
        if was_killed || came_too_late || crossed || stopped {
            self.counts.excused += 1;
            return;
        }
        let ended = how.map_or("no answer".to_string(), |how| {
            format!("connection ended: {how:?}")
        });
        let idle = if sent.idle_before {
            ", on a connection that had rested"
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
    fn check_attempt(&mut self, at: Duration, id: RequestId, patience_ms: u64) {
        let Some(sent) = self.sent_before(id, at) else {
            return;
        };
        let left = (sent.at + sent.timeout).saturating_sub(at);
        let patience = Duration::from_millis(patience_ms);
        if patience > left + PATIENCE_SLACK {
            let description =
                format!("a worker was told {patience:?}, the client had {left:?} left");
            self.report(Invariant::Patience, at, Some(id), description);
        }
        let gone = self.ends.get(&id).copied();
        if let Some(gone) = gone.filter(|gone| at > *gone + GONE_SLACK) {
            let description = format!("an attempt began {:?} after its client's end", at - gone);
            self.report(Invariant::ClientThere, at, Some(id), description);
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
            .filter(|a| a.began < at)
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
