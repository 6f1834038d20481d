//! Versions of settings under load, through faults between front ends, judged from the sockets.
//!
//! A fleet of real gateways, each reached by its siblings through routes of the relay of its own, so that each direction
//! between two can be held up. An operator proposes a version every few seconds; each round something goes wrong around
//! it: processes are killed and come back from nothing, or are stopped and woken, links are held one way or both.

use crate::cast::{Error, Middle, Process};
use crate::load::{self, Plan, Seen};
use rustix::process::Signal;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::{mpsc, Arc, Mutex};
use std::time::{Duration, Instant};
use tansy_agreement::log::{Version, VersionedSettings};
use tansy_audit::versions::{versions, Claim, Contradictions, Observations};
use tansy_audit::{audit_with_history, Audit, Link, Mark};
use tansy_fleet::client::Client;
use tansy_fleet_wire::pb::enter_request::Entry;
use tansy_settings::agree::version as fields_of;

const TEXT: &str = include_str!("agree.cue");
/// No two front ends may contradict each other for longer.
pub const BOUND: Duration = Duration::from_secs(2);
/// A change is proposed in each of these, seconds.
const ROUND: f64 = 4.0;
/// Time after the last round for all to agree again, seconds.
const CALM: f64 = 3.0;
const WORKERS: usize = 6;
/// The relay's clock against the processes', microseconds.
const SLACK: i64 = 60_000;
/// How often it is looked at who must have heard of a drain.
const LOOK: Duration = Duration::from_millis(50);
/// Witness calls a second to each front end.
const WITNESS_RATE: u64 = 20;
/// Of a call's time, a front end keeps back this part at most for the answer's way, and for its own.
const RESERVE: f64 = 0.2;
/// A fleet has to find itself within this time.
const START: Duration = Duration::from_secs(20);

/// What is played.
#[derive(Clone, Debug)]
pub struct Play {
    /// Of all random choices.
    pub seed: u64,
    /// Front ends; the first ones keep the log.
    pub fronts: usize,
    /// How many of them do.
    pub seats: usize,
    /// Rounds.
    pub rounds: usize,
    /// Calls a second, beside the witnesses'.
    pub rate: u64,
    /// Versions change.
    pub changes: bool,
    /// A mistake that the audit has to find: the last front end is of no fleet and acts on its own file.
    pub outsider: bool,
    /// Where each front end's logs are kept; none: errors alone are told.
    pub logs: Option<PathBuf>,
}

/// How a day went.
#[derive(Clone, Debug, Serialize)]
pub struct Day {
    /// Versions that came into force.
    pub in_force: usize,
    /// Proposals that did not: given up, or refused since another was under way.
    pub not: usize,
    /// Milliseconds from proposal to force, sorted.
    pub force_ms: Vec<u64>,
    /// Processes killed.
    pub killed: usize,
    /// Share of the clients' calls that were served.
    pub served: f64,
    /// Calls of witnesses that showed a rule.
    pub shown: usize,
    /// Longest contradiction of a strict field, and of a joint one, milliseconds.
    pub strict_ms: f64,
    /// The same.
    pub joint_ms: f64,
    /// Breaches of the five rules, and contradictions, in words.
    pub breaches: Vec<String>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Propose,
    Kill(usize),
    Revive(usize),
    Stop(usize),
    Wake(usize),
    Hold(usize, usize, bool),
    /// One front end's list, and no other's, says that a worker drains.
    Drain(usize, usize),
    /// All lists say that it takes work again, as another process.
    Back(usize),
}

