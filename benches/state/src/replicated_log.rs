//! The replicated log at a voter, in memory and encoded, and the voter's log file.

use crate::measure::{ms, timed, Distribution, MemoryGrowth, OutputRecord};
use crate::messages::largest_satisfying;
use crate::single_voter::SingleVoter;
use crate::{inputs, Args, BenchError};
use prost::Message as _;
use std::path::Path;
use tansy_agreement::log::{Log, LogEntry, MAX_PAST_VERSIONS};
use tansy_fleet_wire::{encode_settings, pb, MAX_MESSAGE_BYTES};
use tansy_storage::voter_log::LogStorage;

/// Entries that bring a proposed change into force.
const ADVANCES: usize = 2;

/// Runs the n-th change through all phases; returns the size of the record with the proposal.
fn change(
    voter: &mut SingleVoter,
    function_names: &[String],
    number: usize,
) -> Result<usize, BenchError> {
    let in_force = &voter.log()?.state().in_force;
    let base = in_force.version;
    let name = &function_names[number % function_names.len()];
    // Differs from the value that the last change of this function set.
    let value = 2 + (number / function_names.len()) as i64;
    let fields = inputs::with_lanes(&in_force.fields, name, value);
    voter.append(LogEntry::Propose {
        id: number as u64 + 1,
        base,
        fields,
        reason: "bench".into(),
    })?;
    let proposal_bytes = voter.writes.record_bytes;
    for _ in 0..ADVANCES {
        let from = voter.log()?.state().revision;
        voter.append(LogEntry::Advance { from })?;
    }
    Ok(proposal_bytes)
}

/// Size of the reply to a history request, which contains all versions that the log keeps.
fn history_bytes(log: &Log) -> usize {
    let reply = pb::HistoryReply {
        versions: log.history().map(encode_settings).collect(),
        in_force: 1,
        next: 0,
    };
    reply.encoded_len()
}

/// Measures the replicated log with the version history that a voter keeps, in memory and encoded.
pub fn replicated_log(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let function_names = inputs::function_names(args.functions, args.seed);
    let growth = MemoryGrowth::begin();
    let mut voter = SingleVoter::new(inputs::version_fields(&function_names), None)?;
    output.figure("first_mb", growth.mb());
    let mut changes = Distribution::default();
    let mut entry_bytes = 0;
    for number in 0..args.changes {
        let (changed, took) = timed(|| change(&mut voter, &function_names, number));
        entry_bytes = changed?;
        changes.add(took);
    }
    output.figure("memory_mb", growth.mb());
    output.figure("peak_mb", growth.peak_mb());
    output.insert("change_ms", changes.ms());
    output.count("changes", args.changes);
    output.count("entry_bytes", entry_bytes);
    output.count("whole_bytes", voter.writes.snapshot_bytes);
    add_log(voter.log()?, output);
    Ok(())
}

fn add_log(log: &Log, output: &mut OutputRecord) {
    let (encoded_bytes, took) = timed(|| postcard::to_stdvec(log).map_or(0, |bytes| bytes.len()));
    output.count("versions", log.history().count());
    output.count("log_bytes", encoded_bytes);
    output.figure("encode_ms", ms(took));
    output.count("history_bytes", history_bytes(log));
    let growth = MemoryGrowth::begin();
    let copy = log.clone();
    output.figure("log_mb", growth.mb());
    drop(copy);
    output.count("largest_bytes", MAX_MESSAGE_BYTES);
    if encoded_bytes > MAX_MESSAGE_BYTES {
        output.add_note(
            "the whole log is more than a message may hold: no other voter can be sent it".into(),
        );
    }
}

/// The maximum number of functions for which the log with a full version history fits into one message.
pub(crate) fn max_functions_of_log(seed: u64) -> usize {
    largest_satisfying(|functions| {
        let log = full_log(&inputs::function_names(functions, seed));
        postcard::to_stdvec(&log).is_ok_and(|bytes| bytes.len() <= MAX_MESSAGE_BYTES)
    })
}

/// A log with a full version history.
fn full_log(function_names: &[String]) -> Log {
    let first = inputs::version_fields(function_names);
    let address = inputs::address(1, inputs::FLEET_PORT);
    let mut log = Log::new(first.clone(), [(1, address)]);
    for id in 1..MAX_PAST_VERSIONS as u64 {
        let fields = inputs::with_lanes(&first, &function_names[0], 1 + id as i64 % 4000);
        let base = log.state().in_force.version;
        let _ = log.apply(LogEntry::Propose {
            id,
            base,
            fields,
            reason: "bench".into(),
        });
        for _ in 0..ADVANCES {
            let from = log.state().revision;
            let _ = log.apply(LogEntry::Advance { from });
        }
    }
    log
}

/// Measures how a voter's log file grows with changes.
pub fn voter_file(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    with_temporary_file("tansy-bench-state", |path| grow_file(args, path, output))
}

/// Runs an operation with the path of a temporary file, which is removed afterwards.
pub(crate) fn with_temporary_file<T>(prefix: &str, operation: impl FnOnce(&Path) -> T) -> T {
    let name = format!("{prefix}-{}.redb", std::process::id());
    let path = std::env::temp_dir().join(name);
    let result = operation(&path);
    let _ = std::fs::remove_file(&path);
    result
}

/// Size of a file; 0 if it does not exist.
pub(crate) fn file_bytes(path: &Path) -> usize {
    std::fs::metadata(path).map_or(0, |metadata| metadata.len() as usize)
}

fn grow_file(args: &Args, path: &Path, output: &mut OutputRecord) -> Result<(), BenchError> {
    let function_names = inputs::function_names(args.functions, args.seed);
    let (storage, _) =
        LogStorage::open(path).map_err(|e| BenchError::failed("the voter's file", e))?;
    let mut voter = SingleVoter::new(inputs::version_fields(&function_names), Some(storage))?;
    let first_bytes = file_bytes(path);
    let (mut entry_bytes, mut max_bytes) = (0, 0);
    for number in 0..args.changes {
        entry_bytes = change(&mut voter, &function_names, number)?;
        max_bytes = max_bytes.max(file_bytes(path));
    }
    let last_bytes = file_bytes(path);
    output.count("changes", args.changes);
    output.count("entry_bytes", entry_bytes);
    output.count("first_bytes", first_bytes);
    output.count("file_bytes", last_bytes);
    output.count("most_file_bytes", max_bytes);
    output.figure(
        "change_bytes",
        (last_bytes as f64 - first_bytes as f64) / args.changes.max(1) as f64,
    );
    output.insert("hold_ms", voter.writes.record_times.ms());
    Ok(())
}
