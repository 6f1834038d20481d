//! Cost to a rollout controller of observing all front ends.

use super::fleet::{observe, RolloutFleet};
use super::{add_rejection, begin_rollout, step_failed, CONTROLLER, POLL_INTERVAL, RESTART_TIME};
use crate::inputs::CLASSES;
use crate::measure::{ms, timed, Distribution, MemoryGrowth, OutputRecord};
use crate::{Args, BenchError};
use prost::Message;
use tansy_fleet_wire::encode_rollout_entry;
use tansy_rollout::{FrontEndObservation, Rollout, RolloutController, RolloutEntry, Time, SECOND};

/// Number of timed observations between two slices.
const TIMED_OBSERVATIONS: usize = 8;

/// A rollout, its controller and the fleet.
struct ControllerBench {
    rollout: Rollout,
    fleet: RolloutFleet,
    controller: RolloutController,
    observations: Vec<FrontEndObservation>,
    now: Time,
    /// Times to decode all replies.
    decode_times: Distribution,
    /// Times of observations that compare all slices.
    slice_times: Distribution,
    /// Times of other observations.
    observation_times: Distribution,
    /// Sizes of the entries between two slices.
    entry_bytes: Vec<usize>,
}

impl ControllerBench {
    fn new(rollout: Rollout, fleet: RolloutFleet) -> ControllerBench {
        ControllerBench {
            rollout,
            fleet,
            controller: RolloutController::new(CONTROLLER.into()),
            observations: Vec::new(),
            now: 0,
            decode_times: Distribution::default(),
            slice_times: Distribution::default(),
            observation_times: Distribution::default(),
            entry_bytes: Vec::new(),
        }
    }

    fn slice(&self) -> Time {
        self.rollout.plan.sample_seconds as Time * SECOND
    }

    /// Time for which the baseline is observed before the first restart.
    fn baseline(&self) -> Time {
        self.rollout.plan.min_stage_seconds as Time * SECOND
    }

    fn poll(&mut self) -> Option<RolloutEntry> {
        self.controller
            .poll(self.now, &self.rollout, &self.observations)
    }

    fn apply(&mut self, entry: RolloutEntry) -> Result<(), BenchError> {
        self.rollout.apply(entry).map_err(step_failed)
    }

    /// Observes the baseline, slice by slice, until the first front end may restart.
    fn observe_baseline(&mut self) -> Result<(), BenchError> {
        while self.now < self.baseline() {
            let replies = self.fleet.replies(self.now);
            let (observations, took) = timed(|| observe(&replies));
            self.decode_times.add(took);
            self.observations = observations;
            let is_fenced = self.rollout.fence > 0;
            let (entry, took) = timed(|| self.poll());
            // An observation that only requests the fence compares nothing.
            if is_fenced {
                self.slice_times.add(took);
            }
            if let Some(entry) = entry {
                let is_restart = matches!(entry, RolloutEntry::Release { .. });
                self.apply(entry)?;
                if is_restart {
                    return Ok(());
                }
            }
            self.now += self.slice();
        }
        Ok(())
    }

    /// Changes half of the first stage to the new program.
    fn change_half_of_stage(&mut self) -> Result<(), BenchError> {
        self.now = self.baseline() + self.slice();
        let targets = self.rollout.plan.targets_through(0);
        let names: Vec<String> = targets.map(|target| target.name.clone()).collect();
        for name in names.iter().take(names.len() / 2) {
            self.change_front_end(name)?;
        }
        self.fleet.pass_time(self.now);
        for observation in &mut self.observations {
            if self.rollout.changed.contains(&observation.report.name) {
                observation.report.is_canary = true;
            }
        }
        Ok(())
    }

    fn change_front_end(&mut self, name: &str) -> Result<(), BenchError> {
        let fence = self.rollout.fence;
        if !self.rollout.released.contains(name) {
            self.apply(RolloutEntry::Release {
                revision: self.rollout.revision,
                fence,
                name: name.to_string(),
            })?;
        }
        self.apply(RolloutEntry::MarkReady {
            revision: self.rollout.revision,
            fence,
            name: name.to_string(),
        })?;
        self.fleet.restart(name, self.now - RESTART_TIME);
        Ok(())
    }

    /// Times observations between two slices, in which front ends restart one by one.
    fn observe_between_slices(&mut self) -> Result<(), BenchError> {
        // The first observation here begins a slice.
        let _ = self.poll();
        for _ in 0..TIMED_OBSERVATIONS {
            self.now += POLL_INTERVAL;
            let (entry, took) = timed(|| self.poll());
            self.observation_times.add(took);
            if let Some(entry) = entry {
                let bytes = encode_rollout_entry(&entry, None).encode_to_vec().len();
                self.entry_bytes.push(bytes);
                self.apply(entry)?;
            }
        }
        Ok(())
    }

    fn add_figures(&self, output: &mut OutputRecord) {
        output.insert("take_ms", self.decode_times.ms());
        output.insert("slice_ms", self.slice_times.ms());
        output.insert("look_ms", self.observation_times.ms());
        let entries = self.entry_bytes.len().max(1);
        let entry_bytes: usize = self.entry_bytes.iter().sum();
        output.figure("step_bytes", entry_bytes as f64 / entries as f64);
        let (encoded, took) = timed(|| serde_json::to_string(&self.rollout).unwrap_or_default());
        output.count("roll_bytes", encoded.len());
        output.figure("roll_encode_ms", ms(took));
        output.figure("steer_cpu", self.cpu_percent());
    }

    /// CPU use in percent of a core: decoding all replies and one observation per poll, and one comparison per slice.
    fn cpu_percent(&self) -> f64 {
        let poll_ms = self.decode_times.mean_ms()
            + self.observation_times.mean_ms()
            + self.slice_times.mean_ms() * POLL_INTERVAL as f64 / self.slice() as f64;
        poll_ms / (POLL_INTERVAL as f64 / 1e3) * 100.0
    }
}

/// Adds the size and the number of messages of one observation.
fn add_replies(fleet: &mut RolloutFleet, output: &mut OutputRecord) {
    let replies = fleet.replies(0);
    let bytes: usize = replies.iter().map(Vec::len).sum();
    let messages = replies.len();
    output.figure("answer_bytes", bytes as f64 / messages.max(1) as f64);
    output.count("look_bytes", bytes);
    output.count("look_messages", 2 * messages);
    let polls_per_s = (SECOND / POLL_INTERVAL) as f64;
    output.figure("look_kb_s", bytes as f64 / 1e3 * polls_per_s);
}

/// Measures the time and memory that a rollout controller needs for observations.
pub(crate) fn controller_cost(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let rollout = match begin_rollout(args.front_ends) {
        Ok(rollout) => rollout,
        Err(rejection) => {
            add_rejection(&rejection, args, output);
            return Ok(());
        }
    };
    output.count("refused", 0);
    output.count("classes", CLASSES);
    let mut fleet = RolloutFleet::new(args.front_ends, CLASSES, args.seed);
    add_replies(&mut fleet, output);
    let growth = MemoryGrowth::begin();
    let mut bench = ControllerBench::new(rollout, fleet);
    bench.observe_baseline()?;
    output.figure("memory_mb", growth.mb());
    output.figure("peak_mb", growth.peak_mb());
    bench.change_half_of_stage()?;
    bench.observe_between_slices()?;
    bench.add_figures(output);
    Ok(())
}
