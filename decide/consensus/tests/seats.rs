//! Seats in virtual time, each with a disk: what is agreed on is one order, whoever is killed, cut off or loses what was
//! not synced; and there is somebody with the right again once most are there.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use tansy_agreement::compatibility::{Fields, Value};
use tansy_agreement::lease::{LeaseTiming, Member};
use tansy_agreement::log::{Log, LogEntry, Revision, Version};
use tansy_agreement::scope::{ScopeTransaction, ScopeUpdate};
use tansy_consensus::{Effect, PersistentState, Replica, ReplicaConfig};

const SECOND: i64 = 1_000_000;

fn fields(n: i64) -> Fields {
    [("worker.max_attempts".to_string(), Value::Int(n))].into()
}

#[derive(Default)]
struct Disk {
    saved: PersistentState,
    /// Written, and not synced yet: each with the whole that takes the place of all.
    written: Vec<(Vec<u8>, Option<Vec<u8>>)>,
}

impl Disk {
    fn sync(&mut self) {
        let (record, whole) = self.written.remove(0);
        match whole {
            Some(whole) => {
                self.saved = PersistentState {
                    snapshot: Some(whole),
                    records: Vec::new(),
                }
            }
            None => self.saved.records.push(record),
        }
    }
}

enum Event {
    Letter(usize, u64, Vec<u8>),
    Synced(usize, u64),
}

struct Group {
    now: i64,
    rng: fastrand::Rng,
    all: Vec<Option<Replica>>,
    lives: Vec<u64>,
    disks: Vec<Disk>,
    queue: BinaryHeap<Reverse<(i64, u64)>>,
    events: BTreeMap<u64, Event>,
    count: u64,
    cut: BTreeSet<(usize, usize)>,
    /// What was applied at each place of the order, by whoever applied it first.
    order: BTreeMap<u64, String>,
    /// Told before it is synced: a mistake.
    unsynced: bool,
    forked: bool,
    /// How many the order begins with.
    first: usize,
}

fn at(n: u64) -> std::net::SocketAddr {
    ([10, 0, 0, n as u8], 7000).into()
}

impl Group {
    fn new(size: usize, seed: u64) -> Group {
        Group::with(size, size, seed)
    }

    /// So many, of which the first ones begin as seats.
    fn with(size: usize, first: usize, seed: u64) -> Group {
        let mut g = Group {
            first,
            now: 0,
            rng: fastrand::Rng::with_seed(seed),
            all: Vec::new(),
            lives: vec![0; size],
            disks: Vec::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            count: 0,
            cut: BTreeSet::new(),
            order: BTreeMap::new(),
            unsynced: false,
            forked: false,
        };
        g.all.resize_with(size, || None);
        g.disks.resize_with(size, Disk::default);
        (0..size).for_each(|n| g.start(n));
        g
    }

    fn start(&mut self, n: usize) {
        self.lives[n] += 1;
        let setup = ReplicaConfig {
            id: n as u64 + 1,
            incarnation: self.lives[n],
            voters: (1..=self.first as u64).map(|n| (n, at(n))).collect(),
            terms: LeaseTiming {
                span: SECOND * 6 / 10,
                drift_ppm: 1000,
            },
            initial_fields: fields(n as i64),
            seed: self.rng.u64(..),
        };
        self.all[n] =
            Some(Replica::new(setup, &self.disks[n].saved, self.now).expect("what it held"));
    }

    fn kill(&mut self, n: usize) {
        self.all[n] = None;
        // Of what was not synced a part may be there.
        let kept = self.rng.usize(0..=self.disks[n].written.len());
        (0..kept).for_each(|_| self.disks[n].sync());
        self.disks[n].written.clear();
    }

