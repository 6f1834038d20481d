//! A voter's log on a thread of its own.
//!
//! A write that fails for a while is retried until it succeeds: to the voter that is a slow disk, and it acknowledges no record
//! before the record is persisted.

use calloop::channel::{channel, Channel};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};
use tansy_storage::store::Error;
use tansy_storage::voter_log::{RecoveredRecords, RetryingLogStorage};
use thiserror::Error as ThisError;

/// Time between the first two attempts; it doubles with each further one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The most time between two attempts.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time between two log lines about a disk that goes on failing.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Why a record is not persisted.
#[derive(Debug, ThisError)]
pub enum PersistError {
    /// The storage failed for good.
    #[error(transparent)]
    Storage(#[from] Error),
    /// The storage's thread has ended after an earlier failure.
    #[error("the voter's storage thread has ended")]
    ThreadEnded,
}

/// The result of persisting a record.
pub type PersistResult = Result<(), PersistError>;

/// A record, and the snapshot that replaces it and all before it, if any.
struct Entry {
    record: Vec<u8>,
    snapshot: Option<Vec<u8>>,
}

/// A voter's log. Records are persisted one after another; the result of each arrives on the event loop.
pub struct VoterStorage {
    entries: mpsc::Sender<Entry>,
    /// Nobody waits for results any more: a failing write is given up.
    cancelled: Arc<AtomicBool>,
}

impl Drop for VoterStorage {
    fn drop(&mut self) {
        self.cancelled.store(true, Ordering::SeqCst);
    }
}

impl VoterStorage {
    /// Opens or creates the file: the storage, what was recovered, and the channel of results.
    pub fn open(
        path: &Path,
    ) -> Result<(VoterStorage, RecoveredRecords, Channel<PersistResult>), Error> {
        let (log, recovered) = RetryingLogStorage::open(path)?;
        let (storage, results) = VoterStorage::start(log);
        Ok((storage, recovered, results))
    }

    /// Starts the thread on an open log.
    pub fn start(mut log: RetryingLogStorage) -> (VoterStorage, Channel<PersistResult>) {
        let (entries, received) = mpsc::channel::<Entry>();
        let (sender, results) = channel();
        let cancelled = Arc::new(AtomicBool::new(false));
        let thread_cancelled = cancelled.clone();
        // The thread ends with the sender, or with a permanent error: the state after that is known once the file is read
        // again.
        std::thread::spawn(move || {
            while let Ok(entry) = received.recv() {
                let result = persist(&mut log, &entry, &thread_cancelled);
                let failed = result.is_err();
                if sender.send(result.map_err(PersistError::from)).is_err() || failed {
                    return;
                }
            }
        });
        (VoterStorage { entries, cancelled }, results)
    }

    /// Persists a record; false: the thread has ended.
    pub fn persist(&self, record: Vec<u8>, snapshot: Option<Vec<u8>>) -> bool {
        self.entries.send(Entry { record, snapshot }).is_ok()
    }
}

/// Retries until the record is persisted, the error is permanent, or it is cancelled.
fn persist(
    log: &mut RetryingLogStorage,
    entry: &Entry,
    cancelled: &AtomicBool,
) -> Result<(), Error> {
    let started = Instant::now();
    let mut delay = MIN_RETRY_DELAY;
    let mut next_log_line = started;
    loop {
        match log.append(&entry.record, entry.snapshot.as_deref()) {
            Err(error) if error.is_transient() && !cancelled.load(Ordering::SeqCst) => {
                if Instant::now() >= next_log_line {
                    next_log_line = Instant::now() + LOG_INTERVAL;
                    tracing::warn!(%error, "voter storage rejects writes; retrying");
                }
                std::thread::sleep(delay);
                delay = (delay * 2).min(MAX_RETRY_DELAY);
            }
            result => {
                if delay > MIN_RETRY_DELAY && result.is_ok() {
                    tracing::info!(after = ?started.elapsed(), "voter storage accepts writes again");
                }
                return result;
            }
        }
    }
}
