//! Versions of settings over a fleet with one seat, through faults.
//!
//! What is judged is what each front end would act on at every moment, against the agreed log, with all clocks
//! at rates of their own. The model knows the true time; no front end does.

use crate::fault::{draw, shrink, Fault, Time, SECOND};
use crate::letter::size;
use crate::net::{Net, Ways};
use crate::scope::{Scopes, LATE};
use crate::size::{Happens, Scale, Shared, Size, Tier, SINCE, WIDE};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::rc::Rc;
use tansy_agreement::compatibility::{
    contradictions, rules_after_expiry, rules_without_lease, Compatibility, EffectiveRules,
    ExpiredLeasePolicy, Fields, Restrictiveness, Schema, Value,
};
use tansy_agreement::lease::LeaseTiming;
use tansy_agreement::lease_tree::LeaseMessage;
use tansy_agreement::log::{ChangePhase, FleetState, LogEntry, Revision, Version};
use tansy_consensus::PersistentState;
use tansy_fleet_node::{Command, FleetNode, FleetNodeConfig, Leader, MessageBody, RecoveredState};
use tansy_membership::{GossipTiming, NodeId};

/// A mistake planted into a run, to see that the audit finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Plant {
    /// A lease is counted from its answer, not from before it was asked for.
    CountedFromAnswer,
    /// A version takes force without the joint step.
    NoJoint,
    /// A seat tells what its disk doesn't hold yet.
    Unsynced,
    /// A clock's rate is off by far more than the bound.
    WildClock,
    /// Changes of strict fields don't wait for who is on the roster.
    NoRoster,
    /// Changes of scopes come in force without waiting for who holds them.
    NoHolders,
    /// A root that begins takes each front end for one that holds no scope.
    NoneHold,
    /// A reply older than its reader's step is taken for one of that step.
    OldReply,
    /// What was let go is told again later, out of order.
    LateDrop,
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Play {
    /// Front ends, the seats among them.
    pub fronts: usize,
    /// How many of them keep the log.
    pub seats: usize,
    /// Length of a lease and bound on clock rates.
    pub terms: LeaseTiming,
    /// Length of a stay.
    pub stay: Time,
    /// Faults are over by then; the run ends [`Play::calm`] later.
    pub until: Time,
    /// Time that all have to agree again.
    pub calm: Time,
    /// Changes proposed.
    pub changes: usize,
    /// Front ends beside the seats that may become seats, and how often one of them is to take over from a seat.
    pub spares: usize,
    /// See [`Play::spares`].
    pub replacements: usize,
    /// How messages travel.
    pub ways: Ways,
    /// A mistake.
    pub plant: Option<Plant>,
    /// Nothing goes wrong but that messages are late, lost or doubled now and then.
    pub quiet: bool,
    /// How front ends come to know each other.
    pub tier: Tier,
    /// Functions that are changed by scope beside the versions; 0: none.
    pub scopes: usize,
    /// Instead of the faults, proposals and times above: this.
    pub size: Option<Size>,
}

impl Play {
    /// A fleet of this size, with leases of 0.6 s.
    pub fn of(fronts: usize) -> Play {
        Play {
            fronts,
            seats: 1,
            terms: LeaseTiming {
                span: SECOND * 6 / 10,
                drift_ppm: 1_000,
            },
            stay: 6 * SECOND,
            until: 40 * SECOND,
            calm: 18 * SECOND,
            changes: 12,
            spares: 0,
            replacements: 0,
            ways: Ways::default(),
            plant: None,
            quiet: false,
            tier: Tier::Whole,
            scopes: 0,
            size: None,
        }
    }
}

/// How a run went.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// Its seed.
    pub seed: u64,
    /// What broke, at its time; empty: nothing.
    pub broken: Vec<String>,
    /// Versions that came into force.
    pub in_force: u64,
    /// Changes of single scopes that came in force, and that were given up.
    pub scopes_in_force: u64,
    /// See [`Outcome::scopes_in_force`].
    pub scopes_back: u64,
    /// Seats that were replaced.
    pub replaced: u64,
    /// From a proposal to force at every front end that can be reached, milliseconds each.
    pub force_ms: Vec<u64>,
    /// Share of front ends' time up in which they held no live lease.
    pub lapsed: f64,
    /// Share of it in which they held no live stay.
    pub stayless: f64,
    /// Messages a front end a second.
    pub messages: f64,
    /// Bytes of letters a front end a second, by [`size`].
    pub bytes: f64,
    /// Messages that the seat had to do with, a second.
    pub seat_messages: f64,
}

/// How the fields of the played settings agree.
fn schema() -> Schema {
    schema_with(Compatibility::Strict)
}

