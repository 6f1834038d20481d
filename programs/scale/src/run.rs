//! The measurement: a fleet is started, left to settle, and counted over a time; then changes, joins and a death are timed.

use crate::cast::{function, relays, Cast, Shape};

use crate::hollow::{Counted, PLACES};
use crate::scopes::{few, scope, Asked};
use crate::{system, Error};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::process::ExitCode;
use std::time::{Duration, Instant};
use tansy_agreement::compatibility::{Fields, Value};
use tansy_agreement::lease::Member;
use tansy_agreement::log::{ChangePhase, FleetState, Revision, Version, VersionedSettings};
use tansy_agreement::scope::{ChangeHistory, ScopeUpdate};
use tansy_agreement::{lease::LeaseGrant, lease_tree::LeaseMessage};
use tansy_fleet_node::{Leader, MessageBody};
use tansy_fleet_wire::{encode_message, pb, MAX_MESSAGE_BYTES};
use tansy_net_sockets::clock;

/// Processes of a run, at most.
const PROCESSES: usize = 300;
/// Changes that are timed after the counted time, if there were fewer in it: three of each kind.
const CHANGES: usize = 9;
/// Front ends that start anew to be timed: hollow ones, and real ones.
const JOINS: (usize, usize) = (10, 3);
/// Changes that are not in force, after which no further one is timed.
const LOST: usize = 3;
/// A change that is not in force by then, beyond a stay, is counted as not.
const CHANGE_WITHIN: Duration = Duration::from_secs(30);
/// The same of one that joins.
const JOIN_WITHIN: Duration = Duration::from_secs(30);
/// A killed one is back after this time, seconds, and up to as much again.
const AWAY: f64 = 2.0;
/// The longest stay for which it is waited how long a dead one holds a change up, seconds.
const LONGEST_STAY: u64 = 60;
/// Views that are not whole are waited for while the smallest has grown within this time.
const VIEWS_GROW: Duration = Duration::from_secs(20);
/// Functions that were changed last, which others are changed before.
const LATELY: usize = 12;
/// Changes asked for at once, at most: the seat that leads lets so many wait, and more.
const BURST: usize = 200;
/// Share of all cores, and of the one core of a process with one thread, in percent, beyond which times are not to be trusted.
const SATURATED: f64 = 80.0;

/// What is to be measured.
#[derive(clap::Args, Clone, Debug)]
pub struct Arguments {
    /// Front ends in all, the seats among them.
    #[arg(long)]
    front_ends: usize,
    /// Of them gateways as processes of their own; all others are hollow.
    #[arg(long)]
    real: usize,
    /// Of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seconds for which it is counted what the settled fleet costs.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Functions that the settings hold.
    #[arg(long, default_value_t = 10)]
    functions: usize,
    /// Functions that are set one by one, each by itself; the settings hold one more then, which is never changed. 0: none,
    /// and changes are versions.
    #[arg(long, default_value_t = 0)]
    scopes: usize,
    /// Changes of different functions that are asked for at once, after those that are timed one by one.
    #[arg(long, default_value_t = 0)]
    burst: usize,
    /// Changes proposed in an hour, evenly spread over the counted time.
    #[arg(long, default_value_t = 0)]
    changes_hour: u64,
    /// Front ends killed in an hour, evenly spread over the counted time, hollow ones if there are any; each is back after
    /// 2 to 4 s.
    #[arg(long, default_value_t = 0)]
    away_hour: u64,
    /// Front ends killed for good before it is counted.
    #[arg(long, default_value_t = 0)]
    dead: usize,
    /// Seconds of a stay (`fleet.stay`): for so long a dead front end holds up changes of strict fields.
    #[arg(long, default_value_t = 10)]
    stay: u64,
    /// Front ends that keep the log, real ones: 1, 3, 5 or 7 [default: 3, or 1 with fewer than 3 real ones].
    #[arg(long)]
    seats: Option<usize>,
    /// Seconds between all views being whole and the counted time.
    ///
    /// A lease is renewed every 0.15 s, a stay at least every quarter of it or 30 s; news of who joined are told again for
    /// some rounds of 0.2 s, and who was suspected meanwhile is judged within 2 s.
    #[arg(long, default_value_t = 15)]
    settle: u64,
    /// Print the JSON line alone.
    #[arg(long)]
    json: bool,
}