/// The day's script: what happens when, in seconds.
fn script(play: &Play) -> Vec<(f64, Step)> {
    let mut rng = fastrand::Rng::with_seed(play.seed);
    let mut all = Vec::new();
    let mut unkilled: Vec<usize> = (0..play.fronts).collect();
    rng.shuffle(&mut unkilled);
    for round in 0..play.rounds {
        let proposed = round as f64 * ROUND + 0.5 + rng.f64() * 0.5;
        all.push((proposed, Step::Propose));
        let at = proposed - 0.15 + rng.f64() * 0.5;
        let away = 0.05 + rng.f64() * 1.2;
        let one = rng.usize(0..play.fronts);
        match (round + play.seed as usize) % 5 {
            // Those that were not killed yet come first, so that each is in time.
            0 | 1 => {
                let many = if round % 2 == 0 {
                    (play.fronts * 7).div_ceil(10)
                } else {
                    1
                };
                for _ in 0..many.max(1) {
                    let who = unkilled.pop().unwrap_or_else(|| rng.usize(0..play.fronts));
                    let (at, back) = (at + rng.f64() * 0.2, rng.f64() * 0.5);
                    all.extend([
                        (at, Step::Kill(who)),
                        (at + 0.3 + away + back, Step::Revive(who)),
                    ]);
                }
            }
            2 => all.extend([(at, Step::Stop(one)), (at + 1.2 + away, Step::Wake(one))]),
            // A minority is cut off, or hears and is not heard.
            3 => {
                let side: BTreeSet<usize> = (0..1 + play.fronts / 3)
                    .map(|_| rng.usize(0..play.fronts))
                    .collect();
                let ways = rng.usize(0..3);
                for a in 0..play.fronts {
                    for b in (0..play.fronts).filter(|b| side.contains(&a) != side.contains(b)) {
                        let outward = side.contains(&a);
                        if ways == 0 || (ways == 1) == outward {
                            all.push((at, Step::Hold(a, b, true)));
                            all.push((at + 1.0 + away, Step::Hold(a, b, false)));
                        }
                    }
                }
            }
            // Two that don't reach each other, and a flapping link to the seat.
            _ => {
                let other = (one + 1 + rng.usize(0..play.fronts - 1)) % play.fronts;
                for (a, b) in [(one, other), (other, one)] {
                    all.extend([
                        (at, Step::Hold(a, b, true)),
                        (at + 1.0 + away, Step::Hold(a, b, false)),
                    ]);
                }
                let flaps = 1 + rng.usize(0..play.fronts - 1);
                for n in 0..6 {
                    let at = at + n as f64 * 0.25;
                    all.extend([
                        (at, Step::Hold(flaps, 0, n % 2 == 0)),
                        (at, Step::Hold(0, flaps, n % 2 == 0)),
                    ]);
                }
            }
        }
    }
    // Each round one front end hears of a drain that no other's list ever tells of; a round later the worker is back.
    for round in 0..play.rounds {
        let (worker, by) = (round % (WORKERS - 2), rng.usize(0..play.fronts));
        let at = round as f64 * ROUND;
        all.extend([
            (at + 0.3, Step::Drain(by, worker)),
            (at + ROUND - 0.1, Step::Back(worker)),
        ]);
    }
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    all
}

/// Rules of each version: which fields differ follows from the seed.
fn says(play: &Play) -> Vec<(bool, bool, u32)> {
    let mut rng = fastrand::Rng::with_seed(play.seed ^ 0xa9ee);
    let mut all = vec![(true, true, 400)];
    for n in 0..play.rounds {
        let (long, safe, aim) = all[n];
        let next = match rng.u32(0..4) {
            0 => (!long, safe, aim),
            1 => (long, !safe, aim),
            2 => (!long, !safe, aim),
            _ => (long, safe, aim + 10),
        };
        all.push(next);
    }
    all
}

fn text(play: &Play, peers: &[SocketAddr], (long, safe, aim): (bool, bool, u32)) -> String {
    let seat = |(n, at): (usize, &SocketAddr)| format!("{{name: \"f{n}\", address: \"{at}\"}}");
    let seats: Vec<String> = peers[..play.seats].iter().enumerate().map(seat).collect();
    TEXT.replace("FLIP", if long { "long" } else { "short" })
        .replace("EFFECT", if safe { "safe" } else { "unsafe" })
        .replace("AIM", &format!("{aim}ms"))
        .replace("SIBLINGS", &play.fronts.to_string())
        .replace("SEATS", &seats.join(", "))
}

