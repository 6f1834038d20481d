//! The agreed log of a fleet, kept by a few front ends, the seats: one, three, five or seven.
//!
//! Order among seats is `raft`'s (the library of that name, which does no I/O). What is ours: the form in which messages
//! travel and records are held, the log that entries make, and the **right**: until when this seat may act as the fleet's
//! root. It lasts from before a round of its leadership that a quorum answered, and there is none before an entry of its own
//! term is applied here, so that whatever the one before it entered after a check is known by whoever checks next. A new root
//! waits one lease before a step: the quorum that elected it met the one that answered the last root.
//!
//! [`Seats`] takes time, messages and what became of records, and gives [`Out`]s, in order.

mod mem;
mod wire;

use mem::Mem;
use raft::eraftpb::{HardState, MessageType};
use raft::{Config, RawNode, ReadOnlyOption, StateRole};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use tansy_agree::lease::{Terms, Time};
use tansy_agree::log::{Applied, Entry, Log, Refused};
use tansy_agree::rule::Fields;
use wire::{Ent, Snap};

/// Time between two ticks, microseconds.
const TICK: Time = 50_000;
/// Ticks of silence after which a seat stands for election, at least; at most twice as many.
const ELECTION: usize = 10;
/// Ticks between two rounds of a leader.
const ROUND: usize = 2;
/// Rounds for the right in a lease's length.
const ASKS_A_SPAN: i64 = 4;
/// Entries that stay in memory after they were applied, for seats that lag a little.
const KEEP: u64 = 256;
/// Records after which the whole takes their place on disk.
const WHOLE_EVERY: u64 = 256;
/// Rounds that may be unanswered.
const ROUNDS: usize = 32;

/// What a disk holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Saved {
    /// The whole as it was once.
    pub whole: Option<Vec<u8>>,
    /// Records after it, in their order.
    pub records: Vec<Vec<u8>>,
}

/// What a disk holds can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable {
    /// Which record, from 1; 0 is the whole.
    pub record: usize,
    /// Why.
    pub why: String,
}

impl std::fmt::Display for Unreadable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (n, why) = (self.record, &self.why);
        write!(f, "record {n} of the seat's file can't be read: {why}; restore the file, or start the seat anew without it")
    }
}
impl std::error::Error for Unreadable {}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum Record {
    Ready { hard: Option<(u64, u64, u64)>, entries: Vec<Ent>, snapshot: Option<Snap> },
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Whole {
    hard: (u64, u64, u64),
    base: (u64, u64),
    entries: Vec<Ent>,
    latest: Snap,
}

/// What stands in an entry of the order.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Said {
    /// The fields that the fleet begins with; the first of these counts.
    Begin(Fields),
    /// An entry of the log, with its proposer's seat, process and number.
    Entry(u64, u64, u64, Entry),
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// Send to another seat. It may be lost, late or doubled.
    Send {
        /// Which seat.
        to: u64,
        /// What.
        bytes: Vec<u8>,
    },
    /// Hold a record, then call [`Seats::held`]; in order. With `whole`, that takes the place of all before it once held.
    Hold {
        /// The record.
        record: Vec<u8>,
        /// All that there is, this record included.
        whole: Option<Vec<u8>>,
    },
    /// An entry was agreed on and applied.
    Applied {
        /// The number that it was proposed with here; none: by another, or by an earlier process.
        mine: Option<u64>,
        /// The entry.
        entry: Entry,
        /// What it did.
        outcome: Result<Applied, Refused>,
    },
}

/// What a seat is made of.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Which of the seats it is.
    pub me: u64,
    /// Its process; a later one has a larger number.
    pub incarnation: u64,
    /// All of them, itself among them.
    pub seats: Vec<u64>,
    /// Of leases.
    pub terms: Terms,
    /// The fields that a fleet which begins has first.
    pub first: Fields,
    /// Of its random choices.
    pub seed: u64,
}

/// One seat.
pub struct Seats {
    setup: Setup,
    /// The seats in an order that all have; the library knows each by its place in it, from 1.
    order: Vec<u64>,
    me: u64,
    node: RawNode<Mem>,
    log: Option<Log>,
    applied: u64,
    /// Of the last applied entry.
    term: u64,
    next_tick: Time,
    next_round: Time,
    /// Rounds of its leadership that wait for a quorum: number and when they began.
    rounds: VecDeque<(u64, Time)>,
    round: u64,
    until: Option<Time>,
    /// Records that the disk has not answered for, with what may be sent once it has.
    held: VecDeque<(u64, Vec<Vec<u8>>, Vec<u64>)>,
    records: u64,
    next_number: u64,
    began: bool,
    broken: bool,
    rng: fastrand::Rng,
    timeout_term: Option<(u64, StateRole)>,
}