impl Arguments {
    /// What is wrong with them, in one line.
    fn shape(&self) -> Result<Shape, String> {
        let (n, real) = (self.front_ends, self.real);
        let seats = self.seats.unwrap_or(if real >= 3 { 3 } else { 1 });
        let needs = if n < 2 {
            Some(format!("--front-ends {n}: want at least 2"))
        } else if n > PLACES {
            Some(format!(
                "--front-ends {n}: want at most {PLACES}, one loopback address each"
            ))
        } else if real == 0 || real > n {
            Some(format!(
                "--real {real}: want 1 to {n}, the front ends there are"
            ))
        } else if ![1, 3, 5, 7].contains(&seats) || seats > real {
            Some(format!(
                "--seats {seats}: want 1, 3, 5 or 7, at most the {real} real front ends"
            ))
        } else if self.seconds == 0 || self.seconds > 86_400 {
            Some(format!("--seconds {}: want 1 to 86400", self.seconds))
        } else if self.functions == 0 || self.functions > 1_000_000 {
            Some(format!("--functions {}: want 1 to 1000000", self.functions))
        } else if self.scopes == 1 || self.scopes > 100_000 {
            Some(format!(
                "--scopes {}: want 2 to 100000, or 0 for none",
                self.scopes
            ))
        } else if self.burst > BURST.min(self.scopes.max(self.functions)) {
            Some(format!(
                "--burst {}: want at most {}, each of another function",
                self.burst,
                BURST.min(self.scopes.max(self.functions))
            ))
        } else if self.stay == 0 || self.stay > 604_800 {
            Some(format!("--stay {}: want 1 to 604800 s", self.stay))
        } else if self.settle > 3600 {
            Some(format!("--settle {}: want at most 3600 s", self.settle))
        } else if self.dead > (n - seats) / 2 {
            Some(format!(
                "--dead {}: want at most {}, half of those that are no seats",
                self.dead,
                (n - seats) / 2
            ))
        } else {
            None
        };
        if let Some(needs) = needs {
            return Err(needs);
        }
        let functions = if self.scopes > 0 { 1 } else { self.functions };
        let shape = Shape {
            front_ends: n,
            real,
            seats,
            seed: self.seed,
            stay: self.stay,
            functions,
        };
        let (megabytes, processes) = (estimate_mb(&shape, self.scopes), real + shape.hosts());
        let half = system::memory().map_or(f64::MAX, |m| m as f64 / 2e6);
        if megabytes > half || processes > PROCESSES {
            return Err(format!(
                "--front-ends {n} --real {real}: would take about {megabytes:.0} MB in {processes} processes: want at most \
                 {half:.0} MB, half of this machine's, and {PROCESSES} processes"
            ));
        }
        Ok(shape)
    }
}

/// Megabytes that a run takes at most, from what front ends took where it was measured.
fn estimate_mb(s: &Shape, scopes: usize) -> f64 {
    let (n, functions) = (s.front_ends as f64, s.functions as f64);
    // The seats hold all that are set one by one, in the log and its file.
    let scopes = s.seats as f64 * scopes as f64 * 5.0 / 1e3;
    // A real one: its program, a connection with each other one, and the functions, read and held several times over.
    let real = 20.0 + n * REAL_KB / 1e3 + functions * 5.0 / 1e3;
    // A hollow one: what it knows of each other one, links to the real ones, and two versions.
    let hollow = 0.5 + (n * HOLLOW_KB + s.real as f64 * LINK_KB + functions * 0.6) / 1e3;
    s.real as f64 * real + (n - s.real as f64) * hollow + s.hosts() as f64 * 15.0 + scopes
}
const REAL_KB: f64 = 80.0;
const HOLLOW_KB: f64 = 1.5;
const LINK_KB: f64 = 40.0;

/// What fields a change touches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Free,
    Joint,
    Strict,
}

impl Kind {
    /// The fields with another value of one of this kind.
    fn change(self, mut fields: Fields, n: usize) -> Fields {
        let strict = format!("functions.{}.class", function(0));
        let (path, value) = match self {
            Kind::Free => (
                "classes.c.aim".to_string(),
                Value::Span(30_000_000 + n as i64 * 1000),
            ),
            Kind::Joint => (
                "tenants.t.quota_per_s".to_string(),
                Value::Number(1001.0 + n as f64),
            ),
            Kind::Strict => {
                let other = fields.get(&strict) == Some(&Value::Text("c".into()));
                (strict, Value::Text(if other { "d" } else { "c" }.into()))
            }
        };
        fields.insert(path, value);
        fields
    }

    /// A function's fields, by their names under it, with another value of one of this kind.
    fn change_one(self, mut fields: Fields, n: usize) -> Fields {
        let (name, value) = match self {
            Kind::Free => ("load_time", Value::Span(400_001 + n as i64)),
            Kind::Joint => {
                let before = fields.get("lanes").cloned();
                (
                    "lanes",
                    Value::Int(if before == Some(Value::Int(8)) { 7 } else { 8 }),
                )
            }
            Kind::Strict => {
                let other = fields.get("class") == Some(&Value::Text("c".into()));
                ("class", Value::Text(if other { "d" } else { "c" }.into()))
            }
        };
        fields.insert(name.into(), value);
        fields
    }
}

/// What is under way.
enum What {
    Version(u64),
    Scope(Asked),
}

/// What came of a change of a function.
enum Outcome {
    Force(f64),
    GivenUp,
}

/// A change under way.
struct Pending {
    kind: Kind,
    what: What,
    began: i64,
    until: Instant,
}

/// What was counted at a moment.
struct Look {
    at: i64,
    /// By place of a real front end: its process, seconds of CPU, letters.
    real: BTreeMap<usize, (u32, f64, pb::TrafficCounters)>,
    hollow: Vec<Counted>,
    machine: (u64, u64),
    loopback: u64,
}

/// A run.
struct Run {
    a: Arguments,
    cast: Cast,
    rng: fastrand::Rng,
    changes: usize,
    pending: Option<Pending>,
    force_ms: Vec<(Kind, f64)>,
    not: usize,
    /// Milliseconds of changes of functions that no dead one held, while it was dead.
    others_ms: Vec<f64>,
    /// Of those, in force before the change of a function that it held.
    others_before: usize,
    /// How often that change was given up, and asked for again.
    given_up: usize,
    failed: bool,
    notes: Vec<String>,
    /// Functions that were changed lately.
    lately: VecDeque<usize>,
    /// Front ends that are away, and when they are back.
    away: VecDeque<(Instant, u32)>,
}

