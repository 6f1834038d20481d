//! Applying an entry to a rollout. The result depends on the state and the entry alone, so that all replicas agree.

use crate::entry::{Crash, RolloutEntry, RolloutRejection, StageObservation};
use crate::state::{Rollout, RolloutPhase};

/// Crashes that are remembered.
const MAX_CRASHES: usize = 64;
/// Lines of [`Rollout::steps`] that are remembered.
const MAX_STEPS: usize = 4 * MAX_CRASHES;

impl Rollout {
    /// Applies an entry, or rejects it and changes nothing.
    pub fn apply(&mut self, entry: RolloutEntry) -> Result<(), RolloutRejection> {
        self.judge(&entry)?;
        if !matches!(entry, RolloutEntry::Beat { .. }) {
            self.at += 1;
        }
        match entry {
            RolloutEntry::Begin {
                id,
                what,
                plan,
                why,
            } => *self = Rollout::begin(id, what, plan, why)?,
            RolloutEntry::TakeControl { fence, controller } => self.take_control(fence, controller),
            RolloutEntry::Beat { observation, .. } => self.record_heartbeat(observation),
            RolloutEntry::Let { name, .. } => {
                self.moved.remove(&name);
                self.moving.insert(name);
            }
            RolloutEntry::Moved { name, .. } => self.complete_move(name),
            RolloutEntry::BeginAnalysis { .. } => self.begin_analysis(),
            RolloutEntry::Pass { why, .. } => self.pass_stage(why),
            RolloutEntry::Worse { why, .. } => self.roll_back(why),
            RolloutEntry::Abort { why, .. } => self.roll_back(format!("by hand: {why}")),
            RolloutEntry::Crashed(crash) => self.record_crash(crash),
            RolloutEntry::Pause { why, .. } => {
                self.record(format!("paused: {why}"));
                self.paused = true;
                self.why = why;
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
        self.steerer = controller;
        // The former controller's samples of the stage are lost: the analysis begins anew, with its own part of the error.
        if self.phase == RolloutPhase::Judging {
            self.analyses = self.analyses.saturating_add(1);
        }
    }

    fn record_heartbeat(&mut self, observation: Option<Box<StageObservation>>) {
        self.heartbeat += 1;
        if let Some(observation) = observation {
            self.seen
                .retain(|earlier| earlier.stage < observation.stage);
            self.seen.push(*observation);
        }
    }

    fn complete_move(&mut self, name: String) {
        self.moving.remove(&name);
        if self.phase != RolloutPhase::Back {
            self.moved.insert(name);
        } else if self.moving.is_empty() && self.moved.is_empty() {
            self.phase = RolloutPhase::Stopped;
            self.record("all are as they were".into());
        }
    }

    fn begin_analysis(&mut self) {
        self.phase = RolloutPhase::Judging;
        self.analyses = self.analyses.saturating_add(1);
        self.record(format!("stage {} stands", self.stage + 1));
    }

    fn pass_stage(&mut self, why: String) {
        self.record(format!("stage {} passed: {why}", self.stage + 1));
        self.why = why;
        self.crashes.clear();
        if self.stage + 1 < self.plan.stages.len() {
            self.stage += 1;
            self.phase = RolloutPhase::Moving;
        } else {
            self.phase = RolloutPhase::Done;
        }
    }

    fn record_crash(&mut self, crash: Crash) {
        self.record(format!("{} ended by itself: {}", crash.name, crash.kind));
        self.crashes.push(crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
    }

    /// Changes back all that changed or may have.
    fn roll_back(&mut self, why: String) {
        self.record(format!("goes back: {why}"));
        self.why = why;
        // A released front end may be on either side: it is released again, to be brought back.
        let moving = std::mem::take(&mut self.moving);
        self.moved.extend(moving);
        self.phase = if self.moved.is_empty() {
            RolloutPhase::Stopped
        } else {
            RolloutPhase::Back
        };
        self.paused = false;
    }

    /// Adds a line to the history for people.
    fn record(&mut self, line: String) {
        self.steps.push(line);
        if self.steps.len() > MAX_STEPS {
            self.steps.remove(0);
        }
    }
}
