//! A roll with a kill, or a stop and a late waking, at every moment, of each supervisor and with it of whoever steers: it always
//! ends, done or back, with every front end on the side that the log says, never two processes of one name, and never more of a
//! zone away than the plan allows.

use std::collections::BTreeMap;
use tansy_canary::{FrontEndReport, RequestCounters};
use tansy_rollout::{
    DesiredProcess, FrontEndObservation, ProcessExit, Rollout, RolloutChange, RolloutController,
    RolloutEntry, RolloutPhase, RolloutPlan, Supervisor, SupervisorCommand, SupervisorLimits,
    Target, Time, SECOND,
};

const TICK: Time = SECOND / 10;
const ZONES: usize = 3;
const EACH: usize = 3;

fn zone(n: usize) -> String {
    format!("z{}", n / EACH)
}

fn plan() -> RolloutPlan {
    let place = |n: usize| Target {
        name: format!("f{n}"),
        zone: zone(n),
        seat: n.is_multiple_of(EACH),
    };
    // One of each zone, among them all seats; then the others.
    let (first, rest): (Vec<usize>, Vec<usize>) = (0..ZONES * EACH).partition(|n| n % EACH == 0);
    RolloutPlan {
        stages: [first, rest]
            .into_iter()
            .map(|s| s.into_iter().map(place).collect())
            .collect(),
        least: 3,
        longest: 20,
        ready: 8,
        slice: 1,
        warm_up: 1,
        accept: 0.3,
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
    keep: Option<Supervisor>,
    steer: RolloutController,
    /// What it read last, and when it asked; a stopped one acts on it when it wakes.
    read: Option<(Time, Rollout)>,
    stopped: bool,
}

struct World {
    now: Time,
    roll: Rollout,
    processes: BTreeMap<u32, Process>,
    pids: u32,
    supervisors: Vec<ZoneHost>,
    bad: bool,
    /// The next process of this name does not become ready.
    stuck: bool,
    broken: Vec<String>,
    killed_at: Option<Time>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Blow {
    Kill,
    Stop,
}

impl World {
    fn new(bad: bool, stuck: bool) -> World {
        let what = RolloutChange::Program {
            label: "new".into(),
            path: "new".into(),
        };
        let roll = Rollout::begin(7, what, plan(), "a test".into()).expect("a plan");
        let mut w = World {
            now: 0,
            roll,
            processes: BTreeMap::new(),
            pids: 0,
            supervisors: Vec::new(),
            bad,
            stuck,
            broken: Vec::new(),
            killed_at: None,
        };
        (0..ZONES).for_each(|z| w.supervisors.push(World::supervisor(z)));
        (0..ZONES).for_each(|z| w.begin(z));
        w
    }

    fn supervisor(z: usize) -> ZoneHost {
        ZoneHost {
            keep: None,
            steer: RolloutController::new(format!("s{z}")),
            read: None,
            stopped: false,
        }
    }

    fn names(z: usize) -> impl Iterator<Item = String> {
        (z * EACH..(z + 1) * EACH).map(|n| format!("f{n}"))
    }

    /// A supervisor starts: processes of its names that live are taken over.
    fn begin(&mut self, z: usize) {
        let limits = SupervisorLimits {
            drain: 2 * SECOND,
            ready: 4 * SECOND,
            ..SupervisorLimits::default()
        };
        let mut keep = Supervisor::new(limits, World::names(z), "old");
        for (pid, p) in &self.processes {
            keep.adopt(self.now, &p.name, *pid, p.label.clone());
        }
        self.supervisors[z] = World::supervisor(z);
        self.supervisors[z].keep = Some(keep);
    }

    fn fronts(&self) -> Vec<FrontEndObservation> {
        let one = |n: usize| {
            let name = format!("f{n}");
            let p = self.processes.iter().find(|(_, p)| p.name == name);
            let up = p.map_or(0, |(_, p)| self.now - p.ready).max(0);
            let mut t = RequestCounters::default();
            let calls = (up / SECOND) as u64 * 200;
            (t.requested, t.served, t.wanted, t.worth) = (calls, calls, calls as f64, calls as f64);
            let new = p.is_some_and(|(_, p)| p.label == "new");
            FrontEndObservation {
                ready: p.is_some_and(|(_, p)| p.ready <= self.now && p.ends.is_none()),
                report: FrontEndReport {
                    name,
                    zone: zone(n),
                    new,
                    incarnation: p.map_or(0, |(pid, _)| u64::from(*pid)),
                    up: up as f64 / SECOND as f64,
                    classes: [("c".to_string(), t)].into(),
                    memory: 10.0,
                    guarded: u64::from(new && self.bad && up > 2 * SECOND),
                },
            }
        };
        (0..ZONES * EACH).map(one).collect()
    }

    fn act(
        &mut self,
        z: usize,
        act: impl FnOnce(&mut Supervisor, Time, &mut Vec<SupervisorCommand>),
    ) {
        let mut out = Vec::new();
        let Some(keep) = &mut self.supervisors[z].keep else {
            return;
        };
        act(keep, self.now, &mut out);
        for a in out {
            match a {
                SupervisorCommand::Start { name, label } => {
                    if self.processes.values().any(|p| p.name == name) {
                        self.broken.push(format!("two processes of {name}"));
                    }
                    self.pids += 1;
                    let never = self.stuck && label == "new" && name == "f1";
                    let ready = if never { Time::MAX } else { self.now + SECOND };
                    let p = Process {
                        name: name.clone(),
                        label: label.clone(),
                        ready,
                        began: self.now,
                        ends: None,
                    };
                    self.processes.insert(self.pids, p);
                    let (pid, now) = (self.pids, self.now);
                    if let Some(keep) = &mut self.supervisors[z].keep {
                        keep.on_started(now, &name, pid, label);
                    }
                }
                SupervisorCommand::End { pid } => {
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
                SupervisorCommand::Tell {
                    name,
                    pid,
                    sort,
                    again,
                } => {
                    let fell = tansy_rollout::Crash {
                        name,
                        process: u64::from(pid),
                        sort,
                        again,
                    };
                    let _ = self.roll.apply(RolloutEntry::Fell(fell));
                }
            }
        }
    }

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
            for z in 0..ZONES {
                self.act(z, |k, now, out| {
                    k.on_exit(
                        now,
                        pid,
                        ProcessExit {
                            sort: "ended".into(),
                        },
                        out,
                    )
                });
            }
        }
        for z in 0..ZONES {
            if self.supervisors[z].stopped || self.supervisors[z].keep.is_none() {
                continue;
            }
            // What it read before it was stopped is acted on first.
            let read = self.supervisors[z].read.take();
            if let Some((asked, roll)) = read {
                for name in World::names(z) {
                    let label = if roll.new_side(&name) { "new" } else { "old" };
                    let wanted = DesiredProcess {
                        label: label.into(),
                        may: roll.moving.contains(&name),
                    };
                    if let Some(keep) = &mut self.supervisors[z].keep {
                        keep.set_desired(asked, &name, wanted);
                    }
                }
            }
            let ready: Vec<String> = self
                .processes
                .values()
                .filter(|p| p.ready <= now && p.began < now)
                .map(|p| p.name.clone())
                .collect();
            self.act(z, |k, now, out| {
                ready.iter().for_each(|n| k.on_ready(now, n));
                k.tick(now, out);
            });
            let (fronts, roll) = (self.fronts(), self.roll.clone());
            if let Some(entry) = self.supervisors[z].steer.poll(now, &roll, &fronts) {
                let _ = self.roll.apply(entry);
            }
            self.supervisors[z].read = Some((now, self.roll.clone()));
        }
        self.watch();
    }

    fn watch(&mut self) {
        if self.now < 3 * SECOND {
            return;
        }
        let fronts = self.fronts();
        for z in 0..ZONES {
            let away = fronts
                .iter()
                .filter(|f| f.report.zone == format!("z{z}") && !f.ready)
                .count();
            if away > plan().at_once {
                self.broken
                    .push(format!("{away} of zone {z} are away at {}", self.now));
            }
        }
    }

    /// A roll to its end, with a blow to one supervisor at this tick; none: without.
    fn play(bad: bool, stuck: bool, blow: Option<(Blow, usize, i64)>) -> (World, i64) {
        let mut w = World::new(bad, stuck);
        // All are up before the roll is looked at.
        let mut ticks = 0;
        while ticks < 1500 && !(w.roll.over() && ticks > 40) {
            if let Some((blow, z, at)) = blow {
                if ticks == at {
                    w.killed_at = Some(w.now);
                    match blow {
                        Blow::Kill => w.supervisors[z].keep = None,
                        Blow::Stop => w.supervisors[z].stopped = true,
                    }
                }
                if ticks == at + 70 {
                    match blow {
                        Blow::Kill => w.begin(z),
                        Blow::Stop => w.supervisors[z].stopped = false,
                    }
                }
            }
            w.tick();
            ticks += 1;
        }
        // What the log says takes a moment.
        (0..60).for_each(|_| w.tick());
        (w, ticks)
    }

    fn check(&self, bad: bool, what: &str) {
        assert!(self.broken.is_empty(), "{what}: {:?}", self.broken.first());
        let label = match self.roll.phase {
            RolloutPhase::Done if !bad => "new",
            RolloutPhase::Stopped => "old",
            _ => panic!("{what}: {:?} {:?}", self.roll.phase, self.roll.steps),
        };
        let half: Vec<&String> = self
            .processes
            .values()
            .filter(|p| p.label != label)
            .map(|p| &p.name)
            .collect();
        assert!(
            half.is_empty() && self.processes.len() == ZONES * EACH,
            "{what}: {half:?}: {:?}",
            self.roll.steps
        );
    }
}

#[test]
fn without_a_blow_a_good_one_is_done_and_a_bad_one_goes_back() {
    let (good, _) = World::play(false, false, None);
    good.check(false, "good");
    assert_eq!(good.roll.phase, RolloutPhase::Done);
    let (bad, _) = World::play(true, false, None);
    bad.check(true, "bad");
    assert!(bad.roll.why.contains("guard"), "{}", bad.roll.why);
    let (stuck, _) = World::play(false, true, None);
    stuck.check(true, "stuck");
    assert!(stuck.roll.why.contains("not ready"), "{}", stuck.roll.why);
}

fn every_moment(bad: bool, stuck: bool) {
    let (_, ticks) = World::play(bad, stuck, None);
    let mut ends = BTreeMap::new();
    for blow in [Blow::Kill, Blow::Stop] {
        for z in 0..ZONES {
            for at in (20..ticks + 5).step_by(3) {
                let (w, _) = World::play(bad, stuck, Some((blow, z, at)));
                w.check(
                    bad || stuck,
                    &format!("{blow:?} of supervisor {z} at tick {at}"),
                );
                *ends.entry(format!("{:?}", w.roll.phase)).or_insert(0) += 1;
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
