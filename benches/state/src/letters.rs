//! What carries settings: the letter with the state, the agreed log and a seat's file.

use crate::inputs;
use crate::measure::{ms, timed, Distribution, MemoryGrowth, OutputRecord};
use crate::{Args, BenchError};
use prost::Message as _;
use std::net::SocketAddr;
use tansy_agreement::compatibility::Fields;
use tansy_agreement::lease::{LeaseGrant, LeaseTiming, Member};
use tansy_agreement::lease_tree::LeaseMessage;
use tansy_agreement::log::{
    ApplyOutcome, ChangePhase, FleetState, Log, LogEntry, Revision, Version, VersionedSettings,
    MAX_PAST_VERSIONS,
};
use tansy_agreement::scope::ChangeHistory;
use tansy_consensus::{Effect, PersistentState, Replica, ReplicaConfig};
use tansy_fleet_node::{Leader, MessageBody};
use tansy_fleet_wire::{
    decode_message, encode_message, pb, settings, DecodeError, MAX_MESSAGE_BYTES,
};
use tansy_frames::grpc::{frame, Assembler};
use tansy_membership::NodeId;
use tansy_storage::voter_log::{LogStorage, RecoveredRecords};

/// The fleet's number.
const FLEET: u64 = 7;

fn me() -> NodeId {
    NodeId::new(1, 1, SocketAddr::from(([10, 0, 0, 1], 7000)))
}

/// What a front end is granted a lease for: a version in force and, if so, one of which a function's lanes differ.
pub fn state(names: &[String], next: bool) -> FleetState {
    let fields = inputs::version(names);
    let changed = names
        .first()
        .map_or_else(Fields::new, |one| inputs::changed(&fields, one, 2));
    let version = |n: u64, fields| VersionedSettings {
        version: Version(n),
        fields,
        reason: "bench".into(),
        id: n,
    };
    FleetState {
        revision: Revision(2),
        in_force: version(1, fields),
        next: next.then(|| (version(2, changed), ChangePhase::Joint)),
        canary: None,
        versions_revision: Revision(2),
        scopes_since: None,
        history: ChangeHistory::after(Revision(2)),
    }
}

/// The letter that carries it.
pub fn grant(state: FleetState) -> Vec<u8> {
    let to = Member {
        id: 2,
        incarnation: 1,
    };
    let grant = LeaseGrant {
        to,
        seq: 1,
        span: 600_000,
        revision: state.revision,
        state: Some(state),
        delta: None,
    };
    encode_message(
        FLEET,
        &me(),
        Leader { term: 1, id: 1 },
        MessageBody::Lease(LeaseMessage::Grant(grant)),
    )
}

/// Takes a letter as a front end does: out of a stream of bytes, no longer than any letter may be.
pub fn taken(letter: &[u8]) -> Result<MessageBody, String> {
    let mut stream = Assembler::new(MAX_MESSAGE_BYTES);
    stream.push(&frame(letter));
    let whole = stream
        .next_message()
        .map_err(|e| format!("{e:?}"))?
        .ok_or("the stream ends within it")?;
    decode_message(FLEET, &whole)
        .map(|(_, _, body)| body)
        .map_err(|e: DecodeError| e.to_string())
}

/// The most for which it holds, where it holds for all up to some number; 0: for none.
pub fn most(holds: impl Fn(usize) -> bool) -> usize {
    let mut above = 1;
    while holds(above) {
        above *= 2;
    }
    let (mut under, mut above) = (above / 2, above);
    while above - under > 1 {
        let middle = under + (above - under) / 2;
        if holds(middle) {
            under = middle;
        } else {
            above = middle;
        }
    }
    under
}

/// The most functions whose settings a front end can still be granted a lease for.
pub fn most_functions(seed: u64, next: bool) -> usize {
    most(|n| taken(&grant(state(&inputs::names(n, seed), next))).is_ok())
}

/// Bytes of the letter, what it costs to write and read, and where none can be read any more.
pub fn letters(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let names = inputs::names(args.functions, args.seed);
    let grown = MemoryGrowth::begin();
    let both = state(&names, true);
    output.figure("memory_mb", grown.mb());
    let force = state(&names, false);
    let (bytes, encode) = timed(|| grant(both));
    let alone = grant(force);
    let (body, took) = timed(|| taken(&bytes));
    output.count("letter_bytes", bytes.len());
    output.count("force_bytes", alone.len());
    output.figure(
        "function_bytes",
        alone.len() as f64 / names.len().max(1) as f64,
    );
    output.figure("encode_ms", ms(encode));
    output.figure("read_ms", ms(took));
    output.count("largest_bytes", MAX_MESSAGE_BYTES);
    output.count("readable", usize::from(body.is_ok()));
    if let Err(why) = body {
        output.add_note(format!("no front end can read this grant: {why}"));
    }
    Ok(())
}

