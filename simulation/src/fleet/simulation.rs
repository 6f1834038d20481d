//! A simulation run: its state, setup and event loop.

use super::audit::Audit;
use super::event::{Event, EventQueue};
use super::process::{Disk, Process};
use super::{settings, InjectedDefect, SimulationOptions, SimulationResult};
use crate::fault::{Fault, Time, SECOND};
use crate::network::Network;
use crate::scale::{start_time, ScaleMeasurement, SharedDirectories, Tier, FIRST_INCARNATION};
use crate::scopes::Scopes;
use tansy_agreement::compatibility::Schema;
use tansy_agreement::log::FleetState;
use tansy_fleet_node::FleetNode;

/// A run with more violations than this is stopped.
const MAX_VIOLATIONS: usize = 4;
/// Bound on the clock rate error with [`InjectedDefect::ClockBeyondBound`].
const DEFECT_CLOCK_ERROR: f64 = 0.4;

/// The state of a simulation run.
pub(crate) struct Simulation<'a> {
    pub(crate) options: &'a SimulationOptions,
    pub(crate) rng: fastrand::Rng,
    pub(crate) network: Network,
    /// The true time.
    pub(crate) now: Time,
    queue: EventQueue,
    pub(crate) processes: Vec<Process>,
    /// The disks of the voter candidates, which are the first processes.
    pub(crate) disks: Vec<Disk>,
    pub(crate) schema: Schema,
    pub(super) audit: Audit,
    pub(crate) result: SimulationResult,
    /// The measurement at scale, if there is a scenario.
    pub(crate) scale: Option<Box<ScaleMeasurement>>,
    /// The member directories of the hollow tier, in which all processes share one directory instead of using gossip.
    pub(crate) directories: Option<SharedDirectories>,
    pub(crate) scopes: Option<Scopes>,
    pub(super) sent: SentMessages,
}

/// Counts of sent messages.
#[derive(Default)]
pub(super) struct SentMessages {
    pub(super) messages: u64,
    pub(super) bytes: u64,
    /// Messages from or to a voter.
    pub(super) voter_messages: u64,
}

