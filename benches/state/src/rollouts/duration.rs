//! Duration of a rollout.

use super::fleet::{observe, RolloutFleet};
use super::{
    add_rejection, begin_rollout, step_failed, CONTROLLER, POLL_INTERVAL, RESTART_TIME, ZONES,
};
use crate::measure::OutputRecord;
use crate::{Args, BenchError};
use prost::Message;
use tansy_fleet_wire::encode_rollout_entry;
use tansy_rollout::{
    FrontEndObservation, Rollout, RolloutController, RolloutEntry, RolloutPhase, RolloutRejection,
    Time, SECOND,
};

/// Virtual time after which an unfinished rollout is abandoned.
const TIMEOUT: Time = 200_000 * SECOND;

/// A rollout and its statistics.
struct RolloutRun {
    rollout: Rollout,
    /// Number of entries other than heartbeats.
    entries: u64,
    heartbeats: u64,
    /// Maximum number of front ends that were restarting at the same time.
    max_restarting: usize,
    /// Total size of all entries.
    entry_bytes: u64,
    /// Virtual time from beginning to end.
    duration: Time,
}

impl RolloutRun {
    fn begin(front_ends: usize) -> Result<RolloutRun, RolloutRejection> {
        Ok(RolloutRun {
            rollout: begin_rollout(front_ends)?,
            entries: 0,
            heartbeats: 0,
            max_restarting: 0,
            entry_bytes: 0,
            duration: 0,
        })
    }

    fn apply(
        &mut self,
        entry: RolloutEntry,
        fleet: &mut RolloutFleet,
        now: Time,
    ) -> Result<(), RolloutRejection> {
        self.entry_bytes += encode_rollout_entry(&entry, None).encode_to_vec().len() as u64;
        if let RolloutEntry::Release { name, .. } = &entry {
            fleet.restart(name, now);
        }
        if matches!(entry, RolloutEntry::Heartbeat { .. }) {
            self.heartbeats += 1;
        } else {
            self.entries += 1;
        }
        self.rollout.apply(entry)
    }
}

/// Updates the readiness and the program of each front end, but not its counters.
fn update_readiness(observations: &mut [FrontEndObservation], fleet: &RolloutFleet) {
    for observation in observations {
        if let Some(front_end) = fleet.get(&observation.report.name) {
            observation.ready = front_end.is_ready;
            observation.report.is_canary = front_end.is_new;
        }
    }
}

/// Runs a rollout from its beginning to its end.
fn run_rollout(front_ends: usize, seed: u64) -> Result<RolloutRun, RolloutRejection> {
    let mut run = RolloutRun::begin(front_ends)?;
    let mut fleet = RolloutFleet::new(front_ends, 1, seed);
    let mut controller = RolloutController::new(CONTROLLER.into());
    let slice = run.rollout.plan.sample_seconds as Time * SECOND;
    let mut observations = observe(&fleet.replies(0));
    let (mut now, mut next_replies) = (0, 0);
    while !run.rollout.has_ended() && now < TIMEOUT {
        fleet.pass_time(now);
        if now >= next_replies {
            // Counters are only needed when slices are compared; readiness and program at every poll.
            observations = observe(&fleet.replies(now));
            next_replies = now + slice;
        }
        update_readiness(&mut observations, &fleet);
        if let Some(entry) = controller.poll(now, &run.rollout, &observations) {
            run.apply(entry, &mut fleet, now)?;
        }
        run.max_restarting = run.max_restarting.max(run.rollout.released.len());
        now += POLL_INTERVAL;
    }
    run.duration = now;
    Ok(run)
}

/// Measures the duration of a rollout of a program.
pub(crate) fn rollout_duration(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let run = match run_rollout(args.front_ends, args.seed) {
        Ok(run) => run,
        Err(rejection @ RolloutRejection::Plan(_)) => {
            add_rejection(&rejection, args, output);
            return Ok(());
        }
        Err(rejection) => return Err(step_failed(rejection)),
    };
    let rollout = &run.rollout;
    if rollout.phase != RolloutPhase::Completed {
        return Err(BenchError::failed(
            "the rollout",
            format!("not completed: {}", rollout.reason),
        ));
    }
    output.count("refused", 0);
    output.count("zones", ZONES);
    output.count("at_once", rollout.plan.max_unavailable);
    output.figure("restart_s", RESTART_TIME as f64 / 1e6);
    output.figure("roll_s", run.duration as f64 / 1e6);
    output.count("steps", run.entries as usize);
    output.count("beats", run.heartbeats as usize);
    output.count("away", run.max_restarting);
    let entries = (run.entries + run.heartbeats).max(1);
    output.figure("step_bytes", run.entry_bytes as f64 / entries as f64);
    let encoded = serde_json::to_string(rollout).unwrap_or_default();
    output.count("roll_bytes", encoded.len());
    Ok(())
}
