//! Front ends of a fleet in virtual time, each with its seat's disk, links that can be cut, and processes that are killed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use tansy_agreement::compatibility::{
    Compatibility, ExpiredLeasePolicy, Fields, Restrictiveness, Schema, Value,
};
use tansy_agreement::lease::LeaseTiming;
use tansy_agreement::log::{ApplyOutcome, EntryRejection, Log, LogEntry, Version};
use tansy_consensus::PersistentState;
use tansy_fleet_node::{
    Command, FleetEvent, FleetNode, FleetNodeConfig, Leader, MessageBody, RecoveredState,
    RequestRejection,
};
use tansy_membership::{GossipTiming, NodeId};

const SECOND: i64 = 1_000_000;
const STAY: i64 = 60 * SECOND;

/// The number of the n-th one.
fn id(n: usize) -> u64 {
    n as u64 + 1
}

fn address(n: usize) -> SocketAddr {
    ([10, 0, 0, n as u8], 7000).into()
}

fn fields(group: &str, attempts: i64) -> Fields {
    let all = [
        ("classes.pay.group", Value::Text(group.into())),
        ("worker.max_attempts", Value::Int(attempts)),
    ];
    all.into_iter().map(|(p, v)| (p.to_string(), v)).collect()
}

fn schema() -> Schema {
    let least = Compatibility::Joint(
        Restrictiveness::Smallest,
        ExpiredLeasePolicy::Strictest(Value::Int(1)),
    );
    Schema::new([
        ("worker.max_attempts", least),
        ("classes.*.group", Compatibility::Strict),
    ])
}

/// The seat is number 0.
struct Fleet {
    now: i64,
    all: Vec<Option<FleetNode>>,
    incarnations: Vec<u64>,
    /// How many begin as seats.
    seats: usize,
    /// What the disks of seats and of those that may become one hold, and whether the first one's is full.
    disks: Vec<PersistentState>,
    full: bool,
    mail: BinaryHeap<Reverse<(i64, u64)>>,
    letters: BTreeMap<u64, (usize, NodeId, Leader, MessageBody)>,
    count: u64,
    cut: BTreeSet<(usize, usize)>,
    answers: BTreeMap<u64, Result<ApplyOutcome, RequestRejection>>,
    notes: Vec<(usize, FleetEvent)>,
    rng: fastrand::Rng,
}

impl Fleet {
    fn new(size: usize) -> Fleet {
        Fleet::with_seats(size, 1)
    }

    fn with_seats(size: usize, seats: usize) -> Fleet {
        Fleet::with_disks(size, seats, seats)
    }

    fn with_disks(size: usize, seats: usize, disks: usize) -> Fleet {
        let mut fleet = Fleet {
            now: 0,
            seats,
            all: Vec::new(),
            incarnations: vec![0; size],
            disks: vec![PersistentState::default(); disks],
            full: false,
            mail: BinaryHeap::new(),
            letters: BTreeMap::new(),
            count: 0,
            cut: BTreeSet::new(),
            answers: BTreeMap::new(),
            notes: Vec::new(),
            rng: fastrand::Rng::with_seed(size as u64),
        };
        fleet.all.resize_with(size, || None);
        (0..size).for_each(|n| fleet.start(n));
        fleet
    }

    fn start(&mut self, n: usize) {
        self.incarnations[n] += 1;
        let setup = FleetNodeConfig {
            fleet: 7,
            name: format!("f{n}"),
            node: NodeId::new(id(n), self.incarnations[n], address(n)),
            voters: (0..self.seats).map(|n| (id(n), address(n))).collect(),
            lease: LeaseTiming {
                span: SECOND * 6 / 10,
                drift_ppm: 1_000,
            },
            session: LeaseTiming {
                span: STAY,
                drift_ppm: 1_000,
            },
            gossip: GossipTiming::default(),
            schema: schema(),
            seed: self.rng.u64(..),
        };
        let held = self.disks.get(n).map(|d| RecoveredState {
            persistent: d.clone(),
            initial_fields: fields("zone", 4),
        });
        self.all[n] = Some(FleetNode::new(setup, held, self.now).expect("what it held"));
    }

