//! The front ends of one machine as processes, kept; and whoever steers a roll, if nobody else does.

use crate::client::Client;
use crate::processes::{label, Found, Processes};
use rustix::process::Signal;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tansy_fleet_wire::pb::enter_request::Entry as Enter;
use tansy_fleet_wire::{of_counts, of_roll, pb, roll_entry};
use tansy_rollout::{
    Crash, DesiredProcess, FrontEndObservation, ProcessExit, Rollout, RolloutChange,
    RolloutController, RolloutEntry, Supervisor, SupervisorCommand, SupervisorLimits, Time,
};

/// Time between two looks at processes.
const LOOK: Duration = Duration::from_millis(50);
/// Time between two looks at the fleet.
const ASK: Duration = Duration::from_millis(250);
/// Time for an answer of a front end.
const WITHIN: Duration = Duration::from_millis(600);

/// A machine's file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// This supervisor's name, among all of the fleet.
    pub name: String,
    /// The program, until the fleet has another.
    pub program: PathBuf,
    /// Where logs and programs are kept.
    pub folder: PathBuf,
    /// Front ends that are asked about the fleet; its own are added.
    #[serde(default)]
    pub at: Vec<SocketAddr>,
    /// The front ends.
    #[serde(rename = "front")]
    pub fronts: Vec<Own>,
    /// Seconds from a start to ready.
    #[serde(default = "ready")]
    pub ready: u64,
    /// Seconds from the request to end to the end.
    #[serde(default = "drain")]
    pub drain: u64,
}

fn ready() -> u64 {
    30
}

fn drain() -> u64 {
    20
}

/// A front end of the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Own {
    /// Its name.
    pub name: String,
    /// Where its siblings reach it.
    pub peers: SocketAddr,
    /// The program's arguments; `--name` and `--peers` are added.
    #[serde(default)]
    pub arguments: Vec<String>,
}

/// Reads a machine's file; paths in it begin at its folder.
pub fn read(path: &Path) -> Result<File, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let mut file: File = toml::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    let names: BTreeSet<&String> = file.fronts.iter().map(|f| &f.name).collect();
    if names.len() != file.fronts.len() || names.is_empty() {
        return Err(format!(
            "{}: want one front end or more, each with a name of its own",
            path.display()
        ));
    }
    let beside = path.parent().unwrap_or(Path::new("."));
    file.program = beside.join(&file.program);
    file.folder = beside.join(&file.folder);
    Ok(file)
}

/// What is known of the fleet.
#[derive(Default)]
struct Fleet {
    /// When it was asked for.
    asked: Time,
    roll: Option<Rollout>,
    /// Of a seat that leads: nothing later was agreed on.
    fresh: bool,
    /// The program that all are to run, by the log.
    program: Option<(String, String)>,
    leader: Option<SocketAddr>,
    /// Where each front end is reached.
    known: BTreeSet<SocketAddr>,
}

struct Up {
    file: File,
    began: Instant,
    processes: Processes,
    keep: Supervisor,
    client: Client,
    steer: RolloutController,
    fleet: Fleet,
    /// Programs by label, and where they are found.
    programs: BTreeMap<String, PathBuf>,
    base: String,
    told: Vec<Crash>,
}

/// Keeps the front ends of a file until it is told to end.
pub fn run(path: &Path) -> Result<(), String> {
    let file = read(path)?;
    let end = Arc::new(AtomicBool::new(false));
    let mut up = Up::start(file)?;
    up.client.on_end(end.clone()).map_err(|e| e.to_string())?;
    println!("ready fronts={}", up.file.fronts.len());
    up.serve(&end);
    Ok(())
}

/// Steers rolls without any front ends of its own.
pub fn steer(name: &str, at: &[SocketAddr]) -> Result<(), String> {
    let mut client = Client::new().map_err(|e| e.to_string())?;
    let end = Arc::new(AtomicBool::new(false));
    client.on_end(end.clone()).map_err(|e| e.to_string())?;
    let (mut steer, mut fleet, began) = (
        RolloutController::new(name.to_string()),
        Fleet::default(),
        Instant::now(),
    );
    while !end.load(Ordering::Relaxed) {
        look(&mut client, &mut fleet, at, began);
        steers(&mut client, &mut steer, &fleet, began);
        client.wait(ASK);
    }
    Ok(())
}

fn micros(began: Instant) -> Time {
    Time::try_from(began.elapsed().as_micros()).unwrap_or(Time::MAX)
}