/// A single seat; what it wants held goes to its file, if it has one.
pub(crate) struct Seat {
    seats: Replica,
    now: i64,
    /// Times of records alone, and of those with all that there is.
    pub(crate) records: Distribution,
    pub(crate) whole_records: Distribution,
    /// Bytes of the last whole, and how many there were.
    pub(crate) wholes: usize,
    pub(crate) wholes_held: usize,
    pub(crate) last_record: usize,
    file: Option<LogStorage>,
}

impl Seat {
    pub(crate) fn new(first: Fields, file: Option<LogStorage>) -> Result<Seat, BenchError> {
        Seat::of(first, &PersistentState::default(), file)
    }

    /// One that goes on from what its file holds.
    pub(crate) fn again(held: RecoveredRecords) -> Result<Seat, BenchError> {
        Seat::of(
            Fields::new(),
            &PersistentState {
                snapshot: held.snapshot,
                records: held.records,
            },
            None,
        )
    }

    fn of(
        first: Fields,
        saved: &PersistentState,
        file: Option<LogStorage>,
    ) -> Result<Seat, BenchError> {
        let setup = ReplicaConfig {
            id: 1,
            incarnation: 1,
            voters: [(1, me().address)].into(),
            terms: LeaseTiming {
                span: 600_000,
                drift_ppm: 1000,
            },
            initial_fields: first,
            seed: 1,
        };
        let seats = Replica::new(setup, saved, 0)
            .map_err(|e| BenchError::failed("the seat's first file", e))?;
        let (records, whole_records) = Default::default();
        let (wholes, wholes_held, last_record) = (0, 0, 0);
        let mut seat = Seat {
            seats,
            now: 0,
            records,
            whole_records,
            wholes,
            wholes_held,
            last_record,
            file,
        };
        let mut out = Vec::new();
        seat.seats.tick(0, &mut out);
        seat.carry_out(out)?;
        Ok(seat)
    }

    fn carry_out(&mut self, mut out: Vec<Effect>) -> Result<Option<ApplyOutcome>, BenchError> {
        let mut done = None;
        while !out.is_empty() {
            for o in std::mem::take(&mut out) {
                match o {
                    Effect::Persist {
                        record,
                        snapshot: whole,
                    } => {
                        self.last_record = record.len();
                        self.wholes = whole.as_ref().map_or(self.wholes, Vec::len);
                        if let Some(file) = &mut self.file {
                            let (held, took) = timed(|| file.append(record, whole.as_deref()));
                            held.map_err(|e| BenchError::failed("the seat's file", e))?;
                            let spread = if whole.is_some() {
                                &mut self.whole_records
                            } else {
                                &mut self.records
                            };
                            spread.add(took);
                        }
                        self.wholes_held += usize::from(whole.is_some());
                        self.seats.on_persisted(true, &mut out);
                    }
                    Effect::Applied { outcome, .. } => {
                        done = Some(outcome.map_err(|e| BenchError::failed("the change", e))?);
                    }
                    Effect::UnknownEntry => {
                        return Err(BenchError::failed("the log", "it is of a later program"))
                    }
                    Effect::Send { .. } => {}
                }
            }
        }
        Ok(done)
    }

    pub(crate) fn log(&self) -> Result<&Log, BenchError> {
        self.seats
            .log()
            .ok_or_else(|| BenchError::failed("the seat", "it has no log"))
    }

    /// The number of the entry as of which the log was encoded last.
    pub(crate) fn encoded_at(&self) -> u64 {
        self.seats.encoded_at()
    }

    pub(crate) fn enter(&mut self, entry: LogEntry) -> Result<(), BenchError> {
        self.now += 50_000;
        let mut out = Vec::new();
        self.seats.tick(self.now, &mut out);
        self.carry_out(std::mem::take(&mut out))?;
        self.seats
            .propose(entry, &mut out)
            .ok_or_else(|| BenchError::failed("the seat", "it does not lead"))?;
        self.carry_out(out)?
            .map(drop)
            .ok_or_else(|| BenchError::failed("the entry", "it was not applied"))
    }

    /// One function's lanes change, through all steps; the bytes of the record with the proposal.
    fn change(&mut self, names: &[String], n: usize) -> Result<usize, BenchError> {
        let log = || BenchError::failed("the seat", "it has no log");
        let force = &self.seats.log().ok_or_else(log)?.state().in_force;
        let (base, one) = (force.version, &names[n % names.len()]);
        // Each time another value than the last one.
        let fields = inputs::changed(&force.fields, one, 2 + (n / names.len()) as i64);
        let id = n as u64 + 1;
        self.enter(LogEntry::Propose {
            id,
            base,
            fields,
            reason: "bench".into(),
        })?;
        let proposed = self.last_record;
        for _ in 0..2 {
            let from = self.seats.log().ok_or_else(log)?.state().revision;
            self.enter(LogEntry::Advance { from })?;
        }
        Ok(proposed)
    }
}

