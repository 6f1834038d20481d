//! The controller of a rollout: observes the replicated state and the front ends and proposes the next entry.

mod analysis;
mod availability;

use crate::entry::{RolloutEntry, StageObservation};
use crate::plan::InconclusivePolicy;
use crate::state::{Rollout, RolloutPhase};
use crate::{Time, SECOND};
use analysis::{StageAnalysis, ValueLost};
use availability::FleetView;
use std::collections::BTreeMap;
use tansy_canary::{FrontEndReport, Verdict};

/// Time between two heartbeats of a controller.
const HEARTBEAT_INTERVAL: Time = SECOND;
/// Time without a heartbeat after which another controller takes over.
const HEARTBEAT_TIMEOUT: Time = 4 * SECOND;

/// A sample of a front end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FrontEndObservation {
    /// Whether the front end holds a lease and a session.
    pub ready: bool,
    /// Its counters; `report.is_canary` tells whether it has the change.
    pub report: FrontEndReport,
}

/// The last heartbeat that was seen, and when it was first seen.
#[derive(Clone, Copy, Debug)]
struct LastHeartbeat {
    fence: u64,
    heartbeat: u64,
    seen_at: Time,
}

/// When the analysis with this number began.
#[derive(Clone, Copy, Debug)]
struct AnalysisStart {
    number: u64,
    began_at: Time,
}

/// A node that may control rollouts. Several nodes may propose entries at the same time; only entries with the current fencing token
/// are accepted.
#[derive(Clone, Debug)]
pub struct RolloutController {
    name: String,
    analysis: Option<StageAnalysis>,
    /// The fencing token that this controller requested. It controls the rollout once [`Rollout::fence`] equals it.
    fence: Option<u64>,
    /// When the fencing token was requested.
    requested_at: Time,
    /// When this controller began to sample the unchanged fleet.
    pre_change_since: Option<Time>,
    last_heartbeat: Option<LastHeartbeat>,
    /// When this controller first saw each released front end.
    released_at: BTreeMap<String, Time>,
    analysis_start: Option<AnalysisStart>,
    next_sample: Time,
    next_heartbeat: Time,
    value_lost: ValueLost,
    /// The observation to be sent with the next heartbeat.
    unsent: Option<StageObservation>,
}

impl RolloutController {
    /// Creates a controller with this name.
    pub fn new(name: String) -> RolloutController {
        RolloutController {
            name,
            analysis: None,
            fence: None,
            requested_at: Time::MIN,
            pre_change_since: None,
            last_heartbeat: None,
            released_at: BTreeMap::new(),
            analysis_start: None,
            next_sample: Time::MIN,
            next_heartbeat: Time::MIN,
            value_lost: ValueLost::default(),
            unsent: None,
        }
    }

    /// Returns the next entry to propose, if any.
    pub fn poll(
        &mut self,
        now: Time,
        rollout: &Rollout,
        front_ends: &[FrontEndObservation],
    ) -> Option<RolloutEntry> {
        if rollout.has_ended() {
            *self = RolloutController::new(std::mem::take(&mut self.name));
            return None;
        }
        self.watch_heartbeat(now, rollout);
        if rollout.controller != self.name || self.fence != Some(rollout.fence) {
            return self.try_take_control(now, rollout);
        }
        self.observe(now, rollout, front_ends);
        let entry = match rollout.phase {
            RolloutPhase::Changing | RolloutPhase::RollingBack => {
                self.change_front_ends(now, rollout, front_ends)
            }
            RolloutPhase::Analysing => self.conclude(now, rollout),
            RolloutPhase::Completed | RolloutPhase::RolledBack => None,
        };
        if entry.is_some() && (self.unsent.is_none() || rollout.phase != RolloutPhase::Analysing) {
            return entry;
        }
        // The observation that a verdict is based on enters the log before the verdict.
        let due = entry.is_some() || now >= self.next_heartbeat;
        due.then(|| self.heartbeat(now, rollout))
    }