/// Measures and prints.
pub fn main(a: &Arguments) -> ExitCode {
    let shape = match a.shape() {
        Ok(shape) => shape,
        Err(why) => {
            eprintln!("{why}");
            return ExitCode::from(2);
        }
    };
    let mut line = serde_json::Map::new();
    let done = measure(a, shape, &mut line);
    let ok = match done {
        Ok(ok) => ok,
        Err(e) => {
            let notes = line.entry("notes").or_insert_with(|| serde_json::json!([]));
            if let Some(notes) = notes.as_array_mut() {
                notes.push(e.to_string().into());
            }
            false
        }
    };
    line.insert("ok".into(), ok.into());
    println!("{}", serde_json::Value::Object(line));
    ExitCode::from(u8::from(!ok))
}

fn say(a: &Arguments, text: &str) {
    if !a.json {
        eprintln!("{text}");
    }
}

type Line = serde_json::Map<String, serde_json::Value>;

fn put(line: &mut Line, name: &str, value: impl serde::Serialize) {
    line.insert(name.into(), serde_json::json!(value));
}

/// To three digits after the point.
fn round(x: f64) -> f64 {
    (x * 1000.0).round() / 1000.0
}

fn mean(all: impl IntoIterator<Item = f64>) -> Option<f64> {
    let all: Vec<f64> = all.into_iter().collect();
    (!all.is_empty()).then(|| round(all.iter().sum::<f64>() / all.len() as f64))
}

/// The median and the 99th of a hundred, by rank.
fn quantiles(mut all: Vec<f64>) -> serde_json::Value {
    all.sort_by(f64::total_cmp);
    let at = |part: f64| {
        let rank = (all.len() as f64 * part).ceil() as usize;
        all.get(rank.max(1) - 1).map(|x| round(*x))
    };
    serde_json::json!({ "p50": at(0.5), "p99": at(0.99) })
}

fn command(a: &Arguments, shape: &Shape) -> String {
    let mut all = format!(
        "tansy-scale run --front-ends {} --real {} --seed {} --seconds {} --functions {} --stay {} --seats {} --settle {}",
        a.front_ends, a.real, a.seed, a.seconds, shape.functions, a.stay, shape.seats, a.settle
    );
    let more = [
        ("scopes", a.scopes as u64),
        ("changes-hour", a.changes_hour),
        ("away-hour", a.away_hour),
        ("dead", a.dead as u64),
        ("burst", a.burst as u64),
    ];
    for (name, n) in more.into_iter().filter(|m| m.1 > 0) {
        all += &format!(" --{name} {n}");
    }
    all
}

/// Bytes of the letter that carries these settings: in force alone, and while one such change is under way.
fn letters(fields: &Fields, seat: &tansy_membership::NodeId) -> (usize, usize) {
    let settings = VersionedSettings {
        version: Version(1),
        fields: fields.clone(),
        reason: String::new(),
        id: 1,
    };
    let bytes = |next: Option<(VersionedSettings, ChangePhase)>| {
        let (step, moves) = (Revision(1), ChangeHistory::after(Revision(1)));
        let (force, trial) = (settings.clone(), None);
        let state = FleetState {
            revision: step,
            in_force: force,
            next,
            canary: trial,
            versions_revision: step,
            scopes_since: None,
            history: moves,
        };
        let to = Member {
            id: 1,
            incarnation: 1,
        };
        let grant = LeaseGrant {
            to,
            seq: 1,
            span: 1,
            revision: step,
            state: Some(state),
            delta: None,
        };
        encode_message(
            1,
            seat,
            Leader::default(),
            MessageBody::Lease(LeaseMessage::Grant(grant)),
        )
        .len()
    };
    (
        bytes(None),
        bytes(Some((settings.clone(), ChangePhase::Joint))),
    )
}

fn measure(a: &Arguments, shape: Shape, line: &mut Line) -> Result<bool, Error> {
    put(line, "tool", "run");
    put(line, "command", command(a, &shape));
    put(line, "front_ends", a.front_ends);
    put(line, "real", a.real);
    put(line, "hollow", a.front_ends - a.real);
    put(line, "seats", shape.seats);
    put(line, "seed", a.seed);
    put(line, "seconds", a.seconds);
    put(line, "functions", shape.functions);
    put(line, "scopes", a.scopes);
    put(line, "changes_hour", a.changes_hour);
    put(line, "away_hour", a.away_hour);
    put(line, "dead", a.dead);
    put(line, "stay_s", a.stay);
    put(line, "settle_s", a.settle);
    put(line, "hollow_processes", shape.hosts());
    put(line, "notes", Vec::<String>::new());
    let began = Instant::now();
    let text = shape.text(&[("f0".into(), ([127, 0, 0, 1], 1).into())]);
    let fields = tansy_settings::agree::version("scale.cue", &text)?;
    let name = tansy_membership::NodeId::new(1, 1, ([127, 0, 0, 1], 1).into());
    let (alone, changing) = letters(&fields, &name);
    put(line, "letter_bytes", alone);
    put(line, "change_letter_bytes", changing);
    if alone > MAX_MESSAGE_BYTES {
        return Err(format!(
            "a version of {} functions is a letter of {alone} bytes, which may have {MAX_MESSAGE_BYTES}: it can't be carried",
            shape.functions
        )
        .into());
    }
    // From nothing to all that act; the settings are read and checked by each real one, and more slowly the more they hold.
    let limit = Duration::from_secs(60)
        + Duration::from_millis(400) * a.front_ends as u32
        + Duration::from_millis(5) * shape.functions as u32;
    let cast = Cast::start(shape, limit, &|text| say(a, &text))?;
    put(line, "start_s", round(began.elapsed().as_secs_f64()));
    let mut run = Run {
        a: a.clone(),
        cast,
        rng: fastrand::Rng::with_seed(a.seed ^ 0x5ca1e),
        changes: 0,
        pending: None,
        force_ms: Vec::new(),
        not: 0,
        others_ms: Vec::new(),
        others_before: 0,
        lately: VecDeque::new(),
        given_up: 0,
        failed: false,
        notes: Vec::new(),
        away: VecDeque::new(),
    };
    if changing > MAX_MESSAGE_BYTES {
        run.failed = true;
        run.notes.push(format!(
            "a change of {} functions is a letter of {changing} bytes, which may have {MAX_MESSAGE_BYTES}: it can't come in force",
            shape.functions
        ));
    }
    let done = run.all(line);
    put(line, "changes_in_force", run.force_ms.len());
    put(line, "changes_not", run.not);
    put(line, "wall_seconds", round(began.elapsed().as_secs_f64()));
    let well = done.is_ok() && !run.failed && run.not == 0;
    if let Err(e) = done {
        run.notes.push(e.to_string());
    }
    put(line, "notes", &run.notes);
    Ok(well)
}