/// Asks what is agreed on.
fn look(client: &mut Client, fleet: &mut Fleet, at: &[SocketAddr], began: Instant) {
    let asked = micros(began);
    let seats: Vec<SocketAddr> = {
        let known: BTreeSet<SocketAddr> = at.iter().chain(&fleet.known).copied().collect();
        known.into_iter().collect()
    };
    let answers = client.rolls(&seats, WITHIN);
    fleet.fresh = false;
    for (address, answer) in seats.iter().zip(answers) {
        let Ok(reply) = answer else { continue };
        let Ok(roll) = of_roll(&reply.roll) else {
            tracing::error!(%address, "a roll that this program can't read: finish the update of `tansy-fleet`");
            continue;
        };
        let of = |r: &Option<Rollout>| r.as_ref().map_or((0, 0), |r| (r.id, r.at));
        let later = fleet.roll.is_none()
            || of(&roll).0 != of(&fleet.roll).0
            || of(&roll) >= of(&fleet.roll);
        if reply.leads {
            (fleet.fresh, fleet.leader) = (true, Some(*address));
        }
        if reply.leads || (!fleet.fresh && later && roll.is_some()) {
            fleet.roll = roll;
            fleet.program =
                (!reply.label.is_empty()).then(|| (reply.label.clone(), reply.path.clone()));
        }
    }
    if fleet.fresh {
        fleet.asked = asked;
    }
    // Who is there is known to any.
    let first = fleet.leader.or(at.first().copied());
    if let Some(Ok(s)) = first.map(|a| client.status_within(a, WITHIN)) {
        let all = s.others.iter().chain(&s.process);
        fleet.known = all.filter_map(|p| p.address.parse().ok()).collect();
    }
}

/// Takes the next step of the roll, if it is this one's to take.
fn steers(client: &mut Client, steer: &mut RolloutController, fleet: &Fleet, began: Instant) {
    let (Some(roll), Some(leader)) = (&fleet.roll, fleet.leader) else {
        return;
    };
    if !fleet.fresh {
        return;
    }
    let fronts = match roll.over() {
        true => Vec::new(),
        false => fronts(client, fleet, roll),
    };
    if let Some(entry) = steer.poll(micros(began), roll, &fronts) {
        let step = !matches!(entry, RolloutEntry::Beat { .. });
        match client.enter_within(leader, Enter::Roll(roll_entry(&entry, None)), WITHIN) {
            Ok(_) if step => tracing::info!(?entry, "a step of the roll"),
            Ok(_) => {}
            Err(e) => tracing::info!(?entry, error = %e, "a step of the roll was not taken"),
        }
    }
}

/// All front ends, as they answer.
pub fn look_at(
    client: &mut Client,
    at: &[SocketAddr],
    new: impl Fn(&pb::CountsReply) -> bool,
) -> Vec<(FrontEndObservation, bool)> {
    let answers = client.counts(at, WITHIN);
    let one = |a: Result<pb::CountsReply, _>| {
        let c = a.ok()?;
        let (is, seat) = (new(&c), c.seat);
        of_counts(c, is).ok().map(|f| (f, seat))
    };
    answers.into_iter().filter_map(one).collect()
}

fn fronts(client: &mut Client, fleet: &Fleet, roll: &Rollout) -> Vec<FrontEndObservation> {
    let at: Vec<SocketAddr> = fleet.known.iter().copied().collect();
    let new = |c: &pb::CountsReply| match &roll.what {
        RolloutChange::Program { label, .. } => c.label == *label,
        RolloutChange::Settings => c.tries,
    };
    look_at(client, &at, new).into_iter().map(|f| f.0).collect()
}

impl Up {
    fn start(file: File) -> Result<Up, String> {
        let base = label(&file.program).map_err(|e| format!("{}: {e}", file.program.display()))?;
        let (processes, found) = Processes::open(&file.folder)?;
        let limits = SupervisorLimits {
            start_timeout: file.ready as Time * tansy_rollout::SECOND,
            drain_timeout: file.drain as Time * tansy_rollout::SECOND,
            ..SupervisorLimits::default()
        };
        let names = file.fronts.iter().map(|f| f.name.clone());
        let mut up = Up {
            keep: Supervisor::new(limits, names, &base),
            programs: BTreeMap::from([(base.clone(), file.program.clone())]),
            client: Client::new().map_err(|e| e.to_string())?,
            steer: RolloutController::new(file.name.clone()),
            fleet: Fleet::default(),
            began: Instant::now(),
            told: Vec::new(),
            processes,
            base,
            file,
        };
        for Found { pid, name, label } in found {
            tracing::info!(name, pid, label, "found running");
            up.keep.adopt(0, &name, pid, label);
        }
        // What the fleet is to run by now may be another program than the file's.
        up.ask();
        Ok(up)
    }

    fn serve(&mut self, end: &AtomicBool) {
        let mut next = Instant::now();
        let mut ending = false;
        while !(ending && self.keep.is_finished()) {
            if end.load(Ordering::Relaxed) && !ending {
                ending = true;
                self.act(|k, now, out| k.shut_down(now, out));
            }
            for (pid, kind) in self.processes.ended() {
                tracing::info!(pid, sort = kind, "ended");
                self.act(|k, now, out| k.on_exit(now, pid, ProcessExit { kind }, out));
            }
            let names: Vec<String> = self.file.fronts.iter().map(|f| f.name.clone()).collect();
            let now = micros(self.began);
            for name in names.iter().filter(|n| self.processes.ready(n)) {
                self.keep.on_ready(now, name);
            }
            if Instant::now() >= next && !ending {
                next = Instant::now() + ASK;
                self.ask();
                steers(&mut self.client, &mut self.steer, &self.fleet, self.began);
                self.tell();
            }
            self.act(|k, now, out| k.tick(now, out));
            self.client.wait(LOOK);
        }
    }