    fn act(&mut self, n: usize, act: impl FnOnce(&mut FleetNode, i64, &mut Vec<Command>)) {
        let mut out = Vec::new();
        let now = self.now;
        let Some(peer) = &mut self.all[n] else { return };
        act(peer, now, &mut out);
        self.carry_out(n, out);
    }

    fn carry_out(&mut self, n: usize, out: Vec<Command>) {
        let (now, mut then) = (self.now, Vec::new());
        let Some((from, root)) = self.all[n]
            .as_ref()
            .map(|p| (p.setup().node.clone(), p.leader()))
        else {
            return;
        };
        for command in out {
            let command = match command {
                Command::SendToVoter { to, bytes } => Command::Send {
                    to: address(to as usize - 1),
                    body: MessageBody::Consensus(bytes),
                },
                command => command,
            };
            match command {
                Command::SendToVoter { .. } => {}
                Command::Send { to, body } => {
                    let to = (0..self.all.len())
                        .find(|n| address(*n) == to)
                        .expect("a known address");
                    if !self.cut.contains(&(n, to)) {
                        self.count += 1;
                        self.letters
                            .insert(self.count, (to, from.clone(), root, body));
                        let late = self.rng.i64(200..20_000);
                        self.mail.push(Reverse((now + late, self.count)));
                    }
                }
                Command::Persist {
                    record,
                    snapshot: whole,
                } => {
                    let done = if self.full && n == 0 {
                        Err("no room".to_string())
                    } else {
                        Ok(())
                    };
                    match whole {
                        _ if done.is_err() => {}
                        Some(whole) => {
                            self.disks[n] = PersistentState {
                                snapshot: Some(whole),
                                records: Vec::new(),
                            }
                        }
                        None => self.disks[n].records.push(record),
                    }
                    let peer = self.all[n].as_mut().expect("it runs");
                    peer.on_persisted(now, done, &mut then);
                }
                Command::Respond { request, outcome } => {
                    self.answers.insert(request, outcome);
                }
                Command::Notify(note) => self.notes.push((n, note)),
            }
        }
        if !then.is_empty() {
            self.carry_out(n, then);
        }
    }

    fn run(&mut self, seconds: f64) {
        let until = self.now + (seconds * SECOND as f64) as i64;
        while self.now < until {
            let tick = self
                .all
                .iter()
                .flatten()
                .map(FleetNode::next_deadline)
                .min()
                .unwrap_or(until);
            let mail = self.mail.peek().map_or(until, |m| m.0 .0);
            self.now = tick.min(mail).min(until).max(self.now);
            while let Some(Reverse((_, id))) =
                self.mail.peek().copied().filter(|m| m.0 .0 <= self.now)
            {
                self.mail.pop();
                let (to, from, root, body) = self.letters.remove(&id).expect("a letter");
                self.act(to, |p, now, out| p.on_message(now, &from, root, body, out));
            }
            for n in 0..self.all.len() {
                if self.all[n]
                    .as_ref()
                    .is_some_and(|p| p.next_deadline() <= self.now)
                {
                    self.act(n, |p, now, out| p.tick(now, out));
                }
            }
        }
    }

    /// The log, as the seat that knows most of it has it.
    fn log(&self) -> &Log {
        let all = self.all.iter().flatten().filter_map(FleetNode::agreed);
        all.max_by_key(|a| a.0).expect("a seat that runs").1
    }

    fn root(&self) -> usize {
        self.all
            .iter()
            .position(|p| p.as_ref().is_some_and(|p| p.log().is_some()))
            .expect("a root")
    }

    fn propose(&mut self, request: u64, base: u64, fields: Fields) {
        let entry = LogEntry::Propose {
            id: request,
            base: Version(base),
            fields,
            reason: "a test".into(),
        };
        let root = self.root();
        self.act(root, |p, now, out| p.request(now, request, entry, out));
    }