impl Seats {
    /// A seat that goes on from what its disk holds.
    pub fn new(setup: Setup, saved: &Saved, now: Time) -> Result<Seats, Unreadable> {
        let bad = |record: usize| move |e: postcard::Error| Unreadable { record, why: e.to_string() };
        let mut order = setup.seats.clone();
        order.sort();
        order.dedup();
        let me = order.iter().zip(1..).find(|(n, _)| **n == setup.me).map(|p| p.1);
        let me = me.ok_or_else(|| Unreadable { record: 0, why: "it is none of the seats".into() })?;
        let voters: Vec<u64> = order.iter().zip(1..).map(|p| p.1).collect();
        let mut mem = Mem { voters: voters.clone(), ..Mem::default() };
        mem.latest.voters = voters;
        if let Some(bytes) = &saved.whole {
            let whole: Whole = postcard::from_bytes(bytes).map_err(bad(0))?;
            mem.hard = hard(whole.hard);
            (mem.base, mem.latest) = (whole.base, whole.latest);
            mem.entries = whole.entries.into_iter().map(wire::of_ent).collect();
        }
        for (n, bytes) in saved.records.iter().enumerate() {
            let Record::Ready { hard: h, entries, snapshot } =
                postcard::from_bytes(bytes).map_err(bad(n + 1))?;
            if let Some(s) = snapshot {
                mem.restore(s);
            }
            mem.append(&entries.into_iter().map(wire::of_ent).collect::<Vec<_>>());
            if let Some(h) = h {
                mem.hard = hard(h);
            }
        }
        // A commit is told without being held; what is known of it may be behind, and never past the last entry.
        mem.hard.commit = mem.hard.commit.clamp(mem.latest.index, mem.last());
        let applied = mem.latest.index;
        let log = match mem.latest.log.is_empty() {
            true => None,
            false => Some(postcard::from_bytes(&mem.latest.log).map_err(bad(0))?),
        };
        let config = Config {
            id: me,
            election_tick: ELECTION,
            heartbeat_tick: ROUND,
            applied,
            max_size_per_msg: 1 << 20,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            read_only_option: ReadOnlyOption::Safe,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let term = mem.latest.term;
        let why = |e: raft::Error| Unreadable { record: 0, why: e.to_string() };
        let node = RawNode::new(&config, mem, &logger).map_err(why)?;
        let rng = fastrand::Rng::with_seed(setup.seed);
        let mut seats = Seats {
            setup,
            order,
            me,
            node,
            log,
            applied,
            term,
            next_tick: now,
            next_round: now,
            rounds: VecDeque::new(),
            round: 0,
            until: None,
            held: VecDeque::new(),
            records: saved.records.len() as u64,
            next_number: 1,
            began: false,
            broken: false,
            rng,
            timeout_term: None,
        };
        seats.draw();
        if seats.setup.seats.len() == 1 {
            // Nobody to wait for.
            let _ = seats.node.campaign();
        }
        Ok(seats)
    }

    /// The log as far as it is known to be agreed on here; none: the fleet has not begun.
    pub fn log(&self) -> Option<&Log> {
        self.log.as_ref()
    }

    /// How many entries were applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The seat that leads, as far as this one knows, and the term of that.
    pub fn leader(&self) -> Option<(u64, u64)> {
        Some((self.node.raft.term, seat(&self.order, self.node.raft.leader_id)?))
    }

    /// Until when it may act as the fleet's root; none: it may not.
    pub fn right(&self, now: Time) -> Option<Time> {
        let leads = self.node.raft.state == StateRole::Leader && self.log.is_some();
        self.until.filter(|u| leads && *u > now && self.term == self.node.raft.term)
    }

    /// When [`Seats::tick`] has something to do.
    pub fn next(&self) -> Time {
        if self.broken && self.setup.seats.len() > 1 {
            return Time::MAX;
        }
        self.next_tick
    }

    /// What time brings.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Out>) {
        if self.broken && self.setup.seats.len() > 1 {
            return;
        }
        while now >= self.next_tick {
            self.node.tick();
            self.draw();
            // After a stop of the process the time that passed is one tick, not many: the others have their own clocks.
            self.next_tick = if now - self.next_tick > 4 * TICK { now + TICK } else { self.next_tick + TICK };
        }
        if self.node.raft.state != StateRole::Leader {
            self.rounds.clear();
            self.until = None;
        } else if now >= self.next_round {
            self.next_round = now + self.setup.terms.span / ASKS_A_SPAN;
            if self.rounds.len() < ROUNDS && self.node.raft.commit_to_current_term() {
                self.round += 1;
                self.rounds.push_back((self.round, now));
                self.node.read_index(self.round.to_be_bytes().to_vec());
            } else if self.rounds.len() >= ROUNDS {
                self.rounds.pop_front();
            }
        }
        self.collect(out);
    }

