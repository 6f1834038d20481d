//! The faults of a run: the rollout controller's supervisor is killed, and a zone's workers pause.

use super::cluster::Cluster;
use super::options::ScenarioOptions;
use super::ZONES;
use crate::defect::InjectedDefect;
use crate::error::ScenarioError;
use rustix::process::Signal;
use std::time::{Duration, Instant};
use tansy_rollout::{Rollout, RolloutPhase};

/// The supervisor is killed within this part of a stage's least time.
const KILL_WINDOW_SHARE: f64 = 0.5;
/// A killed supervisor is back after this many seconds, and up to so many more.
const MIN_RESTART_SECONDS: f64 = 1.0;
const MAX_EXTRA_RESTART_SECONDS: f64 = 3.0;
/// A zone's workers pause so long after the first analysis began, and for so long.
const PAUSE_DELAY: Duration = Duration::from_secs(3);
const PAUSE_DURATION: Duration = Duration::from_secs(5);

/// The supervisor of the rollout controller: killed at some moment after the first front end was changed, and started again.
enum ControllerFault {
    /// No front end was changed yet.
    Waiting,
    Scheduled(Instant),
    Down {
        zone: usize,
        restart: Instant,
    },
    Done,
}

/// A zone's workers stand still.
#[derive(Clone, Copy)]
enum ZonePause {
    /// It has no such fault, or the analysis has not begun.
    NotScheduled,
    Scheduled(Instant),
    Paused {
        until: Instant,
    },
    Done,
}

/// The faults of a run.
pub(super) struct Faults {
    rng: fastrand::Rng,
    min_stage_seconds: f64,
    pauses_zone: bool,
    controller: ControllerFault,
    zone_pause: ZonePause,
    /// Supervisors killed so far.
    pub killed: usize,
}

impl Faults {
    pub fn new(options: &ScenarioOptions) -> Faults {
        Faults {
            rng: fastrand::Rng::with_seed(options.seed),
            min_stage_seconds: options.min_stage_seconds as f64,
            pauses_zone: options.defect == InjectedDefect::ZonePause,
            controller: ControllerFault::Waiting,
            zone_pause: ZonePause::NotScheduled,
            killed: 0,
        }
    }

    /// Schedules and injects what depends on the rollout's state.
    pub fn on_rollout(&mut self, cluster: &mut Cluster, rollout: &Rollout) {
        let now = Instant::now();
        if matches!(self.controller, ControllerFault::Waiting) && !rollout.released.is_empty() {
            let delay = self.rng.f64() * KILL_WINDOW_SHARE * self.min_stage_seconds;
            self.controller = ControllerFault::Scheduled(now + Duration::from_secs_f64(delay));
        }
        if matches!(self.controller, ControllerFault::Scheduled(at) if now >= at) {
            self.kill_controller(cluster, rollout);
        }
        let analysing = rollout.phase == RolloutPhase::Analysing;
        if self.pauses_zone && analysing && matches!(self.zone_pause, ZonePause::NotScheduled) {
            self.zone_pause = ZonePause::Scheduled(now + PAUSE_DELAY);
        }
    }

    /// Kills the supervisor that runs the rollout controller, if one does.
    fn kill_controller(&mut self, cluster: &mut Cluster, rollout: &Rollout) {
        let Some(zone) = ZONES.iter().position(|zone| *zone == rollout.controller) else {
            return;
        };
        let Some(mut supervisor) = cluster.supervisors[zone].take() else {
            return;
        };
        supervisor.kill();
        self.killed += 1;
        let delay = MIN_RESTART_SECONDS + self.rng.f64() * MAX_EXTRA_RESTART_SECONDS;
        let restart = Instant::now() + Duration::from_secs_f64(delay);
        self.controller = ControllerFault::Down { zone, restart };
    }

    /// Injects and ends what is due.
    pub fn run_due(&mut self, cluster: &mut Cluster) -> Result<(), ScenarioError> {
        let now = Instant::now();
        if let ControllerFault::Down { zone, restart } = self.controller {
            if now >= restart {
                cluster.supervisors[zone] = Some(cluster.start_supervisor(zone)?);
                self.controller = ControllerFault::Done;
            }
        }
        match self.zone_pause {
            // The moment has passed unnoticed: too late to begin.
            ZonePause::Scheduled(at) if now >= at + PAUSE_DURATION => {
                self.zone_pause = ZonePause::Done
            }
            ZonePause::Scheduled(at) if now >= at => {
                signal_first_zone(cluster, Signal::STOP)?;
                self.zone_pause = ZonePause::Paused {
                    until: at + PAUSE_DURATION,
                };
            }
            ZonePause::Paused { until } if now >= until => {
                signal_first_zone(cluster, Signal::CONT)?;
                self.zone_pause = ZonePause::Done;
            }
            _ => {}
        }
        Ok(())
    }
}

/// Signals the workers of the first zone.
fn signal_first_zone(cluster: &Cluster, signal: Signal) -> Result<(), ScenarioError> {
    for worker in cluster.workers.iter().step_by(ZONES.len()) {
        worker.signal(signal)?;
    }
    Ok(())
}