/// The processes of the day; all end with it.
struct Fleet {
    middle: Arc<Middle>,
    workers: Vec<Process>,
    gateways: Vec<Option<Process>>,
    /// Where each is reached by siblings, by clients, and by whoever asks for its account.
    peers: Vec<SocketAddr>,
    ports: Vec<(SocketAddr, SocketAddr)>,
    fronts: Vec<SocketAddr>,
    folder: PathBuf,
    vias: Vec<Vec<String>>,
    outsider: Option<usize>,
    logs: Option<PathBuf>,
    seats: usize,
    killed: usize,
    /// By front end and worker: where it is reached, its process, and whether it drains.
    lists: Vec<Vec<(SocketAddr, u64, bool)>>,
    /// Front ends that were killed or stopped, or whose links were touched, and when: what they hear may be late.
    touched: BTreeMap<usize, Instant>,
    stopped: BTreeSet<usize>,
    /// Workers that drain, and since when; and which of it is marked for whom.
    drains: Vec<(usize, Instant)>,
    marked: BTreeSet<(usize, usize)>,
}

impl Fleet {
    fn start(play: &Play) -> Result<Fleet, Error> {
        let folder =
            std::env::temp_dir().join(format!("tansy-agree-{}-{}", std::process::id(), play.seed));
        std::fs::create_dir_all(&folder)?;
        // Each name keeps its address over its processes. Loopback addresses that nothing else here connects from: what the
        // kernel gives to connections is never one of these while a process is away.
        let (pid, seed) = (std::process::id(), play.seed as u32);
        let host = |n: usize| {
            [
                127,
                1 + (pid % 200) as u8,
                1 + (seed % 250) as u8,
                1 + n as u8,
            ]
        };
        let free = |n: usize| {
            TcpListener::bind(SocketAddr::from((host(n), 0))).and_then(|l| l.local_addr())
        };
        let peers = (0..play.fronts).map(free).collect::<Result<Vec<_>, _>>()?;
        let first = text(play, &peers, says(play)[0]);
        std::fs::write(folder.join("day.cue"), &first)?;
        let alone: String = first
            .lines()
            .filter(|l| !l.starts_with("fleet:"))
            .collect::<Vec<_>>()
            .join("\n");
        std::fs::write(folder.join("alone.cue"), alone)?;
        let middle = Arc::new(Middle::start());
        let mut fleet = Fleet {
            middle,
            workers: Vec::new(),
            gateways: Vec::new(),
            peers,
            ports: Vec::new(),
            fronts: Vec::new(),
            folder,
            vias: Vec::new(),
            outsider: play.outsider.then(|| play.fronts - 1),
            logs: play.logs.clone(),
            seats: play.seats,
            killed: 0,
            lists: Vec::new(),
            touched: BTreeMap::new(),
            stopped: BTreeSet::new(),
            drains: Vec::new(),
            marked: BTreeSet::new(),
        };
        for n in 0..WORKERS {
            let file = fleet.folder.join("alone.cue").display().to_string();
            let a = [
                "worker",
                "--settings",
                &file,
                "--name",
                &format!("w{n}"),
                "--cores",
                "16",
            ];
            let w = Process::start(&a.map(str::to_string))?;
            w.control("/fault/lose=lost")?;
            fleet.workers.push(w);
        }
        for from in 0..play.fronts {
            let (mut list, mut vias) = (Vec::new(), Vec::new());
            for worker in 0..WORKERS {
                let target = fleet.workers[worker].address("grpc")?;
                let link = Link::Worker {
                    front: from,
                    worker,
                };
                let at = fleet.middle.with(move |r| r.route(link, target))??;
                // One of no fleet has no way round; the others' lists tell where a worker is, the same to all.
                let outside = fleet.outsider == Some(from);
                list.push((if outside { at } else { target }, 0, false));
                vias.push(format!("{target}={at}"));
            }
            fleet.lists.push(list);
            fleet.write_list(from)?;
            for to in (0..play.fronts).filter(|to| *to != from) {
                let target = fleet.peers[to];
                let at = fleet
                    .middle
                    .with(move |r| r.route(Link::Peer { from, to }, target))??;
                vias.push(format!("{target}={at}"));
            }
            fleet.vias.push(vias);
        }
        for front in 0..play.fronts {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let g = fleet.gateway(front, any, any)?;
            let (grpc, http) = (g.address("grpc")?, g.address("http")?);
            fleet.ports.push((grpc, http));
            fleet.gateways.push(Some(g));
            fleet.fronts.push(
                fleet
                    .middle
                    .with(move |r| r.route(Link::Client { front }, grpc))??,
            );
        }
        fleet.found()?;
        Ok(fleet)
    }

