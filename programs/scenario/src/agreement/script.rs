//! The random script of a run: one proposal and some faults in each round.

use super::options::ScenarioOptions;
use super::{ROUND_SECONDS, WORKERS};
use std::collections::BTreeSet;
use std::fmt;

/// A partition cuts off at most `1 + front_ends / MINORITY_DIVISOR` front ends.
const MINORITY_DIVISOR: usize = 3;
/// Time from the start of a round until its proposal, and the random time that is added to it.
const MIN_PROPOSAL_DELAY_SECONDS: f64 = 0.5;
const MAX_EXTRA_PROPOSAL_DELAY_SECONDS: f64 = 0.5;
/// Faults start between this time before the proposal and [`FAULT_START_RANGE_SECONDS`] later.
const FAULT_LEAD_SECONDS: f64 = 0.15;
const FAULT_START_RANGE_SECONDS: f64 = 0.5;
/// Time that is added to the minimum length of a fault, and the random time on top.
const MIN_EXTRA_SECONDS: f64 = 0.05;
const EXTRA_RANGE_SECONDS: f64 = 1.2;
/// The kills of a round are spread over this time.
const KILL_SPREAD_SECONDS: f64 = 0.2;
/// Minimum time until a killed front end is started again, and the random time that is added to it.
const MIN_DOWN_SECONDS: f64 = 0.3;
const DOWN_RANGE_SECONDS: f64 = 0.5;
/// Minimum time for which a front end's process is stopped.
const MIN_STOP_SECONDS: f64 = 1.2;
/// Minimum time for which a link is paused.
const MIN_PAUSE_SECONDS: f64 = 1.0;
/// Time from the start of a round until a worker is drained.
const DRAIN_DELAY_SECONDS: f64 = 0.3;
/// Time before the end of a round at which the drain ends.
const DRAIN_END_MARGIN_SECONDS: f64 = 0.1;
/// Number of state changes of a flapping link, alternately paused and resumed.
const FLAP_STEPS: usize = 6;
/// Time between two state changes.
const FLAP_INTERVAL_SECONDS: f64 = 0.25;
/// Number of kinds of rounds, which take turns.
const ROUND_KINDS: usize = 5;

/// A step of the script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ScriptStep {
    /// The operator proposes the next version.
    Propose,
    /// Kills a front end.
    Kill(usize),
    /// Starts a killed front end again.
    Restart(usize),
    /// Stops a front end's process (SIGSTOP).
    Stop(usize),
    /// Resumes a stopped front end (SIGCONT).
    Resume(usize),
    /// Pauses or resumes messages from one front end to another.
    SetLinkPaused(usize, usize, bool),
    /// Marks a worker as draining in the endpoint list of one front end alone.
    Drain(usize, usize),
    /// Lists a worker as ready, with a new incarnation, in all endpoint lists.
    EndDrain(usize),
}

/// The printed form of steps, which scripts read.
impl fmt::Display for ScriptStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ScriptStep::Propose => write!(f, "Propose"),
            ScriptStep::Kill(front) => write!(f, "Kill({front})"),
            ScriptStep::Restart(front) => write!(f, "Revive({front})"),
            ScriptStep::Stop(front) => write!(f, "Stop({front})"),
            ScriptStep::Resume(front) => write!(f, "Wake({front})"),
            ScriptStep::SetLinkPaused(from, to, paused) => {
                write!(f, "Hold({from}, {to}, {paused})")
            }
            ScriptStep::Drain(front, worker) => write!(f, "Drain({front}, {worker})"),
            ScriptStep::EndDrain(worker) => write!(f, "Back({worker})"),
        }
    }
}

/// A step with its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct TimedStep {
    /// Seconds since the start of the script.
    pub at: f64,
    pub step: ScriptStep,
}

/// Generates the script of a run, sorted by time. The order of the draws must not change, or a seed gives another script than before.
pub(super) fn generate(options: &ScenarioOptions) -> Vec<TimedStep> {
    let mut script = ScriptBuilder::new(options);
    for round in 0..options.rounds {
        script.add_round(round, (round + options.seed as usize) % ROUND_KINDS);
    }
    for round in 0..options.rounds {
        script.add_drain(round);
    }
    script.steps.sort_by(|a, b| a.at.total_cmp(&b.at));
    script.steps
}

/// Start of a fault, and the time that is added to the minimum length of its kind.
#[derive(Clone, Copy)]
struct FaultTiming {
    at: f64,
    extra_seconds: f64,
}

struct ScriptBuilder {
    rng: fastrand::Rng,
    front_ends: usize,
    /// Front ends that were not killed yet, in random order; they are killed first, so that a long run kills each.
    not_killed: Vec<usize>,
    steps: Vec<TimedStep>,
}