    fn plan(&mut self, after: i64, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((self.now + after, self.count)));
        self.events.insert(self.count, event);
    }

    fn act(&mut self, n: usize, act: impl FnOnce(&mut Replica, i64, &mut Vec<Effect>)) {
        let mut out = Vec::new();
        let Some(seat) = &mut self.all[n] else { return };
        act(seat, self.now, &mut out);
        let mut at = 0;
        while at < out.len() {
            match out[at].clone() {
                Effect::Send { to, bytes } => {
                    let to = to as usize - 1;
                    if !self.cut.contains(&(n, to)) && self.rng.u32(0..50) > 0 {
                        let late = self.rng.i64(200..20_000);
                        self.plan(late, Event::Letter(to, n as u64 + 1, bytes));
                    }
                }
                Effect::Persist {
                    record,
                    snapshot: whole,
                } => {
                    self.disks[n].written.push((record, whole));
                    let late = self.rng.i64(500..10_000);
                    self.plan(late, Event::Synced(n, self.lives[n]));
                    if self.unsynced {
                        let seat = self.all[n].as_mut().expect("it runs");
                        seat.on_persisted(true, &mut out);
                    }
                }
                Effect::Applied { .. } | Effect::UnknownEntry => {}
            }
            at += 1;
        }
        let seat = self.all[n].as_ref().expect("it runs");
        if let Some(log) = seat.log() {
            let here = format!("{:?}", log.state());
            let first = self
                .order
                .entry(seat.applied())
                .or_insert_with(|| here.clone());
            self.forked |= *first != here;
        }
    }

    fn run(&mut self, seconds: f64) {
        let until = self.now + (seconds * SECOND as f64) as i64;
        while self.now < until {
            let tick = self
                .all
                .iter()
                .flatten()
                .map(Replica::next_deadline)
                .min()
                .unwrap_or(until);
            let next = self.queue.peek().map_or(until, |e| e.0 .0);
            self.now = tick.min(next).min(until).max(self.now);
            while let Some(Reverse((_, id))) =
                self.queue.peek().copied().filter(|e| e.0 .0 <= self.now)
            {
                self.queue.pop();
                match self.events.remove(&id).expect("an event") {
                    Event::Letter(to, from, bytes) => {
                        self.act(to, |s, _, out| s.on_message(from, &bytes, out))
                    }
                    Event::Synced(n, life) => {
                        if self.lives[n] == life && self.all[n].is_some() {
                            self.disks[n].sync();
                            if !self.unsynced {
                                self.act(n, |s, _, out| s.on_persisted(true, out));
                            }
                        }
                    }
                }
            }
            for n in 0..self.all.len() {
                if self.all[n]
                    .as_ref()
                    .is_some_and(|s| s.next_deadline() <= self.now)
                {
                    self.act(n, Replica::tick);
                }
            }
        }
    }

    fn root(&self) -> Option<usize> {
        self.all.iter().position(|s| {
            s.as_ref()
                .is_some_and(|s| s.leader_lease(self.now).is_some())
        })
    }

    fn propose(&mut self, n: i64) {
        let Some(root) = self.root() else { return };
        let state = self.all[root]
            .as_ref()
            .and_then(Replica::log)
            .expect("a log")
            .state()
            .clone();
        let entry = match state.next {
            Some(_) => LogEntry::Advance {
                from: state.revision,
            },
            None => LogEntry::Propose {
                id: 0,
                base: state.latest(),
                fields: fields(1000 + n),
                reason: String::new(),
            },
        };
        self.act(root, |s, _, out| {
            s.propose(entry, out);
        });
    }
}

#[test]
fn one_seat_is_its_own_root_at_once_and_goes_on_from_its_disk() {
    let mut g = Group::new(1, 1);
    g.run(0.5);
    assert_eq!(g.root(), Some(0));
    for n in 0..900 {
        g.propose(n);
        g.run(0.02);
    }
    let before = g.all[0]
        .as_ref()
        .and_then(Replica::log)
        .expect("a log")
        .state()
        .clone();
    assert!(
        before.in_force.version > Version(200),
        "{:?}",
        before.in_force.version
    );
    assert!(
        g.disks[0].saved.snapshot.is_some(),
        "the whole takes the place of records"
    );
    g.kill(0);
    g.start(0);
    g.run(0.5);
    let log = g.all[0].as_ref().and_then(Replica::log).expect("a log");
    assert_eq!(log.state(), &before);
    assert_eq!(g.root(), Some(0));
}