fn schema_with(strict: Compatibility) -> Schema {
    let least =
        |v| Compatibility::Joint(Restrictiveness::Smallest, ExpiredLeasePolicy::Strictest(v));
    Schema::new([
        ("worker.max_attempts", least(Value::Int(1))),
        ("worker.fall_multiple", least(Value::Number(1.0))),
        (
            "front.siblings",
            Compatibility::Joint(
                Restrictiveness::Largest,
                ExpiredLeasePolicy::Strictest(Value::Int(100_000)),
            ),
        ),
        ("classes.*.effect", {
            let order = Restrictiveness::Ranked(&["unsafe", "keyed", "safe"]);
            Compatibility::Joint(
                order,
                ExpiredLeasePolicy::Strictest(Value::Text("unsafe".into())),
            )
        }),
        ("classes.*.aim", Compatibility::Free),
        ("classes.*.group", strict),
        ("functions.*.class", Compatibility::Strict),
        ("functions.*.lanes", least(Value::Int(1))),
        ("functions.*.memory", Compatibility::Free),
        (
            "tenants.*.quota",
            Compatibility::Joint(Restrictiveness::Smallest, ExpiredLeasePolicy::Reject),
        ),
    ])
}

/// What a fleet begins with; two fields for each function.
fn first(functions: usize) -> Fields {
    let text = |t: &str| Value::Text(t.into());
    let all = [
        ("worker.max_attempts", Value::Int(4)),
        ("worker.fall_multiple", Value::Number(2.0)),
        ("front.siblings", Value::Int(300)),
        ("classes.chat.effect", text("safe")),
        ("classes.chat.aim", Value::Int(800_000)),
        ("classes.chat.group", text("all")),
        ("classes.pay.effect", text("keyed")),
        ("classes.pay.aim", Value::Int(900_000)),
        ("classes.pay.group", text("zone")),
        ("tenants.acme.quota", Value::Int(100)),
    ];
    let of_function = |n: usize| {
        let class = (format!("functions.f{n:06}.class"), text("chat"));
        [
            class,
            (format!("functions.f{n:06}.memory"), Value::Bytes(128 << 20)),
        ]
    };
    let all = all.into_iter().map(|(p, v)| (p.to_string(), v));
    all.chain((0..functions).flat_map(of_function)).collect()
}

/// One to three fields of a version, changed.
fn changed(rng: &mut fastrand::Rng, from: &Fields) -> Fields {
    let mut fields = from.clone();
    for _ in 0..rng.usize(1..4) {
        let places: Vec<String> = fields.keys().cloned().collect();
        let path = places[rng.usize(0..places.len())].clone();
        let new = match path.rsplit('.').next().unwrap_or("") {
            "effect" => Value::Text(["safe", "keyed", "unsafe"][rng.usize(0..3)].into()),
            "group" => Value::Text(["all", "zone", "cell"][rng.usize(0..3)].into()),
            "fall_multiple" => Value::Number(1.0 + rng.f64() * 3.0),
            _ => Value::Int(rng.i64(1..500)),
        };
        fields.insert(path, new);
    }
    if rng.u32(0..6) == 0 && fields.remove("tenants.acme.quota").is_none() {
        fields.insert("tenants.acme.quota".into(), Value::Int(rng.i64(1..100)));
    }
    fields
}

pub(crate) fn address(n: usize) -> SocketAddr {
    ([10, (n >> 16) as u8, (n >> 8) as u8, n as u8], 7000).into()
}

/// The number of a front end; a wide one takes as many bytes as a name's hash.
fn id(n: usize, wide: bool) -> u64 {
    (n as u64 + 1) | if wide { WIDE } else { 0 }
}

fn place(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => ip.octets()[1..]
            .iter()
            .fold(0, |n, o| n << 8 | usize::from(*o)),
        std::net::IpAddr::V6(_) => usize::MAX,
    }
}

#[derive(Clone, Debug)]
pub(crate) enum Event {
    Letter {
        to: usize,
        letter: Box<(NodeId, Leader, MessageBody)>,
    },
    Tick {
        who: usize,
        incarnation: u64,
        at: Time,
    },
    Start {
        who: usize,
    },
    Stop {
        who: usize,
    },
    Leave {
        who: usize,
    },
    Pause {
        who: usize,
    },
    Wake {
        who: usize,
    },
    Propose,
    Replace,
    Abandon,
    Call {
        who: usize,
        forget: bool,
    },
    Change {
        again: Option<u64>,
    },
    Carry {
        scope: String,
        since: Revision,
    },
    Synced {
        who: usize,
        incarnation: u64,
    },
    Size(Happens),
}

/// An event at its time; of two at one time the one that was planned first.
struct Planned {
    at: Time,
    number: u64,
    event: Event,
}

impl Ord for Planned {
    /// The first to come is the largest.
    fn cmp(&self, other: &Planned) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}
