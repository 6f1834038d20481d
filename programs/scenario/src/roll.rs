//! A new program in stages over front ends in three zones, under load and faults, judged from the sockets.
//!
//! Three supervisors keep the front ends of a zone each. The new program is this one with a mistake planted, or none. Whoever
//! steers is killed in every run. What is looked at: calls and attempts as they pass the relay, by the auditor; which front ends
//! take connections; which processes run, by the kernel.

use crate::cast::{Error, Middle, Process};
use crate::load::{self, Plan};
use crate::plant::planted;
use rustix::process::{kill_process, Pid, Signal};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::sync::mpsc;
use std::time::{Duration, Instant};
use tansy_audit::{audit_with_history, Link, Mark};
use tansy_fleet::client::Client;
use tansy_fleet::processes::{kept, label};
use tansy_fleet::roll::stages;
use tansy_fleet_wire::pb::enter_request::Entry as Enter;
use tansy_fleet_wire::{of_roll, roll_entry};
use tansy_rollout::{
    InconclusivePolicy, Rollout, RolloutChange, RolloutEntry, RolloutPhase, Target,
};

const TEXT: &str = include_str!("roll.cue");
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Workers of each zone.
const WORKERS: usize = 2;
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(50);
/// Time for a fleet to be there.
const START: Duration = Duration::from_secs(40);
/// The relay's clock against the processes', microseconds.
const SLACK: i64 = 60_000;
/// Time for an answer.
const WITHIN: Duration = Duration::from_millis(800);

/// What is wrong with the new program, or with the day.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum Plant {
    /// Nothing.
    None,
    /// Answers of its workers reach it late.
    Slow,
    /// It loses its workers every few seconds.
    Refuse,
    /// It ends by itself soon after its start.
    Crash,
    /// It takes more and more memory.
    Leak,
    /// Nothing; but the workers of a zone stand still for some seconds in the first judgement.
    Zone,
    /// Answers reach it late from some time after its start on.
    Late,
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Play {
    /// Of all random choices.
    pub seed: u64,
    /// The mistake.
    pub plant: Plant,
    /// Front ends, the same number in each zone.
    pub fronts: usize,
    /// Calls a second.
    pub rate: u64,
    /// Seconds that a stage lasts at least.
    pub least: u64,
    /// An earlier build of this program, to be the old one; none: this one.
    pub old: Option<PathBuf>,
    /// Seconds by which the roll has to be over.
    pub longest: f64,
    /// Nothing changes: for so many seconds.
    pub plain: Option<f64>,
}

/// How a day went.
#[derive(Clone, Debug, Serialize)]
pub struct Day {
    /// `done`, `stopped` or `undecided`.
    pub verdict: String,
    /// Why.
    pub why: String,
    /// Stages that stood.
    pub stages: usize,
    /// Share of the calls that met the new side.
    pub exposed_share: f64,
    /// Calls that got no answer.
    pub lost: u64,
    /// Share served.
    pub served: f64,
    /// Seconds from the beginning of the roll to its end.
    pub seconds: f64,
    /// Supervisors killed.
    pub killed: usize,
    /// Least share of a zone's front ends that took connections, while nothing but the roll was wrong.
    pub least_capacity: f64,
    /// Breaches in words.
    pub breaches: Vec<String>,
    /// Its steps in words.
    pub steps: Vec<String>,
    /// The roll as it is agreed on.
    #[serde(skip)]
    pub roll: Option<Rollout>,
}

struct Rig {
    folder: PathBuf,
    middle: Middle,
    workers: Vec<Process>,
    peers: Vec<SocketAddr>,
    ports: Vec<SocketAddr>,
    fronts: Vec<SocketAddr>,
    supervisors: Vec<Option<Process>>,
    client: Client,
}

fn zone(front: usize) -> usize {
    front % ZONES.len()
}

