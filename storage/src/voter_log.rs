//! The write-ahead log of a voter. Records are synced before messages that depend on them are sent.

use crate::store::{Error, RecoveredLog, Store};
use std::path::{Path, PathBuf};

/// The content of a voter's log file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredRecords {
    /// The last snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// The records after the snapshot, in order.
    pub records: Vec<Vec<u8>>,
}

/// A voter's log file.
#[derive(Debug)]
pub struct LogStorage {
    store: Store,
}

impl LogStorage {
    /// Opens or creates the file, and returns its content.
    pub fn open(path: &Path) -> Result<(LogStorage, RecoveredRecords), Error> {
        Ok(LogStorage::from_store(Store::open(path)?))
    }

    /// Uses a store that is open, with the content recovered from it.
    pub fn from_store((store, recovered): (Store, RecoveredLog)) -> (LogStorage, RecoveredRecords) {
        let records = RecoveredRecords {
            snapshot: recovered.snapshot.map(|(_, bytes)| bytes),
            records: recovered
                .entries
                .into_iter()
                .map(|(_, bytes)| bytes)
                .collect(),
        };
        (LogStorage { store }, records)
    }

    /// The number of the next record.
    pub fn next_number(&self) -> u64 {
        self.store.next_number()
    }

    /// Stores a record and syncs it. After an error the record may be stored or not. A snapshot replaces all records up to
    /// and including this one.
    pub fn append(&mut self, record: Vec<u8>, snapshot: Option<&[u8]>) -> Result<(), Error> {
        let number = self.store.next_number();
        self.store.append(number, &[record])?;
        self.replace(number, snapshot)
    }

    /// Replaces all records up to this number with a snapshot, if one is given. This is idempotent.
    fn replace(&mut self, last_covered: u64, snapshot: Option<&[u8]>) -> Result<(), Error> {
        match snapshot {
            Some(bytes) => self.store.snapshot(last_covered, bytes),
            None => Ok(()),
        }
    }
}

/// Opens the file, at the start and after each error.
type Opener = Box<dyn FnMut() -> Result<(LogStorage, RecoveredRecords), Error> + Send>;

/// A voter's log file that survives errors of the disk. After an error the file is opened again, which shows whether the
/// record was stored.
pub struct RetryingLogStorage {
    opener: Opener,
    /// `None` after a failed call, which closes the file.
    storage: Option<LogStorage>,
    /// The number of the next record.
    next_number: u64,
}

impl RetryingLogStorage {
    /// Opens or creates the file, and returns its content.
    pub fn open(path: &Path) -> Result<(RetryingLogStorage, RecoveredRecords), Error> {
        let path: PathBuf = path.to_path_buf();
        RetryingLogStorage::with_opener(Box::new(move || LogStorage::open(&path)))
    }

    /// Opens the file by a function, which is called again after each error.
    pub fn with_opener(
        mut opener: Opener,
    ) -> Result<(RetryingLogStorage, RecoveredRecords), Error> {
        let (storage, recovered) = opener()?;
        let retrying = RetryingLogStorage {
            opener,
            next_number: storage.next_number(),
            storage: Some(storage),
        };
        Ok((retrying, recovered))
    }

    /// Stores and syncs a record, and a snapshot that replaces all records up to it. After a
    /// [transient](Error::is_transient) error the caller repeats the call with the same arguments; the record is stored only
    /// once.
    pub fn append(&mut self, record: &[u8], snapshot: Option<&[u8]>) -> Result<(), Error> {
        // A failed attempt leaves the file closed.
        let storage = self.attempt(record, snapshot)?;
        self.storage = Some(storage);
        self.next_number += 1;
        Ok(())
    }

    fn attempt(&mut self, record: &[u8], snapshot: Option<&[u8]>) -> Result<LogStorage, Error> {
        let mut storage = match self.storage.take() {
            Some(storage) => storage,
            None => (self.opener)()?.0,
        };
        if storage.next_number() == self.next_number + 1 {
            // The last attempt failed after it had stored the record.
            storage.replace(self.next_number, snapshot)?;
        } else if storage.next_number() == self.next_number {
            storage.append(record.to_vec(), snapshot)?;
        } else {
            return Err(Error::Gap {
                expected: self.next_number,
                found: storage.next_number(),
            });
        }
        Ok(storage)
    }
}
