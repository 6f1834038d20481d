//! The agreed log of a fleet, kept by a few front ends, the seats: one, three, five or seven.
//!
//! Order among seats is `raft`'s (the library of that name, which does no I/O). What is ours: the form in which messages
//! travel and records are held, the log that entries make, and the **right**: until when this seat may act as the fleet's
//! root. It lasts from before a round of its leadership that a quorum answered, and there is none before an entry of its own
//! term is applied here, so that whatever the one before it entered after a check is known by whoever checks next. A new root
//! waits one lease before a step: the quorum that elected it met the one that answered the last root.
//!
//! [`Replica`] takes time, messages and what became of records, and gives [`Effect`]s, in order.

mod mem;
mod wire;

use mem::Mem;
use raft::eraftpb::{EntryType, HardState, MessageType};
use raft::{Config, RawNode, ReadOnlyOption, StateRole};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use tansy_agreement::compatibility::Fields;
use tansy_agreement::lease::{LeaseTiming, Time};
use tansy_agreement::log::{ApplyOutcome, EntryRejection, Log, LogEntry};
use wire::{Conf, Ent, Snap};
use xxhash_rust::xxh3::xxh3_64;

/// Time between two ticks, microseconds.
const TICK: Time = 50_000;
/// Ticks of silence after which a seat stands for election, at least; at most twice as many.
const ELECTION: usize = 10;
/// Ticks between two rounds of a leader.
const ROUND: usize = 2;
/// A log of more bytes than this, for each so often, is encoded more seldom, up to [`KEEP`].
const ENCODE_BYTES: usize = 64 << 10;
/// Rounds for the right in a lease's length.
const ASKS_A_SPAN: i64 = 4;
/// Entries that stay in memory after they were applied, for seats that lag a little.
const KEEP: u64 = 256;
/// Records after which the whole takes their place on disk.
const WHOLE_EVERY: u64 = 256;
/// Entries applied after which the log is encoded again, for seats that lag by more.
const ENCODE_EVERY: u64 = 32;
/// Rounds that may be unanswered.
const ROUNDS: usize = 32;

/// Of what is held. Files of the first form, whose seats stood in the settings alone, began with a term, which is over 0.
const FORM: u64 = 0;

/// What a disk holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistentState {
    /// The whole as it was once.
    pub snapshot: Option<Vec<u8>>,
    /// Records after it, in their order.
    pub records: Vec<Vec<u8>>,
}

/// What a disk holds can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CorruptState {
    /// Which record, from 1; 0 is the whole.
    pub record: usize,
    /// Why.
    pub cause: String,
}

impl std::fmt::Display for CorruptState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (n, why) = (self.record, &self.cause);
        write!(f, "record {n} of the seat's file can't be read: {why}; restore the file, or start the seat anew without it")
    }
}
impl std::error::Error for CorruptState {}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum Record {
    Ready {
        hard: Option<(u64, u64, u64)>,
        entries: Vec<Ent>,
        snapshot: Option<Snap>,
    },
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Whole {
    /// [`FORMAT_VERSION`].
    form: u64,
    hard: (u64, u64, u64),
    base: (u64, u64),
    entries: Vec<Ent>,
    latest: Snap,
}

/// What stands in an entry of the order.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Said {
    /// The fields and the seats that the fleet begins with; the first of these counts.
    Begin(Fields, BTreeMap<u64, SocketAddr>),
    /// An entry of the log, with its proposer's seat, process and number.
    Entry(u64, u64, u64, LogEntry),
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send to another seat. It may be lost, late or doubled.
    Send {
        /// Which seat.
        to: u64,
        /// What.
        bytes: Vec<u8>,
    },
    /// Hold a record, then call [`Replica::on_persisted`]; in order. With `whole`, that takes the place of all before it once held.
    Persist {
        /// The record.
        record: Vec<u8>,
        /// All that there is, this record included.
        snapshot: Option<Vec<u8>>,
    },
    /// The order holds what this program does not know: a later one's. This seat takes part no more, since whatever it
    /// made of it would be another log than the others'.
    UnknownEntry,
    /// An entry was agreed on and applied.
    Applied {
        /// The number that it was proposed with here; none: by another, or by an earlier process.
        proposal: Option<u64>,
        /// The entry.
        entry: LogEntry,
        /// What it did.
        outcome: Result<ApplyOutcome, EntryRejection>,
    },
}

