//! Whether a call may be attempted again: idempotency of its class and what became of earlier attempts.

use super::*;

impl Router {
    /// Rule 2: whether a further attempt is allowed, at this worker or (none) anywhere.
    pub(super) fn may_attempt_again(
        &self,
        r: &Request,
        to: Option<&WorkerEntry>,
        now: Time,
    ) -> bool {
        let class = &self.settings.classes[r.class];
        let mut ran = r.attempts.iter().filter(|a| a.may_have_run != Some(false));
        let in_group = |a: &Attempt, group: Group| match (group, to) {
            (Group::Zone, Some(e)) => a.worker.zone == e.zone,
            (Group::Cell, Some(e)) => a.worker.cell == e.cell,
            _ => true,
        };
        let effect = match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => ran.next().is_none(),
            // The margin covers the way to the worker, a connection made anew included.
            Effect::Keyed { group, window } => ran.all(|a| {
                in_group(a, group)
                    && now.since(a.sent_at) < window - 2 * self.settings.connect_timeout
            }),
        };
        effect && r.attempts.len() < self.settings.max_attempts as usize
    }

    pub(super) fn may_refuse(&self, r: &Request) -> bool {
        let effect = self.settings.classes[r.class].effect;
        matches!(
            effect,
            Effect::Safe
                | Effect::Keyed {
                    group: Group::All,
                    ..
                }
        ) || r.attempts.iter().all(|a| a.may_have_run == Some(false))
    }
}
