//! A fleet of three voters in virtual time that agrees on one entry of each kind, and what each of them stores.
//!
//! Nothing is lost or late and all that is random is seeded: the same program stores the same bytes each time.

pub use crate::entries::{address, entries, first_fields, function, with_attempts};
use std::collections::{BTreeMap, VecDeque};
use tansy_agreement::lease::LeaseTiming;
use tansy_agreement::log::LogEntry;
use tansy_consensus::{Effect, PersistentState, Replica, ReplicaConfig};

/// Time between two looks at every voter, microseconds.
const STEP: i64 = 10_000;
/// Looks within which an entry has to be agreed on.
const MAX_ROUNDS: usize = 1000;
/// The voters that the fleet begins with, the one that takes over from voter 3, and the one that does not.
const ALL: u64 = 5;

/// One write of a voter: a record, and the whole that takes the place of all before it.
pub type Write = (Vec<u8>, Option<Vec<u8>>);

/// How a voter of the fleet is set up.
pub fn setup(me: u64, incarnation: u64) -> ReplicaConfig {
    ReplicaConfig {
        id: me,
        incarnation,
        voters: (1..=3).map(|n| (n, address(n))).collect(),
        timing: LeaseTiming {
            span: 600_000,
            drift_ppm: 1000,
        },
        initial_fields: first_fields(),
        seed: me,
    }
}

/// Voters in virtual time.
pub struct Fleet {
    now: i64,
    voters: BTreeMap<u64, Replica>,
    writes: BTreeMap<u64, Vec<Write>>,
    messages: VecDeque<(u64, u64, Vec<u8>)>,
    applied: Option<u64>,
    proposed: Option<u64>,
}

impl Fleet {
    /// Voters that go on from what each of them stores.
    pub fn new(stored: &BTreeMap<u64, PersistentState>, incarnation: u64) -> Fleet {
        let voter = |(me, saved): (&u64, &PersistentState)| {
            let voter = Replica::new(setup(*me, incarnation), saved, 0);
            (*me, voter.expect("what it stored is read"))
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

    /// A voter.
    pub fn voter(&self, me: u64) -> &Replica {
        &self.voters[&me]
    }

    /// What a voter wrote so far.
    pub fn writes(&self, me: u64) -> &[Write] {
        &self.writes[&me]
    }

    /// The voter that may act as the fleet's leader.
    pub fn leader(&self) -> Option<u64> {
        let mut all = self.voters.iter();
        all.find_map(|(me, v)| v.leader_lease(self.now).map(|_| *me))
    }

    /// Has the fleet agree on an entry, and every voter get to know it.
    pub fn agree(&mut self, entry: LogEntry) {
        self.run("a leader", |fleet| fleet.leader().is_some());
        if let LogEntry::EnterJointConsensus { new, .. } = entry {
            self.run("one that has caught up", |fleet| {
                let leader = fleet.leader().map(|l| fleet.voter(l));
                leader.is_some_and(|l| l.is_caught_up(new))
            });
        }
        let text = format!("{entry:?}");
        let leader = self.leader().expect("it was there");
        let mut number = None;
        self.act(leader, |voter, _, effects| {
            number = voter.propose(entry, effects);
        });
        self.proposed = Some(number.expect("the leader takes it"));
        self.run(&text, |fleet| fleet.applied == fleet.proposed);
        let applied = self.voter(leader).applied();
        self.run(&text, |fleet| {
            let log = fleet.voter(leader).log().expect("it was begun");
            let mut voters = log
                .voters()
                .keys()
                .copied()
                .chain(log.voter_replacement().map(|s| s.new));
            voters.all(|v| fleet.voters.get(&v).is_none_or(|v| v.applied() >= applied))
        });
    }

    fn run(&mut self, wanted: &str, done: impl Fn(&Fleet) -> bool) {
        for _ in 0..MAX_ROUNDS {
            if done(self) {
                return;
            }
            self.now += STEP;
            let all: Vec<u64> = self.voters.keys().copied().collect();
            for me in all {
                if self.voters[&me].next_deadline() <= self.now {
                    self.act(me, Replica::tick);
                }
            }
            while let Some((from, to, bytes)) = self.messages.pop_front() {
                self.act(to, |voter, _, effects| {
                    voter.on_message(from, &bytes, effects)
                });
            }
        }
        panic!("not within {MAX_ROUNDS} looks: {wanted}");
    }

    fn act(&mut self, me: u64, act: impl FnOnce(&mut Replica, i64, &mut Vec<Effect>)) {
        let Some(voter) = self.voters.get_mut(&me) else {
            // It does not run: what is sent to it is lost.
            return;
        };
        let mut effects = Vec::new();
        act(voter, self.now, &mut effects);
        let mut at = 0;
        while at < effects.len() {
            match effects[at].clone() {
                Effect::Send { to, bytes } => {
                    self.messages.push_back((me, to, bytes));
                }
                Effect::Persist {
                    record,
                    snapshot: whole,
                } => {
                    self.writes.entry(me).or_default().push((record, whole));
                    voter.on_persisted(true, &mut effects);
                }
                Effect::Applied {
                    proposal: mine,
                    entry,
                    outcome,
                } => {
                    assert!(outcome.is_ok(), "{entry:?}: {outcome:?}");
                    self.applied = mine.or(self.applied);
                }
                Effect::UnknownEntry => panic!("voter {me} does not know an entry"),
            }
            at += 1;
        }
    }
}

/// The fleet after all entries.
pub fn recorded() -> Fleet {
    let stored = (1..=ALL)
        .map(|me| (me, PersistentState::default()))
        .collect();
    let mut fleet = Fleet::new(&stored, 1);
    entries().into_iter().for_each(|e| fleet.agree(e));
    fleet
}
