//! The controller of a rollout: observes the replicated state and the front ends, and proposes the next entry.

mod analysis;
mod availability;

use crate::entry::{RolloutEntry, StageObservation};
use crate::plan::InconclusivePolicy;
use crate::state::{Rollout, RolloutPhase};
use crate::{Time, SECOND};
use analysis::{RunningAnalysis, ValueLost};
use availability::FleetView;
use std::collections::BTreeMap;
use tansy_canary::{FrontEndReport, Verdict};

/// Time between two heartbeats of a controller.
const HEARTBEAT_INTERVAL: Time = SECOND;
/// A controller without a heartbeat for so long is replaced.
const HEARTBEAT_TIMEOUT: Time = 4 * SECOND;

/// A sample of a front end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FrontEndObservation {
    /// It answers, and may act.
    pub ready: bool,
    /// What it counted. `report.is_canary`: it is on the new side.
    pub report: FrontEndReport,
}

/// The last heartbeat that was seen, and since when it is the last one.
#[derive(Clone, Copy, Debug)]
struct LastHeartbeat {
    fence: u64,
    heartbeat: u64,
    since: Time,
}

/// Since when the analysis of this number lasts.
#[derive(Clone, Copy, Debug)]
struct AnalysisStart {
    number: u64,
    since: Time,
}

/// A node that may control rollouts. Several may propose entries at once; those of the one that the log knows as the controller count.
#[derive(Clone, Debug)]
pub struct RolloutController {
    name: String,
    analysis: Option<RunningAnalysis>,
    /// The fence that this controller asked for; it controls the rollout once the log has it.
    fence: Option<u64>,
    /// When it asked for the fence.
    requested_at: Time,
    /// Since when it samples the fleet as it was before the change.
    baseline_since: Option<Time>,
    last_heartbeat: Option<LastHeartbeat>,
    /// When each front end was released, as first seen here.
    released: BTreeMap<String, Time>,
    analysis_start: Option<AnalysisStart>,
    next_sample: Time,
    next_heartbeat: Time,
    value_lost: ValueLost,
    /// What the next heartbeat carries.
    unsent: Option<StageObservation>,
}

impl RolloutController {
    /// A controller of this name that has seen nothing.
    pub fn new(name: String) -> RolloutController {
        RolloutController {
            name,
            analysis: None,
            fence: None,
            requested_at: Time::MIN,
            baseline_since: None,
            last_heartbeat: None,
            released: BTreeMap::new(),
            analysis_start: None,
            next_sample: Time::MIN,
            next_heartbeat: Time::MIN,
            value_lost: ValueLost::default(),
            unsent: None,
        }
    }

    /// The next entry to propose, if any.
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
                self.move_front_ends(now, rollout, front_ends)
            }
            RolloutPhase::Analysing => self.conclude(now, rollout),
            RolloutPhase::Completed | RolloutPhase::RolledBack => None,
        };
        if entry.is_some() && (self.unsent.is_none() || rollout.phase != RolloutPhase::Analysing) {
            return entry;
        }
        // The log is to have what a verdict rests on before the verdict itself.
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
                since: now,
            });
        }
    }

    /// Asks for control if no other controller is alive.
    fn try_take_control(&mut self, now: Time, rollout: &Rollout) -> Option<RolloutEntry> {
        // A controller that was restarted under its old name has a new fence: its predecessor's samples are not its own.
        if self.fence.is_some_and(|fence| fence < rollout.fence) {
            self.fence = None;
            self.analysis = None;
            self.analysis_start = None;
            self.released.clear();
        }
        let next_fence = rollout.fence + 1;
        let timed_out = self
            .last_heartbeat
            .is_some_and(|last| now - last.since >= HEARTBEAT_TIMEOUT);
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

    /// Gives the analysis what is new: the stage, crashes, and a sample of the front ends if one is due.
    fn observe(&mut self, now: Time, rollout: &Rollout, front_ends: &[FrontEndObservation]) {
        let analysing = rollout.phase == RolloutPhase::Analysing;
        let number = u64::from(rollout.analyses);
        let running = self
            .analysis
            .get_or_insert_with(|| RunningAnalysis::new(rollout));
        if analysing {
            running.set_number(rollout);
        }
        if !analysing {
            self.analysis_start = None;
        } else if self
            .analysis_start
            .is_none_or(|start| start.number != number)
        {
            self.analysis_start = Some(AnalysisStart { number, since: now });
        }
        running.add_crashes(rollout);
        if now < self.next_sample {
            return;
        }
        self.next_sample = now + rollout.plan.sample_seconds as Time * SECOND;
        let reports: Vec<FrontEndReport> = front_ends
            .iter()
            .map(|front_end| front_end.report.clone())
            .collect();
        running.analysis.observe(&reports, analysing);
        if analysing {
            let elapsed = self
                .analysis_start
                .map_or(0, |start| ((now - start.since) / SECOND) as u64);
            let measurements = running.analysis.measurements();
            self.value_lost = ValueLost::of(&reports, &measurements);
            self.unsent = Some(StageObservation {
                stage: rollout.stage,
                elapsed_seconds: elapsed,
                measurements,
                verdict: Some(running.analysis.verdict()),
            });
        }
    }

    /// While front ends are moving: confirms or fails those that were released, then releases the next one.
    fn move_front_ends(
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
            let allowed =
                rollout.phase == RolloutPhase::RollingBack || self.has_baseline(now, rollout);
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

    /// The first released front end that is back, or is not back in time.
    fn check_released(&mut self, now: Time, fleet: &FleetView<'_>) -> Option<RolloutEntry> {
        let rollout = fleet.rollout;
        let revision = rollout.revision;
        let fence = rollout.fence;
        let forward = rollout.phase != RolloutPhase::RollingBack;
        self.released
            .retain(|name, _| rollout.released.contains(name));
        for name in &rollout.released {
            let since = *self.released.entry(name.clone()).or_insert(now);
            let arrived = fleet
                .front_end(name)
                .is_some_and(|front_end| front_end.ready && front_end.report.is_canary == forward);
            if arrived {
                let name = name.clone();
                return Some(RolloutEntry::MarkReady {
                    revision,
                    fence,
                    name,
                });
            }
            if forward && now - since >= rollout.plan.ready_timeout_seconds as Time * SECOND {
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

    /// Whether the fleet was sampled for long enough before the first front end is changed.
    fn has_baseline(&mut self, now: Time, rollout: &Rollout) -> bool {
        let unchanged =
            rollout.changed.is_empty() && rollout.released.is_empty() && rollout.stage == 0;
        let since = *self.baseline_since.get_or_insert(now);
        !unchanged || now - since >= rollout.plan.min_stage_seconds as Time * SECOND
    }

    /// While a stage is analysed: the entry that ends the analysis, once there is a reason for one.
    fn conclude(&self, now: Time, rollout: &Rollout) -> Option<RolloutEntry> {
        let revision = rollout.revision;
        let fence = rollout.fence;
        let since = self.analysis_start.map_or(now, |start| start.since);
        let elapsed = (now - since) / SECOND;
        let verdict = self.analysis.as_ref()?.analysis.verdict();
        if let Verdict::Fail { reason } = verdict {
            return Some(RolloutEntry::Fail {
                revision,
                fence,
                reason,
            });
        }
        if let Some(reason) = self.value_lost.excess(rollout.plan.max_value_lost) {
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

/// The entry that the plan's policy asks for at the end of a stage without a verdict.
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