impl ScriptBuilder {
    fn new(options: &ScenarioOptions) -> ScriptBuilder {
        let mut rng = fastrand::Rng::with_seed(options.seed);
        let mut not_killed: Vec<usize> = (0..options.front_ends).collect();
        rng.shuffle(&mut not_killed);
        ScriptBuilder {
            rng,
            front_ends: options.front_ends,
            not_killed,
            steps: Vec::new(),
        }
    }

    fn add(&mut self, at: f64, step: ScriptStep) {
        self.steps.push(TimedStep { at, step });
    }

    fn add_round(&mut self, round: usize, kind: usize) {
        let proposed = round as f64 * ROUND_SECONDS
            + MIN_PROPOSAL_DELAY_SECONDS
            + self.rng.f64() * MAX_EXTRA_PROPOSAL_DELAY_SECONDS;
        self.add(proposed, ScriptStep::Propose);
        let time = FaultTiming {
            at: proposed - FAULT_LEAD_SECONDS + self.rng.f64() * FAULT_START_RANGE_SECONDS,
            extra_seconds: MIN_EXTRA_SECONDS + self.rng.f64() * EXTRA_RANGE_SECONDS,
        };
        let front = self.rng.usize(0..self.front_ends);
        match kind {
            0 | 1 => self.add_kills(round, time),
            2 => self.add_stop(front, time),
            3 => self.add_partition(time),
            _ => {
                self.add_broken_pair(front, time);
                self.add_flapping_link(time);
            }
        }
    }

    /// Kills at least 70 % of the front ends in even rounds, one in odd rounds.
    fn add_kills(&mut self, round: usize, time: FaultTiming) {
        let kills = if round.is_multiple_of(2) {
            (self.front_ends * 7).div_ceil(10)
        } else {
            1
        };
        for _ in 0..kills.max(1) {
            let front = match self.not_killed.pop() {
                Some(front) => front,
                None => self.rng.usize(0..self.front_ends),
            };
            let at = time.at + self.rng.f64() * KILL_SPREAD_SECONDS;
            let restart_delay = self.rng.f64() * DOWN_RANGE_SECONDS;
            self.add(at, ScriptStep::Kill(front));
            let restarted = at + MIN_DOWN_SECONDS + time.extra_seconds + restart_delay;
            self.add(restarted, ScriptStep::Restart(front));
        }
    }

    fn add_stop(&mut self, front: usize, time: FaultTiming) {
        self.add(time.at, ScriptStep::Stop(front));
        self.add(
            time.at + MIN_STOP_SECONDS + time.extra_seconds,
            ScriptStep::Resume(front),
        );
    }

    /// Cuts off a random minority in both directions or in one.
    fn add_partition(&mut self, time: FaultTiming) {
        let minority: BTreeSet<usize> = (0..1 + self.front_ends / MINORITY_DIVISOR)
            .map(|_| self.rng.usize(0..self.front_ends))
            .collect();
        let direction = self.rng.usize(0..3);
        for from in 0..self.front_ends {
            for to in 0..self.front_ends {
                let outward = minority.contains(&from);
                let crosses = outward != minority.contains(&to);
                let applies = direction == 0 || (direction == 1) == outward;
                if crosses && applies {
                    self.add_pause(from, to, time);
                }
            }
        }
    }

    /// Cuts the link between two front ends in both directions.
    fn add_broken_pair(&mut self, front: usize, time: FaultTiming) {
        let distance = 1 + self.rng.usize(0..self.front_ends - 1);
        let other = (front + distance) % self.front_ends;
        self.add_pause(front, other, time);
        self.add_pause(other, front, time);
    }

    fn add_pause(&mut self, from: usize, to: usize, time: FaultTiming) {
        self.add(time.at, ScriptStep::SetLinkPaused(from, to, true));
        let end = time.at + MIN_PAUSE_SECONDS + time.extra_seconds;
        self.add(end, ScriptStep::SetLinkPaused(from, to, false));
    }

    /// Interrupts the link between a front end and the first voter several times.
    fn add_flapping_link(&mut self, time: FaultTiming) {
        let front = 1 + self.rng.usize(0..self.front_ends - 1);
        for flap in 0..FLAP_STEPS {
            let at = time.at + flap as f64 * FLAP_INTERVAL_SECONDS;
            let paused = flap.is_multiple_of(2);
            self.add(at, ScriptStep::SetLinkPaused(front, 0, paused));
            self.add(at, ScriptStep::SetLinkPaused(0, front, paused));
        }
    }

    /// Drains a worker in the list of one front end alone, until just before the end of the round.
    fn add_drain(&mut self, round: usize) {
        let worker = round % (WORKERS - 2);
        let front = self.rng.usize(0..self.front_ends);
        let at = round as f64 * ROUND_SECONDS;
        self.add(at + DRAIN_DELAY_SECONDS, ScriptStep::Drain(front, worker));
        let end = at + ROUND_SECONDS - DRAIN_END_MARGIN_SECONDS;
        self.add(end, ScriptStep::EndDrain(worker));
    }
}

#[cfg(test)]
mod tests;