impl Run {
    fn all(&mut self, line: &mut Line) -> Result<(), Error> {
        self.cast.joined.clear();
        self.views(line)?;
        say(&self.a, "all views are whole");
        if self.a.scopes > 0 {
            let began = Instant::now();
            self.cast.set_scopes(self.a.scopes, self.a.seed)?;
            say(&self.a, "functions are set one by one, and held");
            put(line, "set_s", round(began.elapsed().as_secs_f64()));
            let counted = self.cast.counted()?;
            let sum = |f: fn(&Counted) -> usize| counted.iter().map(f).sum::<usize>() as f64;
            let alive = sum(|c| c.alive);
            // Real ones take no calls here: they are not waited for.
            let at: Vec<_> = self.cast.reals().into_iter().map(|r| r.2).collect();
            let real = self
                .cast
                .client
                .statuses(&at)
                .into_iter()
                .flatten()
                .map(|s| s.subscriptions)
                .sum::<u64>();
            put(line, "real_holds", real);
            put(
                line,
                "holds",
                (alive > 0.0).then(|| round(sum(|c| c.holds) / alive)),
            );
        }
        let mut freed = None;
        if self.a.dead > 0 {
            freed = self.death(self.a.dead)?;
        }
        self.cast.rest(Duration::from_secs(self.a.settle))?;
        let before = self.look()?;
        self.counted_time()?;
        let after = self.look()?;
        self.report(line, &before, &after)?;
        say(&self.a, "counted");
        // What went on is over before anything else is timed.
        while let Some((_, place)) = self.away.pop_front() {
            self.cast.begin(place)?;
        }
        self.finish_change()?;
        self.cast.all_act(Instant::now() + JOIN_WITHIN)?;
        let (all, mut done) = (kinds(&mut self.rng), self.force_ms.len() + self.not);
        while done < CHANGES && self.not < LOST {
            let kind = all[done % all.len()];
            self.propose(kind)?;
            self.finish_change()?;
            self.cast.rest(Duration::from_millis(200))?;
            done += 1;
        }
        self.put_force(line);
        say(&self.a, "changes are timed");
        if self.a.burst > 0 {
            self.burst(line)?;
            say(&self.a, "a burst is timed");
        }
        self.joins(line)?;
        say(&self.a, "joins are timed");
        if freed.is_none() && self.a.stay <= LONGEST_STAY {
            freed = self.death(1)?;
        }
        put(line, "freed_ms", freed.map(round));
        if self.a.scopes > 0 {
            put(line, "freed_given_up", self.given_up);
            put(line, "others", self.others_ms.len());
            put(line, "others_before", self.others_before);
            put(line, "others_ms", quantiles(self.others_ms.clone()));
        }
        Ok(())
    }

    /// Waits until all see all, or no more than so far.
    ///
    /// A view that lacks somebody costs time, not agreement: it is told, and no failure of the run.
    fn views(&mut self, line: &mut Line) -> Result<(), Error> {
        let (mut grew, mut most, others) = (Instant::now(), 0, self.cast.alive() - 1);
        loop {
            let hollow = self.cast.counted()?;
            let at: Vec<_> = self.cast.reals().into_iter().map(|r| r.2).collect();
            let real = self
                .cast
                .client
                .statuses(&at)
                .into_iter()
                .flatten()
                .map(|s| s.other_members.len());
            let least = hollow
                .iter()
                .map(|c| c.least_view)
                .chain(real)
                .min()
                .unwrap_or(0);
            put(line, "view_members", least);
            if least >= others {
                return Ok(());
            }
            if least > most {
                (grew, most) = (Instant::now(), least);
            } else if grew.elapsed() >= VIEWS_GROW {
                self.notes.push(format!(
                    "the smallest view has {least} of {others} others, and grows no more"
                ));
                return Ok(());
            }
            self.cast.rest(Duration::from_secs(1))?;
        }
    }

    fn look(&mut self) -> Result<Look, Error> {
        let hollow = self.cast.counted()?;
        let reals = self.cast.reals();
        let at: Vec<_> = reals.iter().map(|r| r.2).collect();
        let counts = self.cast.client.counts(&at, Duration::from_secs(10));
        let mut real = BTreeMap::new();
        for ((place, pid, address), counts) in reals.into_iter().zip(counts) {
            let letters = counts
                .map_err(|e| format!("{address}: {e}"))?
                .traffic
                .unwrap_or_default();
            real.insert(place, (pid, system::cpu_s(pid).unwrap_or(0.0), letters));
        }
        let machine = system::machine().ok_or("/proc/stat can't be read")?;
        let loopback = system::loopback().ok_or("/proc/net/dev can't be read")?;
        Ok(Look {
            at: clock::now(),
            real,
            hollow,
            machine,
            loopback,
        })
    }

