//! The scope catalog at a voter: memory, encoded size, and the time of a change, a burst of changes and encoding.

use super::{scope_fields, BURST};
use crate::measure::{ms, timed, Distribution, MemoryGrowth, OutputRecord};
use crate::replicated_log::{file_bytes, with_temporary_file};
use crate::single_voter::SingleVoter;
use crate::{inputs, Args, BenchError};
use std::path::Path;
use std::time::Duration;
use tansy_agreement::log::{Log, LogEntry, Revision};
use tansy_agreement::scope::{
    CatalogSnapshot, ScopeTransaction, ScopeUpdate, MAX_TRANSACTION_BYTES,
};
use tansy_fleet_wire::MAX_MESSAGE_BYTES;
use tansy_storage::voter_log::LogStorage;

/// Number of timed changes of a single function.
const CHANGES: usize = 100;
/// Upper bound for the size of a function's update in a transaction.
const MAX_UPDATE_BYTES: usize = 160;

fn update(log: &Log, name: &str, lanes: i64) -> ScopeUpdate {
    let current = log.catalog().get(name);
    ScopeUpdate {
        scope: name.to_string(),
        base: current.map_or(Revision(0), |scope| scope.revision),
        fields: Some(scope_fields(lanes)),
    }
}

/// A voter that keeps all functions in the catalog. Its settings versions contain only the classes and one function.
struct CatalogVoter {
    voter: SingleVoter,
    transactions: u64,
}

/// Log entries per change: joint, in force, settled.
const ENTRIES_PER_CHANGE: usize = 3;

/// Cost of a change.
struct ChangeCost {
    /// Time of each entry.
    times: [Duration; ENTRIES_PER_CHANGE],
    /// Size of the first entry's record.
    entry_bytes: usize,
}

impl ChangeCost {
    fn total(&self) -> Duration {
        self.times.iter().sum()
    }
}

/// A phase transition of unsettled scopes.
#[derive(Clone, Copy)]
enum Advance {
    JointToInForce,
    InForceToSettled,
}

impl CatalogVoter {
    fn new(storage: Option<LogStorage>) -> Result<CatalogVoter, BenchError> {
        let versions = inputs::version_fields(&["one".to_string()]);
        Ok(CatalogVoter {
            voter: SingleVoter::new(versions, storage)?,
            transactions: 0,
        })
    }

    fn log(&self) -> Result<&Log, BenchError> {
        self.voter.log()
    }

    /// Changes functions in one transaction, through all phases.
    fn change(&mut self, names: &[&String], lanes: i64) -> Result<ChangeCost, BenchError> {
        let joint = self.append_transaction(names, lanes)?;
        let entry_bytes = self.voter.writes.record_bytes;
        let (in_force, second) = self.advance(Advance::JointToInForce)?;
        let (settled, third) = self.advance(Advance::InForceToSettled)?;
        if (in_force, settled) != (names.len(), names.len()) {
            return Err(BenchError::failed(
                "the change",
                format!("{in_force} scopes came into force and {settled} were settled"),
            ));
        }
        Ok(ChangeCost {
            times: [joint, second, third],
            entry_bytes,
        })
    }

    /// Validates and appends a transaction; returns the time for both.
    fn append_transaction(
        &mut self,
        names: &[&String],
        lanes: i64,
    ) -> Result<Duration, BenchError> {
        self.transactions += 1;
        let log = self.voter.log()?;
        let transaction = ScopeTransaction {
            id: self.transactions,
            updates: names.iter().map(|name| update(log, name, lanes)).collect(),
            reason: "bench".into(),
        };
        let (validated, validating) = timed(|| log.validate_transaction(&transaction));
        validated.map_err(|e| BenchError::failed("validating the transaction", e))?;
        let entry = LogEntry::UpdateScopes {
            transactions: vec![transaction],
        };
        let (appended, appending) = timed(|| self.voter.append(entry));
        appended?;
        Ok(validating + appending)
    }

    /// Advances all scopes of one phase; returns their number and the time taken.
    fn advance(&mut self, advance: Advance) -> Result<(usize, Duration), BenchError> {
        let is_joint = matches!(advance, Advance::JointToInForce);
        let scopes: Vec<(String, Revision)> = self
            .log()?
            .catalog()
            .unsettled()
            .filter(|(_, scope)| scope.next().is_some() == is_joint)
            .filter_map(|(name, scope)| Some((name.to_string(), scope.phase.since()?)))
            .collect();
        let count = scopes.len();
        let (in_force, settled) = match advance {
            Advance::JointToInForce => (scopes, Vec::new()),
            Advance::InForceToSettled => (Vec::new(), scopes),
        };
        let entry = LogEntry::AdvanceScopes { in_force, settled };
        let (appended, took) = timed(|| self.voter.append(entry));
        appended?;
        Ok((count, took))
    }

    /// Creates the scopes of all functions.
    fn fill(&mut self, names: &[String]) -> Result<(), BenchError> {
        for batch in names.chunks(MAX_TRANSACTION_BYTES / MAX_UPDATE_BYTES) {
            let batch: Vec<&String> = batch.iter().collect();
            self.change(&batch, 1)?;
        }
        Ok(())
    }
}

/// Encodes the log as `decide/consensus` does for messages and storage, without the eleven bytes that precede it there.
fn encode(log: &Log) -> Vec<u8> {
    log.catalog_snapshot()
        .and_then(|catalog| postcard::to_stdvec(&(log, catalog)).ok())
        .unwrap_or_default()
}

