//! Faults of a run: kills the supervisor that runs the rollout controller, and pauses the workers of a zone.

use super::cluster::Cluster;
use super::options::ScenarioOptions;
use super::ZONES;
use crate::defect::InjectedDefect;
use crate::error::ScenarioError;
use rustix::process::Signal;
use std::time::{Duration, Instant};
use tansy_rollout::{Rollout, RolloutPhase};

/// The supervisor is killed within this share of the minimum stage length, after the first release.
const KILL_WINDOW_SHARE: f64 = 0.5;
/// Minimum time until a killed supervisor is started again.
const MIN_RESTART_SECONDS: f64 = 1.0;
/// Maximum random time that is added to it.
const MAX_EXTRA_RESTART_SECONDS: f64 = 3.0;
/// Time from the start of the first analysis until a zone's workers are paused.
const PAUSE_DELAY: Duration = Duration::from_secs(3);
/// How long they are paused.
const PAUSE_DURATION: Duration = Duration::from_secs(5);

/// State of the controller fault: the supervisor is killed some time after the first release, and started again later.
enum ControllerFault {
    /// No front end was released yet.
    Waiting,
    Scheduled(Instant),
    Down {
        zone: usize,
        restart: Instant,
    },
    Done,
}

/// State of the pause of a zone's workers.
#[derive(Clone, Copy)]
enum ZonePause {
    /// The run has no such fault, or the first analysis has not started.
    NotScheduled,
    Scheduled(Instant),
    Paused {
        until: Instant,
    },
    Done,
}

/// Injects the faults of a run.
pub(super) struct Faults {
    rng: fastrand::Rng,
    min_stage_seconds: f64,
    pauses_zone: bool,
    controller: ControllerFault,
    zone_pause: ZonePause,
    /// Number of supervisors killed so far.
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

    /// Schedules faults by the rollout's state, and kills the controller's supervisor when it is due.
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

    /// Kills the supervisor that runs the rollout controller, if there is one.
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

    /// Starts and ends the faults that are due.
    pub fn run_due(&mut self, cluster: &mut Cluster) -> Result<(), ScenarioError> {
        let now = Instant::now();
        if let ControllerFault::Down { zone, restart } = self.controller {
            if now >= restart {
                cluster.supervisors[zone] = Some(cluster.start_supervisor(zone)?);
                self.controller = ControllerFault::Done;
            }
        }
        match self.zone_pause {
            // The whole pause has been missed.
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

/// Sends a signal to the workers of the first zone.
fn signal_first_zone(cluster: &Cluster, signal: Signal) -> Result<(), ScenarioError> {
    for worker in cluster.workers.iter().step_by(ZONES.len()) {
        worker.signal(signal)?;
    }
    Ok(())
}