    /// The counted time, with changes and front ends that come and go spread over it.
    fn counted_time(&mut self) -> Result<(), Error> {
        let (began, seconds) = (Instant::now(), self.a.seconds as f64);
        let spread = |hour: u64| {
            let many = (hour as f64 * seconds / 3600.0).round() as usize;
            (0..many).map(move |n| (n as f64 + 0.5) / many as f64 * seconds)
        };
        let (mut changes, mut kills) = (
            spread(self.a.changes_hour).collect::<VecDeque<_>>(),
            spread(self.a.away_hour).collect::<VecDeque<_>>(),
        );
        let all = kinds(&mut self.rng);
        loop {
            let now = began.elapsed().as_secs_f64();
            if now >= seconds {
                return Ok(());
            }
            if kills.front().is_some_and(|at| *at <= now) {
                kills.pop_front();
                let mut actors = self.cast.actors();
                // Hollow ones where there are any: a real one that starts anew counts anew, and is not measured.
                let real = self.cast.shape.real as u32;
                if actors.iter().any(|p| *p >= real) {
                    actors.retain(|p| *p >= real);
                }
                if !actors.is_empty() {
                    let place = actors[self.rng.usize(0..actors.len())];
                    self.cast.kill(place)?;
                    let back = Duration::from_secs_f64(AWAY * (1.0 + self.rng.f64()));
                    self.away.push_back((Instant::now() + back, place));
                }
            }
            if let Some(n) = self.away.iter().position(|(at, _)| *at <= Instant::now()) {
                let place = self.away.remove(n).map(|w| w.1);
                place.map_or(Ok(()), |p| self.cast.begin(p))?;
            }
            self.look_at_change();
            // One change at a time: the next waits for it.
            if self.pending.is_none() && changes.front().is_some_and(|at| *at <= now) {
                changes.pop_front();
                self.propose(all[self.changes % all.len()])?;
            }
            let left = Duration::from_secs_f64(seconds - now);
            self.cast.pump(left.min(Duration::from_millis(20)))?;
        }
    }

    fn propose(&mut self, kind: Kind) -> Result<(), Error> {
        self.changes += 1;
        if self.a.scopes > 0 {
            let nth = self.another();
            return self.propose_scope(kind, nth);
        }
        let fields = kind.change(self.cast.fields().clone(), self.changes);
        let within = CHANGE_WITHIN + Duration::from_secs(self.a.stay.min(LONGEST_STAY));
        match self.cast.propose(fields, "measured") {
            Ok((version, began)) => {
                let what = What::Version(version);
                self.pending = Some(Pending {
                    kind,
                    what,
                    began,
                    until: Instant::now() + within,
                });
            }
            Err(e) => {
                // What ends a run is told as such.
                self.cast.pump(Duration::ZERO)?;
                self.not += 1;
                self.notes.push(e.to_string());
                self.cast.rest(Duration::from_secs(1))?;
                let _ = self.cast.learn();
            }
        }
        Ok(())
    }

    fn look_at_change(&mut self) {
        let Some(p) = &mut self.pending else { return };
        let version = match &mut p.what {
            What::Version(version) => *version,
            What::Scope(asked) => {
                let name = asked.wanted.iter().map(|w| w.0.clone()).collect::<String>();
                match outcome(&mut self.cast, asked) {
                    Some(Outcome::Force(ms)) => self.force_ms.push((p.kind, ms)),
                    None if Instant::now() < p.until => return,
                    came => {
                        let why = if came.is_some() {
                            "was given up"
                        } else {
                            "was not in force in time"
                        };
                        self.not += 1;
                        self.notes
                            .push(format!("a change of {name} ({:?} field) {why}", p.kind));
                    }
                }
                let _ = self.cast.unwatch(asked);
                self.pending = None;
                return;
            }
        };
        if let Some(at) = self.cast.in_force(version) {
            self.force_ms.push((p.kind, (at - p.began) as f64 / 1e3));
        } else if Instant::now() >= p.until {
            let kind = p.kind;
            self.not += 1;
            let waits = self.cast.waits(version);
            self.notes.push(format!(
                "version {version} ({kind:?} field) was not in force in time: {waits}"
            ));
            self.cast.abandon(version);
            let _ = self.cast.learn();
        } else {
            return;
        }
        self.pending = None;
    }

    fn finish_change(&mut self) -> Result<(), Error> {
        while self.pending.is_some() {
            self.cast.pump(Duration::from_millis(20))?;
            self.look_at_change();
        }
        Ok(())
    }

    /// Front ends die for good, those that are no seats; milliseconds until a change of a strict field is in force.
    fn death(&mut self, many: usize) -> Result<Option<f64>, Error> {
        let mut actors = self.cast.actors();
        self.rng.shuffle(&mut actors);
        // Hollow ones first: there are few real ones to be measured.
        actors.sort_by_key(|p| (*p as usize) < self.cast.shape.real);
        if actors.len() < many {
            return Ok(None);
        }
        let died = clock::now();
        if self.a.scopes > 0 {
            actors.truncate(many);
            return self.death_by_scope(&actors);
        }
        actors
            .into_iter()
            .take(many)
            .try_for_each(|p| self.cast.kill(p))?;
        if self.a.stay > LONGEST_STAY {
            return Ok(None);
        }
        let before = self.force_ms.len();
        self.propose(Kind::Strict)?;
        let began = self.pending.as_ref().map(|p| p.began);
        self.finish_change()?;
        // It is no change among others that nothing holds up.
        let took = self.force_ms.drain(before..).next().map(|f| f.1);
        Ok(took
            .zip(began)
            .map(|(ms, began)| ms + (began - died) as f64 / 1e3))
    }

