//! Whether a call may be retried, by the idempotency of its class and the outcomes of its earlier attempts.

use super::request::{Attempt, Request};
use super::Router;
use crate::{DedupGroup, Effect, Time, WorkerEntry};

impl Router {
    /// Whether another attempt is allowed at the worker `target`, or, if it is `None`, at any worker. A call that may
    /// have run is repeated only if its class allows that.
    pub(super) fn may_attempt_again(
        &self,
        request: &Request,
        target: Option<&WorkerEntry>,
        now: Time,
    ) -> bool {
        let mut may_have_run = request
            .attempts
            .iter()
            .filter(|attempt| attempt.may_have_run());
        let harmless = match self.settings.classes[request.class].effect {
            Effect::Safe => true,
            Effect::Unsafe => may_have_run.next().is_none(),
            // The margin covers the time to reach the worker, including a new connection.
            Effect::Keyed { group, window } => may_have_run.all(|attempt| {
                let remembered = window - 2 * self.settings.connect_timeout;
                shares_group(attempt, group, target) && now.since(attempt.sent_at) < remembered
            }),
        };
        harmless && request.attempts.len() < self.settings.max_attempts as usize
    }

    /// Whether the client may be told that its request can safely be repeated.
    pub(super) fn may_refuse(&self, request: &Request) -> bool {
        let repeat_is_harmless = matches!(
            self.settings.classes[request.class].effect,
            Effect::Safe
                | Effect::Keyed {
                    group: DedupGroup::All,
                    ..
                }
        );
        repeat_is_harmless || !request.attempts.iter().any(Attempt::may_have_run)
    }
}

/// Whether the worker `target` drops repeats of a call that may have run in this attempt.
fn shares_group(attempt: &Attempt, group: DedupGroup, target: Option<&WorkerEntry>) -> bool {
    match (group, target) {
        (DedupGroup::Zone, Some(target)) => attempt.worker.zone == target.zone,
        (DedupGroup::Cell, Some(target)) => attempt.worker.cell == target.cell,
        _ => true,
    }
}