    fn watch_heartbeat(&mut self, now: Time, rollout: &Rollout) {
        let unchanged = self
            .last_heartbeat
            .is_some_and(|last| (last.fence, last.heartbeat) == (rollout.fence, rollout.heartbeat));
        if !unchanged {
            self.last_heartbeat = Some(LastHeartbeat {
                fence: rollout.fence,
                heartbeat: rollout.heartbeat,
                seen_at: now,
            });
        }
    }

    /// Requests control if no other controller is alive.
    fn try_take_control(&mut self, now: Time, rollout: &Rollout) -> Option<RolloutEntry> {
        // Another controller, perhaps of the same name, has taken over: this one's samples no longer count.
        if self.fence.is_some_and(|fence| fence < rollout.fence) {
            self.fence = None;
            self.analysis = None;
            self.analysis_start = None;
            self.released_at.clear();
        }
        let next_fence = rollout.fence + 1;
        let timed_out = self
            .last_heartbeat
            .is_some_and(|last| now - last.seen_at >= HEARTBEAT_TIMEOUT);
        let requested = self.fence == Some(next_fence)
            && now.saturating_sub(self.requested_at) < HEARTBEAT_INTERVAL;
        if requested || !(rollout.fence == 0 || timed_out) {
            return None;
        }
        self.fence = Some(next_fence);
        self.requested_at = now;
        Some(RolloutEntry::TakeControl {
            fence: next_fence,
            controller: self.name.clone(),
        })
    }

    fn heartbeat(&mut self, now: Time, rollout: &Rollout) -> RolloutEntry {
        self.next_heartbeat = now + HEARTBEAT_INTERVAL;
        RolloutEntry::Heartbeat {
            fence: rollout.fence,
            observation: self.unsent.take().map(Box::new),
        }
    }

    /// Feeds the analysis: the current stage, new crashes, and a sample of the front ends if one is due.
    fn observe(&mut self, now: Time, rollout: &Rollout, front_ends: &[FrontEndObservation]) {
        let analysing = rollout.phase == RolloutPhase::Analysing;
        let number = u64::from(rollout.analyses);
        let stage_analysis = self
            .analysis
            .get_or_insert_with(|| StageAnalysis::new(rollout));
        if analysing {
            stage_analysis.begin_if_new(rollout);
        }
        if !analysing {
            self.analysis_start = None;
        } else if self
            .analysis_start
            .is_none_or(|start| start.number != number)
        {
            self.analysis_start = Some(AnalysisStart {
                number,
                began_at: now,
            });
        }
        stage_analysis.add_crashes(rollout);
        if now < self.next_sample {
            return;
        }
        self.next_sample = now + rollout.plan.sample_seconds as Time * SECOND;
        let reports: Vec<FrontEndReport> = front_ends
            .iter()
            .map(|front_end| front_end.report.clone())
            .collect();
        stage_analysis.analysis.observe(&reports, analysing);
        if analysing {
            let elapsed = self
                .analysis_start
                .map_or(0, |start| ((now - start.began_at) / SECOND) as u64);
            let measurements = stage_analysis.analysis.measurements();
            self.value_lost = ValueLost::estimate(&reports, &measurements);
            self.unsent = Some(StageObservation {
                stage: rollout.stage,
                elapsed_seconds: elapsed,
                measurements,
                verdict: Some(stage_analysis.analysis.verdict()),
            });
        }
    }

    /// While front ends are changed or changed back: completes or fails the released ones, then releases the next one.
    fn change_front_ends(
        &mut self,
        now: Time,
        rollout: &Rollout,
        front_ends: &[FrontEndObservation],
    ) -> Option<RolloutEntry> {
        let fleet = FleetView {
            rollout,
            front_ends,
        };
        if let Some(entry) = self.check_released(now, &fleet) {
            return Some(entry);
        }
        let revision = rollout.revision;
        let fence = rollout.fence;
        if let Some(name) = fleet.next_to_release() {
            let allowed = rollout.phase == RolloutPhase::RollingBack
                || self.has_pre_change_samples(now, rollout);
            let name = name.to_string();
            return allowed.then_some(RolloutEntry::Release {
                revision,
                fence,
                name,
            });
        }
        let complete = rollout.phase == RolloutPhase::Changing && rollout.stage_is_complete();
        (complete && !rollout.paused).then_some(RolloutEntry::BeginAnalysis { revision, fence })
    }

