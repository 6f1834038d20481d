//! A consensus group with a single voter, which commits each entry immediately and optionally stores its records in a file.

use crate::measure::{timed, Distribution};
use crate::{inputs, BenchError};
use tansy_agreement::compatibility::Fields;
use tansy_agreement::lease::LeaseTiming;
use tansy_agreement::log::{ApplyOutcome, Log, LogEntry};
use tansy_consensus::{Effect, PersistentState, Replica, ReplicaConfig};
use tansy_storage::voter_log::{LogStorage, RecoveredRecords};

/// Virtual time between two entries.
const ENTRY_INTERVAL: i64 = 50_000;

/// Statistics of a voter's writes.
#[derive(Default)]
pub(crate) struct WriteStatistics {
    /// Write times of records without a snapshot.
    pub record_times: Distribution,
    /// Write times of records with a snapshot.
    pub snapshot_times: Distribution,
    /// Size of the last snapshot.
    pub snapshot_bytes: usize,
    /// Number of snapshots.
    pub snapshots: usize,
    /// Size of the last record.
    pub record_bytes: usize,
}

/// The only voter of its group.
pub(crate) struct SingleVoter {
    replica: Replica,
    now: i64,
    storage: Option<LogStorage>,
    pub writes: WriteStatistics,
}

impl SingleVoter {
    /// Creates a voter whose log starts with these settings.
    pub fn new(
        initial_fields: Fields,
        storage: Option<LogStorage>,
    ) -> Result<SingleVoter, BenchError> {
        SingleVoter::start(initial_fields, &PersistentState::default(), storage)
    }

    /// Creates a voter from the records of its file.
    pub fn recover(recovered: RecoveredRecords) -> Result<SingleVoter, BenchError> {
        let persistent = PersistentState {
            snapshot: recovered.snapshot,
            records: recovered.records,
        };
        SingleVoter::start(Fields::new(), &persistent, None)
    }

    fn start(
        initial_fields: Fields,
        persistent: &PersistentState,
        storage: Option<LogStorage>,
    ) -> Result<SingleVoter, BenchError> {
        let config = ReplicaConfig {
            id: 1,
            incarnation: 1,
            voters: [(1, inputs::address(1, inputs::FLEET_PORT))].into(),
            timing: LeaseTiming {
                span: inputs::LEASE_DURATION,
                drift_ppm: inputs::DRIFT_PPM,
            },
            initial_fields,
            seed: 1,
        };
        let replica = Replica::new(config, persistent, 0)
            .map_err(|e| BenchError::failed("starting the voter", e))?;
        let mut voter = SingleVoter {
            replica,
            now: 0,
            storage,
            writes: WriteStatistics::default(),
        };
        voter.tick()?;
        Ok(voter)
    }

    fn tick(&mut self) -> Result<(), BenchError> {
        let mut effects = Vec::new();
        self.replica.tick(self.now, &mut effects);
        self.execute(effects).map(drop)
    }

    /// Executes effects and their follow-up effects; returns the outcome of the last applied entry.
    fn execute(&mut self, mut effects: Vec<Effect>) -> Result<Option<ApplyOutcome>, BenchError> {
        let mut applied = None;
        while !effects.is_empty() {
            for effect in std::mem::take(&mut effects) {
                match effect {
                    Effect::Persist { record, snapshot } => {
                        self.persist(record, snapshot)?;
                        self.replica.on_persisted(true, &mut effects);
                    }
                    Effect::Applied { outcome, .. } => {
                        let outcome =
                            outcome.map_err(|e| BenchError::failed("applying an entry", e))?;
                        applied = Some(outcome);
                    }
                    Effect::UnknownEntry => {
                        return Err(BenchError::failed(
                            "the log",
                            "an entry is of an unknown kind",
                        ));
                    }
                    Effect::Send { .. } => {}
                }
            }
        }
        Ok(applied)
    }

    fn persist(&mut self, record: Vec<u8>, snapshot: Option<Vec<u8>>) -> Result<(), BenchError> {
        let writes = &mut self.writes;
        writes.record_bytes = record.len();
        if let Some(snapshot) = &snapshot {
            writes.snapshot_bytes = snapshot.len();
            writes.snapshots += 1;
        }
        let Some(storage) = &mut self.storage else {
            return Ok(());
        };
        let (written, took) = timed(|| storage.append(record, snapshot.as_deref()));
        written.map_err(|e| BenchError::failed("the voter's file", e))?;
        let times = if snapshot.is_some() {
            &mut writes.snapshot_times
        } else {
            &mut writes.record_times
        };
        times.add(took);
        Ok(())
    }

    /// The replicated log.
    pub fn log(&self) -> Result<&Log, BenchError> {
        self.replica
            .log()
            .ok_or_else(|| BenchError::failed("the voter", "no log is available"))
    }

    /// Index of the last entry in the latest snapshot.
    pub fn snapshot_index(&self) -> u64 {
        self.replica.snapshot_index()
    }

    /// Appends an entry and applies it.
    pub fn append(&mut self, entry: LogEntry) -> Result<(), BenchError> {
        self.now += ENTRY_INTERVAL;
        self.tick()?;
        let mut effects = Vec::new();
        self.replica
            .propose(entry, &mut effects)
            .ok_or_else(|| BenchError::failed("the voter", "not the leader"))?;
        self.execute(effects)?
            .map(drop)
            .ok_or_else(|| BenchError::failed("appending an entry", "the entry was not applied"))
    }
}