    /// Takes a message of another seat.
    pub fn hear(&mut self, bytes: &[u8], out: &mut Vec<Out>) {
        if self.broken {
            return;
        }
        let Some(m) = wire::read(bytes, self.me, &self.node.store().voters) else { return };
        let last = self.node.raft.raft_log.last_index();
        let committed = self.node.raft.raft_log.committed;
        // What contradicts the log here: its disk lost what it had acknowledged, or the other's did.
        let differs = |e: &raft::eraftpb::Entry| {
            e.index <= committed && self.node.raft.raft_log.term(e.index).is_ok_and(|t| t != e.term)
        };
        let past = m.get_msg_type() == MessageType::MsgHeartbeat && m.commit > last;
        if past || m.entries.iter().any(differs) {
            return;
        }
        // Others end with an error that says that nothing was done.
        let _ = self.node.step(m);
        self.draw();
        self.collect(out);
    }

    /// Proposes an entry, where it leads; its number, by which it is known when it is applied. None: it does not lead.
    pub fn propose(&mut self, entry: Entry, out: &mut Vec<Out>) -> Option<u64> {
        let number = self.next_number;
        let said = Said::Entry(self.setup.me, self.setup.incarnation, number, entry);
        self.say(&said).then(|| {
            self.next_number += 1;
            self.collect(out);
            number
        })
    }

    fn say(&mut self, said: &Said) -> bool {
        let leads = self.node.raft.state == StateRole::Leader && !self.broken;
        let bytes = postcard::to_stdvec(said).unwrap_or_default();
        leads && self.node.propose(Vec::new(), bytes).is_ok()
    }

    /// The first record that the disk was given is held, or can't be. Then this seat takes part no more.
    pub fn held(&mut self, done: bool, out: &mut Vec<Out>) {
        if !done {
            self.broken = true;
            return;
        }
        let Some((number, messages, to)) = self.held.pop_front() else { return };
        let order = &self.order;
        let sent = messages.into_iter().zip(to);
        out.extend(sent.filter_map(|(bytes, to)| Some(Out::Send { to: seat(order, to)?, bytes })));
        if !self.broken {
            self.node.on_persist_ready(number);
            self.collect(out);
        }
    }

    /// Whether its disk failed.
    pub fn broken(&self) -> bool {
        self.broken
    }

    /// Election time-outs by our own random numbers, drawn anew with each term and part in it.
    fn draw(&mut self) {
        let now = (self.node.raft.term, self.node.raft.state);
        if self.timeout_term != Some(now) {
            self.timeout_term = Some(now);
            let ticks = ELECTION + self.rng.usize(0..ELECTION);
            self.node.raft.set_randomized_election_timeout(ticks);
        }
    }