impl PartialOrd for Planned {
    fn partial_cmp(&self, other: &Planned) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl PartialEq for Planned {
    fn eq(&self, other: &Planned) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for Planned {}

/// A process, or the place of one.
pub(crate) struct Process {
    pub(crate) peer: Option<FleetNode>,
    pub(crate) incarnation: u64,
    /// Letters that came while it was stopped.
    stopped: Option<Vec<(NodeId, Leader, MessageBody)>>,
    /// Its clock: local time is `offset + rate` times the true one.
    rate: f64,
    offset: Time,
    /// The tick that is planned.
    planned: Time,
    pub(crate) up: Time,
    pub(crate) out: Time,
    pub(crate) stayless: Time,
    seen: Time,
    /// When it last held a lease.
    live: Time,
    /// The process and the entries applied there when its log was last looked at.
    looked: Option<(u64, u64)>,
    /// When it was started, and whether it has held a lease and a stay since.
    pub(crate) born: Time,
    pub(crate) joined: bool,
}

/// By what a front end acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Right {
    Whole,
    Apart,
    Lapsed,
}

impl Process {
    pub(crate) fn local(&self, now: Time) -> Time {
        self.offset + (now as f64 * self.rate) as Time
    }
    pub(crate) fn runs(&self) -> bool {
        self.peer.is_some() && self.stopped.is_none()
    }
    /// Whether it holds a lease and a stay.
    pub(crate) fn whole(&self, now: Time) -> bool {
        self.acting(now).is_some_and(|a| a.1 == Right::Whole)
    }
    /// Whether it runs and acts by its lease on an earlier step than this.
    pub(crate) fn behind(&self, now: Time, step: Revision) -> bool {
        self.runs()
            && self
                .acting(now)
                .is_some_and(|(s, right)| right == Right::Whole && s.revision < step)
    }
    /// What it would act on now, and by which right; none: nothing is known to it, and it takes no call.
    fn acting(&self, now: Time) -> Option<(&FleetState, Right)> {
        let acting = self.peer.as_ref()?.active_state(self.local(now));
        let right = match (acting.lease > 0, acting.session > 0) {
            (true, true) => Right::Whole,
            (false, true) => Right::Apart,
            (_, false) => Right::Lapsed,
        };
        acting.state.map(|s| (s, right))
    }
}

/// A seat's disk: what it holds for sure, and what was written and may be lost.
#[derive(Default)]
pub(crate) struct Disk {
    saved: PersistentState,
    written: Vec<(Vec<u8>, Option<Vec<u8>>)>,
    /// Records that were synced while the process stood still: it hears of them when it wakes.
    owed: usize,
}

impl Disk {
    /// The first record that was written is synced.
    fn sync(&mut self) {
        if self.written.is_empty() {
            return;
        }
        match self.written.remove(0) {
            (_, Some(whole)) => {
                self.saved = PersistentState {
                    snapshot: Some(whole),
                    records: Vec::new(),
                }
            }
            (record, None) => self.saved.records.push(record),
        }
    }
}

pub(crate) struct Run<'a> {
    pub(crate) play: &'a Play,
    pub(crate) rng: fastrand::Rng,
    pub(crate) net: Net,
    pub(crate) now: Time,
    queue: BinaryHeap<Planned>,
    numbers: u64,
    pub(crate) all: Vec<Process>,
    pub(crate) disks: Vec<Disk>,
    /// What is agreed on, as the seat has it that applied most, and how many entries that is.
    agreed: Option<(u64, Rc<FleetState>, bool)>,
    /// The same at each number of entries.
    states: BTreeMap<u64, (Rc<FleetState>, Vec<u64>)>,
    /// Who keeps the log, by what is agreed on.
    seats: Vec<u64>,
    pub(crate) schema: Schema,
    judged: BTreeSet<(u64, u64, Right)>,
    proposed: BTreeMap<Version, Time>,
    waiting: Option<(Version, Time)>,
    /// One that was found to act on an earlier version than the one that is waited for.
    lags: usize,
    pub(crate) outcome: Outcome,
    pub(crate) scale: Option<Box<Scale>>,
    pub(crate) shared: Option<Shared>,
    pub(crate) scopes: Option<Scopes>,
    sent: u64,
    sent_bytes: u64,
    sent_seat: u64,
}

/// Plays one run.
pub fn run(play: &Play, seed: u64) -> Outcome {
    with(play, seed, &faults(play, seed))
}

/// The faults of a run.
pub fn faults(play: &Play, seed: u64) -> Vec<Fault> {
    if play.quiet {
        return Vec::new();
    }
    draw(&mut fastrand::Rng::with_seed(seed), play.fronts, play.until)
}

/// The shortest script of faults with which a run breaks as it does.
pub fn script(play: &Play, seed: u64) -> Vec<Fault> {
    shrink(faults(play, seed), |f| {
        !with(play, seed, f).broken.is_empty()
    })
}

/// Plays one run with these faults.
pub fn with(play: &Play, seed: u64, faults: &[Fault]) -> Outcome {
    played(play, seed, faults).close()
}

/// The same up to its end, before it is closed.
pub(crate) fn played<'a>(play: &'a Play, seed: u64, faults: &[Fault]) -> Run<'a> {
    let mut run = Run::new(play, seed, faults);
    let end = |run: &Run| run.scale.as_ref().map_or(play.until + play.calm, |s| s.end);
    while let Some(Planned { at, event, .. }) = run.queue.pop() {
        if at > end(&run) || run.outcome.broken.len() > 4 {
            break;
        }
        run.now = at;
        run.scale.iter_mut().for_each(|s| s.events += 1);
        run.on(event);
    }
    if run.outcome.broken.len() <= 4 {
        run.now = end(&run);
    }
    run
}