impl<'a> Simulation<'a> {
    /// Sets up the run of a seed and schedules its events.
    pub(crate) fn new(
        options: &'a SimulationOptions,
        seed: u64,
        faults: &[Fault],
    ) -> Simulation<'a> {
        let mut rng = fastrand::Rng::with_seed(seed ^ 0x5eed);
        let processes = draw_processes(options, &mut rng);
        let scale = options.scale.clone();
        let mut simulation = Simulation {
            options,
            network: Network::new(options.network, faults),
            now: 0,
            queue: EventQueue::default(),
            processes,
            disks: (0..options.candidates()).map(|_| Disk::default()).collect(),
            schema: settings::schema(),
            audit: Audit::default(),
            result: SimulationResult {
                seed,
                ..SimulationResult::default()
            },
            scale: scale
                .map(|scenario| Box::new(ScaleMeasurement::new(scenario, options.front_ends))),
            directories: (options.tier == Tier::Hollow)
                .then(|| SharedDirectories::new(options.front_ends)),
            scopes: None,
            sent: SentMessages::default(),
            rng,
        };
        simulation.schedule_starts();
        let scopes = options
            .scale
            .as_ref()
            .map_or(options.scopes, |scenario| scenario.scoped_functions);
        simulation.scopes = (scopes > 0)
            .then(|| Scopes::new(scopes, options.front_ends, seed, options.scale.is_none()));
        simulation.schedule_checks();
        match &options.scale {
            Some(scenario) => simulation
                .network
                .place_in_regions(scenario.regions, &mut simulation.rng),
            None => simulation.schedule_faults_and_changes(faults),
        }
        simulation
    }

    fn schedule_starts(&mut self) {
        let front_ends = self.options.front_ends;
        let within = match self.scale {
            Some(_) => start_time(front_ends),
            None => SECOND / 2,
        };
        for process in 0..front_ends {
            let at = self.rng.i64(0..within);
            self.schedule(at, Event::Start { process });
        }
    }

    fn schedule_faults_and_changes(&mut self, faults: &[Fault]) {
        for fault in faults {
            match *fault {
                Fault::Kill {
                    process,
                    start,
                    downtime,
                } => {
                    self.schedule(start, Event::Stop { process });
                    self.schedule(start + downtime, Event::Start { process });
                }
                Fault::Pause {
                    process,
                    start,
                    duration,
                } => {
                    self.schedule(start, Event::Pause { process });
                    self.schedule(start + duration, Event::Resume { process });
                }
                _ => {}
            }
        }
        self.schedule_scope_workload();
        let changes_until = self.options.faults_until + self.options.recovery_time / 4;
        for _ in 0..self.options.replacements {
            let at = self.rng.i64(SECOND..changes_until);
            self.schedule(at, Event::ReplaceVoter);
        }
        for _ in 0..self.options.changes {
            let at = self.rng.i64(SECOND..changes_until);
            self.schedule(at, Event::Propose);
            if self.rng.u32(0..5) == 0 {
                let later = self.rng.i64(0..SECOND);
                self.schedule(at + later, Event::Abandon);
            }
        }
    }

    /// Schedules an event; a time in the past means now.
    pub(crate) fn schedule(&mut self, at: Time, event: Event) {
        self.queue.push(at.max(self.now), event);
    }

    /// Processes events until the end of the run or until there are too many violations.
    pub(crate) fn run_events(&mut self) {
        while let Some((at, event)) = self.queue.pop() {
            if at > self.end() || self.result.violations.len() > MAX_VIOLATIONS {
                break;
            }
            self.now = at;
            if let Some(scale) = &mut self.scale {
                scale.events += 1;
            }
            self.on_event(event);
        }
        if self.result.violations.len() <= MAX_VIOLATIONS {
            self.now = self.end();
        }
    }

    fn end(&self) -> Time {
        let without_scale = self.options.faults_until + self.options.recovery_time;
        self.scale.as_ref().map_or(without_scale, |scale| scale.end)
    }

    fn on_event(&mut self, event: Event) {
        if self.handle(event).is_some() {
            self.measure_in_force();
        }
    }

    /// Handles an event; `None` if an operator request found no leader, so that nothing changed.
    fn handle(&mut self, event: Event) -> Option<()> {
        match event {
            Event::Message { to, message } => self.on_arrival(to, *message),
            Event::Timer {
                process,
                incarnation,
                deadline,
            } => self.on_timer(process, incarnation, deadline),
            Event::Start { process } => self.start(process),
            Event::Stop { process } => self.stop(process, false),
            Event::Leave { process } => {
                self.step_node(process, FleetNode::leave);
                self.stop(process, true);
            }
            Event::Pause { process } => self.pause(process),
            Event::Resume { process } => self.resume(process),
            Event::Persisted {
                process,
                incarnation,
            } => self.on_persisted(process, incarnation),
            Event::Propose => self.propose()?,
            Event::ReplaceVoter => self.replace_voter()?,
            Event::Abandon => self.abandon()?,
            Event::Request { process, expire } => self.request_scope(process, expire),
            Event::ChangeScopes { repeat_of } => self.change_scopes(repeat_of),
            Event::AdvanceScope { scope, since } => self.advance_scope_early(scope, since),
            Event::Scale(event) => self.on_scale_event(event),
        }
        Some(())
    }

    /// The running process that leads, and its agreed state.
    pub(crate) fn leader(&self) -> Option<(usize, FleetState)> {
        let candidates = self.processes.iter().enumerate().take(self.disks.len());
        candidates.into_iter().find_map(|(index, process)| {
            let node = process.node.as_ref().filter(|_| process.paused.is_none())?;
            Some((index, node.log()?.state().clone()))
        })
    }

    /// Records a violation found by the audit.
    pub(crate) fn report_violation(&mut self, process: usize, violation: String) {
        let milliseconds = self.now / 1000;
        self.result.violations.push(format!(
            "{milliseconds} ms: front end {process} {violation}"
        ));
    }

    /// Updates the uptime totals of all processes.
    pub(crate) fn account_all(&mut self) {
        for process in &mut self.processes {
            process.account(self.now);
        }
    }

    /// Runs the final audit and returns the result.
    pub(super) fn into_result(mut self) -> SimulationResult {
        self.audit_end();
        self.audit_scopes_end();
        let uptime: Time = self.processes.iter().map(|p| p.uptime).sum();
        let share = |of: fn(&Process) -> Time| {
            self.processes.iter().map(of).sum::<Time>() as f64 / uptime.max(1) as f64
        };
        let seconds = self.now as f64 / SECOND as f64;
        let front_end_seconds = seconds * self.options.front_ends as f64;
        SimulationResult {
            without_lease: share(|p| p.without_lease),
            without_session: share(|p| p.without_session),
            messages: self.sent.messages as f64 / front_end_seconds,
            bytes: self.sent.bytes as f64 / front_end_seconds,
            voter_messages: self.sent.voter_messages as f64 / seconds,
            ..self.result
        }
    }
}

/// Draws the processes of a run, all of them stopped.
fn draw_processes(options: &SimulationOptions, rng: &mut fastrand::Rng) -> Vec<Process> {
    let rate_bound = if options.has_defect(InjectedDefect::ClockBeyondBound) {
        DEFECT_CLOCK_ERROR
    } else {
        options.lease.drift_ppm as f64 / 1e6
    };
    let first_incarnation = if options.scale.is_some() {
        FIRST_INCARNATION
    } else {
        0
    };
    (0..options.front_ends)
        .map(|_| Process::new(rng, first_incarnation, rate_bound))
        .collect()
}
