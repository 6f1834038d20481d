//! Persists a voter's log on a separate thread.
//!
//! Writes with transient errors are retried until they succeed. The voter sees only a slow disk: it acknowledges no record
//! before the record is persisted.

use calloop::channel::{channel, Channel};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};
use tansy_storage::store::Error;
use tansy_storage::voter_log::{RecoveredRecords, RetryingLogStorage};
use thiserror::Error as ThisError;

/// The delay before the first retry of a write. It doubles with each further retry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The longest delay between two retries.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// The shortest time between two log lines about writes that keep failing.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Why a record was not persisted.
#[derive(Debug, ThisError)]
pub enum PersistError {
    /// The storage failed permanently.
    #[error(transparent)]
    Storage(#[from] Error),
    /// The storage's thread has ended after an earlier failure.
    #[error("the voter's storage thread has ended")]
    ThreadEnded,
}

/// The result of persisting a record.
pub type PersistResult = Result<(), PersistError>;

/// A record, and optionally a snapshot that replaces this record and all earlier ones.
struct Entry {
    record: Vec<u8>,
    snapshot: Option<Vec<u8>>,
}

/// A voter's log. Records are persisted in order, and the result of each is sent to the event loop.
pub struct VoterStorage {
    entries: mpsc::Sender<Entry>,
    /// Set once the results are no longer needed; a failing write is then not retried.
    cancelled: Arc<AtomicBool>,
}

impl Drop for VoterStorage {
    fn drop(&mut self) {
        self.cancelled.store(true, Ordering::SeqCst);
    }
}

impl VoterStorage {
    /// Opens or creates the file. Returns the storage, the recovered records and the channel of results.
    pub fn open(
        path: &Path,
    ) -> Result<(VoterStorage, RecoveredRecords, Channel<PersistResult>), Error> {
        let (log, recovered) = RetryingLogStorage::open(path)?;
        let (storage, results) = VoterStorage::start(log);
        Ok((storage, recovered, results))
    }

    /// Starts the storage thread on an open log.
    pub fn start(mut log: RetryingLogStorage) -> (VoterStorage, Channel<PersistResult>) {
        let (entries, received) = mpsc::channel::<Entry>();
        let (sender, results) = channel();
        let cancelled = Arc::new(AtomicBool::new(false));
        let thread_cancelled = cancelled.clone();
        // The thread ends when the storage is dropped, and after a permanent error: what the file contains then is known
        // only once it is read again.
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

    /// Queues a record to be persisted; returns false if the thread has ended.
    pub fn persist(&self, record: Vec<u8>, snapshot: Option<Vec<u8>>) -> bool {
        self.entries.send(Entry { record, snapshot }).is_ok()
    }
}

/// Appends a record to the log, with retries until it is persisted, a permanent error occurs, or retries are cancelled.
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