impl<'a> Run<'a> {
    fn new(play: &'a Play, seed: u64, faults: &[Fault]) -> Run<'a> {
        let mut rng = fastrand::Rng::with_seed(seed ^ 0x5eed);
        let wild = play.plant == Some(Plant::WildClock);
        let all = (0..play.fronts).map(|_| {
            let bound = if wild {
                0.4
            } else {
                play.terms.drift_ppm as f64 / 1e6
            };
            Process {
                peer: None,
                incarnation: if play.size.is_some() { SINCE } else { 0 },
                stopped: None,
                rate: 1.0 + (rng.f64() * 2.0 - 1.0) * bound,
                offset: rng.i64(0..1000 * SECOND),
                planned: Time::MAX,
                up: 0,
                out: 0,
                stayless: 0,
                seen: 0,
                live: 0,
                looked: None,
                born: 0,
                joined: false,
            }
        });
        let all = all.collect();
        let mut run = Run {
            play,
            net: Net::new(play.ways, faults),
            now: 0,
            queue: BinaryHeap::new(),
            numbers: 0,
            all,
            disks: (0..(play.seats + play.spares).min(play.fronts))
                .map(|_| Disk::default())
                .collect(),
            agreed: None,
            states: BTreeMap::new(),
            seats: Vec::new(),
            schema: schema(),
            judged: BTreeSet::new(),
            proposed: BTreeMap::new(),
            waiting: None,
            lags: 0,
            outcome: Outcome {
                seed,
                ..Outcome::default()
            },
            scale: play
                .size
                .clone()
                .map(|size| Box::new(Scale::new(size, play.fronts))),
            shared: (play.tier == Tier::Hollow).then(|| Shared::new(play.fronts)),
            scopes: None,
            sent: 0,
            sent_bytes: 0,
            sent_seat: 0,
            rng,
        };
        for who in 0..play.fronts {
            let at = run.rng.i64(
                0..run
                    .scale
                    .as_ref()
                    .map_or(SECOND / 2, |_| Scale::starts(play.fronts)),
            );
            run.plan(at, Event::Start { who });
        }
        let by_scope = play.size.as_ref().map_or(play.scopes, |s| s.by_scope);
        run.scopes =
            (by_scope > 0).then(|| Scopes::new(by_scope, play.fronts, seed, play.size.is_none()));
        run.size_begins();
        if run.scale.is_some() {
            run.net
                .place(play.size.as_ref().map_or(1, |s| s.regions), &mut run.rng);
            return run;
        }
        for f in faults {
            match *f {
                Fault::Kill { who, at, away } => {
                    run.plan(at, Event::Stop { who });
                    run.plan(at + away, Event::Start { who });
                }
                Fault::Pause { who, at, away } => {
                    run.plan(at, Event::Pause { who });
                    run.plan(at + away, Event::Wake { who });
                }
                _ => {}
            }
        }
        run.scopes_begin();
        for _ in 0..play.replacements {
            let at = run.rng.i64(SECOND..play.until + play.calm / 4);
            run.plan(at, Event::Replace);
        }
        for _ in 0..play.changes {
            let at = run.rng.i64(SECOND..play.until + play.calm / 4);
            run.plan(at, Event::Propose);
            if run.rng.u32(0..5) == 0 {
                let later = run.rng.i64(0..SECOND);
                run.plan(at + later, Event::Abandon);
            }
        }
        run
    }

    pub(crate) fn plan(&mut self, at: Time, event: Event) {
        self.numbers += 1;
        self.queue.push(Planned {
            at: at.max(self.now),
            number: self.numbers,
            event,
        });
    }

    fn on(&mut self, event: Event) {
        match event {
            Event::Pause { who } => {
                self.account(who);
                let p = &mut self.all[who];
                p.stopped = p
                    .stopped
                    .take()
                    .or(Some(Vec::new()))
                    .filter(|_| p.peer.is_some());
            }
            Event::Letter { to, letter } => {
                let (from, root, body) = *letter;
                if let (Some(scale), true) = (&mut self.scale, self.all[to].peer.is_some()) {
                    scale.letter(to, &body, size(&from, root, &body) as u64);
                }
                if let Some(held) = &mut self.all[to].stopped {
                    // What the kernel holds for a stopped process is bounded.
                    if held.len() < 64 {
                        held.push((from, root, body));
                    }
                } else {
                    self.hear(to, &from, root, body);
                }
            }
            Event::Tick {
                who,
                incarnation,
                at,
            } => {
                // One that was planned anew since then is over: each that was taken would plan a further one.
                if self.all[who].incarnation == incarnation && self.all[who].planned == at {
                    self.all[who].planned = Time::MAX;
                    self.act(who, FleetNode::tick);
                }
            }
            Event::Start { who } => self.start(who),
            Event::Stop { who } => self.stop(who, false),
            Event::Leave { who } => {
                self.act(who, FleetNode::leave);
                self.stop(who, true);
            }
            Event::Wake { who } => {
                let held = self.all[who].stopped.take().unwrap_or_default();
                let owed = self
                    .disks
                    .get_mut(who)
                    .map_or(0, |d| std::mem::take(&mut d.owed));
                (0..owed)
                    .for_each(|_| self.act(who, |p, now, out| p.on_persisted(now, Ok(()), out)));
                for (from, root, body) in held {
                    self.hear(who, &from, root, body);
                }
                self.act(who, FleetNode::tick);
            }
            Event::Propose => {
                let id = self.rng.u64(1..);
                let Some((root, state)) = self.root() else {
                    return;
                };
                let (base, fields) = (
                    state.latest(),
                    changed(&mut self.rng, &state.in_force.fields),
                );
                let entry = LogEntry::Propose {
                    id,
                    base,
                    fields,
                    reason: "a change".into(),
                };
                self.act(root, |p, now, out| p.request(now, id, entry, out));
            }
            Event::Replace => {
                let Some((root, _)) = self.root() else { return };
                let candidate = self.rng.usize(0..self.disks.len());
                let Some(&instead) = self.seats.get(self.rng.usize(0..self.seats.len().max(1)))
                else {
                    return;
                };
                let entry = LogEntry::BeginVoterReplacement {
                    new: id(candidate, false),
                    address: address(candidate),
                    replaced: instead,
                };
                self.act(root, |p, now, out| p.request(now, 0, entry, out));
            }
            Event::Abandon => {
                let Some((root, state)) = self.root() else {
                    return;
                };
                if let Some((next, _)) = state.next {
                    let entry = LogEntry::Abandon {
                        version: next.version,
                    };
                    self.act(root, |p, now, out| p.request(now, 0, entry, out));
                }
            }
            Event::Call { who, forget } => self.scope_call(who, forget),
            Event::Change { again } => self.scope_change(again),
            Event::Carry { scope, since } => self.carry_early(scope, since),
            Event::Size(what) => self.happens(what),
            Event::Synced { who, incarnation } => {
                // The disk goes on while the process stands still; that hears of it when it wakes.
                if self.all[who].incarnation == incarnation && self.all[who].peer.is_some() {
                    self.disks[who].sync();
                    if self.play.plant != Some(Plant::Unsynced) {
                        match self.all[who].runs() {
                            true => self.act(who, |p, now, out| p.on_persisted(now, Ok(()), out)),
                            false => self.disks[who].owed += 1,
                        }
                    }
                }
            }
        }
        self.in_force();
    }

    /// The seat that leads and runs, and the log's state there.
    pub(crate) fn root(&self) -> Option<(usize, FleetState)> {
        let leads = |p: &Process| {
            p.peer
                .as_ref()
                .filter(|_| p.stopped.is_none())?
                .log()
                .map(|l| l.state().clone())
        };
        let may = self.all.iter().enumerate().take(self.disks.len());
        may.into_iter().find_map(|(n, p)| Some((n, leads(p)?)))
    }

    /// A process ends, with a word to the others or without.
    fn stop(&mut self, who: usize, word: bool) {
        self.account(who);
        self.ended(who, word);
        let p = &mut self.all[who];
        (p.peer, p.stopped, p.planned) = (None, None, Time::MAX);
        if who < self.disks.len() {
            // What was not synced is lost, or some of it, or none.
            let kept = self.rng.usize(0..=self.disks[who].written.len());
            (0..kept).for_each(|_| self.disks[who].sync());
            self.disks[who].written.clear();
            self.disks[who].owed = 0;
        }
    }

    fn start(&mut self, who: usize) {
        if self.all[who].peer.is_some() {
            return;
        }
        let (play, seed) = (self.play, self.rng.u64(..));
        let p = &mut self.all[who];
        p.incarnation += 1;
        p.seen = self.now;
        (p.born, p.joined) = (self.now, false);
        // A new process has a clock of its own beginning.
        p.offset = self.rng.i64(0..1000 * SECOND);
        // The seat with this mistake takes strict fields for free ones.
        let strict = if play.plant == Some(Plant::NoRoster) {
            Compatibility::Free
        } else {
            Compatibility::Strict
        };
        let wide = play.size.is_some();
        let setup = FleetNodeConfig {
            fleet: 1,
            name: format!("f{who}"),
            node: NodeId::new(id(who, wide), p.incarnation, address(who)),
            voters: (0..play.seats).map(|n| (id(n, wide), address(n))).collect(),
            lease: play.terms,
            session: LeaseTiming {
                span: play.stay,
                ..play.terms
            },
            gossip: GossipTiming {
                size: play.fronts as u32,
                ..GossipTiming::default()
            },
            schema: if who < self.disks.len() {
                schema_with(strict)
            } else {
                schema()
            },
            seed,
        };
        let now = p.local(self.now);
        let functions = play.size.as_ref().map_or(0, |s| s.functions);
        let held = self.disks.get(who).map(|d| RecoveredState {
            persistent: d.saved.clone(),
            initial_fields: first(functions),
        });
        match FleetNode::new(setup, held, now) {
            Ok(mut peer) => {
                if let Some(shared) = &mut self.shared {
                    peer.update_members(shared.directory(&self.net, who));
                    shared.news(self.now, who, peer.setup().node.clone(), true, false);
                }
                p.peer = Some(peer);
            }
            Err(e) => return self.broken(who, e.to_string()),
        }
        self.act(who, FleetNode::tick);
    }

    /// Looks at what a seat knows to be agreed on: all have to have one order of it.
    fn agree(&mut self, who: usize) {
        let p = &mut self.all[who];
        let Some((applied, log)) = p.peer.as_ref().and_then(FleetNode::agreed) else {
            return;
        };
        // A log is another only when more was applied to it.
        if p.looked.replace((p.incarnation, applied)) == Some((p.incarnation, applied)) {
            return;
        }
        let same = self
            .agreed
            .as_ref()
            .map(|a| &a.1)
            .filter(|a| ***a == *log.state());
        let state = same
            .cloned()
            .unwrap_or_else(|| Rc::new(log.state().clone()));
        let unsettled = log.has_open_changes();
        let here = (state.clone(), log.voters().keys().copied().collect());
        let known = self.states.entry(applied).or_insert_with(|| here.clone());
        if *known != here {
            let told = format!(
                "has step {} and seats {:?} after {applied} entries, another has step {} and seats {:?}",
                state.revision.0, here.1, known.0.revision.0, known.1
            );
            return self.broken(who, told);
        }
        self.scopes_compare(who, applied);
        if self.agreed.as_ref().is_some_and(|a| a.0 >= applied) {
            return;
        }
        if let Some((next, _)) = &state.next {
            self.proposed.entry(next.version).or_insert(self.now);
        }
        if self.seats != here.1 {
            self.outcome.replaced +=
                u64::from(here.1.len() == self.play.seats && !self.seats.is_empty());
            self.seats = here.1;
        }
        let before = self
            .agreed
            .as_ref()
            .map_or(Version(1), |a| a.1.in_force.version);
        if state.in_force.version > before {
            self.outcome.in_force += 1;
            let since = self
                .proposed
                .get(&state.in_force.version)
                .copied()
                .unwrap_or(self.now);
            self.waiting = Some((state.in_force.version, since));
        }
        let (from, joint) = (
            state.revision,
            matches!(state.next, Some((_, ChangePhase::Joint))),
        );
        let moved = self.agreed.as_ref().is_none_or(|a| a.1 != state);
        self.agreed = Some((applied, state, unsettled));
        let moved = self.scopes_moved(who) || moved;
        // What is to be acted on moved: everyone is judged by it. Who comes and goes moves nothing.
        for who in 0..if moved { self.all.len() } else { 0 } {
            self.judge(who);
        }
        if self.play.plant == Some(Plant::NoJoint) && joint {
            if let Some((root, _)) = self.root() {
                self.act(root, |p, now, out| {
                    p.request(now, 0, LogEntry::Advance { from }, out)
                });
            }
        }
    }

    /// In force at every front end that runs: time from its proposal.
    fn in_force(&mut self) {
        self.scopes_reached();
        if let Some((version, since)) = self.waiting {
            let there = |p: &Process| match p.acting(self.now) {
                Some((s, Right::Whole)) if p.runs() => s.in_force.version >= version,
                _ => true,
            };
            // Whoever was found not there is looked at first: while it is not, nobody else need be.
            let many = self.all.len();
            let lags = (0..many)
                .map(|n| (self.lags + n) % many)
                .find(|n| !there(&self.all[*n]));
            self.lags = lags.unwrap_or(0);
            if lags.is_none() {
                self.outcome
                    .force_ms
                    .push(((self.now - since) / 1000) as u64);
                self.scale
                    .iter_mut()
                    .for_each(|s| s.in_force(self.now, version));
                self.waiting = None;
            }
        }
    }

    fn hear(&mut self, to: usize, from: &NodeId, root: Leader, body: MessageBody) {
        let mut body = body;
        match self.play.plant {
            Some(Plant::OldReply) => {
                if let (MessageBody::SubscribeReply(r), Some(peer)) =
                    (&mut body, &self.all[to].peer)
                {
                    r.revision = r.revision.max(
                        peer.active_state(self.now)
                            .state
                            .map_or(Revision(0), |s| s.revision),
                    );
                }
            }
            Some(Plant::LateDrop) => self.late_drops(&mut body),
            _ => {}
        }
        if let (MessageBody::Lease(LeaseMessage::Grant(g)), Some(Plant::CountedFromAnswer)) =
            (&mut body, self.play.plant)
        {
            // An ask of this moment takes the place of the one that was answered.
            let p = &mut self.all[to];
            let now = p.local(self.now);
            let mut asks = Vec::new();
            if let Some(peer) = p.peer.as_mut() {
                peer.on_message(
                    now,
                    from,
                    root,
                    MessageBody::Lease(LeaseMessage::Revision(NEVER)),
                    &mut asks,
                );
            }
            let seq = asks.iter().find_map(|c| match c {
                Command::Send {
                    body: MessageBody::Lease(LeaseMessage::Request(a)),
                    ..
                } => Some(a.seq),
                _ => None,
            });
            if let (Some(seq), true) = (seq, g.to.incarnation == p.incarnation) {
                g.seq = seq;
            }
        }
        self.act(to, |peer, now, out| {
            peer.on_message(now, from, root, body, out)
        });
    }

    /// Lets a process act, carries out what it wants and plans its next tick; it is judged before and after.
    pub(crate) fn act(
        &mut self,
        who: usize,
        act: impl FnOnce(&mut FleetNode, Time, &mut Vec<Command>),
    ) {
        self.account(who);
        let p = &mut self.all[who];
        let now = p.local(self.now);
        let (Some(peer), None) = (p.peer.as_mut(), p.stopped.as_ref()) else {
            return;
        };
        let mut out = Vec::new();
        act(peer, now, &mut out);
        let unsynced = self.play.plant == Some(Plant::Unsynced);
        let mut n = 0;
        while n < out.len() {
            if let Command::Persist {
                record,
                snapshot: whole,
            } = &out[n]
            {
                self.disks[who]
                    .written
                    .push((record.clone(), whole.clone()));
                if unsynced {
                    peer.on_persisted(now, Ok(()), &mut out);
                }
                let takes = self.rng.i64(SECOND / 2000..SECOND / 20);
                self.numbers += 1;
                let event = Event::Synced {
                    who,
                    incarnation: p.incarnation,
                };
                self.queue.push(Planned {
                    at: self.now + takes,
                    number: self.numbers,
                    event,
                });
            }
            n += 1;
        }
        let next = peer.next_deadline();
        if next < Time::MAX && next != p.planned {
            p.planned = next;
            let wait = ((next - now).max(1) as f64 / p.rate).ceil() as Time;
            let incarnation = p.incarnation;
            self.plan(
                self.now + wait,
                Event::Tick {
                    who,
                    incarnation,
                    at: next,
                },
            );
        }
        let Some((from, root)) = self.all[who]
            .peer
            .as_ref()
            .map(|p| (p.setup().node.clone(), p.leader()))
        else {
            return;
        };
        self.agree(who);
        self.judge(who);
        if self.scale.is_some() {
            let p = &mut self.all[who];
            if !p.joined && p.whole(self.now) {
                p.joined = true;
                self.acts(who);
            }
        }
        for command in out {
            let (to, body) = match command {
                Command::Send { to, body } => (place(to), body),
                Command::SendToVoter { to, bytes } => {
                    ((to & !WIDE) as usize - 1, MessageBody::Consensus(bytes))
                }
                other => {
                    self.scopes_told(who, &other);
                    self.told_of(who, &other);
                    continue;
                }
            };
            if to >= self.all.len() {
                continue;
            }
            self.sent += 1;
            let bytes = size(&from, root, &body) as u64;
            self.sent_bytes += bytes;
            self.scale
                .iter_mut()
                .for_each(|s| s.letter(who, &body, bytes));
            self.sent_seat += u64::from(to < self.play.seats || who < self.play.seats);
            let old = self.play.plant == Some(Plant::OldReply)
                && matches!(body, MessageBody::SubscribeReply(_));
            let late = if old { LATE } else { 0 };
            for at in self.net.carry(&mut self.rng, self.now + late, who, to) {
                let letter = Box::new((from.clone(), root, body.clone()));
                self.plan(at, Event::Letter { to, letter });
            }
        }
    }

    /// Counts the time that a process was up, and without a lease or a stay.
    pub(crate) fn account(&mut self, who: usize) {
        let now = self.now;
        let p = &mut self.all[who];
        let span = now - p.seen;
        p.seen = now;
        if p.runs() {
            p.up += span;
            match p.acting(now).map(|a| a.1) {
                Some(Right::Whole) => p.live = now,
                Some(Right::Apart) => p.out += span,
                Some(Right::Lapsed) | None => {
                    (p.out, p.stayless) = (p.out + span, p.stayless + span)
                }
            }
        }
    }

    /// What this process would act on now, against what is in force by the agreed log.
    fn judge(&mut self, who: usize) {
        self.judge_scopes(who);
        let p = &self.all[who];
        if !p.runs() {
            return;
        }
        let Some((_, agreed, _)) = &self.agreed else {
            return;
        };
        let (force, step) = (&agreed.in_force, agreed.revision);
        let Some((known, right)) = p.acting(self.now) else {
            return;
        };
        if right == Right::Whole && known.revision > step {
            let told = format!("acts on step {}, agreed is {}", known.revision.0, step.0);
            return self.broken(who, told);
        }
        // The same step against the same version was judged before.
        if !self
            .judged
            .insert((known.revision.0, force.version.0, right))
        {
            return;
        }
        let rules: EffectiveRules = match right {
            Right::Whole => known.rules(&self.schema),
            Right::Apart => rules_without_lease(&self.schema, known.rules(&self.schema)),
            Right::Lapsed => rules_after_expiry(&self.schema, &known.in_force.fields),
        };
        let wrong = contradictions(&self.schema, &force.fields, &rules);
        if let Some((path, _)) = wrong.first() {
            let told = format!(
                "{right:?} at step {}: {path} against version {}",
                known.revision.0, force.version.0
            );
            self.broken(who, told);
        }
    }

    pub(crate) fn broken(&mut self, who: usize, what: String) {
        self.outcome
            .broken
            .push(format!("{} ms: front end {who} {what}", self.now / 1000));
    }

    fn close(mut self) -> Outcome {
        for who in 0..self.all.len() {
            self.account(who);
            let p = &self.all[who];
            let behind = match p.acting(self.now) {
                Some((s, Right::Whole))
                    if self
                        .agreed
                        .as_ref()
                        .is_some_and(|a| a.1.revision == s.revision) =>
                {
                    None
                }
                Some((s, Right::Whole)) => Some(format!("still acts on step {}", s.revision.0)),
                // One that fell out for a moment, by messages lost in a row, is not one that found no way back.
                _ if self.now - p.live < 2 * SECOND => None,
                Some((_, Right::Lapsed)) | None => Some("holds no stay".into()),
                Some((_, Right::Apart)) => Some("holds no lease".into()),
            };
            if let (Some(what), true, true) = (behind, p.runs(), self.outcome.broken.is_empty()) {
                self.broken(who, format!("{what} after all faults are over"));
            }
        }
        if self.agreed.as_ref().is_none_or(|a| a.2) && self.outcome.broken.is_empty() {
            self.broken(0, "has a change that never ended".into());
        }
        self.scopes_close();
        let up: Time = self.all.iter().map(|p| p.up).sum();
        let part = |of: fn(&Process) -> Time| {
            self.all.iter().map(of).sum::<Time>() as f64 / up.max(1) as f64
        };
        let (lapsed, stayless) = (part(|p| p.out), part(|p| p.stayless));
        let seconds = self.now as f64 / SECOND as f64;
        let each = seconds * self.play.fronts as f64;
        self.outcome.lapsed = lapsed;
        self.outcome.stayless = stayless;
        self.outcome.messages = self.sent as f64 / each;
        self.outcome.bytes = self.sent_bytes as f64 / each;
        self.outcome.seat_messages = self.sent_seat as f64 / seconds;
        self.outcome
    }
}

/// A step that no log reaches: whoever hears of it asks at once.
const NEVER: Revision = Revision(u64::MAX);

/// Many runs together.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Front ends.
    pub fronts: usize,
    /// Runs.
    pub seeds: u64,
    /// Runs that broke, with the first lines.
    pub broken: Vec<(u64, String)>,
    /// Versions that came into force.
    pub in_force: u64,
    /// Changes of single scopes that came in force, and that were given up.
    pub scopes_in_force: u64,
    /// See [`Summary::scopes_in_force`].
    pub scopes_back: u64,
    /// Seats that were replaced.
    pub replaced: u64,
    /// From a proposal to force everywhere, milliseconds: median, 99th percentile, longest.
    pub force_ms: [u64; 3],
    /// Share of time without a live lease.
    pub lapsed: f64,
    /// Share of time without a live stay.
    pub stayless: f64,
    /// Messages a front end a second.
    pub messages: f64,
    /// Bytes a front end a second.
    pub bytes: f64,
    /// Messages at the seat a second.
    pub seat_messages: f64,
}

