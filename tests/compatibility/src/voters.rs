//! A fleet of three voters in virtual time that commits entries of every kind, and the records that each voter stores.
//!
//! No message is lost or delayed, and random numbers are seeded, so that a version stores the same bytes in every run.

pub use crate::entries::{address, entries, function, initial_fields, with_attempts};
use std::collections::{BTreeMap, VecDeque};
use tansy_agreement::lease::LeaseTiming;
use tansy_agreement::log::LogEntry;
use tansy_consensus::{Effect, PersistentState, Replica, ReplicaConfig};

/// Virtual time between two rounds, microseconds.
const ROUND_US: i64 = 10_000;
/// Rounds within which an entry has to be committed.
const MAX_ROUNDS: usize = 1000;
/// Number of voters: three initial ones, the one that replaces voter 3, and the one whose replacement is cancelled.
const VOTERS: u64 = 5;

/// A write of a voter: a record, and a snapshot if it replaces all records before.
pub type Write = (Vec<u8>, Option<Vec<u8>>);

/// The configuration of a voter.
pub fn config(me: u64, incarnation: u64) -> ReplicaConfig {
    ReplicaConfig {
        id: me,
        incarnation,
        voters: (1..=3).map(|n| (n, address(n))).collect(),
        timing: LeaseTiming {
            span: 600_000,
            drift_ppm: 1000,
        },
        initial_fields: initial_fields(),
        seed: me,
    }
}

/// A fleet of voters in virtual time.
pub struct Fleet {
    now: i64,
    voters: BTreeMap<u64, Replica>,
    writes: BTreeMap<u64, Vec<Write>>,
    messages: VecDeque<(u64, u64, Vec<u8>)>,
    applied: Option<u64>,
    proposed: Option<u64>,
}

impl Fleet {
    /// Starts voters from their stored state.
    pub fn new(stored: &BTreeMap<u64, PersistentState>, incarnation: u64) -> Fleet {
        let voter = |(me, saved): (&u64, &PersistentState)| {
            let voter = Replica::new(config(*me, incarnation), saved, 0);
            (*me, voter.expect("valid stored state"))
        };
        Fleet {
            now: 0,
            voters: stored.iter().map(voter).collect(),
            writes: stored.keys().map(|me| (*me, Vec::new())).collect(),
            messages: VecDeque::new(),
            applied: None,
            proposed: None,
        }
    }

    /// The voter with this id.
    pub fn voter(&self, me: u64) -> &Replica {
        &self.voters[&me]
    }

    /// The writes of a voter so far.
    pub fn writes(&self, me: u64) -> &[Write] {
        &self.writes[&me]
    }

    /// The voter that holds the leader lease.
    pub fn leader(&self) -> Option<u64> {
        let mut all = self.voters.iter();
        all.find_map(|(me, v)| v.leader_lease(self.now).map(|_| *me))
    }

    /// Proposes an entry, and runs until it is committed and every voter has applied it.
    pub fn commit(&mut self, entry: LogEntry) {
        self.run("a leader", |fleet| fleet.leader().is_some());
        if let LogEntry::EnterJointConsensus { new, .. } = entry {
            self.run("a new voter that has caught up", |fleet| {
                let leader = fleet.leader().map(|l| fleet.voter(l));
                leader.is_some_and(|l| l.is_caught_up(new))
            });
        }
        let text = format!("{entry:?}");
        let leader = self.leader().expect("a leader");
        let mut number = None;
        self.step(leader, |voter, _, effects| {
            number = voter.propose(entry, effects);
        });
        self.proposed = Some(number.expect("the leader accepts the entry"));
        self.run(&text, |fleet| fleet.applied == fleet.proposed);
        let applied = self.voter(leader).applied();
        self.run(&text, |fleet| {
            let log = fleet.voter(leader).log().expect("a log");
            let mut voters = log
                .voters()
                .keys()
                .copied()
                .chain(log.voter_replacement().map(|s| s.new));
            voters.all(|v| fleet.voters.get(&v).is_none_or(|v| v.applied() >= applied))
        });
    }

    /// Runs rounds until a condition is true.
    fn run(&mut self, condition: &str, is_true: impl Fn(&Fleet) -> bool) {
        for _ in 0..MAX_ROUNDS {
            if is_true(self) {
                return;
            }
            self.now += ROUND_US;
            let all: Vec<u64> = self.voters.keys().copied().collect();
            for me in all {
                if self.voters[&me].next_deadline() <= self.now {
                    self.step(me, Replica::tick);
                }
            }
            while let Some((from, to, bytes)) = self.messages.pop_front() {
                self.step(to, |voter, _, effects| {
                    voter.on_message(from, &bytes, effects)
                });
            }
        }
        panic!("not within {MAX_ROUNDS} rounds: {condition}");
    }

    /// Runs a step of a voter, and carries out its effects.
    fn step(&mut self, me: u64, step: impl FnOnce(&mut Replica, i64, &mut Vec<Effect>)) {
        let Some(voter) = self.voters.get_mut(&me) else {
            // Messages to a voter that does not run are lost.
            return;
        };
        let mut effects = Vec::new();
        step(voter, self.now, &mut effects);
        let mut at = 0;
        while at < effects.len() {
            match effects[at].clone() {
                Effect::Send { to, bytes } => {
                    self.messages.push_back((me, to, bytes));
                }
                Effect::Persist { record, snapshot } => {
                    self.writes.entry(me).or_default().push((record, snapshot));
                    voter.on_persisted(true, &mut effects);
                }
                Effect::Applied {
                    proposal,
                    entry,
                    outcome,
                } => {
                    assert!(outcome.is_ok(), "{entry:?}: {outcome:?}");
                    self.applied = proposal.or(self.applied);
                }
                Effect::UnknownEntry => panic!("voter {me} does not know an entry"),
            }
            at += 1;
        }
    }
}

/// The fleet after it has committed all entries.
pub fn recorded() -> Fleet {
    let stored = (1..=VOTERS)
        .map(|me| (me, PersistentState::default()))
        .collect();
    let mut fleet = Fleet::new(&stored, 1);
    entries().into_iter().for_each(|e| fleet.commit(e));
    fleet
}