    /// A function that was not changed lately: it may have to settle. Those that many call come more often.
    fn another(&mut self) -> usize {
        let keep = LATELY.min(self.a.scopes / 2);
        let next = loop {
            let n = (self.a.scopes as f64 * self.rng.f64().powi(3)) as usize;
            let n = n.min(self.a.scopes - 1);
            if !self.lately.contains(&n) {
                break n;
            }
        };
        self.lately.push_back(next);
        while self.lately.len() > keep {
            self.lately.pop_front();
        }
        next
    }

    /// The seat's fields of a function, changed; none: it knows no such function.
    fn scope_change(&mut self, kind: Kind, nth: usize) -> Result<ScopeUpdate, Error> {
        let scope = scope(nth);
        let known = self.cast.scopes(std::slice::from_ref(&scope))?.pop();
        let Some((base, Some(fields), _)) = known else {
            return Err(format!("the seat that leads knows no function {scope}").into());
        };
        self.changes += 1;
        Ok(ScopeUpdate {
            scope,
            base,
            fields: Some(kind.change_one(fields, self.changes)),
        })
    }

    /// One function is changed by itself.
    fn propose_scope(&mut self, kind: Kind, nth: usize) -> Result<(), Error> {
        let within = CHANGE_WITHIN + Duration::from_secs(self.a.stay.min(LONGEST_STAY));
        let change = self.scope_change(kind, nth)?;
        match self.cast.change(vec![change]) {
            Ok(asked) => {
                let (began, until) = (asked.began, Instant::now() + within);
                self.pending = Some(Pending {
                    kind,
                    what: What::Scope(asked),
                    began,
                    until,
                });
            }
            Err(e) => {
                self.cast.pump(Duration::ZERO)?;
                self.not += 1;
                self.notes.push(e.to_string());
                let _ = self.cast.learn();
            }
        }
        Ok(())
    }

    /// Hollow front ends die for good: how long the class of a function that one held can't be changed, milliseconds since
    /// its death, while functions that none of them held are changed one after another.
    fn death_by_scope(&mut self, dead: &[u32]) -> Result<Option<f64>, Error> {
        let Some(first) = dead
            .iter()
            .copied()
            .find(|p| *p as usize >= self.cast.shape.real)
        else {
            self.notes
                .push("real front ends hold no function here: no death is timed".into());
            return dead
                .iter()
                .try_for_each(|p| self.cast.kill(*p))
                .map(|()| None);
        };
        let calls = |place: u32| few(self.a.seed, place, self.a.scopes);
        let held: BTreeSet<usize> = dead.iter().flat_map(|p| calls(*p)).collect();
        let Some(one) = calls(first).into_iter().next() else {
            return Ok(None);
        };
        // Those that others hold, if there are any that the dead did not.
        let actors = self.cast.actors();
        let others: BTreeSet<usize> = actors
            .iter()
            .filter(|p| !dead.contains(p))
            .flat_map(|p| calls(*p))
            .collect();
        let mut others: Vec<usize> = others.difference(&held).copied().collect();
        self.rng.shuffle(&mut others);
        let mut others = others.into_iter();
        let died = clock::now();
        dead.iter().try_for_each(|p| self.cast.kill(*p))?;
        if self.a.stay > LONGEST_STAY {
            return Ok(None);
        }
        let end = Instant::now() + 2 * CHANGE_WITHIN + Duration::from_secs(self.a.stay);
        let (all, counted) = (kinds(&mut self.rng), self.force_ms.len());
        let change = self.scope_change(Kind::Strict, one)?;
        let mut asked = self.cast.change(vec![change])?;
        let mut before = 0;
        let freed = loop {
            self.cast.pump(Duration::from_millis(10))?;
            match outcome(&mut self.cast, &mut asked) {
                Some(Outcome::Force(ms)) => break Some(ms + (asked.began - died) as f64 / 1e3),
                Some(Outcome::GivenUp) => {
                    self.given_up += 1;
                    self.cast.unwatch(&asked)?;
                    let change = self.scope_change(Kind::Strict, one)?;
                    asked = self.cast.change(vec![change])?;
                }
                None => {}
            }
            if Instant::now() >= end {
                self.not += 1;
                self.notes.push(format!(
                    "a change of {} that a dead one held was not in force",
                    scope(one)
                ));
                break None;
            }
            self.look_at_change();
            if self.pending.is_none() {
                let done = self.force_ms.len() - counted;
                // Only where the other one is seen not to be in force after this one was.
                let known = self.cast.scopes(&[scope(one)])?.pop().and_then(|k| k.1);
                if asked.wanted.iter().any(|w| known.as_ref() != Some(&w.1)) {
                    before = done;
                }
                if let Some(next) = others.next() {
                    self.propose_scope(all[done % all.len()], next)?;
                }
            }
        };
        self.cast.unwatch(&asked)?;
        self.finish_change()?;
        self.others_before = before;
        self.others_ms
            .extend(self.force_ms.drain(counted..).map(|f| f.1));
        Ok(freed)
    }