impl Rig {
    fn start(play: &Play) -> Result<Rig, Error> {
        let folder = std::env::temp_dir().join(format!(
            "tansy-day-roll-{}-{}",
            std::process::id(),
            play.seed
        ));
        std::fs::create_dir_all(&folder)?;
        let folder = folder.canonicalize()?;
        let (pid, seed) = (std::process::id(), play.seed as u32);
        // Addresses that nothing else connects from, so that a name's stay free while its process is away.
        let host = |n: usize, m: u8| {
            [
                127,
                2 + (pid % 200) as u8,
                1 + (seed % 200) as u8,
                1 + 4 * n as u8 + m,
            ]
        };
        let free = |n: usize, m: u8| {
            TcpListener::bind(SocketAddr::from((host(n, m), 0))).and_then(|l| l.local_addr())
        };
        let peers = (0..play.fronts)
            .map(|n| free(n, 0))
            .collect::<Result<Vec<_>, _>>()?;
        let ports = (0..play.fronts)
            .map(|n| free(n, 1))
            .collect::<Result<Vec<_>, _>>()?;
        let sides = (0..play.fronts)
            .map(|n| free(n, 2))
            .collect::<Result<Vec<_>, _>>()?;
        // One seat in each zone.
        let seats: Vec<String> = (0..ZONES.len())
            .map(|n| format!("{{name: \"f{n}\", address: \"{}\"}}", peers[n]))
            .collect();
        for name in ZONES {
            let text = TEXT
                .replace("ZONE", name)
                .replace("SIBLINGS", &play.fronts.to_string())
                .replace("SEATS", &seats.join(", "));
            std::fs::write(folder.join(format!("{name}.cue")), &text)?;
            let alone: Vec<&str> = text.lines().filter(|l| !l.starts_with("fleet:")).collect();
            std::fs::write(folder.join(format!("alone-{name}.cue")), alone.join("\n"))?;
        }
        let own = std::fs::read(std::env::current_exe()?)?;
        let old = play
            .old
            .as_ref()
            .map_or_else(|| Ok(own.clone()), std::fs::read)?;
        let plant = serde_json::to_string(&play.plant)?
            .trim_matches('"')
            .to_string();
        for (name, bytes) in [("old", planted(&old, "")), ("new", planted(&own, &plant))] {
            std::fs::write(folder.join(name), bytes)?;
            std::fs::set_permissions(folder.join(name), std::fs::Permissions::from_mode(0o755))?;
        }
        let mut rig = Rig {
            middle: Middle::start(),
            workers: Vec::new(),
            fronts: Vec::new(),
            supervisors: Vec::new(),
            client: Client::new()?,
            folder,
            peers,
            ports,
        };
        for n in 0..ZONES.len() * WORKERS {
            let file = rig.path(&format!("alone-{}.cue", ZONES[n % ZONES.len()]));
            let a = [
                "worker",
                "--settings",
                &file,
                "--name",
                &format!("w{n}"),
                "--cores",
                "16",
            ];
            rig.workers.push(Process::start(&a.map(str::to_string))?);
        }
        let targets = rig
            .workers
            .iter()
            .map(|w| w.address("grpc"))
            .collect::<Result<Vec<_>, _>>()?;
        let lines: Vec<String> = targets
            .iter()
            .enumerate()
            .map(|(n, at)| {
                format!(
                    "    {{name: \"w{n}\", address: \"{at}\", zone: \"{}\"}}",
                    ZONES[n % ZONES.len()]
                )
            })
            .collect();
        std::fs::write(
            rig.folder.join("list.cue"),
            format!("workers: [\n{}\n]\n", lines.join("\n")),
        )?;
        let mut files = vec![String::new(); ZONES.len()];
        for (z, file) in files.iter_mut().enumerate() {
            let at: Vec<String> = rig.peers[..ZONES.len()]
                .iter()
                .map(|p| format!("\"{p}\""))
                .collect();
            *file = format!(
                "name = \"{}\"\nprogram = \"old\"\nfolder = \"run-{}\"\nat = [{}]\nready = 20\ndrain = 8\n",
                ZONES[z],
                ZONES[z],
                at.join(", ")
            );
        }
        for front in 0..play.fronts {
            let mut a: Vec<String> = ["gateway", "--log", "error", "--settings"]
                .map(str::to_string)
                .into();
            a.push(rig.path(&format!("{}.cue", ZONES[zone(front)])));
            a.extend([
                "--workers".into(),
                rig.path("list.cue"),
                "--me".into(),
                front.to_string(),
            ]);
            a.extend([
                "--listen".into(),
                rig.ports[front].to_string(),
                "--http".into(),
                sides[front].to_string(),
            ]);
            if front < ZONES.len() {
                a.extend(["--state".into(), rig.path(&format!("seat-{front}.redb"))]);
            }
            for (worker, target) in targets.iter().copied().enumerate() {
                let at = rig
                    .middle
                    .with(move |r| r.route(Link::Worker { front, worker }, target))??;
                a.extend(["--via".into(), format!("{target}={at}")]);
            }
            let port = rig.ports[front];
            rig.fronts.push(
                rig.middle
                    .with(move |r| r.route(Link::Client { front }, port))??,
            );
            files[zone(front)] += &format!(
                "[[front]]\nname = \"f{front}\"\npeers = \"{}\"\narguments = {a:?}\n",
                rig.peers[front]
            );
        }
        for (z, file) in files.iter().enumerate() {
            std::fs::write(rig.folder.join(format!("machine-{}.toml", ZONES[z])), file)?;
        }
        for z in 0..ZONES.len() {
            let s = rig.supervisor(z)?;
            rig.supervisors.push(Some(s));
        }
        rig.found()?;
        Ok(rig)
    }