    /// A front end's list.
    fn write_list(&self, front: usize) -> Result<(), Error> {
        let line = |(n, (at, incarnation, drains)): (usize, &(SocketAddr, u64, bool))| {
            let zone = if n < WORKERS / 2 { "room-a" } else { "room-b" };
            let state = if *drains { "draining" } else { "ready" };
            format!(
                "    {{name: \"w{n}\", address: \"{at}\", zone: \"{zone}\", state: \"{state}\", incarnation: {incarnation}}}"
            )
        };
        let lines: Vec<String> = self.lists[front].iter().enumerate().map(line).collect();
        let (file, fresh) = (
            self.folder.join(format!("list-{front}.cue")),
            self.folder.join(format!("new-{front}")),
        );
        std::fs::File::create(&fresh)?
            .write_all(format!("workers: [\n{}\n]\n", lines.join("\n")).as_bytes())?;
        Ok(std::fs::rename(fresh, file)?)
    }

    fn gateway(&self, front: usize, grpc: SocketAddr, http: SocketAddr) -> Result<Process, Error> {
        let path = |name: String| self.folder.join(name).display().to_string();
        let outside = self.outsider == Some(front);
        let settings = path(if outside {
            "alone.cue".into()
        } else {
            "day.cue".into()
        });
        let level = if self.logs.is_some() { "info" } else { "error" };
        let mut a: Vec<String> = ["gateway", "--settings", &settings, "--log", level]
            .map(str::to_string)
            .into();
        let mut add = |name: &str, value: String| a.extend([name.to_string(), value]);
        add("--workers", path(format!("list-{front}.cue")));
        add("--me", front.to_string());
        add("--listen", grpc.to_string());
        add("--http", http.to_string());
        if !outside {
            add("--name", format!("f{front}"));
            add("--peers", self.peers[front].to_string());
            if front < self.seats {
                add("--state", path(format!("seat-{front}.redb")));
            }
            self.vias[front]
                .iter()
                .for_each(|v| add("--via", v.clone()));
        }
        let logs = self.logs.as_ref().map(|d| d.join(format!("f{front}.log")));
        Process::logged(&a, logs.as_deref())
    }

    /// Waits until all have found each other and may act.
    fn found(&self) -> Result<(), Error> {
        let mut client = Client::new()?;
        let began = Instant::now();
        let members: Vec<SocketAddr> = (0..self.peers.len())
            .filter(|n| self.outsider != Some(*n))
            .map(|n| self.peers[n])
            .collect();
        loop {
            let answers = client.statuses(&members);
            let ready = |s: &tansy_fleet_wire::pb::StatusReply| {
                s.lease_left > 0 && s.stay_left > 0 && s.others.len() + 1 == members.len()
            };
            if answers.iter().all(|a| a.as_ref().is_ok_and(ready)) {
                return Ok(());
            }
            if began.elapsed() > START {
                return Err(
                    format!("the fleet did not find itself in {START:?}: {answers:?}").into(),
                );
            }
            client.wait(Duration::from_millis(50));
        }
    }