    /// The version in force at each, as far as it acts; none: it has no lease, or no stay.
    fn force(&self) -> Vec<Option<u64>> {
        let one = |p: &Option<FleetNode>| {
            let acting = p.as_ref()?.active_state(self.now);
            let state = acting
                .state
                .filter(|_| acting.lease > 0 && acting.session > 0)?;
            Some(state.in_force.version.0).filter(|_| state.next.is_none())
        };
        self.all.iter().map(one).collect()
    }

    fn isolate(&mut self, n: usize) {
        let others: Vec<usize> = (0..self.all.len()).filter(|o| *o != n).collect();
        others
            .into_iter()
            .for_each(|o| self.cut.extend([(n, o), (o, n)]));
    }
}

#[test]
fn a_fleet_that_knows_only_its_seat_finds_itself_and_changes() {
    let mut f = Fleet::new(20);
    f.run(5.0);
    assert_eq!(f.force(), vec![Some(1); 20]);
    assert!(
        f.all.iter().flatten().all(|p| p.others().count() == 19),
        "each knows all"
    );
    assert_eq!(f.log().roster().count(), 20);
    f.propose(9, 1, fields("cell", 2));
    f.run(2.0);
    assert_eq!(f.answers[&9], Ok(ApplyOutcome::Announced(Version(2))));
    assert_eq!(f.force(), vec![Some(2); 20], "{:?}", f.notes.last());
    // Told again it is the same; made from another version, or by one that keeps no log, it is refused.
    f.propose(9, 1, fields("cell", 2));
    f.propose(10, 1, fields("all", 2));
    f.run(0.1);
    assert_eq!(f.answers[&9], Ok(ApplyOutcome::Duplicate(Version(2))));
    assert_eq!(
        f.answers[&10],
        Err(RequestRejection::Log(EntryRejection::StaleBase {
            latest: Version(2)
        }))
    );
    let entry = LogEntry::Abandon {
        version: Version(2),
    };
    f.act(3, |p, now, out| p.request(now, 11, entry, out));
    assert_eq!(
        f.answers[&11],
        Err(RequestRejection::NotLeader { leader: address(0) })
    );
}

#[test]
fn one_cut_off_holds_up_strict_changes_alone_until_its_stay_is_out() {
    let mut f = Fleet::new(6);
    f.run(5.0);
    f.isolate(4);
    f.run(3.0);
    let acting = |f: &Fleet| {
        let a = f.all[4]
            .as_ref()
            .map(|p| p.active_state(f.now))
            .expect("it runs");
        (
            a.lease > 0,
            a.session > 0,
            a.state.map(|s| s.in_force.version.0),
        )
    };
    assert_eq!(
        acting(&f),
        (false, true, Some(1)),
        "it goes on with strict fields"
    );
    f.propose(1, 1, fields("zone", 2));
    f.run(3.0);
    assert_eq!(
        f.force()[..4],
        vec![Some(2); 4],
        "a joint field does not wait for it"
    );
    f.propose(2, 2, fields("cell", 2));
    f.run(20.0);
    assert_eq!(
        f.log().state().in_force.version,
        Version(2),
        "a strict one does"
    );
    let waits = f.all[0]
        .as_ref()
        .and_then(|p| p.change_blockers(f.now))
        .expect("a change goes on");
    assert_eq!(
        waits.sessions.iter().map(|m| m.id).collect::<Vec<_>>(),
        [id(4)]
    );
    assert!(!waits.leases);
    f.run(45.0);
    assert_eq!(f.force()[..4], vec![Some(3); 4], "its stay is out by now");
    assert_eq!(acting(&f), (false, false, Some(1)));
    // It hears the seat alone, which hears it: no stay before it has come as far.
    f.cut
        .retain(|(a, b)| !(*a == 4 && *b == 0 || *a == 0 && *b == 4));
    f.run(5.0);
    let (_, stay, version) = acting(&f);
    assert!(
        !stay || version == Some(3),
        "it must not act on version 1 again"
    );
    f.cut.clear();
    f.run(5.0);
    assert_eq!(f.force(), vec![Some(3); 6]);
}