#[test]
fn whoever_is_cut_off_loses_the_right_and_another_has_it() {
    let mut g = Group::new(3, 2);
    g.run(3.0);
    let first = g.root().expect("a root");
    for n in 0..3 {
        if n != first {
            g.cut.extend([(n, first), (first, n)]);
        }
    }
    g.run(0.7);
    assert!(
        g.all[first]
            .as_ref()
            .is_some_and(|s| s.leader_lease(g.now).is_none()),
        "its right is out after a lease"
    );
    g.run(3.0);
    let second = g.root().expect("another root");
    assert_ne!(first, second);
    for n in 0..10 {
        g.propose(n);
        g.run(0.1);
    }
    g.cut.clear();
    g.run(3.0);
    let state = |n: usize| {
        g.all[n]
            .as_ref()
            .and_then(Replica::log)
            .map(|l| l.state().clone())
    };
    assert_eq!(state(first), state(second));
}

#[test]
fn most_killed_at_once_and_back_one_by_one_have_one_order() {
    for seed in 0..60 {
        let size = [3, 5, 7][seed as usize % 3];
        let mut g = Group::new(size, seed);
        g.run(3.0);
        for round in 0..6 {
            for n in 0..g.rng.i64(1..6) {
                g.propose(round * 10 + n);
                g.run(0.03);
            }
            match g.rng.u32(0..3) {
                0 => {
                    let dead: Vec<usize> = (0..size).filter(|_| g.rng.bool()).collect();
                    dead.iter().for_each(|n| g.kill(*n));
                    for n in dead {
                        let wait = g.rng.f64();
                        g.run(wait);
                        g.start(n);
                    }
                }
                1 => {
                    let (a, b) = (g.rng.usize(0..size), g.rng.usize(0..size));
                    g.cut.extend([(a, b)]);
                    let wait = g.rng.f64() * 3.0;
                    g.run(wait);
                    g.cut.clear();
                }
                _ => {
                    let side: Vec<usize> = (0..size).filter(|_| g.rng.bool()).collect();
                    for a in 0..size {
                        let other = |b: &usize| side.contains(&a) != side.contains(b);
                        g.cut.extend((0..size).filter(other).map(|b| (a, b)));
                    }
                    let wait = g.rng.f64() * 3.0;
                    g.run(wait);
                    g.cut.clear();
                }
            }
        }
        g.run(6.0);
        assert!(!g.forked, "seed {seed}: two orders");
        assert!(g.root().is_some(), "seed {seed}: nobody has the right");
        let states: BTreeSet<String> = g
            .all
            .iter()
            .flatten()
            .map(|s| format!("{:?}", s.log().map(|l| l.state())))
            .collect();
        assert_eq!(states.len(), 1, "seed {seed}: {states:?}");
    }
}

#[test]
fn a_seat_that_tells_what_its_disk_does_not_hold_is_found() {
    let forked = (0..300).any(|seed| {
        let mut g = Group::new(3, seed);
        g.unsynced = true;
        g.run(2.0);
        for n in 0..30 {
            g.propose(n);
            g.run(0.02);
            if n % 5 == 4 {
                let dead: Vec<usize> = (0..3).filter(|_| g.rng.u32(0..3) > 0).collect();
                dead.iter().for_each(|n| g.kill(*n));
                dead.iter().for_each(|n| g.start(*n));
                let wait = 1.0 + g.rng.f64();
                g.run(wait);
            }
        }
        g.forked
    });
    assert!(forked);
}

#[test]
fn a_disk_that_fails_takes_a_seat_out_and_no_more() {
    let mut g = Group::new(3, 9);
    g.run(3.0);
    let root = g.root().expect("a root");
    g.act(root, |s, _, out| s.on_persisted(false, out));
    assert!(g.all[root].as_ref().is_some_and(Replica::is_failed));
    g.run(5.0);
    assert!(g.root().is_some_and(|r| r != root), "the others go on");
}