    fn mark(&self, mark: Mark) -> Result<(), Error> {
        self.middle.with(move |r| r.mark(mark))
    }

    fn perform(&mut self, step: Step) -> Result<(), Error> {
        match step {
            Step::Propose => {}
            Step::Kill(front) => {
                if let Some(mut g) = self.gateways[front].take() {
                    g.kill();
                    self.killed += 1;
                    self.stopped.remove(&front);
                    self.mark(Mark::Killed { front })?;
                }
            }
            Step::Revive(front) => {
                if self.gateways[front].is_none() {
                    let (grpc, http) = self.ports[front];
                    self.gateways[front] = Some(self.gateway(front, grpc, http)?);
                    self.touched.insert(front, Instant::now());
                }
            }
            Step::Stop(front) => {
                if let Some(g) = &self.gateways[front] {
                    g.signal(Signal::STOP)?;
                    self.stopped.insert(front);
                    self.mark(Mark::Stopped { front })?;
                }
            }
            Step::Wake(front) => {
                if let Some(g) = &self.gateways[front] {
                    crate::told(
                        &[Mark::Woken { front }],
                        |m| self.mark(m),
                        || g.signal(Signal::CONT),
                    )?;
                    self.stopped.remove(&front);
                    self.touched.insert(front, Instant::now());
                }
            }
            Step::Hold(from, to, held) => {
                self.touched
                    .extend([(from, Instant::now()), (to, Instant::now())]);
                self.middle
                    .with(move |r| r.set_paused(Link::Peer { from, to }, held))?;
            }
            Step::Drain(front, worker) => {
                self.lists[front][worker].2 = true;
                crate::told(
                    &[Mark::Leaves { front, worker }],
                    |m| self.mark(m),
                    || self.write_list(front),
                )?;
                self.drains.push((worker, Instant::now()));
            }
            Step::Back(worker) => {
                self.drains.retain(|d| d.0 != worker);
                let fronts = 0..self.lists.len();
                for list in &mut self.lists {
                    let (at, incarnation, _) = list[worker];
                    list[worker] = (at, incarnation + 1, false);
                }
                // One whose list tells it tells its siblings, whose own lists are not written yet: all are marked first.
                let marks: Vec<Mark> = fronts
                    .clone()
                    .map(|front| Mark::Returns { front, worker })
                    .collect();
                crate::told(
                    &marks,
                    |m| self.mark(m),
                    || fronts.clone().try_for_each(|f| self.write_list(f)),
                )?;
            }
        }
        Ok(())
    }

    /// Marks drains for those front ends that must have heard of them by now: they have had the time, undisturbed.
    fn heard(&mut self) -> Result<(), Error> {
        let now = Instant::now();
        let mut marks = Vec::new();
        for (worker, told) in &self.drains {
            for front in (0..self.gateways.len()).filter(|f| self.outsider != Some(*f)) {
                let since = self
                    .touched
                    .get(&front)
                    .copied()
                    .unwrap_or(*told)
                    .max(*told);
                let runs = self.gateways[front].is_some() && !self.stopped.contains(&front);
                if runs && now - since >= BOUND && self.marked.insert((*worker, front)) {
                    marks.push(Mark::Leaves {
                        front,
                        worker: *worker,
                    });
                }
            }
        }
        let drains = &self.drains;
        self.marked
            .retain(|(worker, _)| drains.iter().any(|d| d.0 == *worker));
        marks.into_iter().try_for_each(|m| self.mark(m))
    }
}

/// What the operator saw of a proposal.
struct Proposal {
    version: Option<u64>,
    force_ms: Option<u64>,
}

