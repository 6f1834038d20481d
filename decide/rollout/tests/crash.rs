//! Rollouts during which each supervisor, and with it its controller, is killed or suspended at every moment: the rollout always ends,
//! complete or rolled back, with every front end on the side that the log says, never two processes of one name, and never more of a
//! zone unavailable than the plan allows.

mod support;

use std::collections::BTreeMap;
use support::{program, target};
use tansy_canary::{FrontEndReport, RequestCounters};
use tansy_rollout::{
    DesiredProcess, FrontEndObservation, ProcessExit, Rollout, RolloutController, RolloutEntry,
    RolloutPhase, RolloutPlan, Supervisor, SupervisorCommand, SupervisorLimits, Time, SECOND,
};

const TICK: Time = SECOND / 10;
const ZONES: usize = 3;
const EACH: usize = 3;

fn zone_name(zone_index: usize) -> String {
    format!("z{zone_index}")
}

/// The zone of a front end.
fn zone_of(front_end: usize) -> String {
    zone_name(front_end / EACH)
}

fn front_end_name(front_end: usize) -> String {
    format!("f{front_end}")
}

fn plan() -> RolloutPlan {
    let place = |front_end: usize| {
        target(
            &front_end_name(front_end),
            &zone_of(front_end),
            front_end.is_multiple_of(EACH),
        )
    };
    // One of each zone, among them all voters; then the others.
    let (first, rest): (Vec<usize>, Vec<usize>) = (0..ZONES * EACH).partition(|n| n % EACH == 0);
    RolloutPlan {
        stages: [first, rest]
            .into_iter()
            .map(|s| s.into_iter().map(place).collect())
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
    ready: Time,
    began: Time,
    ends: Option<Time>,
}

struct ZoneHost {
    supervisor: Option<Supervisor>,
    controller: RolloutController,
    /// The rollout as it read it last, and when it asked; a suspended one acts on it when it is resumed.
    read: Option<(Time, Rollout)>,
    stopped: bool,
}

struct World {
    now: Time,
    rollout: Rollout,
    processes: BTreeMap<u32, Process>,
    pids: u32,
    hosts: Vec<ZoneHost>,
    faulty: bool,
    /// The next process of this name does not become ready.
    unstartable: bool,
    violations: Vec<String>,
    fault_at: Option<Time>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Kill,
    Stop,
}

impl World {
    fn new(faulty: bool, unstartable: bool) -> World {
        let change = program("new", "new");
        let rollout = Rollout::begin(7, change, plan(), "a test".into()).expect("a plan");
        let mut world = World {
            now: 0,
            rollout,
            processes: BTreeMap::new(),
            pids: 0,
            hosts: Vec::new(),
            faulty,
            unstartable,
            violations: Vec::new(),
            fault_at: None,
        };
        (0..ZONES).for_each(|zone_index| world.hosts.push(World::host(zone_index)));
        (0..ZONES).for_each(|zone_index| world.begin(zone_index));
        world
    }

    fn host(zone_index: usize) -> ZoneHost {
        ZoneHost {
            supervisor: None,
            controller: RolloutController::new(format!("s{zone_index}")),
            read: None,
            stopped: false,
        }
    }

    fn names(zone_index: usize) -> impl Iterator<Item = String> {
        (zone_index * EACH..(zone_index + 1) * EACH).map(front_end_name)
    }

    /// A supervisor starts and adopts the running processes of its names.
    fn begin(&mut self, zone_index: usize) {
        let limits = SupervisorLimits {
            drain_timeout: 2 * SECOND,
            start_timeout: 4 * SECOND,
            ..SupervisorLimits::default()
        };
        let mut supervisor = Supervisor::new(limits, World::names(zone_index), "old");
        for (pid, process) in &self.processes {
            supervisor.adopt(self.now, &process.name, *pid, process.label.clone());
        }
        self.hosts[zone_index] = World::host(zone_index);
        self.hosts[zone_index].supervisor = Some(supervisor);
    }

    fn fronts(&self) -> Vec<FrontEndObservation> {
        let observe = |front_end: usize| {
            let name = front_end_name(front_end);
            let found = self.processes.iter().find(|(_, p)| p.name == name);
            let up = found.map_or(0, |(_, p)| self.now - p.ready).max(0);
            let mut counters = RequestCounters::default();
            let calls = (up / SECOND) as u64 * 200;
            (counters.requested, counters.served) = (calls, calls);
            (counters.value_requested, counters.value_served) = (calls as f64, calls as f64);
            let new = found.is_some_and(|(_, p)| p.label == "new");
            FrontEndObservation {
                ready: found.is_some_and(|(_, p)| p.ready <= self.now && p.ends.is_none()),
                report: FrontEndReport {
                    name,
                    zone: zone_of(front_end),
                    is_canary: new,
                    incarnation: found.map_or(0, |(pid, _)| u64::from(*pid)),
                    uptime_seconds: up as f64 / SECOND as f64,
                    classes: [("c".to_string(), counters)].into(),
                    memory_mb: 10.0,
                    guard_interventions: u64::from(new && self.faulty && up > 2 * SECOND),
                },
            }
        };
        (0..ZONES * EACH).map(observe).collect()
    }

    fn with_supervisor(
        &mut self,
        zone_index: usize,
        act: impl FnOnce(&mut Supervisor, Time, &mut Vec<SupervisorCommand>),
    ) {
        let mut commands = Vec::new();
        let Some(supervisor) = &mut self.hosts[zone_index].supervisor else {
            return;
        };
        act(supervisor, self.now, &mut commands);
        for command in commands {
            match command {
                SupervisorCommand::Start { name, label } => {
                    if self.processes.values().any(|p| p.name == name) {
                        self.violations.push(format!("two processes of {name}"));
                    }
                    self.pids += 1;
                    let never = self.unstartable && label == "new" && name == "f1";
                    let ready = if never { Time::MAX } else { self.now + SECOND };
                    let process = Process {
                        name: name.clone(),
                        label: label.clone(),
                        ready,
                        began: self.now,
                        ends: None,
                    };
                    self.processes.insert(self.pids, process);
                    let (pid, now) = (self.pids, self.now);
                    if let Some(supervisor) = &mut self.hosts[zone_index].supervisor {
                        supervisor.on_started(now, &name, pid, label);
                    }
                }
                SupervisorCommand::Terminate { pid } => {
                    let at = self.now + SECOND / 2;
                    self.processes
                        .get_mut(&pid)
                        .into_iter()
                        .for_each(|p| p.ends = Some(at));
                }
                SupervisorCommand::Kill { pid } => {
                    let at = self.now;
                    self.processes
                        .get_mut(&pid)
                        .into_iter()
                        .for_each(|p| p.ends = Some(at));
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
        reason = "one table or one history, read from top to bottom"
    )]
    fn tick(&mut self) {
        self.now += TICK;
        let now = self.now;
        let over: Vec<u32> = self
            .processes
            .iter()
            .filter(|(_, p)| p.ends.is_some_and(|e| e <= now))
            .map(|(pid, _)| *pid)
            .collect();
        for pid in over {
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
            if self.hosts[zone_index].stopped || self.hosts[zone_index].supervisor.is_none() {
                continue;
            }
            // What it read before it was suspended is acted on first.
            let read = self.hosts[zone_index].read.take();
            if let Some((asked, rollout)) = read {
                for name in World::names(zone_index) {
                    let label = if rollout.should_be_changed(&name) {
                        "new"
                    } else {
                        "old"
                    };
                    let wanted = DesiredProcess {
                        label: label.into(),
                        may_replace: rollout.released.contains(&name),
                    };
                    if let Some(supervisor) = &mut self.hosts[zone_index].supervisor {
                        supervisor.set_desired(asked, &name, wanted);
                    }
                }
            }
            let ready: Vec<String> = self
                .processes
                .values()
                .filter(|p| p.ready <= now && p.began < now)
                .map(|p| p.name.clone())
                .collect();
            self.with_supervisor(zone_index, |supervisor, now, out| {
                ready.iter().for_each(|n| supervisor.on_ready(now, n));
                supervisor.tick(now, out);
            });
            let (fronts, rollout) = (self.fronts(), self.rollout.clone());
            if let Some(entry) = self.hosts[zone_index]
                .controller
                .poll(now, &rollout, &fronts)
            {
                let _ = self.rollout.apply(entry);
            }
            self.hosts[zone_index].read = Some((now, self.rollout.clone()));
        }
        self.check_zones();
    }

    fn check_zones(&mut self) {
        if self.now < 3 * SECOND {
            return;
        }
        let fronts = self.fronts();
        for zone_index in 0..ZONES {
            let away = fronts
                .iter()
                .filter(|f| f.report.zone == zone_name(zone_index) && !f.ready)
                .count();
            if away > plan().max_unavailable {
                self.violations.push(format!(
                    "{away} of zone {zone_index} are away at {}",
                    self.now
                ));
            }
        }
    }

    /// A rollout to its end, with this fault of one supervisor at this tick, if any.
    fn run(faulty: bool, unstartable: bool, fault: Option<(Fault, usize, i64)>) -> (World, i64) {
        let mut world = World::new(faulty, unstartable);
        // All are up before the rollout is looked at.
        let mut ticks = 0;
        while ticks < 1500 && !(world.rollout.has_ended() && ticks > 40) {
            if let Some((fault, zone_index, at)) = fault {
                if ticks == at {
                    world.fault_at = Some(world.now);
                    match fault {
                        Fault::Kill => world.hosts[zone_index].supervisor = None,
                        Fault::Stop => world.hosts[zone_index].stopped = true,
                    }
                }
                if ticks == at + 70 {
                    match fault {
                        Fault::Kill => world.begin(zone_index),
                        Fault::Stop => world.hosts[zone_index].stopped = false,
                    }
                }
            }
            world.tick();
            ticks += 1;
        }
        // Processes follow the log with a delay.
        (0..60).for_each(|_| world.tick());
        (world, ticks)
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
        let half: Vec<&String> = self
            .processes
            .values()
            .filter(|p| p.label != label)
            .map(|p| &p.name)
            .collect();
        assert!(
            half.is_empty() && self.processes.len() == ZONES * EACH,
            "{case}: {half:?}: {:?}",
            self.rollout.steps
        );
    }
}

#[test]
fn without_a_fault_a_good_one_is_done_and_a_bad_one_goes_back() {
    let (good, _) = World::run(false, false, None);
    good.check(false, "good");
    assert_eq!(good.rollout.phase, RolloutPhase::Completed);
    let (faulty, _) = World::run(true, false, None);
    faulty.check(true, "faulty");
    assert!(
        faulty.rollout.reason.contains("guard"),
        "{}",
        faulty.rollout.reason
    );
    let (unstartable, _) = World::run(false, true, None);
    unstartable.check(true, "unstartable");
    assert!(
        unstartable.rollout.reason.contains("not ready"),
        "{}",
        unstartable.rollout.reason
    );
}

fn every_moment(faulty: bool, unstartable: bool) {
    let (_, ticks) = World::run(faulty, unstartable, None);
    let mut ends = BTreeMap::new();
    for fault in [Fault::Kill, Fault::Stop] {
        for zone_index in 0..ZONES {
            for at in (20..ticks + 5).step_by(3) {
                let (world, _) = World::run(faulty, unstartable, Some((fault, zone_index, at)));
                world.check(
                    faulty || unstartable,
                    &format!("{fault:?} of supervisor {zone_index} at tick {at}"),
                );
                *ends
                    .entry(format!("{:?}", world.rollout.phase))
                    .or_insert(0) += 1;
            }
        }
    }
    assert!(ends.values().sum::<i32>() > 200, "{ends:?}");
}

#[test]
fn a_good_one_ends_whole_whatever_is_killed_or_stopped_when() {
    every_moment(false, false);
}

#[test]
fn a_bad_one_goes_back_whatever_is_killed_or_stopped_when() {
    every_moment(true, false);
}

#[test]
fn one_whose_program_does_not_start_goes_back_whatever_is_killed_or_stopped_when() {
    every_moment(false, true);
}