#[test]
fn one_killed_and_back_under_its_name_is_waited_for_no_more() {
    let mut f = Fleet::new(6);
    f.run(5.0);
    f.all[3] = None;
    f.run(3.0);
    f.propose(1, 1, fields("cell", 4));
    f.run(5.0);
    assert_eq!(f.log().state().in_force.version, Version(1));
    f.start(3);
    f.run(5.0);
    assert_eq!(f.force(), vec![Some(2); 6]);
    // One that leaves is not waited for either, and one that an operator dismisses.
    f.act(1, |p, now, out| p.leave(now, out));
    f.run(0.1);
    f.all[1] = None;
    f.run(2.0);
    assert_eq!(f.log().roster().count(), 5);
    f.all[5] = None;
    f.run(3.0);
    f.propose(2, 2, fields("all", 4));
    f.run(5.0);
    assert_eq!(f.log().state().in_force.version, Version(2));
    let member = f
        .log()
        .roster()
        .find(|(m, _)| m.id == id(5))
        .map(|(m, _)| m)
        .expect("it is on the roster");
    f.act(0, |p, now, out| {
        p.request(now, 3, LogEntry::Leave { member }, out)
    });
    f.run(3.0);
    assert_eq!(f.force()[2..5], vec![Some(3); 3]);
}

#[test]
fn a_change_that_is_stuck_while_calls_are_refused_for_it_is_given_up() {
    let mut f = Fleet::new(5);
    f.run(5.0);
    f.propose(1, 1, fields("cell", 4));
    // Until it is joint at the seat; then one front end is lost.
    while f.log().state().revision.0 < 3 {
        f.run(0.002);
    }
    f.isolate(2);
    f.run(14.0);
    assert!(
        f.notes
            .iter()
            .any(|(n, note)| *n == 0
                && matches!(note, FleetEvent::ChangeAbandoned { version: 2, .. }))
    );
    f.cut.clear();
    f.run(5.0);
    assert_eq!(f.force(), vec![Some(1); 5]);
    f.propose(2, 1, fields("cell", 4));
    f.run(3.0);
    assert_eq!(f.force(), vec![Some(3); 5]);
}

#[test]
fn a_seat_that_starts_again_in_a_strict_change_goes_on_with_it() {
    for step in [2, 3] {
        let mut f = Fleet::new(6);
        f.run(5.0);
        f.propose(1, 1, fields("cell", 4));
        while f.log().state().revision.0 < step {
            f.run(0.001);
        }
        // All have told it how far they are, and it forgets that.
        f.run(0.02);
        f.all[0] = None;
        f.run(0.5);
        f.start(0);
        f.run(5.0);
        assert_eq!(f.force(), vec![Some(2); 6], "killed at step {step}");
    }
}

#[test]
fn a_seat_that_starts_again_waits_for_whom_its_disk_knows() {
    let mut f = Fleet::new(5);
    f.run(5.0);
    f.isolate(4);
    f.all[0] = None;
    f.run(3.0);
    assert!(
        f.force().iter().skip(1).all(Option::is_none),
        "nobody holds a lease without the seat"
    );
    f.start(0);
    f.run(3.0);
    f.propose(1, 1, fields("cell", 4));
    f.run(20.0);
    assert_eq!(
        f.log().state().in_force.version,
        Version(1),
        "it knows of the one that it has not heard since"
    );
    f.cut.clear();
    f.run(5.0);
    assert_eq!(f.force(), vec![Some(2); 5]);
}