    /// What the fleet wants of these front ends.
    fn ask(&mut self) {
        let at: Vec<SocketAddr> = self
            .file
            .at
            .iter()
            .copied()
            .chain(self.file.fronts.iter().map(|f| f.peers))
            .collect();
        look(&mut self.client, &mut self.fleet, &at, self.began);
        if let Some((label, path)) = &self.fleet.program {
            self.base.clone_from(label);
            self.programs
                .entry(label.clone())
                .or_insert_with(|| PathBuf::from(path));
        }
        let roll = self.fleet.roll.as_ref().filter(|r| !r.over());
        // One that was started while nobody could say what the fleet is to run is changed by itself, one after the other.
        let settled = roll.is_none() && self.fleet.fresh && self.fleet.program.is_some();
        let other = |f: &&Own| {
            self.keep
                .process(&f.name)
                .and_then(|p| p.1)
                .is_some_and(|l| l != self.base)
        };
        let stray = self
            .file
            .fronts
            .iter()
            .find(other)
            .filter(|_| settled)
            .map(|f| f.name.clone());
        for f in &self.file.fronts {
            let mut wanted = DesiredProcess {
                label: self.base.clone(),
                may_replace: stray.as_ref() == Some(&f.name),
            };
            if let Some((roll, RolloutChange::Program { label, path })) = roll.map(|r| (r, &r.what))
            {
                self.programs
                    .entry(label.clone())
                    .or_insert_with(|| PathBuf::from(path));
                if roll.new_side(&f.name) {
                    wanted.label.clone_from(label);
                }
                wanted.may_replace = roll.moving.contains(&f.name) && self.fleet.fresh;
            }
            self.keep.set_desired(self.fleet.asked, &f.name, wanted);
        }
    }

    fn act(&mut self, act: impl FnOnce(&mut Supervisor, Time, &mut Vec<SupervisorCommand>)) {
        let (now, mut out) = (micros(self.began), Vec::new());
        act(&mut self.keep, now, &mut out);
        for a in out {
            match a {
                SupervisorCommand::Start { name, label } => self.begin(&name, &label),
                SupervisorCommand::Terminate { pid } => self.processes.signal(pid, Signal::TERM),
                SupervisorCommand::Kill { pid } => self.processes.signal(pid, Signal::KILL),
                SupervisorCommand::ReportCrash {
                    name,
                    pid,
                    kind,
                    consecutive,
                } => {
                    tracing::warn!(
                        name,
                        pid,
                        sort = kind,
                        again = consecutive,
                        "ended by itself"
                    );
                    self.told.push(Crash {
                        name,
                        process: u64::from(pid),
                        kind,
                        consecutive,
                    });
                    if self.told.len() > 256 {
                        self.told.remove(0);
                    }
                }
            }
        }
    }

    fn begin(&mut self, name: &str, label: &str) {
        let Some(own) = self.file.fronts.iter().find(|f| f.name == name) else {
            return;
        };
        let mut arguments = own.arguments.clone();
        arguments.extend([
            "--name".into(),
            own.name.clone(),
            "--peers".into(),
            own.peers.to_string(),
        ]);
        let known = self.programs.get(label).cloned();
        let path = known.ok_or_else(|| format!("the program {label} is not known here"));
        let stored = path.and_then(|p| self.processes.store(label, &p));
        let started = stored.and_then(|p| self.processes.start(name, label, &p, &arguments));
        let now = micros(self.began);
        match started {
            Ok(pid) => {
                tracing::info!(name, pid, label, "started");
                self.keep.on_started(now, name, pid, label.to_string());
            }
            Err(why) => {
                tracing::error!(name, why, "could not be started");
                self.act(|k, now, out| k.on_start_failed(now, name, why, out));
            }
        }
    }

    /// Tells the roll of processes that ended by themselves.
    fn tell(&mut self) {
        let going = self.fleet.roll.as_ref().is_some_and(|r| !r.over());
        if !going {
            self.told.clear();
        }
        let Some(leader) = self.fleet.leader.filter(|_| self.fleet.fresh) else {
            return;
        };
        while let Some(fallen) = self.told.first().cloned() {
            let entry = Enter::Roll(roll_entry(&RolloutEntry::Crashed(fallen), None));
            match self.client.enter_within(leader, entry, WITHIN) {
                Err(tansy_net_fleet::client::RequestError::Unreachable(_)) => return,
                _ => drop(self.told.remove(0)),
            }
        }
    }
}