/// Plays seeds `from` to `from + seeds` on so many threads. The outcome does not depend on their number.
pub fn many(play: &Play, from: u64, seeds: u64, threads: usize) -> Summary {
    let mut all: Vec<Outcome> = crate::spread(from, seeds, threads, |seed| run(play, seed));
    all.sort_by_key(|o| o.seed);
    let mut force = Histogram::<u64>::new_with_bounds(1, 3_600_000, 3).expect("an hour at most");
    all.iter()
        .flat_map(|o| &o.force_ms)
        .for_each(|ms| force.saturating_record(*ms));
    let mean = |f: fn(&Outcome) -> f64| all.iter().map(f).sum::<f64>() / all.len().max(1) as f64;
    let broken = all
        .iter()
        .filter_map(|o| Some((o.seed, o.broken.first()?.clone())));
    Summary {
        fronts: play.fronts,
        seeds,
        broken: broken.collect(),
        in_force: all.iter().map(|o| o.in_force).sum(),
        scopes_in_force: all.iter().map(|o| o.scopes_in_force).sum(),
        scopes_back: all.iter().map(|o| o.scopes_back).sum(),
        replaced: all.iter().map(|o| o.replaced).sum(),
        force_ms: [0.5, 0.99, 1.0].map(|q| force.value_at_quantile(q)),
        lapsed: mean(|o| o.lapsed),
        stayless: mean(|o| o.stayless),
        messages: mean(|o| o.messages),
        bytes: mean(|o| o.bytes),
        seat_messages: mean(|o| o.seat_messages),
    }
}