#[test]
fn a_disk_that_is_full_stops_changes_and_nothing_else() {
    let mut f = Fleet::new(5);
    f.run(5.0);
    f.full = true;
    f.propose(1, 1, fields("cell", 4));
    f.propose(2, 1, fields("all", 4));
    f.run(3.0);
    for n in [1, 2] {
        assert!(
            matches!(&f.answers[&n], Err(RequestRejection::Storage(why)) if why == "no room"),
            "{n}"
        );
    }
    assert!(f
        .notes
        .iter()
        .any(|(n, note)| *n == 0 && matches!(note, FleetEvent::StorageFailed { .. })));
    f.run(30.0);
    assert_eq!(f.force(), vec![Some(1); 5], "leases and stays go on");
    f.full = false;
    f.start(0);
    f.run(5.0);
    f.propose(3, 1, fields("cell", 4));
    f.run(4.0);
    assert_eq!(f.force(), vec![Some(2); 5]);
}

#[test]
fn most_killed_in_a_change_and_back_from_nothing_find_one_version() {
    for seed in 0..20 {
        let mut f = Fleet::new(10);
        f.rng = fastrand::Rng::with_seed(seed);
        f.run(5.0);
        f.propose(1, 1, fields("cell", 2));
        let wait = f.rng.f64() * 0.5;
        f.run(wait);
        let killed: Vec<usize> = (0..10).filter(|_| f.rng.f64() < 0.7).collect();
        killed.iter().for_each(|n| f.all[*n] = None);
        let wait = f.rng.f64() * 2.0;
        f.run(wait);
        killed.iter().for_each(|n| f.start(*n));
        f.run(15.0);
        let version = f.log().state().in_force.version.0;
        assert_eq!(
            f.force(),
            vec![Some(version); 10],
            "seed {seed}: {:?}",
            f.log().state()
        );
        assert!(!f.log().has_open_changes(), "seed {seed}");
    }
}

#[test]
fn with_three_seats_the_loss_of_any_one_stops_nothing() {
    for lost in 0..3 {
        let mut f = Fleet::with_seats(9, 3);
        f.run(6.0);
        assert_eq!(f.force(), vec![Some(1); 9]);
        f.all[lost] = None;
        f.run(6.0);
        let others = |f: &Fleet| {
            let mut all = f.force();
            all.remove(lost);
            all
        };
        assert_eq!(others(&f), vec![Some(1); 8], "seat {lost} is gone");
        f.propose(1, 1, fields("zone", 2));
        f.run(3.0);
        assert_eq!(
            others(&f),
            vec![Some(2); 8],
            "a joint field, without seat {lost}"
        );
        f.start(lost);
        f.run(6.0);
        f.propose(2, 2, fields("cell", 2));
        f.run(4.0);
        assert_eq!(f.force(), vec![Some(3); 9], "a strict one, with it back");
    }
}

#[test]
fn a_root_that_is_cut_off_acts_on_nothing_that_the_others_have_left() {
    let mut f = Fleet::with_seats(9, 3);
    f.run(6.0);
    let old = f.root();
    f.isolate(old);
    f.run(8.0);
    let acting = f.all[old]
        .as_ref()
        .map(|p| p.active_state(f.now))
        .map(|a| (a.lease > 0, a.session > 0));
    assert_eq!(
        acting,
        Some((false, true)),
        "its lease is out, its stay is not"
    );
    let mut new = f
        .all
        .iter()
        .enumerate()
        .filter(|(n, p)| *n != old && p.as_ref().is_some_and(|p| p.log().is_some()));
    let new = new.next().expect("another root").0;
    let entry = LogEntry::Propose {
        id: 5,
        base: Version(1),
        fields: fields("cell", 2),
        reason: String::new(),
    };
    f.act(new, |p, now, out| p.request(now, 5, entry, out));
    f.run(20.0);
    assert_eq!(
        f.log().state().in_force.version,
        Version(1),
        "a strict change waits for the one that was the root"
    );
    f.cut.clear();
    f.run(8.0);
    assert_eq!(f.force(), vec![Some(2); 9]);
}

impl Fleet {
    fn replace(&mut self, request: u64, new: usize, instead: usize) {
        let entry = LogEntry::BeginVoterReplacement {
            new: id(new),
            address: address(new),
            replaced: id(instead),
        };
        let root = self.root();
        self.act(root, |p, now, out| p.request(now, request, entry, out));
    }

