//! Simulated rollouts in which one supervisor, together with its controller, is killed or suspended at one of many moments. Every
//! rollout has to end, completed or rolled back, with each front end running the program that the log assigns to it. A front end
//! must never have two processes, and a zone never more unavailable front ends than the plan allows.

mod support;

use std::collections::BTreeMap;
use support::{program, target};
use tansy_canary::{FrontEndReport, RequestCounters};
use tansy_rollout::{
    DesiredProcess, FrontEndObservation, ProcessExit, Rollout, RolloutController, RolloutEntry,
    RolloutPhase, RolloutPlan, Supervisor, SupervisorCommand, SupervisorLimits, Time, SECOND,
};

/// Simulated time between two steps.
const TICK: Time = SECOND / 10;
/// Ticks from a fault until the supervisor is restarted or resumed.
const FAULT_TICKS: i64 = 70;
/// Minimum ticks of a run, so that all front ends have started.
const MIN_TICKS: i64 = 40;
/// Maximum ticks of a run; a rollout that has not ended by then fails the test.
const MAX_TICKS: i64 = 1500;
/// Ticks after the end of the rollout during which processes follow the log.
const SETTLE_TICKS: i64 = 60;
/// Calls that a front end serves per second.
const CALLS_PER_SECOND: u64 = 200;
const ZONES: usize = 3;
const FRONT_ENDS_PER_ZONE: usize = 3;

fn zone_name(zone_index: usize) -> String {
    format!("z{zone_index}")
}

/// The zone of a front end.
fn zone_of(front_end: usize) -> String {
    zone_name(front_end / FRONT_ENDS_PER_ZONE)
}

fn front_end_name(front_end: usize) -> String {
    format!("f{front_end}")
}

fn plan() -> RolloutPlan {
    let to_target = |front_end: usize| {
        target(
            &front_end_name(front_end),
            &zone_of(front_end),
            front_end.is_multiple_of(FRONT_ENDS_PER_ZONE),
        )
    };
    // The first stage has one front end of each zone, all of them voters; the second has the others.
    let (first, rest): (Vec<usize>, Vec<usize>) =
        (0..ZONES * FRONT_ENDS_PER_ZONE).partition(|n| n % FRONT_ENDS_PER_ZONE == 0);
    RolloutPlan {
        stages: [first, rest]
            .into_iter()
            .map(|stage| stage.into_iter().map(to_target).collect())
            .collect(),
        min_stage_seconds: 3,
        max_stage_seconds: 20,
        ready_timeout_seconds: 8,
        sample_seconds: 1,
        warm_up_seconds: 1,
        tolerated_loss: 0.3,
        ..RolloutPlan::default()
    }
}

struct Process {
    name: String,
    label: String,
    /// When it becomes ready.
    ready_at: Time,
    started_at: Time,
    /// When it exits, once it was terminated or killed.
    exits_at: Option<Time>,
}

/// The machine of one zone.
struct ZoneHost {
    supervisor: Option<Supervisor>,
    controller: RolloutController,
    /// The rollout as last read, and when it was read. A suspended host acts on it when it is resumed.
    last_read: Option<(Time, Rollout)>,
    suspended: bool,
}

/// The simulated fleet and its rollout.
struct Simulation {
    now: Time,
    rollout: Rollout,
    processes: BTreeMap<u32, Process>,
    last_pid: u32,
    hosts: Vec<ZoneHost>,
    /// Whether a guard intervenes in the new program.
    faulty: bool,
    /// Whether the new program never becomes ready on front end `f1`.
    unstartable: bool,
    violations: Vec<String>,
    fault_at: Option<Time>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Kill,
    Suspend,
}