#[test]
fn no_bytes_end_a_seat() {
    let mut g = Group::with(4, 3, 5);
    g.run(2.0);
    let mut letters = Vec::new();
    for n in 0..400 {
        let seating = match n {
            100 => Some(LogEntry::BeginVoterReplacement {
                new: 4,
                address: at(4),
                replaced: 3,
            }),
            200 => Some(LogEntry::EnterJointConsensus {
                new: 4,
                replaced: 3,
            }),
            300 => Some(LogEntry::CompleteVoterReplacement { new: 4 }),
            _ => None,
        };
        match (seating, g.root()) {
            (Some(entry), Some(root)) => g.act(root, |s, _, out| {
                s.propose(entry, out);
            }),
            _ => g.propose(n),
        }
        g.run(0.01);
        letters.extend(g.events.values().filter_map(|e| match e {
            Event::Letter(to, from, bytes) => Some((*to, *from, bytes.clone())),
            Event::Synced(..) => None,
        }));
    }
    assert!(letters.len() > 300, "{}", letters.len());
    let seats = g.all[0]
        .as_ref()
        .and_then(Replica::log)
        .map(|l| l.voters().keys().copied().collect::<Vec<_>>());
    assert_eq!(
        seats,
        Some(vec![1, 2, 4]),
        "letters of a replacement are among them"
    );
    for n in 0..60_000 {
        let (to, from, mut bytes) = letters[n % letters.len()].clone();
        for _ in 0..g.rng.usize(1..4) {
            let at = g.rng.usize(0..bytes.len());
            match g.rng.u32(0..3) {
                0 => bytes.truncate(at.max(1)),
                1 => bytes.insert(at, g.rng.u8(..)),
                _ => bytes[at] = g.rng.u8(..),
            }
        }
        g.act(to, |s, _, out| s.on_message(from, &bytes, out));
        g.queue.clear();
        g.events.clear();
    }
}

/// What seats of the first form that other programs may meet have held and written: recorded then, read by every later
/// program. `RECORD=1` writes it anew, which is right only with another form.
#[test]
fn what_an_earlier_program_held_is_read() {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recorded/seat-0.bin");
    let state = |s: &Replica| {
        format!(
            "{:?} {:?}",
            s.log().map(|l| l.state()),
            s.log().map(|l| l.voters())
        )
    };
    if std::env::var_os("RECORD").is_some() {
        let mut g = Group::with(4, 3, 11);
        g.run(3.0);
        for n in 0..20 {
            g.propose(n);
            g.run(0.1);
        }
        let (root, entry) = (
            g.root().expect("a root"),
            LogEntry::BeginVoterReplacement {
                new: 4,
                address: at(4),
                replaced: 3,
            },
        );
        g.act(root, |s, _, out| {
            s.propose(entry, out);
        });
        g.run(2.0);
        let held = &g.disks[0].saved;
        let told = state(g.all[0].as_ref().expect("it runs"));
        let bytes =
            postcard::to_stdvec(&(&held.snapshot, &held.records, &told)).expect("plain data");
        std::fs::create_dir_all(path.parent().expect("a folder")).expect("a folder");
        std::fs::write(&path, bytes).expect("a file");
    }
    let bytes = std::fs::read(&path).expect("what was recorded");
    let (whole, records, told): (Option<Vec<u8>>, Vec<Vec<u8>>, String) =
        postcard::from_bytes(&bytes).expect("what was recorded");
    let mut g = Group::with(4, 3, 12);
    (0..3).for_each(|n| {
        g.disks[n].saved = PersistentState {
            snapshot: whole.clone(),
            records: records.clone(),
        };
        g.start(n);
    });
    g.run(6.0);
    assert_eq!(
        state(g.all[0].as_ref().expect("it runs")),
        in_todays_names(&told),
        "the same log, whoever reads it"
    );
}

/// The recorded text of a state was written by `Debug` and carries the names that its types had then; only those are
/// replaced, so that every value is still compared.
fn in_todays_names(recorded: &str) -> String {
    let names = [
        ("State {", "FleetState {"),
        ("step: Step(", "revision: Revision("),
        ("force: Settings {", "in_force: VersionedSettings {"),
        ("(Settings {", "(VersionedSettings {"),
        ("why: ", "reason: "),
        ("trial: ", "canary: "),
    ];
    names
        .iter()
        .fold(recorded.to_string(), |text, (then, now)| {
            text.replace(then, now)
        })
}