    fn seats_now(&self) -> Vec<usize> {
        self.log()
            .voters()
            .keys()
            .map(|id| *id as usize - 1)
            .collect()
    }
}

#[test]
fn a_seat_is_replaced_while_another_is_dead_and_the_new_ones_carry_on_alone() {
    let mut f = Fleet::with_disks(9, 3, 6);
    f.run(6.0);
    // One is dead, and is replaced; then so is another that lives, the one that leads.
    let dead = (0..3).find(|n| *n != f.root()).expect("two others");
    f.all[dead] = None;
    f.run(3.0);
    f.replace(1, 3, dead);
    f.run(5.0);
    assert_eq!(f.answers[&1], Ok(ApplyOutcome::Voters));
    assert!(
        f.seats_now().contains(&3) && !f.seats_now().contains(&dead),
        "{:?}",
        f.seats_now()
    );
    for new in [4, 5] {
        let old = f.root();
        f.replace(new as u64, new, old);
        f.run(6.0);
        assert!(
            f.seats_now().contains(&new) && !f.seats_now().contains(&old),
            "{:?}",
            f.seats_now()
        );
        assert_ne!(f.root(), old, "who is to go hands over first");
    }
    // Whoever is no seat any more may go: the others carry on, also from their disks.
    let seats = f.seats_now();
    (0..3)
        .filter(|n| !seats.contains(n))
        .for_each(|n| f.all[n] = None);
    f.propose(7, 1, fields("zone", 2));
    f.run(3.0);
    assert_eq!(f.log().state().in_force.version, Version(2));
    seats.iter().for_each(|n| f.all[*n] = None);
    f.run(1.0);
    seats.iter().for_each(|n| f.start(*n));
    f.run(6.0);
    assert_eq!(
        f.seats_now(),
        seats,
        "a seat goes on from its disk, whatever its settings say"
    );
    f.propose(8, 2, fields("zone", 3));
    f.run(5.0);
    let force = f.force();
    assert!(seats.iter().all(|n| force[*n] == Some(3)), "{force:?}");
}

#[test]
fn the_only_seat_is_replaced() {
    let mut f = Fleet::with_disks(4, 1, 2);
    f.run(5.0);
    f.replace(1, 1, 0);
    f.run(5.0);
    assert_eq!((f.seats_now(), f.root()), (vec![1], 1));
    f.all[0] = None;
    f.propose(2, 1, fields("zone", 2));
    f.run(3.0);
    assert_eq!(f.force()[1..], [Some(2); 3]);
}

#[test]
fn one_that_does_not_learn_the_log_becomes_no_seat() {
    let mut f = Fleet::with_disks(6, 3, 3);
    f.run(6.0);
    // It was started without a file.
    f.replace(1, 4, 0);
    f.replace(2, 5, 1);
    f.run(5.0);
    assert_eq!(
        f.answers[&2],
        Err(RequestRejection::Log(EntryRejection::ReplacementInProgress)),
        "one at a time"
    );
    f.propose(3, 1, fields("zone", 2));
    f.run(4.0);
    assert_eq!(
        f.force(),
        vec![Some(2); 6],
        "one that learns holds nothing up"
    );
    f.run(30.0);
    assert!(f.notes.iter().any(
        |(_, note)| matches!(note, FleetEvent::VoterReplacementAbandoned { new } if *new == id(4))
    ));
    assert_eq!(
        (f.seats_now(), f.log().voter_replacement()),
        (vec![0, 1, 2], None)
    );
    f.replace(4, 0, 1);
    f.replace(5, 4, 4);
    f.run(0.1);
    assert_eq!(
        f.answers[&4],
        Err(RequestRejection::Log(EntryRejection::AlreadyVoter))
    );
    assert_eq!(
        f.answers[&5],
        Err(RequestRejection::Log(EntryRejection::NotVoter))
    );
}