impl Simulation {
    fn new(faulty: bool, unstartable: bool) -> Simulation {
        let change = program("new", "new");
        let rollout =
            Rollout::begin(7, change, plan(), "a test".into()).expect("the plan is valid");
        let mut simulation = Simulation {
            now: 0,
            rollout,
            processes: BTreeMap::new(),
            last_pid: 0,
            hosts: Vec::new(),
            faulty,
            unstartable,
            violations: Vec::new(),
            fault_at: None,
        };
        (0..ZONES).for_each(|zone_index| simulation.hosts.push(Simulation::host(zone_index)));
        (0..ZONES).for_each(|zone_index| simulation.start_supervisor(zone_index));
        simulation
    }

    fn host(zone_index: usize) -> ZoneHost {
        ZoneHost {
            supervisor: None,
            controller: RolloutController::new(format!("s{zone_index}")),
            last_read: None,
            suspended: false,
        }
    }

    fn zone_front_ends(zone_index: usize) -> impl Iterator<Item = String> {
        (zone_index * FRONT_ENDS_PER_ZONE..(zone_index + 1) * FRONT_ENDS_PER_ZONE)
            .map(front_end_name)
    }

    /// Starts a supervisor, which adopts the running processes of its front ends.
    fn start_supervisor(&mut self, zone_index: usize) {
        let limits = SupervisorLimits {
            drain_timeout: 2 * SECOND,
            start_timeout: 4 * SECOND,
            ..SupervisorLimits::default()
        };
        let mut supervisor =
            Supervisor::new(limits, Simulation::zone_front_ends(zone_index), "old");
        for (pid, process) in &self.processes {
            supervisor.adopt(self.now, &process.name, *pid, process.label.clone());
        }
        self.hosts[zone_index] = Simulation::host(zone_index);
        self.hosts[zone_index].supervisor = Some(supervisor);
    }

    fn observe_front_ends(&self) -> Vec<FrontEndObservation> {
        let observe = |front_end: usize| {
            let name = front_end_name(front_end);
            let found = self.processes.iter().find(|(_, p)| p.name == name);
            let uptime = found.map_or(0, |(_, p)| self.now - p.ready_at).max(0);
            let mut counters = RequestCounters::default();
            let calls = (uptime / SECOND) as u64 * CALLS_PER_SECOND;
            (counters.requested, counters.served) = (calls, calls);
            (counters.value_requested, counters.value_served) = (calls as f64, calls as f64);
            let is_canary = found.is_some_and(|(_, p)| p.label == "new");
            FrontEndObservation {
                ready: found.is_some_and(|(_, p)| p.ready_at <= self.now && p.exits_at.is_none()),
                report: FrontEndReport {
                    name,
                    zone: zone_of(front_end),
                    is_canary,
                    incarnation: found.map_or(0, |(pid, _)| u64::from(*pid)),
                    uptime_seconds: uptime as f64 / SECOND as f64,
                    classes: [("c".to_string(), counters)].into(),
                    memory_mb: 10.0,
                    guard_interventions: u64::from(is_canary && self.faulty && uptime > 2 * SECOND),
                },
            }
        };
        (0..ZONES * FRONT_ENDS_PER_ZONE).map(observe).collect()
    }

    fn with_supervisor(
        &mut self,
        zone_index: usize,
        event: impl FnOnce(&mut Supervisor, Time, &mut Vec<SupervisorCommand>),
    ) {
        let mut commands = Vec::new();
        let Some(supervisor) = &mut self.hosts[zone_index].supervisor else {
            return;
        };
        event(supervisor, self.now, &mut commands);
        for command in commands {
            match command {
                SupervisorCommand::Start { name, label } => {
                    if self.processes.values().any(|p| p.name == name) {
                        self.violations.push(format!("two processes of {name}"));
                    }
                    self.last_pid += 1;
                    let hangs = self.unstartable && label == "new" && name == "f1";
                    let ready_at = if hangs { Time::MAX } else { self.now + SECOND };
                    let process = Process {
                        name: name.clone(),
                        label: label.clone(),
                        ready_at,
                        started_at: self.now,
                        exits_at: None,
                    };
                    self.processes.insert(self.last_pid, process);
                    let (pid, now) = (self.last_pid, self.now);
                    if let Some(supervisor) = &mut self.hosts[zone_index].supervisor {
                        supervisor.on_started(now, &name, pid, label);
                    }
                }
                SupervisorCommand::Terminate { pid } => {
                    let at = self.now + SECOND / 2;
                    self.processes
                        .get_mut(&pid)
                        .into_iter()
                        .for_each(|p| p.exits_at = Some(at));
                }
                SupervisorCommand::Kill { pid } => {
                    let at = self.now;
                    self.processes
                        .get_mut(&pid)
                        .into_iter()
                        .for_each(|p| p.exits_at = Some(at));
                }
                SupervisorCommand::ReportCrash {
                    name,
                    pid,
                    kind,
                    consecutive,
                } => {
                    let crash = tansy_rollout::Crash {
                        name,
                        process: u64::from(pid),
                        kind,
                        consecutive,
                    };
                    let _ = self.rollout.apply(RolloutEntry::Crashed(crash));
                }
            }
        }
    }