/// The n-th entry of those that change functions: each goes joint, in force, and settled.
fn next_of_functions(log: &Log, n: u64) -> LogEntry {
    let open = || {
        log.catalog()
            .open()
            .filter_map(|(n, s)| Some((n.to_string(), s.phase.since()?, s.next().is_some())))
    };
    let of = |joint| {
        open()
            .filter(|o| o.2 == joint)
            .map(|(n, since, _)| (n, since))
            .collect::<Vec<_>>()
    };
    if open().next().is_some() {
        return LogEntry::AdvanceScopes {
            in_force: of(true),
            settled: of(false),
        };
    }
    let change = |scope: String| {
        let base = log
            .catalog()
            .get(&scope)
            .map_or(Revision(0), |s| s.revision);
        let fields = [
            ("class".to_string(), Value::Text(format!("c{n}"))),
            ("lanes".to_string(), Value::Int(n as i64)),
        ];
        ScopeUpdate {
            scope,
            base,
            fields: (!n.is_multiple_of(7) || base == Revision(0)).then(|| fields.into()),
        }
    };
    let changes = (0..3)
        .map(|i| change(format!("f{}", (n + i) % 20)))
        .collect();
    LogEntry::UpdateScopes {
        transactions: vec![ScopeTransaction {
            id: n,
            updates: changes,
            reason: "a test".into(),
        }],
    }
}

#[test]
fn functions_are_held_and_told_with_the_log() {
    let mut g = Group::new(3, 8);
    g.run(3.0);
    let lost = (0..3).find(|n| Some(*n) != g.root()).expect("two others");
    g.kill(lost);
    for n in 1..=600 {
        if let Some(root) = g.root() {
            let entry = next_of_functions(
                g.all[root].as_ref().and_then(Replica::log).expect("a log"),
                n,
            );
            g.act(root, |s, _, out| {
                s.propose(entry, out);
            });
        }
        g.run(0.06);
    }
    // One that was away learns the whole of it; then all do from their disks.
    g.start(lost);
    g.run(5.0);
    let logs = |g: &Group| {
        g.all
            .iter()
            .flatten()
            .map(|s| s.log().expect("a log").clone())
            .collect::<Vec<_>>()
    };
    let told = logs(&g);
    assert!(
        told[0].catalog().all().len() >= 15 && told[0].state().revision.0 > 150,
        "{:?}",
        told[0].state().revision
    );
    assert!(told[0].state().history.len() > 100);
    assert!(
        told.iter().all(|l| *l == told[0]),
        "the one that was away knows the same"
    );
    (0..3).for_each(|n| g.kill(n));
    (0..3).for_each(|n| g.start(n));
    g.run(5.0);
    assert!(
        logs(&g).iter().all(|l| *l == told[0]),
        "and all do from their disks"
    );
    assert!(!g.forked);
}

/// Entries as programs from before functions were agreed on one by one wrote them.
#[test]
fn entries_that_an_earlier_program_wrote_are_read() {
    let m = Member {
        id: 5,
        incarnation: 6,
    };
    let text = |t: &str| t.to_string();
    let all: [(&[u8], LogEntry); 9] = [
        (&[0, 1, 2, 1, 1, b'a', 1, 8, 1, b'w'], {
            let fields = [(text("a"), Value::Int(4))].into();
            LogEntry::Propose {
                id: 1,
                base: Version(2),
                fields,
                reason: text("w"),
            }
        }),
        (&[1, 7], LogEntry::Advance { from: Revision(7) }),
        (
            &[2, 3],
            LogEntry::Abandon {
                version: Version(3),
            },
        ),
        (
            &[3, 5, 6, 1, b'n', 9],
            LogEntry::Join {
                member: m,
                name: text("n"),
                revision: Revision(9),
            },
        ),
        (&[4, 5, 6], LogEntry::Leave { member: m }),
        (
            &[5, 8, 0, 10, 0, 0, 1, 216, 54, 9],
            LogEntry::BeginVoterReplacement {
                new: 8,
                address: at(1),
                replaced: 9,
            },
        ),
        (
            &[6, 8, 9],
            LogEntry::EnterJointConsensus {
                new: 8,
                replaced: 9,
            },
        ),
        (&[7, 8], LogEntry::CompleteVoterReplacement { new: 8 }),
        (&[8, 8], LogEntry::CancelVoterReplacement { new: 8 }),
    ];
    for (bytes, entry) in all {
        assert_eq!(postcard::from_bytes::<LogEntry>(bytes), Ok(entry.clone()));
        assert_eq!(
            postcard::to_stdvec(&entry).as_deref(),
            Ok(bytes),
            "{entry:?}"
        );
    }
}