/// The operator: proposes, and asks the seat until the version is in force or given up.
fn operator(
    middle: &Middle,
    seats: &[SocketAddr],
    orders: &mpsc::Receiver<tansy_agreement::compatibility::Fields>,
    says: &Mutex<BTreeMap<u64, Claim>>,
    of: &[Claim],
) -> Result<Vec<Proposal>, String> {
    let failed = |e: Error| e.to_string();
    let mut client = Client::new().map_err(|e| e.to_string())?;
    let mut done = Vec::new();
    let mut pending = of.iter();
    // Whoever leads, as far as any seat knows that leads itself.
    let leads = |client: &mut Client| {
        let of = client.statuses(seats);
        seats
            .iter()
            .zip(of)
            .find_map(|(at, s)| s.ok().filter(|s| s.keeps_log).map(|s| (*at, s)))
    };
    while let Ok(fields) = orders.recv() {
        let said = pending.next().copied();
        let (began, id) = (Instant::now(), fastrand::u64(1..));
        let at = middle.with(|r| r.now()).map_err(failed)?;
        let limit = Duration::from_secs_f64(ROUND - 0.6);
        let mut proposal = Proposal {
            version: None,
            force_ms: None,
        };
        let mut base = None;
        while began.elapsed() < limit {
            // The seat may be away, or another change under way: asked again with the same id it is the same proposal.
            if base.is_none() {
                base = leads(&mut client).and_then(|(at, s)| Some((at, s.state?.force?.version)));
                if base.is_none() {
                    client.wait(Duration::from_millis(20));
                }
                continue;
            }
            let (seat, version) = base.unwrap_or((seats[0], 1));
            let version = Version(version);
            let asked = VersionedSettings {
                version,
                fields: fields.clone(),
                reason: "the day's".into(),
                id,
            };
            match client.enter(seat, Entry::Propose(tansy_fleet_wire::settings(&asked))) {
                Ok(reply) => {
                    let version = reply.version;
                    proposal.version = Some(version);
                    says.lock()
                        .map_err(|e| e.to_string())?
                        .extend(said.map(|s| (version, s)));
                    middle
                        .with(move |r| r.mark_at(at, Mark::Proposed { version }))
                        .map_err(failed)?;
                    break;
                }
                Err(_) => {
                    base = None;
                    client.wait(Duration::from_millis(50));
                }
            }
        }
        while let Some(version) = proposal.version.filter(|_| began.elapsed() < limit) {
            let state = leads(&mut client).and_then(|(_, s)| s.state);
            if let Some(s) = state.filter(|s| s.next.is_none()) {
                if s.force.is_some_and(|f| f.version >= version) {
                    middle
                        .with(move |r| r.mark(Mark::InForce { version }))
                        .map_err(failed)?;
                    proposal.force_ms = Some(began.elapsed().as_millis() as u64);
                }
                break;
            }
            client.wait(Duration::from_millis(10));
        }
        done.push(proposal);
    }
    Ok(done)
}