    #[expect(
        clippy::too_many_lines,
        reason = "one step of the simulation, in order"
    )]
    fn tick(&mut self) {
        self.now += TICK;
        let now = self.now;
        let exited: Vec<u32> = self
            .processes
            .iter()
            .filter(|(_, p)| p.exits_at.is_some_and(|at| at <= now))
            .map(|(pid, _)| *pid)
            .collect();
        for pid in exited {
            self.processes.remove(&pid);
            for zone_index in 0..ZONES {
                self.with_supervisor(zone_index, |supervisor, now, out| {
                    supervisor.on_exit(
                        now,
                        pid,
                        ProcessExit {
                            kind: "ended".into(),
                        },
                        out,
                    )
                });
            }
        }
        for zone_index in 0..ZONES {
            if self.hosts[zone_index].suspended || self.hosts[zone_index].supervisor.is_none() {
                continue;
            }
            // A resumed supervisor first acts on what it read before it was suspended.
            let last_read = self.hosts[zone_index].last_read.take();
            if let Some((read_at, rollout)) = last_read {
                for name in Simulation::zone_front_ends(zone_index) {
                    let label = if rollout.should_be_changed(&name) {
                        "new"
                    } else {
                        "old"
                    };
                    let desired = DesiredProcess {
                        label: label.into(),
                        may_replace: rollout.released.contains(&name),
                    };
                    if let Some(supervisor) = &mut self.hosts[zone_index].supervisor {
                        supervisor.set_desired(read_at, &name, desired);
                    }
                }
            }
            let ready: Vec<String> = self
                .processes
                .values()
                .filter(|p| p.ready_at <= now && p.started_at < now)
                .map(|p| p.name.clone())
                .collect();
            self.with_supervisor(zone_index, |supervisor, now, out| {
                ready.iter().for_each(|n| supervisor.on_ready(now, n));
                supervisor.tick(now, out);
            });
            let (front_ends, rollout) = (self.observe_front_ends(), self.rollout.clone());
            if let Some(entry) = self.hosts[zone_index]
                .controller
                .poll(now, &rollout, &front_ends)
            {
                let _ = self.rollout.apply(entry);
            }
            self.hosts[zone_index].last_read = Some((now, self.rollout.clone()));
        }
        self.check_zones();
    }

    fn check_zones(&mut self) {
        // At first all front ends are starting.
        if self.now < 3 * SECOND {
            return;
        }
        let front_ends = self.observe_front_ends();
        for zone_index in 0..ZONES {
            let unavailable = front_ends
                .iter()
                .filter(|f| f.report.zone == zone_name(zone_index) && !f.ready)
                .count();
            if unavailable > plan().max_unavailable {
                self.violations.push(format!(
                    "{unavailable} front ends of zone {zone_index} are unavailable at {}",
                    self.now
                ));
            }
        }
    }

    /// Runs a rollout to its end and returns the number of ticks that it took. `fault`: a fault, the zone whose supervisor has it,
    /// and the tick at which it begins.
    fn run(
        faulty: bool,
        unstartable: bool,
        fault: Option<(Fault, usize, i64)>,
    ) -> (Simulation, i64) {
        let mut simulation = Simulation::new(faulty, unstartable);
        let mut ticks = 0;
        while ticks < MAX_TICKS && !(simulation.rollout.has_ended() && ticks > MIN_TICKS) {
            if let Some((fault, zone_index, at)) = fault {
                if ticks == at {
                    simulation.fault_at = Some(simulation.now);
                    match fault {
                        Fault::Kill => simulation.hosts[zone_index].supervisor = None,
                        Fault::Suspend => simulation.hosts[zone_index].suspended = true,
                    }
                }
                if ticks == at + FAULT_TICKS {
                    match fault {
                        Fault::Kill => simulation.start_supervisor(zone_index),
                        Fault::Suspend => simulation.hosts[zone_index].suspended = false,
                    }
                }
            }
            simulation.tick();
            ticks += 1;
        }
        (0..SETTLE_TICKS).for_each(|_| simulation.tick());
        (simulation, ticks)
    }

    fn check(&self, faulty: bool, case: &str) {
        assert!(
            self.violations.is_empty(),
            "{case}: {:?}",
            self.violations.first()
        );
        let label = match self.rollout.phase {
            RolloutPhase::Completed if !faulty => "new",
            RolloutPhase::RolledBack => "old",
            _ => panic!("{case}: {:?} {:?}", self.rollout.phase, self.rollout.steps),
        };
        let wrong_program: Vec<&String> = self
            .processes
            .values()
            .filter(|p| p.label != label)
            .map(|p| &p.name)
            .collect();
        assert!(
            wrong_program.is_empty() && self.processes.len() == ZONES * FRONT_ENDS_PER_ZONE,
            "{case}: {wrong_program:?}: {:?}",
            self.rollout.steps
        );
    }
}