/// Measures the catalog in memory and encoded, and the time of changes.
pub(crate) fn catalog(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let names = inputs::function_names(args.functions, args.seed);
    let growth = MemoryGrowth::begin();
    let mut voter = CatalogVoter::new(None)?;
    voter.fill(&names)?;
    output.figure("memory_mb", growth.mb());
    output.count("scopes", voter.log()?.catalog().all().len());
    add_changes(&mut voter, &names, args.seed, output)?;
    let burst: Vec<&String> = names.iter().take(BURST).collect();
    let cost = voter.change(&burst, 1000)?;
    output.count("burst", burst.len());
    output.figure("burst_ms", ms(cost.total()));
    output.count("burst_entry_bytes", cost.entry_bytes);
    output.figure("peak_mb", growth.peak_mb());
    add_encoding(voter.log()?, args.functions, output)
}

/// Measures changes of a single function, and how often the whole log is encoded during these.
fn add_changes(
    voter: &mut CatalogVoter,
    names: &[String],
    seed: u64,
    output: &mut OutputRecord,
) -> Result<(), BenchError> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut entry_times: [Distribution; ENTRIES_PER_CHANGE] = Default::default();
    let mut change_times = Distribution::default();
    let (mut encodings, mut entry_bytes) = (0, 0);
    let mut snapshot_index = voter.voter.snapshot_index();
    for change in 0..CHANGES {
        let name = &names[rng.usize(..names.len())];
        let cost = voter.change(&[name], 2 + change as i64)?;
        for (times, took) in entry_times.iter_mut().zip(cost.times) {
            times.add(took);
        }
        change_times.add(cost.total());
        entry_bytes = cost.entry_bytes;
        encodings += usize::from(voter.voter.snapshot_index() != snapshot_index);
        snapshot_index = voter.voter.snapshot_index();
    }
    let fields = ["joint_ms", "force_ms", "settled_ms"];
    for (field, times) in fields.into_iter().zip(&entry_times) {
        output.insert(field, times.ms());
    }
    output.insert("change_ms", change_times.ms());
    output.count("changes", CHANGES);
    output.count("encodings", encodings);
    output.count("entry_bytes", entry_bytes);
    Ok(())
}

/// Measures a copy of the log in memory, its encoded size, and the time to encode and decode it.
fn add_encoding(log: &Log, functions: usize, output: &mut OutputRecord) -> Result<(), BenchError> {
    let growth = MemoryGrowth::begin();
    let copy = log.clone();
    output.figure("log_mb", growth.mb());
    drop(copy);
    let (bytes, encoding) = timed(|| encode(log));
    output.count("log_bytes", bytes.len());
    output.figure("scope_bytes", bytes.len() as f64 / functions as f64);
    output.figure("encode_ms", ms(encoding));
    let (decoded, decoding) = timed(|| postcard::from_bytes::<(Log, CatalogSnapshot)>(&bytes));
    let (decoded, catalog) = decoded.map_err(|e| BenchError::failed("the log", e))?;
    output.figure("read_ms", ms(decoding));
    if decoded.with_catalog(catalog) != *log {
        return Err(BenchError::failed(
            "the log",
            "the decoded log differs from the encoded one",
        ));
    }
    output.count("moves_bytes", log.state().history.memory_bytes());
    output.count("largest_bytes", MAX_MESSAGE_BYTES);
    let is_readable = bytes.len() <= MAX_MESSAGE_BYTES;
    output.count("readable", usize::from(is_readable));
    if !is_readable {
        output.add_note("the whole log is more than one message may hold".into());
    }
    Ok(())
}

/// Measures a voter's log file with the catalog: its size, and the time to store a record, store a snapshot, and recover.
pub(crate) fn catalog_file(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let names = inputs::function_names(args.functions, args.seed);
    with_temporary_file("tansy-bench-scopes", |path| {
        measure_file(&names, path, output)
    })
}

fn measure_file(
    names: &[String],
    path: &Path,
    output: &mut OutputRecord,
) -> Result<(), BenchError> {
    let failed = |e| BenchError::failed("the voter's file", e);
    let (storage, _) = LogStorage::open(path).map_err(failed)?;
    let mut voter = CatalogVoter::new(Some(storage))?;
    voter.fill(names)?;
    change_until_snapshot(&mut voter, names)?;
    let writes = &voter.voter.writes;
    output.count("whole_bytes", writes.snapshot_bytes);
    output.count("file_bytes", file_bytes(path));
    output.insert("record_ms", writes.record_times.ms());
    output.insert("whole_ms", writes.snapshot_times.ms());
    let scopes = voter.log()?.catalog().all().len();
    drop(voter);
    let (recovered, took) = timed(|| {
        let (_, records) = LogStorage::open(path).map_err(failed)?;
        SingleVoter::recover(records)
    });
    let recovered = recovered?;
    output.figure("start_ms", ms(took));
    let recovered_scopes = recovered.log()?.catalog().all().len();
    output.count("scopes", recovered_scopes);
    if recovered_scopes != scopes {
        return Err(BenchError::failed(
            "the voter's file",
            "the recovered catalog has a different number of scopes",
        ));
    }
    Ok(())
}

/// Changes functions until the next snapshot, which contains the whole catalog.
fn change_until_snapshot(voter: &mut CatalogVoter, names: &[String]) -> Result<(), BenchError> {
    let before = voter.voter.writes.snapshots;
    let mut change = 0;
    while voter.voter.writes.snapshots == before {
        change += 1;
        voter.change(&[&names[change % names.len()]], 1 + change as i64)?;
    }
    Ok(())
}