    /// The entry for the first released front end that is ready again, or that is not ready in time.
    fn check_released(&mut self, now: Time, fleet: &FleetView<'_>) -> Option<RolloutEntry> {
        let rollout = fleet.rollout;
        let revision = rollout.revision;
        let fence = rollout.fence;
        let changing = rollout.phase != RolloutPhase::RollingBack;
        self.released_at
            .retain(|name, _| rollout.released.contains(name));
        for name in &rollout.released {
            let since = *self.released_at.entry(name.clone()).or_insert(now);
            let is_ready = fleet
                .front_end(name)
                .is_some_and(|front_end| front_end.ready && front_end.report.is_canary == changing);
            if is_ready {
                let name = name.clone();
                return Some(RolloutEntry::MarkReady {
                    revision,
                    fence,
                    name,
                });
            }
            if changing && now - since >= rollout.plan.ready_timeout_seconds as Time * SECOND {
                let reason = format!(
                    "{name} was not ready {} s after it was let go",
                    rollout.plan.ready_timeout_seconds
                );
                return Some(RolloutEntry::Fail {
                    revision,
                    fence,
                    reason,
                });
            }
        }
        None
    }

    /// Whether the unchanged fleet was sampled for long enough to change the first front end.
    fn has_pre_change_samples(&mut self, now: Time, rollout: &Rollout) -> bool {
        let unchanged =
            rollout.changed.is_empty() && rollout.released.is_empty() && rollout.stage == 0;
        let since = *self.pre_change_since.get_or_insert(now);
        !unchanged || now - since >= rollout.plan.min_stage_seconds as Time * SECOND
    }

    /// While a stage is analysed: the entry that ends the analysis or pauses the rollout, if it is time for one.
    fn conclude(&self, now: Time, rollout: &Rollout) -> Option<RolloutEntry> {
        let revision = rollout.revision;
        let fence = rollout.fence;
        let since = self.analysis_start.map_or(now, |start| start.began_at);
        let elapsed = (now - since) / SECOND;
        let verdict = self.analysis.as_ref()?.analysis.verdict();
        if let Verdict::Fail { reason } = verdict {
            return Some(RolloutEntry::Fail {
                revision,
                fence,
                reason,
            });
        }
        if let Some(reason) = self.value_lost.rollback_reason(rollout.plan.max_value_lost) {
            return Some(RolloutEntry::Fail {
                revision,
                fence,
                reason,
            });
        }
        if rollout.paused || elapsed < rollout.plan.min_stage_seconds as Time {
            return None;
        }
        let expired = elapsed >= rollout.plan.max_stage_seconds as Time;
        match verdict {
            Verdict::Pass => Some(RolloutEntry::Pass {
                revision,
                fence,
                reason: "no worse than its siblings".into(),
            }),
            Verdict::SharedFault { slices } if expired => Some(RolloutEntry::Fail {
                revision,
                fence,
                reason: format!(
                    "both sides were in trouble for {slices} slices: nobody can tell whose it is"
                ),
            }),
            Verdict::Inconclusive { needs, .. } if expired => {
                let reason = format!("no verdict after {elapsed} s: {needs}");
                Some(end_inconclusive(rollout, reason))
            }
            Verdict::Fail { .. } | Verdict::Inconclusive { .. } | Verdict::SharedFault { .. } => {
                None
            }
        }
    }
}

/// The entry by which [`InconclusivePolicy`] ends a stage without a verdict.
fn end_inconclusive(rollout: &Rollout, reason: String) -> RolloutEntry {
    let revision = rollout.revision;
    let fence = rollout.fence;
    match rollout.plan.inconclusive {
        InconclusivePolicy::Hold => RolloutEntry::Pause {
            id: rollout.id,
            reason,
        },
        InconclusivePolicy::RollBack => RolloutEntry::Fail {
            revision,
            fence,
            reason,
        },
        InconclusivePolicy::Pass => RolloutEntry::Pass {
            revision,
            fence,
            reason,
        },
    }
}