#[test]
fn without_faults_a_good_program_completes_and_a_bad_one_is_rolled_back() {
    let (good, _) = Simulation::run(false, false, None);
    good.check(false, "good");
    assert_eq!(good.rollout.phase, RolloutPhase::Completed);
    let (faulty, _) = Simulation::run(true, false, None);
    faulty.check(true, "faulty");
    assert!(
        faulty.rollout.reason.contains("guard"),
        "{}",
        faulty.rollout.reason
    );
    let (unstartable, _) = Simulation::run(false, true, None);
    unstartable.check(true, "unstartable");
    assert!(
        unstartable.rollout.reason.contains("not ready"),
        "{}",
        unstartable.rollout.reason
    );
}

fn check_faults_at_many_moments(faulty: bool, unstartable: bool) {
    let (_, ticks) = Simulation::run(faulty, unstartable, None);
    let mut ends = BTreeMap::new();
    for fault in [Fault::Kill, Fault::Suspend] {
        for zone_index in 0..ZONES {
            for at in (20..ticks + 5).step_by(3) {
                let (simulation, _) =
                    Simulation::run(faulty, unstartable, Some((fault, zone_index, at)));
                simulation.check(
                    faulty || unstartable,
                    &format!("{fault:?} of supervisor {zone_index} at tick {at}"),
                );
                *ends
                    .entry(format!("{:?}", simulation.rollout.phase))
                    .or_insert(0) += 1;
            }
        }
    }
    assert!(ends.values().sum::<i32>() > 200, "{ends:?}");
}

#[test]
fn a_good_rollout_ends_with_one_program_whichever_supervisor_fails_when() {
    check_faults_at_many_moments(false, false);
}

#[test]
fn a_faulty_program_is_rolled_back_whichever_supervisor_fails_when() {
    check_faults_at_many_moments(true, false);
}

#[test]
fn a_program_that_never_becomes_ready_is_rolled_back_whichever_supervisor_fails_when() {
    check_faults_at_many_moments(false, true);
}