    /// Changes of different functions at once.
    fn burst(&mut self, line: &mut Line) -> Result<(), Error> {
        let (many, all) = (self.a.burst, kinds(&mut self.rng));
        put(line, "burst", many);
        let end = Instant::now() + CHANGE_WITHIN + Duration::from_secs(self.a.stay);
        let (times, refused) = if self.a.scopes > 0 {
            let mut changes = Vec::new();
            for n in 0..many {
                changes.push(self.scope_change(all[n % all.len()], n)?);
            }
            let (mut asked, refused) = self.cast.burst(changes)?;
            let refused: Vec<String> = refused.into_iter().flatten().collect();
            let mut known = Vec::new();
            while known.len() + asked.given_up() < many && Instant::now() < end {
                self.cast.pump(Duration::from_millis(10))?;
                known = self
                    .cast
                    .scopes_in_force(&mut asked)?
                    .into_iter()
                    .flatten()
                    .collect();
            }
            self.cast.unwatch(&asked)?;
            (
                known
                    .into_iter()
                    .map(|at| (at - asked.began) as f64 / 1e3)
                    .collect::<Vec<_>>(),
                refused,
            )
        } else {
            let fields = self.cast.fields().clone();
            let one = |n: usize| {
                let path = format!("functions.{}.load_time", function(n));
                let mut fields = fields.clone();
                fields.insert(path, Value::Span(400_001 + n as i64));
                fields
            };
            let (began, told) = self.cast.burst_versions((0..many).map(one).collect());
            let (mut times, mut refused) = (Vec::new(), Vec::new());
            for version in told {
                match version {
                    Ok(version) => {
                        while self.cast.in_force(version).is_none() && Instant::now() < end {
                            self.cast.pump(Duration::from_millis(10))?;
                        }
                        times.extend(
                            self.cast
                                .in_force(version)
                                .map(|at| (at - began) as f64 / 1e3),
                        );
                    }
                    Err(why) => refused.push(why),
                }
            }
            let _ = self.cast.learn();
            (times, refused)
        };
        let last = times.iter().copied().reduce(f64::max).map(round);
        // How the first refusals say it; all the others are counted.
        let kinds: BTreeSet<&String> = refused.iter().collect();
        let says = kinds
            .into_iter()
            .take(3)
            .cloned()
            .collect::<Vec<_>>()
            .join("; ");
        let ms = (!times.is_empty()).then(|| quantiles(times.clone()));
        put(
            line,
            "burst_in_force",
            serde_json::json!({
                "in_force": times.len(), "last_ms": last, "ms": ms, "refused": refused.len(), "says": says
            }),
        );
        Ok(())
    }

    /// Front ends start anew, one after another.
    fn joins(&mut self, line: &mut Line) -> Result<(), Error> {
        let mut actors = self.cast.actors();
        self.rng.shuffle(&mut actors);
        let (real, hollow): (Vec<u32>, Vec<u32>) = actors
            .into_iter()
            .partition(|p| (*p as usize) < self.cast.shape.real);
        // Of a small fleet not all at nearly the same time.
        let some = hollow.len().div_ceil(3).min(JOINS.0);
        for place in hollow
            .into_iter()
            .take(some)
            .chain(real.into_iter().take(JOINS.1))
        {
            self.cast.kill(place)?;
            self.cast.begin(place)?;
            let end = Instant::now() + JOIN_WITHIN;
            self.cast.until(end, "one that joins", |c| c.acts(place))?;
            // The next one meets a fleet that knows of this one.
            self.cast.rest(Duration::from_secs(1))?;
        }
        let all = &self.cast.joined;
        let of = |real: bool| {
            let one = |j: &&(u32, f64)| ((j.0 as usize) < self.cast.shape.real) == real;
            all.iter().filter(one).map(|j| j.1).collect::<Vec<_>>()
        };
        put(
            line,
            "join_ms",
            quantiles(all.iter().map(|j| j.1).collect()),
        );
        put(line, "join_hollow_ms", quantiles(of(false)));
        put(line, "join_real_ms", quantiles(of(true)));
        put(line, "joins", all.len());
        Ok(())
    }

    fn put_force(&self, line: &mut Line) {
        let of = |kind: Kind| {
            self.force_ms
                .iter()
                .filter(|f| f.0 == kind)
                .map(|f| f.1)
                .collect::<Vec<_>>()
        };
        put(
            line,
            "in_force_ms",
            quantiles(self.force_ms.iter().map(|f| f.1).collect()),
        );
        put(line, "free_in_force_ms", quantiles(of(Kind::Free)));
        put(line, "joint_in_force_ms", quantiles(of(Kind::Joint)));
        put(line, "strict_in_force_ms", quantiles(of(Kind::Strict)));
    }