/// Plays a day.
pub fn play(play: &Play) -> Result<Day, Error> {
    let all = says(play);
    let mut fleet = Fleet::start(play)?;
    let first = text(play, &fleet.peers, all[0]);
    let settings = tansy_settings::settings("day.cue", &first)?;
    let seconds = play.rounds as f64 * ROUND + CALM;
    let functions = |witness: bool| {
        let named = settings.front.functions.iter();
        let deadline =
            |f: &tansy_settings::FunctionSpec| settings.front.settings.classes[f.class].deadline;
        let of = named.filter(|f| (f.name == "flip" || f.name == "lost") == witness);
        of.map(|f| (f.name.clone(), if witness { 0 } else { deadline(f) }))
            .collect::<Vec<_>>()
    };
    let plan = |witness: bool| Plan {
        fronts: fleet.fronts.clone(),
        functions: functions(witness),
        work: if witness { 1..=1 } else { 5..=20 },
        rate: if witness {
            WITNESS_RATE * play.fronts as u64
        } else {
            play.rate
        },
        seconds,
        seed: play.seed ^ u64::from(witness),
        prefix: if witness { "witness" } else { "call" },
        plain: witness,
        until: None,
    };
    let clients = |plan: Plan| {
        std::thread::spawn(move || -> Result<Seen, String> {
            let (told, _kept) = mpsc::channel();
            load::run(&plan, &told).map_err(|e| e.to_string())
        })
    };
    let (main, witnesses) = (clients(plan(false)), clients(plan(true)));
    let deadline = |long: bool| if long { 3_000_000 } else { 2_000_000 };
    let of = |(long, safe, _): &(bool, bool, u32)| Claim {
        deadline: deadline(*long),
        safe: *safe,
    };
    let known = Arc::new(Mutex::new(BTreeMap::from([(1, of(&all[0]))])));
    let (order, orders) = mpsc::channel();
    let asks = {
        let (middle, seats, known) = (
            fleet.middle.clone(),
            fleet.peers[..play.seats].to_vec(),
            known.clone(),
        );
        let of: Vec<Claim> = all.iter().skip(1).map(of).collect();
        std::thread::spawn(move || operator(&middle, &seats, &orders, &known, &of))
    };
    let began = Instant::now();
    let mut next = 1;
    for (at, step) in script(play) {
        let due = began + Duration::from_secs_f64(at);
        loop {
            fleet.heard()?;
            let left = due.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            std::thread::sleep(left.min(LOOK));
        }
        if step == Step::Propose && play.changes {
            let text = text(play, &fleet.peers, all[next]);
            order
                .send(fields_of("day.cue", &text)?)
                .map_err(|_| "the operator ended early")?;
            next += 1;
        }
        if play.logs.is_some() {
            println!("{:.3} {step:?}", began.elapsed().as_secs_f64());
        }
        fleet.perform(step)?;
    }
    drop(order);
    let ended = |_| "a thread of the day ended early";
    let proposals = asks.join().map_err(ended)??;
    let seen = main.join().map_err(ended)??;
    witnesses.join().map_err(ended)??;
    // All together: each waits for its own calls.
    fleet
        .gateways
        .iter()
        .flatten()
        .try_for_each(|g| g.signal(Signal::TERM))?;
    for g in fleet.gateways.iter_mut().flatten() {
        g.stop()?;
    }
    let mut entries = fleet.middle.with(|r| r.take_entries())?;
    entries.sort_by_key(|e| e.at);
    // More processes than cores: a wake-up may take longer than on the other days.
    let rules = tansy_audit::Rules {
        slack: SLACK,
        ..crate::rules(&settings, 16.0)
    };
    let (audit, calls) = audit_with_history(&entries, &rules);
    let says = known.lock().map_err(|_| "no map of versions")?.clone();
    let observations = Observations {
        flip: "flip".into(),
        lost: "lost".into(),
        claims: says,
        reserve: RESERVE,
    };
    let found = versions(&entries, &calls, &observations);
    let _ = std::fs::remove_dir_all(&fleet.folder);
    Ok(day(&proposals, &seen, &audit, found, fleet.killed))
}

fn day(
    proposals: &[Proposal],
    seen: &Seen,
    audit: &Audit,
    found: Contradictions,
    killed: usize,
) -> Day {
    let mut force_ms: Vec<u64> = proposals.iter().filter_map(|p| p.force_ms).collect();
    force_ms.sort();
    let in_words = audit.violations.iter().map(|b| {
        format!(
            "rule {} at {:.3} s, {}: {}",
            b.rule,
            b.at as f64 / 1e6,
            b.subject,
            b.reason
        )
    });
    let over = found.strict.max(found.joint) > BOUND.as_micros() as i64;
    Day {
        in_force: force_ms.len(),
        not: proposals.len() - force_ms.len(),
        killed,
        served: seen.served as f64 / seen.begun.max(1) as f64,
        shown: found.shown,
        strict_ms: found.strict as f64 / 1000.0,
        joint_ms: found.joint as f64 / 1000.0,
        breaches: in_words
            .chain(found.descriptions.iter().filter(|_| over).cloned())
            .collect(),
        force_ms,
    }
}