    fn path(&self, name: &str) -> String {
        self.folder.join(name).display().to_string()
    }

    fn supervisor(&self, z: usize) -> Result<Process, Error> {
        let file = self.path(&format!("machine-{}.toml", ZONES[z]));
        let a = ["fleet", "up", "--log", "error", "--fleet", &file];
        Process::logged(
            &a.map(str::to_string),
            Some(&self.folder.join(format!("{}.log", ZONES[z]))),
        )
    }

    fn found(&mut self) -> Result<(), Error> {
        let began = Instant::now();
        loop {
            let answers = self.client.statuses(&self.peers);
            let all = self.peers.len();
            let ready = |s: &tansy_fleet_wire::pb::StatusReply| {
                s.lease_left > 0 && s.stay_left > 0 && s.others.len() + 1 == all
            };
            if answers.iter().all(|a| a.as_ref().is_ok_and(ready)) {
                return Ok(());
            }
            if began.elapsed() > START {
                return Err(
                    format!("the fleet did not find itself in {START:?}: {answers:?}").into(),
                );
            }
            self.client.wait(Duration::from_millis(100));
        }
    }

    /// The roll, by the seat that leads; none: none leads this moment, or there was none.
    fn roll(&mut self) -> Option<Rollout> {
        let seats = self.peers[..ZONES.len()].to_vec();
        let answers = self.client.rolls(&seats, WITHIN);
        let leads = answers.into_iter().flatten().find(|r| r.leads)?;
        of_roll(&leads.roll).ok().flatten()
    }