/// Bytes of all that a log remembers, as an operator's request for its history brings them.
fn history_bytes(log: &Log) -> usize {
    let versions = log.history().map(settings).collect();
    pb::HistoryReply {
        versions,
        force: 1,
        next: 0,
    }
    .encoded_len()
}

/// The agreed log at a seat with as many past versions as it keeps, in memory and in what is encoded of it.
pub fn log(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let names = inputs::names(args.functions, args.seed);
    let grown = MemoryGrowth::begin();
    let mut seat = Seat::new(inputs::version(&names), None)?;
    output.figure("first_mb", grown.mb());
    let (mut changes, mut entry) = (Distribution::default(), 0);
    for n in 0..args.changes {
        let (bytes, took) = timed(|| seat.change(&names, n));
        entry = bytes?;
        changes.add(took);
    }
    output.figure("memory_mb", grown.mb());
    output.figure("peak_mb", grown.peak_mb());
    output.insert("change_ms", changes.ms());
    output.count("changes", args.changes);
    output.count("entry_bytes", entry);
    output.count("whole_bytes", seat.wholes);
    let log = seat
        .seats
        .log()
        .ok_or_else(|| BenchError::failed("the seat", "it has no log"))?;
    let (encoded, took) = timed(|| postcard::to_stdvec(log).map_or(0, |b| b.len()));
    output.count("versions", log.history().count());
    output.count("log_bytes", encoded);
    output.figure("encode_ms", ms(took));
    output.count("history_bytes", history_bytes(log));
    let before = MemoryGrowth::begin();
    let copy = log.clone();
    output.figure("log_mb", before.mb());
    drop(copy);
    output.count("largest_bytes", MAX_MESSAGE_BYTES);
    if encoded > MAX_MESSAGE_BYTES {
        output.add_note(
            "the whole log is more than a letter may hold: no other seat can be given it".into(),
        );
    }
    Ok(())
}

/// Where the largest letter is passed.
pub fn largest(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let both = most_functions(args.seed, true);
    let bytes = |functions| grant(state(&inputs::names(functions, args.seed), true)).len();
    output.count("largest_bytes", MAX_MESSAGE_BYTES);
    output.count("most_functions", both);
    output.count("letter_bytes", bytes(both));
    output.count("one_more_bytes", bytes(both + 1));
    output.count("most_functions_force", most_functions(args.seed, false));
    output.count("most_functions_log", most_functions_log(args.seed));
    Ok(())
}

/// The most functions for which the whole log, with as many versions as it keeps, is no more than a letter may hold.
fn most_functions_log(seed: u64) -> usize {
    most(|n| {
        let names = inputs::names(n, seed);
        let fields = inputs::version(&names);
        let mut log = Log::new(fields.clone(), [(1, me().address)]);
        for n in 1..MAX_PAST_VERSIONS as u64 {
            let fields = inputs::changed(&fields, &names[0], 1 + n as i64 % 4000);
            let base = log.state().in_force.version;
            let _ = log.apply(LogEntry::Propose {
                id: n,
                base,
                fields,
                reason: "bench".into(),
            });
            for _ in 0..2 {
                let from = log.state().revision;
                let _ = log.apply(LogEntry::Advance { from });
            }
        }
        postcard::to_stdvec(&log).is_ok_and(|b| b.len() <= MAX_MESSAGE_BYTES)
    })
}

/// How a seat's file grows by changes.
pub fn file(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let names = inputs::names(args.functions, args.seed);
    let path = std::env::temp_dir().join(format!("tansy-bench-state-{}.redb", std::process::id()));
    let found = grow(args, &names, &path, output);
    let _ = std::fs::remove_file(&path);
    found
}

fn grow(
    args: &Args,
    names: &[String],
    path: &std::path::Path,
    output: &mut OutputRecord,
) -> Result<(), BenchError> {
    let size = || std::fs::metadata(path).map_or(0, |m| m.len());
    let (records, _) =
        LogStorage::open(path).map_err(|e| BenchError::failed("the seat's file", e))?;
    let mut seat = Seat::new(inputs::version(names), Some(records))?;
    let (first, mut entry, mut largest) = (size(), 0, 0);
    for n in 0..args.changes {
        entry = seat.change(names, n)?;
        largest = largest.max(size());
    }
    output.count("changes", args.changes);
    output.count("entry_bytes", entry);
    output.count("first_bytes", first as usize);
    output.count("file_bytes", size() as usize);
    output.count("most_file_bytes", largest as usize);
    output.figure(
        "change_bytes",
        (size() as f64 - first as f64) / args.changes.max(1) as f64,
    );
    output.insert("hold_ms", seat.records.ms());
    Ok(())
}