    /// What was counted between two looks.
    fn report(&mut self, line: &mut Line, before: &Look, after: &Look) -> Result<(), Error> {
        let seconds = (after.at - before.at) as f64 / 1e6;
        let leader = {
            // A change under way is no reason not to know who leads.
            let _ = self.cast.learn();
            self.cast.leader()
        };
        let relays = relays(self.cast.names(), leader);
        struct Rates {
            cpu: f64,
            messages: f64,
            bytes: f64,
            pid: u32,
        }
        let mut rates = BTreeMap::new();
        let (mut taken, mut sent, mut dropped) = (0, 0, 0);
        for (place, (pid, cpu, l)) in &after.real {
            // One that started meanwhile began to count anew.
            let Some((_, cpu0, l0)) = before.real.get(place).filter(|b| b.0 == *pid) else {
                continue;
            };
            let grew = |f: fn(&pb::TrafficCounters) -> u64| f(l).saturating_sub(f(l0));
            let (t, s) = (grew(|l| l.received), grew(|l| l.sent));
            let bytes = grew(|l| l.received_bytes) + grew(|l| l.sent_bytes);
            (taken, sent, dropped) = (taken + t, sent + s, dropped + grew(|l| l.dropped));
            let per = |n: u64| n as f64 / seconds;
            let cpu = (cpu - cpu0) / seconds * 100.0;
            rates.insert(
                *place,
                Rates {
                    cpu,
                    messages: per(t + s),
                    bytes: per(bytes),
                    pid: *pid,
                },
            );
        }
        let (mut hollow_messages, mut hollow_bytes, mut hollow_cpu, mut busiest) =
            (0.0, 0.0, 0.0, 0.0f64);
        for (b, c) in before.hollow.iter().zip(&after.hollow) {
            (taken, sent) = (taken + c.taken - b.taken, sent + c.sent - b.sent);
            dropped += c.dropped - b.dropped;
            hollow_messages += (c.taken - b.taken + c.sent - b.sent) as f64 / seconds;
            hollow_bytes +=
                (c.taken_bytes - b.taken_bytes + c.sent_bytes - b.sent_bytes) as f64 / seconds;
            let cpu = (c.cpu_s - b.cpu_s) / seconds * 100.0;
            hollow_cpu += cpu;
            busiest = busiest.max(cpu);
        }
        let hollow: usize = after.hollow.iter().map(|c| c.alive).sum();
        let seats = self.cast.shape.seats;
        let plain = || {
            rates
                .iter()
                .filter(|(p, _)| **p >= seats && !relays[**p])
                .map(|r| r.1)
        };
        let relay = || {
            rates
                .iter()
                .filter(|(p, _)| **p >= seats && relays[**p])
                .map(|r| r.1)
        };
        let real = || rates.iter().filter(|(p, _)| **p >= seats).map(|r| r.1);
        // Of all but the seats, real and hollow.
        let per = |hollow_sum: f64, one: fn(&Rates) -> f64| {
            let all = hollow + real().count();
            (all > 0).then(|| round((hollow_sum + real().map(one).sum::<f64>()) / all as f64))
        };
        put(line, "control_bytes_s", per(hollow_bytes, |r| r.bytes));
        put(
            line,
            "control_messages_s",
            per(hollow_messages, |r| r.messages),
        );
        put(line, "real_bytes_s", mean(plain().map(|r| r.bytes)));
        put(line, "real_messages_s", mean(plain().map(|r| r.messages)));
        put(line, "relay_bytes_s", mean(relay().map(|r| r.bytes)));
        put(line, "relay_messages_s", mean(relay().map(|r| r.messages)));
        put(line, "control_cpu", mean(plain().map(|r| r.cpu)));
        put(line, "relay_cpu", mean(relay().map(|r| r.cpu)));
        put(
            line,
            "hollow_cpu",
            (hollow > 0).then(|| round(hollow_cpu / hollow as f64)),
        );
        put(line, "hollow_process_cpu", round(busiest));
        put(
            line,
            "memory_mb",
            mean(real().filter_map(|r| system::memory_mb(r.pid))),
        );
        put(
            line,
            "connections",
            mean(real().filter_map(|r| system::sockets(r.pid).map(|n| n as f64))),
        );
        let hosts: f64 = self
            .cast
            .host_pids()
            .into_iter()
            .filter_map(system::memory_mb)
            .sum();
        put(
            line,
            "hollow_memory_mb",
            (hollow > 0).then(|| round(hosts / hollow as f64)),
        );
        let seat = rates.get(&leader);
        put(line, "seat_messages_s", seat.map(|r| round(r.messages)));
        put(line, "seat_bytes_s", seat.map(|r| round(r.bytes)));
        put(line, "seat_cpu", seat.map(|r| round(r.cpu)));
        put(
            line,
            "seat_memory_mb",
            seat.and_then(|r| system::memory_mb(r.pid)).map(round),
        );
        put(
            line,
            "seat_connections",
            seat.and_then(|r| system::sockets(r.pid)),
        );
        // Hollow ones write to each other in another way, so that the device's bytes tell only of fleets without.
        let wire =
            (after.loopback - before.loopback) as f64 / seconds / after.real.len().max(1) as f64;
        put(
            line,
            "wire_bytes_s",
            (self.cast.shape.front_ends == self.cast.shape.real).then(|| round(wire)),
        );
        let lapsed = |f: fn(&Counted) -> usize| {
            before
                .hollow
                .iter()
                .chain(&after.hollow)
                .map(f)
                .sum::<usize>()
        };
        put(
            line,
            "without_lease",
            lapsed(|c| c.without_lease) as f64 / 2.0,
        );
        put(
            line,
            "without_stay",
            lapsed(|c| c.without_stay) as f64 / 2.0,
        );
        put(line, "letters_taken", taken);
        put(line, "letters_sent", sent);
        put(line, "letters_dropped", dropped);
        let ticks = (after.machine.1 - before.machine.1).max(1) as f64;
        let machine = (after.machine.0 - before.machine.0) as f64 / ticks * 100.0;
        put(line, "machine_cpu", round(machine));
        put(line, "cores", system::cores());
        put(
            line,
            "saturated",
            machine > SATURATED || busiest > SATURATED,
        );
        Ok(())
    }
}

/// What came of a change of one function; none: it is under way, or can't be looked at now.
fn outcome(cast: &mut Cast, asked: &mut Asked) -> Option<Outcome> {
    let at = cast.scopes_in_force(asked).ok()?.into_iter().next()?;
    match at {
        Some(at) => Some(Outcome::Force((at - asked.began) as f64 / 1e3)),
        None if asked.given_up() > 0 => Some(Outcome::GivenUp),
        None => None,
    }
}

/// The kinds of changes in an order by chance.
fn kinds(rng: &mut fastrand::Rng) -> Vec<Kind> {
    let mut all = vec![Kind::Free, Kind::Joint, Kind::Strict];
    rng.shuffle(&mut all);
    all
}