    fn begin(&mut self, play: &Play) -> Result<(), Error> {
        let place = |n: usize| Target {
            name: format!("f{n}"),
            zone: ZONES[zone(n)].into(),
            seat: n < ZONES.len(),
        };
        let shares = [0.25, 0.5, 1.0];
        let plan = tansy_rollout::RolloutPlan {
            stages: stages((0..play.fronts).map(place).collect(), &shares)?,
            least: play.least,
            longest: 4 * play.least,
            ready: 25,
            slice: 1,
            warm_up: 3,
            matters: 0.02,
            accept: 0.1,
            spend: 0.2,
            memory: 400,
            undecided: InconclusivePolicy::Hold,
            ..tansy_rollout::RolloutPlan::default()
        };
        let path = self.folder.join("new");
        let what = RolloutChange::Program {
            label: label(&path)?,
            path: path.display().to_string(),
        };
        let entry = RolloutEntry::Begin {
            id: 1 + play.seed,
            what,
            plan,
            why: "the day's".into(),
        };
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            let statuses = self.client.statuses(&self.peers[..ZONES.len()]);
            let at = statuses
                .iter()
                .zip(&self.peers)
                .find(|(s, _)| s.as_ref().is_ok_and(|s| s.keeps_log));
            let Some(at) = at.map(|(_, at)| *at) else {
                continue;
            };
            if self
                .client
                .enter(at, Enter::Roll(roll_entry(&entry, None)))
                .is_ok()
            {
                return Ok(());
            }
        }
        Err("no roll could be begun".into())
    }

    /// Processes of front ends: by name, number and program, as the kernel has them.
    fn processes(&self) -> Vec<(String, u32, String)> {
        let all = kept()
            .into_iter()
            .filter(|k| k.folder.starts_with(&self.folder));
        all.map(|k| (k.name, k.pid, k.program)).collect()
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.supervisors
            .iter_mut()
            .flatten()
            .for_each(Process::kill);
        for (_, pid, _) in self.processes() {
            let raw = i32::try_from(pid).ok().and_then(Pid::from_raw);
            let _ = raw.map(|p| kill_process(p, Signal::KILL));
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// What is seen from outside while the day goes on.
#[derive(Default)]
struct Watch {
    seen: BTreeMap<u32, (String, String)>,
    exposed: f64,
    looks: f64,
    least: f64,
    breaches: Vec<String>,
}

impl Watch {
    fn look(&mut self, rig: &Rig, play: &Play, new: &str) -> Result<(), Error> {
        let all = rig.processes();
        let mut names = BTreeSet::new();
        for (name, pid, program) in &all {
            if !names.insert(name.clone()) {
                self.breaches.push(format!("two processes under {name}"));
            }
            self.seen
                .entry(*pid)
                .or_insert_with(|| (name.clone(), program.clone()));
        }
        let gone: Vec<u32> = self
            .seen
            .keys()
            .filter(|p| !all.iter().any(|(_, pid, _)| pid == *p))
            .copied()
            .collect();
        for pid in gone {
            let Some((name, program)) = self.seen.remove(&pid) else {
                continue;
            };
            // One that ends in the middle of its calls answers none of them; only the planted ones do.
            if play.plant == Plant::Crash && program == new {
                if let Ok(front) = name.trim_start_matches('f').parse::<usize>() {
                    rig.middle.with(move |r| r.mark(Mark::Killed { front }))?;
                }
            }
        }
        let takes = |n: usize| {
            TcpStream::connect_timeout(&rig.ports[n], Duration::from_millis(100)).is_ok()
        };
        let taking: Vec<bool> = (0..play.fronts).map(takes).collect();
        let on_new = all.iter().filter(|(_, _, program)| program == new).count();
        self.exposed += on_new as f64 / play.fronts as f64;
        self.looks += 1.0;
        if play.plant != Plant::Crash {
            for (z, name) in ZONES.iter().enumerate() {
                let of: Vec<bool> = (0..play.fronts)
                    .filter(|n| zone(*n) == z)
                    .map(|n| taking[n])
                    .collect();
                let away = of.iter().filter(|t| !**t).count();
                self.least = self.least.min(1.0 - away as f64 / of.len() as f64);
                if away > 1 {
                    self.breaches.push(format!(
                        "{away} front ends of zone {name} took no connections at once"
                    ));
                }
            }
        }
        Ok(())
    }
}

/// Plays a day.
pub fn play(play: &Play) -> Result<Day, Error> {
    let mut rig = Rig::start(play)?;
    let mut rng = fastrand::Rng::with_seed(play.seed);
    let settings = tansy_settings::settings(
        "roll.cue",
        &std::fs::read_to_string(rig.folder.join("a.cue"))?,
    )?;
    let deadline =
        |f: &tansy_settings::FunctionSpec| settings.front.settings.classes[f.class].deadline;
    let (stop, stopped) = (
        std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false)),
        play.longest,
    );
    let plan = Plan {
        fronts: rig.fronts.clone(),
        functions: settings
            .front
            .functions
            .iter()
            .map(|f| (f.name.clone(), deadline(f)))
            .collect(),
        work: 5..=20,
        rate: play.rate,
        seconds: play.plain.unwrap_or(stopped),
        seed: play.seed,
        prefix: "call",
        plain: false,
        until: Some(stop.clone()),
    };
    let clients = std::thread::spawn(move || {
        let (told, _kept) = mpsc::channel();
        load::run(&plan, &told).map_err(|e| e.to_string())
    });
    let new = label(&rig.folder.join("new"))?;
    let mut watch = Watch {
        least: 1.0,
        ..Watch::default()
    };
    let began = Instant::now();
    let (mut roll, mut killed, mut dead) = (None, 0, None::<(usize, Instant)>);
    let (mut kill_at, mut zone_at) = (None, None);
    if play.plain.is_none() {
        rig.begin(play)?;
    }
    let limit = Duration::from_secs_f64(play.plain.unwrap_or(play.longest));
    while began.elapsed() < limit {
        watch.look(&rig, play, &new)?;
        if play.plain.is_none() {
            roll = rig.roll().or(roll);
        }
        if let Some(r) = &roll {
            if r.over() || r.paused && r.moving.is_empty() {
                break;
            }
            // Whoever steers is killed at some moment after the first one was let go, and comes back.
            if kill_at.is_none() && !r.moving.is_empty() {
                kill_at = Some(
                    Instant::now() + Duration::from_secs_f64(rng.f64() * 0.5 * play.least as f64),
                );
            }
            if killed == 0 && kill_at.is_some_and(|at| Instant::now() >= at) {
                if let Some(z) = ZONES.iter().position(|n| *n == r.steerer) {
                    if let Some(mut s) = rig.supervisors[z].take() {
                        s.kill();
                        killed += 1;
                        dead = Some((
                            z,
                            Instant::now() + Duration::from_secs_f64(1.0 + rng.f64() * 3.0),
                        ));
                    }
                }
            }
            if play.plant == Plant::Zone && r.phase == RolloutPhase::Judging && zone_at.is_none() {
                let at = Instant::now() + Duration::from_secs(3);
                zone_at = Some((at, at + Duration::from_secs(5), false));
            }
        }
        if let Some((z, _)) = dead.filter(|(_, at)| Instant::now() >= *at) {
            rig.supervisors[z] = Some(rig.supervisor(z)?);
            dead = None;
        }
        if let Some((from, to, still)) = &mut zone_at {
            let now = Instant::now();
            let signal = match (now >= *from, now >= *to, *still) {
                (true, false, false) => Some(Signal::STOP),
                (_, true, true) => Some(Signal::CONT),
                _ => None,
            };
            if let Some(signal) = signal {
                *still = !*still;
                rig.workers
                    .iter()
                    .step_by(ZONES.len())
                    .try_for_each(|w| w.signal(signal))?;
            }
        }
        std::thread::sleep(LOOK);
    }
    rig.workers
        .iter()
        .try_for_each(|w| w.signal(Signal::CONT))?;
    let seconds = began.elapsed().as_secs_f64();
    // What was begun last is answered before anything ends.
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    let seen = clients
        .join()
        .map_err(|_| "the clients' thread ended early")??;
    watch.look(&rig, play, &new)?;
    let side = match roll.as_ref().map(|r| r.phase) {
        Some(RolloutPhase::Done) => Some(true),
        Some(RolloutPhase::Stopped) => Some(false),
        _ => None,
    };
    if let Some(side) = side {
        // Whatever was last started may still be on its way.
        let half = |rig: &Rig| {
            rig.processes()
                .iter()
                .filter(|(_, _, p)| (*p == new) != side)
                .count()
        };
        let end = Instant::now() + Duration::from_secs(15);
        while half(&rig) > 0 && Instant::now() < end {
            std::thread::sleep(LOOK);
        }
        if half(&rig) > 0 {
            watch.breaches.push(format!(
                "{} front ends are on the other side than the log says",
                half(&rig)
            ));
        }
    }
    rig.supervisors
        .iter()
        .flatten()
        .try_for_each(|s| s.signal(Signal::TERM))?;
    for s in rig.supervisors.iter_mut().flatten() {
        s.stop()?;
    }
    let mut entries = rig.middle.with(|r| r.take_entries())?;
    entries.sort_by_key(|e| e.at);
    let rules = tansy_audit::Rules {
        slack: SLACK,
        ..crate::rules(&settings, 16.0)
    };
    let (audit, _) = audit_with_history(&entries, &rules);
    let in_words = audit.violations.iter().map(|b| {
        format!(
            "rule {} at {:.3} s, {}: {}",
            b.rule,
            b.at as f64 / 1e6,
            b.subject,
            b.reason
        )
    });
    let breaches = in_words.chain(watch.breaches.iter().cloned()).collect();
    let verdict = match side {
        Some(true) => "done",
        Some(false) => "stopped",
        None => "undecided",
    };
    Ok(Day {
        verdict: verdict.into(),
        why: roll.as_ref().map(|r| r.why.clone()).unwrap_or_default(),
        stages: roll.as_ref().map_or(0, |r| r.seen.len()),
        exposed_share: watch.exposed / watch.looks.max(1.0),
        lost: seen.lost,
        served: seen.served as f64 / seen.begun.max(1) as f64,
        seconds,
        killed,
        least_capacity: watch.least,
        breaches,
        steps: roll.as_ref().map(|r| r.steps.clone()).unwrap_or_default(),
        roll,
    })
}