    /// Carries out what the library wants.
    fn collect(&mut self, out: &mut Vec<Out>) {
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            send(&self.order, ready.take_messages(), out);
            let mut snapshot = None;
            if !ready.snapshot().get_metadata().get_conf_state().voters.is_empty() {
                let snap = wire::snap(ready.snapshot());
                if let Ok(log) = postcard::from_bytes(&snap.log) {
                    (self.log, self.applied, self.term) = (Some(log), snap.index, snap.term);
                }
                self.node.mut_store().restore(snap.clone());
                snapshot = Some(snap);
            }
            let entries = ready.take_entries();
            self.node.mut_store().append(&entries);
            let hard = ready.hs().cloned();
            if let Some(h) = &hard {
                self.node.mut_store().hard = h.clone();
            }
            for state in ready.take_read_states() {
                let round = state.request_ctx.as_slice().try_into().map(u64::from_be_bytes).unwrap_or(0);
                let began = self.rounds.iter().find(|r| r.0 == round).map(|r| r.1);
                self.rounds.retain(|r| r.0 > round);
                if let Some(began) = began.filter(|_| state.index <= self.applied) {
                    let until = began.saturating_add(self.setup.terms.held(self.setup.terms.span));
                    self.until = Some(self.until.map_or(until, |u| u.max(until)));
                }
            }
            let committed = ready.take_committed_entries();
            let persisted = ready.take_persisted_messages();
            let number = ready.number();
            let writes = ready.must_sync() || snapshot.is_some() || !entries.is_empty();
            if writes {
                let hard = hard.map(|h| (h.term, h.vote, h.commit));
                let record =
                    Record::Ready { hard, entries: entries.iter().map(wire::ent).collect(), snapshot };
                let record = postcard::to_stdvec(&record).unwrap_or_default();
                self.records += 1;
                let whole = self.records.is_multiple_of(WHOLE_EVERY).then(|| self.whole());
                let to = persisted.iter().map(|m| m.to).collect();
                let messages = persisted.iter().map(wire::bytes).collect();
                self.held.push_back((number, messages, to));
                out.push(Out::Hold { record, whole });
                self.node.advance_append_async(ready);
            } else {
                // What follows on what is with the disk must not overtake it.
                match self.held.back_mut() {
                    Some((n, messages, to)) => {
                        *n = number;
                        messages.extend(persisted.iter().map(wire::bytes));
                        to.extend(persisted.iter().map(|m| m.to));
                        self.node.advance_append_async(ready);
                    }
                    None => {
                        send(&self.order, persisted, out);
                        self.node.advance_append_async(ready);
                        self.node.on_persist_ready(number);
                    }
                }
            }
            self.apply(committed, out);
            self.node.advance_apply();
        }
        if !self.began && self.log.is_none() && self.node.raft.state == StateRole::Leader {
            self.began = true;
            let first = Said::Begin(self.setup.first.clone());
            if self.say(&first) {
                self.collect(out);
            }
        }
    }

    fn apply(&mut self, entries: Vec<raft::eraftpb::Entry>, out: &mut Vec<Out>) {
        if entries.is_empty() {
            return;
        }
        for e in entries {
            (self.applied, self.term) = (e.index, e.term);
            match postcard::from_bytes(&e.data) {
                Ok(Said::Begin(fields)) if self.log.is_none() => self.log = Some(Log::new(fields)),
                Ok(Said::Entry(seat, incarnation, number, entry)) => {
                    let mine = (seat, incarnation) == (self.setup.me, self.setup.incarnation);
                    if let Some(log) = &mut self.log {
                        let outcome = log.apply(entry.clone());
                        out.push(Out::Applied { mine: mine.then_some(number), entry, outcome });
                    }
                }
                // The library's own entry at the start of a term is empty.
                Ok(Said::Begin(_)) | Err(_) => {}
            }
        }
        let log = self.log.as_ref().and_then(|l| postcard::to_stdvec(l).ok()).unwrap_or_default();
        let (index, term) = (self.applied, self.term);
        let mem = self.node.mut_store();
        if !log.is_empty() {
            (mem.latest.index, mem.latest.term, mem.latest.log) = (index, term, log);
            if mem.entries.len() as u64 > 2 * KEEP {
                mem.compact(KEEP);
            }
        }
    }

    /// All that there is, for the disk.
    fn whole(&self) -> Vec<u8> {
        let mem = self.node.store();
        let h = &mem.hard;
        let whole = Whole {
            hard: (h.term, h.vote, h.commit),
            base: mem.base,
            entries: mem.entries.iter().map(wire::ent).collect(),
            latest: mem.latest.clone(),
        };
        postcard::to_stdvec(&whole).unwrap_or_default()
    }
}

fn hard((term, vote, commit): (u64, u64, u64)) -> HardState {
    HardState { term, vote, commit, ..Default::default() }
}

/// The seat that the library knows by this place.
fn seat(order: &[u64], id: u64) -> Option<u64> {
    order.get(usize::try_from(id.checked_sub(1)?).ok()?).copied()
}

fn send(order: &[u64], messages: Vec<raft::eraftpb::Message>, out: &mut Vec<Out>) {
    let one = |m: &raft::eraftpb::Message| Some(Out::Send { to: seat(order, m.to)?, bytes: wire::bytes(m) });
    out.extend(messages.iter().filter_map(one));
}
