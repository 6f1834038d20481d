//! Application of entries to a rollout. It is deterministic, so that all replicas reach the same state.

use crate::entry::{Crash, RolloutEntry, RolloutRejection, StageObservation};
use crate::state::{Rollout, RolloutPhase};

/// Maximum number of crashes kept of a stage.
const MAX_CRASHES: usize = 64;
/// Maximum number of lines in [`Rollout::steps`].
const MAX_STEPS: usize = 4 * MAX_CRASHES;

impl Rollout {
    /// Applies an entry. A rejected entry changes nothing.
    pub fn apply(&mut self, entry: RolloutEntry) -> Result<(), RolloutRejection> {
        self.check(&entry)?;
        if !matches!(entry, RolloutEntry::Heartbeat { .. }) {
            self.revision += 1;
        }
        match entry {
            RolloutEntry::Begin {
                id,
                change,
                plan,
                reason,
            } => *self = Rollout::begin(id, change, plan, reason)?,
            RolloutEntry::TakeControl { fence, controller } => self.take_control(fence, controller),
            RolloutEntry::Heartbeat { observation, .. } => self.record_heartbeat(observation),
            RolloutEntry::Release { name, .. } => {
                self.changed.remove(&name);
                self.released.insert(name);
            }
            RolloutEntry::MarkReady { name, .. } => self.mark_ready(name),
            RolloutEntry::BeginAnalysis { .. } => self.begin_analysis(),
            RolloutEntry::Pass { reason, .. } => self.pass_stage(reason),
            RolloutEntry::Fail { reason, .. } => self.roll_back(reason),
            RolloutEntry::Abort { reason, .. } => self.roll_back(format!("by hand: {reason}")),
            RolloutEntry::Crashed(crash) => self.record_crash(crash),
            RolloutEntry::Pause { reason, .. } => {
                self.record(format!("paused: {reason}"));
                self.paused = true;
                self.reason = reason;
            }
            RolloutEntry::Resume { .. } => {
                self.record("goes on".into());
                self.paused = false;
            }
        }
        Ok(())
    }

    fn take_control(&mut self, fence: u64, controller: String) {
        self.record(format!("{controller} steers"));
        self.fence = fence;
        self.controller = controller;
        // The former controller's samples of the stage are lost, so a new analysis begins, with its own part of the error
        // probability.
        if self.phase == RolloutPhase::Analysing {
            self.analyses = self.analyses.saturating_add(1);
        }
    }

    fn record_heartbeat(&mut self, observation: Option<Box<StageObservation>>) {
        self.heartbeat += 1;
        if let Some(observation) = observation {
            self.observations
                .retain(|earlier| earlier.stage < observation.stage);
            self.observations.push(*observation);
        }
    }

    fn mark_ready(&mut self, name: String) {
        self.released.remove(&name);
        if self.phase != RolloutPhase::RollingBack {
            self.changed.insert(name);
        } else if self.released.is_empty() && self.changed.is_empty() {
            self.phase = RolloutPhase::RolledBack;
            self.record("all are as they were".into());
        }
    }

    fn begin_analysis(&mut self) {
        self.phase = RolloutPhase::Analysing;
        self.analyses = self.analyses.saturating_add(1);
        self.record(format!("stage {} stands", self.stage + 1));
    }

    fn pass_stage(&mut self, reason: String) {
        self.record(format!("stage {} passed: {reason}", self.stage + 1));
        self.reason = reason;
        self.crashes.clear();
        if self.stage + 1 < self.plan.stages.len() {
            self.stage += 1;
            self.phase = RolloutPhase::Changing;
        } else {
            self.phase = RolloutPhase::Completed;
        }
    }

    fn record_crash(&mut self, crash: Crash) {
        self.record(format!("{} ended by itself: {}", crash.name, crash.kind));
        self.crashes.push(crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
    }

    /// Begins to change back all front ends that changed or may have changed.
    fn roll_back(&mut self, reason: String) {
        self.record(format!("goes back: {reason}"));
        self.reason = reason;
        // A released front end may already be changed, so it is changed back too.
        let released = std::mem::take(&mut self.released);
        self.changed.extend(released);
        self.phase = if self.changed.is_empty() {
            RolloutPhase::RolledBack
        } else {
            RolloutPhase::RollingBack
        };
        self.paused = false;
    }

    /// Appends a line to [`Rollout::steps`] and drops the oldest if there are too many.
    fn record(&mut self, line: String) {
        self.steps.push(line);
        if self.steps.len() > MAX_STEPS {
            self.steps.remove(0);
        }
    }
}