/// What a seat is made of.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// Which of the seats it is.
    pub id: u64,
    /// Its process; a later one has a larger number.
    pub incarnation: u64,
    /// Those that a fleet which begins has, and where each is reached. One that is not among them learns the log when it is
    /// to take over from another, and is no seat until then.
    pub voters: BTreeMap<u64, SocketAddr>,
    /// Of leases.
    pub terms: LeaseTiming,
    /// The fields that a fleet which begins has first.
    pub initial_fields: Fields,
    /// Of its random choices.
    pub seed: u64,
}

/// One seat.
pub struct Replica {
    setup: ReplicaConfig,
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
    on_persisted: VecDeque<(u64, Vec<Vec<u8>>, Vec<u64>)>,
    /// Of these the ones that hold a whole taken over from another seat: nothing after it is applied before that.
    wholes: VecDeque<u64>,
    records: u64,
    next_number: u64,
    began: bool,
    is_failed: bool,
    rng: fastrand::Rng,
    timeout_term: Option<(u64, StateRole)>,
}

impl Replica {
    /// A seat that goes on from what its disk holds.
    pub fn new(
        setup: ReplicaConfig,
        saved: &PersistentState,
        now: Time,
    ) -> Result<Replica, CorruptState> {
        let bad = |record: usize| {
            move |e: postcard::Error| CorruptState {
                record,
                cause: e.to_string(),
            }
        };
        if setup.id == 0 || setup.voters.contains_key(&0) {
            return Err(CorruptState {
                record: 0,
                cause: "a seat's number is 0".into(),
            });
        }
        let mut mem = Mem::default();
        if setup.voters.contains_key(&setup.id) {
            // The seats that the order begins with stand before its first entry, as an entry that nobody has: whoever is
            // not among them has to learn them with a whole.
            let voters: Vec<u64> = setup.voters.keys().copied().collect();
            let first = xxh3_64(&postcard::to_stdvec(&voters).map_err(bad(0))?).max(1);
            let conf = Conf {
                voters,
                ..Conf::default()
            };
            mem.restore(Snap {
                index: 1,
                term: 1,
                conf,
                first,
                log: Vec::new(),
            });
        }
        if let Some(bytes) = &saved.snapshot {
            let whole: Whole = postcard::from_bytes(bytes).map_err(bad(0))?;
            if whole.form != FORM {
                let why = "it is of a form that this program does not know".into();
                return Err(CorruptState {
                    record: 0,
                    cause: why,
                });
            }
            mem.hard = hard(whole.hard);
            (mem.base, mem.latest) = (whole.base, whole.latest);
            mem.entries = whole.entries.into_iter().filter_map(wire::of_ent).collect();
        }
        for (n, bytes) in saved.records.iter().enumerate() {
            let Record::Ready {
                hard: h,
                entries,
                snapshot,
            } = postcard::from_bytes(bytes).map_err(bad(n + 1))?;
            if let Some(s) = snapshot {
                mem.restore(s);
            }
            mem.append(
                &entries
                    .into_iter()
                    .filter_map(wire::of_ent)
                    .collect::<Vec<_>>(),
            );
            if let Some(h) = h {
                mem.hard = hard(h);
            }
        }
        // A commit is told without being held; what is known of it may be behind, and never past the last entry.
        mem.hard.commit = mem.hard.commit.clamp(mem.latest.index, mem.last());
        let applied = mem.latest.index;
        let log = match mem.latest.log.is_empty() {
            true => None,
            false => Some(wire::of_log(&mem.latest.log).map_err(bad(0))?),
        };
        let config = Config {
            id: setup.id,
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
        let why = |e: raft::Error| CorruptState {
            record: 0,
            cause: e.to_string(),
        };
        let node = RawNode::new(&config, mem, &logger).map_err(why)?;
        let rng = fastrand::Rng::with_seed(setup.seed);
        let mut seats = Replica {
            setup,
            node,
            log,
            applied,
            term,
            next_tick: now,
            next_round: now,
            rounds: VecDeque::new(),
            round: 0,
            until: None,
            on_persisted: VecDeque::new(),
            wholes: VecDeque::new(),
            records: saved.records.len() as u64,
            next_number: 1,
            began: false,
            is_failed: false,
            rng,
            timeout_term: None,
        };
        seats.draw();
        if seats.alone() {
            // Nobody to wait for.
            let _ = seats.node.campaign();
        }
        Ok(seats)
    }

    /// Its own number.
    pub fn id(&self) -> u64 {
        self.setup.id
    }

    fn conf(&self) -> &Conf {
        &self.node.store().latest.conf
    }

    /// Whether it is the only seat.
    fn alone(&self) -> bool {
        self.conf().voters == [self.setup.id] && self.conf().outgoing.is_empty()
    }

    /// Whether one that learns the log knows all of it that is agreed on, as far as it answered; only the leader knows.
    pub fn caught_up(&self, id: u64) -> bool {
        let raft = &self.node.raft;
        raft.prs()
            .get(id)
            .is_some_and(|p| p.matched >= raft.raft_log.committed)
    }

    /// Hands leadership over to another seat, if that is well; it may come to nothing.
    pub fn transfer_leadership(&mut self, to: u64, out: &mut Vec<Effect>) {
        if self.node.raft.lead_transferee.is_none() {
            self.node.transfer_leader(to);
            self.collect(out);
        }
    }

    /// The log as far as it is known to be agreed on here; none: the fleet has not begun.
    pub fn log(&self) -> Option<&Log> {
        self.log.as_ref()
    }

    /// How many entries were applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The number of the entry as of which the log was encoded last: what one that lags far is told begins there.
    pub fn encoded_at(&self) -> u64 {
        self.node.store().latest.index
    }

    /// The seat that leads, as far as this one knows, and the term of that.
    pub fn leader(&self) -> Option<(u64, u64)> {
        Some((self.node.raft.term, self.node.raft.leader_id)).filter(|l| l.1 != 0)
    }

    /// Until when it may act as the fleet's root; none: it may not.
    pub fn leader_lease(&self, now: Time) -> Option<Time> {
        let leads = self.node.raft.state == StateRole::Leader && self.log.is_some();
        self.until
            .filter(|u| leads && *u > now && self.term == self.node.raft.term)
    }

    /// When [`Replica::tick`] has something to do.
    pub fn next_deadline(&self) -> Time {
        if self.is_failed && !self.alone() {
            return Time::MAX;
        }
        self.next_tick
    }

    /// What time brings.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.is_failed && !self.alone() {
            return;
        }
        while now >= self.next_tick {
            self.node.tick();
            self.draw();
            // After a stop of the process the time that passed is one tick, not many: the others have their own clocks.
            self.next_tick = if now - self.next_tick > 4 * TICK {
                now + TICK
            } else {
                self.next_tick + TICK
            };
        }
        let seat =
            |c: &Conf| c.voters.contains(&self.setup.id) || c.outgoing.contains(&self.setup.id);
        if self.node.raft.state == StateRole::Leader && !seat(self.conf()) {
            // The end of its own seat was agreed on while it led: another has to.
            let to = self.rng.choice(self.conf().voters.clone()).unwrap_or(0);
            self.transfer_leadership(to, out);
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

    /// Takes a message of the seat of this number.
    pub fn on_message(&mut self, from: u64, bytes: &[u8], out: &mut Vec<Effect>) {
        if self.is_failed {
            return;
        }
        let here = self.node.store().latest.first;
        let Some((m, first)) = wire::read(bytes, from, self.setup.id, here) else {
            return;
        };
        if here == 0 {
            self.node.mut_store().latest.first = first;
        }
        let last = self.node.raft.raft_log.last_index();
        let committed = self.node.raft.raft_log.committed;
        // What contradicts the log here: its disk lost what it had acknowledged, or the other's did.
        let differs = |e: &raft::eraftpb::Entry| {
            e.index <= committed
                && self
                    .node
                    .raft
                    .raft_log
                    .term(e.index)
                    .is_ok_and(|t| t != e.term)
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
    pub fn propose(&mut self, entry: LogEntry, out: &mut Vec<Effect>) -> Option<u64> {
        let number = self.next_number;
        let said = Said::Entry(self.setup.id, self.setup.incarnation, number, entry);
        self.say(&said).then(|| {
            self.next_number += 1;
            self.collect(out);
            number
        })
    }

    fn say(&mut self, said: &Said) -> bool {
        let leads = self.node.raft.state == StateRole::Leader && !self.is_failed;
        let bytes = postcard::to_stdvec(said).unwrap_or_default();
        let change = match said {
            Said::Entry(_, _, _, entry) => wire::change(entry),
            Said::Begin(..) => None,
        };
        match change {
            _ if !leads => false,
            None => self.node.propose(Vec::new(), bytes).is_ok(),
            // The library would take it for nothing, without a word.
            Some(_) if self.node.raft.has_pending_conf() => false,
            Some(change) => self.node.propose_conf_change(bytes, change).is_ok(),
        }
    }

    /// The first record that the disk was given is held, or can't be. Then this seat takes part no more.
    pub fn on_persisted(&mut self, done: bool, out: &mut Vec<Effect>) {
        if !done {
            self.is_failed = true;
            return;
        }
        let Some((number, messages, to)) = self.on_persisted.pop_front() else {
            return;
        };
        out.extend(
            messages
                .into_iter()
                .zip(to)
                .map(|(bytes, to)| Effect::Send { to, bytes }),
        );
        if !self.is_failed {
            self.node.on_persist_ready(number);
            self.wholes.retain(|n| *n > number);
            self.applied_all();
            self.collect(out);
        }
    }

    fn applied_all(&mut self) {
        if self.wholes.is_empty() {
            self.node.advance_apply();
        }
    }

    /// Whether its disk failed.
    pub fn is_failed(&self) -> bool {
        self.is_failed
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
    fn collect(&mut self, out: &mut Vec<Effect>) {
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            let first = self.node.store().latest.first;
            send(ready.take_messages(), first, out);
            let mut snapshot = None;
            if !ready
                .snapshot()
                .get_metadata()
                .get_conf_state()
                .voters
                .is_empty()
            {
                let snap = wire::snap(ready.snapshot(), first);
                match wire::of_log(&snap.log) {
                    Ok(log) => {
                        (self.log, self.applied, self.term) = (Some(log), snap.index, snap.term)
                    }
                    Err(_) => {
                        self.is_failed = true;
                        out.push(Effect::UnknownEntry);
                        return;
                    }
                }
                self.node.mut_store().restore(snap.clone());
                snapshot = Some(snap);
                self.wholes.push_back(ready.number());
            }
            let entries = ready.take_entries();
            self.node.mut_store().append(&entries);
            if let Some(h) = ready.hs().cloned() {
                self.node.mut_store().hard = h;
            }
            for state in ready.take_read_states() {
                let round = state
                    .request_ctx
                    .as_slice()
                    .try_into()
                    .map(u64::from_be_bytes)
                    .unwrap_or(0);
                let began = self.rounds.iter().find(|r| r.0 == round).map(|r| r.1);
                self.rounds.retain(|r| r.0 > round);
                if let Some(began) = began.filter(|_| state.index <= self.applied) {
                    let until =
                        began.saturating_add(self.setup.terms.holder_span(self.setup.terms.span));
                    self.until = Some(self.until.map_or(until, |u| u.max(until)));
                }
            }
            let committed = ready.take_committed_entries();
            let persisted = ready.take_persisted_messages();
            let number = ready.number();
            let writes = ready.must_sync() || snapshot.is_some() || !entries.is_empty();
            if writes {
                // What is known to be agreed on is held with what follows on it: a seat that starts again is at most one
                // change of the seats behind, since the next is proposed by one that knows the last to be agreed on.
                let h = &self.node.store().hard;
                let hard = Some((h.term, h.vote, h.commit));
                let record = Record::Ready {
                    hard,
                    entries: entries.iter().map(wire::ent).collect(),
                    snapshot,
                };
                let record = postcard::to_stdvec(&record).unwrap_or_default();
                self.records += 1;
                let whole = (self.records == 1 || self.records.is_multiple_of(WHOLE_EVERY))
                    .then(|| self.whole());
                let to = persisted.iter().map(|m| m.to).collect();
                let messages = persisted.iter().map(|m| wire::bytes(m, first)).collect();
                self.on_persisted.push_back((number, messages, to));
                out.push(Effect::Persist {
                    record,
                    snapshot: whole,
                });
                self.node.advance_append_async(ready);
            } else {
                // What follows on what is with the disk must not overtake it.
                match self.on_persisted.back_mut() {
                    Some((n, messages, to)) => {
                        *n = number;
                        messages.extend(persisted.iter().map(|m| wire::bytes(m, first)));
                        to.extend(persisted.iter().map(|m| m.to));
                        self.node.advance_append_async(ready);
                    }
                    None => {
                        send(persisted, first, out);
                        self.node.advance_append_async(ready);
                        self.node.on_persist_ready(number);
                    }
                }
            }
            self.apply(committed, out);
            self.applied_all();
        }
        if !self.began && self.log.is_none() && self.node.raft.state == StateRole::Leader {
            self.began = true;
            let first = Said::Begin(self.setup.initial_fields.clone(), self.setup.voters.clone());
            if self.say(&first) {
                self.collect(out);
            }
        }
    }

    fn apply(&mut self, entries: Vec<raft::eraftpb::Entry>, out: &mut Vec<Effect>) {
        if entries.is_empty() {
            return;
        }
        let mut seats = false;
        for e in entries {
            let said = if e.get_entry_type() == EntryType::EntryNormal {
                &e.data
            } else {
                &e.context
            };
            let read = postcard::from_bytes(said);
            if read.is_err() && !said.is_empty() {
                self.is_failed = true;
                out.push(Effect::UnknownEntry);
                return;
            }
            (self.applied, self.term) = (e.index, e.term);
            match read {
                Ok(Said::Begin(fields, seats)) if self.log.is_none() => {
                    self.log = Some(Log::new(fields, seats));
                }
                Ok(Said::Entry(seat, incarnation, number, entry)) => {
                    let mine = (seat, incarnation) == (self.setup.id, self.setup.incarnation);
                    if let Some(log) = &mut self.log {
                        let outcome = log.apply(entry.clone());
                        // Who keeps the log changes with the log that says so, in the same place of the order.
                        let change = wire::change(&entry).filter(|_| outcome.is_ok());
                        if let Some(Ok(conf)) = change.map(|c| self.node.apply_conf_change(&c)) {
                            self.node.mut_store().latest.conf = wire::conf(&conf);
                            seats = true;
                        }
                        out.push(Effect::Applied {
                            proposal: mine.then_some(number),
                            entry,
                            outcome,
                        });
                    }
                }
                // The library's own entry at the start of a term is empty.
                Ok(Said::Begin(..)) | Err(_) => {}
            }
        }
        let (index, term) = (self.applied, self.term);
        let latest = &self.node.store().latest;
        let every = ENCODE_EVERY
            .max((latest.log.len() / ENCODE_BYTES) as u64)
            .min(KEEP);
        if !seats && index - latest.index < every {
            return;
        }
        let log = self
            .log
            .as_ref()
            .and_then(|l| wire::log(l).ok())
            .unwrap_or_default();
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
            form: FORM,
            hard: (h.term, h.vote, h.commit),
            base: mem.base,
            entries: mem.entries.iter().map(wire::ent).collect(),
            latest: mem.latest.clone(),
        };
        postcard::to_stdvec(&whole).unwrap_or_default()
    }
}

fn hard((term, vote, commit): (u64, u64, u64)) -> HardState {
    HardState {
        term,
        vote,
        commit,
        ..Default::default()
    }
}

fn send(messages: Vec<raft::eraftpb::Message>, first: u64, out: &mut Vec<Effect>) {
    out.extend(messages.iter().map(|m| Effect::Send {
        to: m.to,
        bytes: wire::bytes(m, first),
    }));
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_entry_of_a_later_program_stops_a_seat_and_changes_nothing() {
        let at = ([127, 0, 0, 1], 7000).into();
        let setup = ReplicaConfig {
            id: 1,
            incarnation: 1,
            voters: [(1, at)].into(),
            terms: LeaseTiming {
                span: 600_000,
                drift_ppm: 1000,
            },
            initial_fields: Fields::new(),
            seed: 1,
        };
        let mut seat =
            Replica::new(setup, &PersistentState::default(), 0).expect("nothing was held");
        let held = |seat: &mut Replica, out: &mut Vec<Effect>| {
            let mut n = 0;
            while n < out.len() {
                if matches!(out[n], Effect::Persist { .. }) {
                    seat.on_persisted(true, out);
                }
                n += 1;
            }
        };
        let mut out = Vec::new();
        seat.tick(0, &mut out);
        held(&mut seat, &mut out);
        let (log, applied) = (seat.log().cloned(), seat.applied());
        assert!(log.is_some() && !out.contains(&Effect::UnknownEntry));
        seat.node
            .propose(Vec::new(), vec![250, 1, 2, 3])
            .expect("it leads");
        seat.collect(&mut out);
        held(&mut seat, &mut out);
        assert!(out.contains(&Effect::UnknownEntry) && seat.is_failed());
        assert_eq!((seat.log().cloned(), seat.applied()), (log, applied));
    }
}
