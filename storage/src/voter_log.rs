//! The write-ahead log of a voter: records are synced before anything that depends on them is sent.

use crate::store::{Error, RecoveredLog, Store};
use std::path::{Path, PathBuf};

/// What a voter's file holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredRecords {
    /// The last snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// The records after it, in order.
    pub records: Vec<Vec<u8>>,
}

/// A voter's file.
#[derive(Debug)]
pub struct LogStorage {
    store: Store,
}

impl LogStorage {
    /// Opens or creates the file, and returns what it holds.
    pub fn open(path: &Path) -> Result<(LogStorage, RecoveredRecords), Error> {
        Ok(LogStorage::from_store(Store::open(path)?))
    }

    /// On a store, with what was recovered of it.
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

    /// Stores a record: it is synced when this returns, else it may be stored or not. A snapshot replaces all records up to
    /// and including this one.
    pub fn append(&mut self, record: Vec<u8>, snapshot: Option<&[u8]>) -> Result<(), Error> {
        let number = self.store.next_number();
        self.store.append(number, &[record])?;
        self.replace(number, snapshot)
    }

    /// Replaces all records up to this number by a snapshot, if there is one. Doing so again changes nothing.
    fn replace(&mut self, last_covered: u64, snapshot: Option<&[u8]>) -> Result<(), Error> {
        match snapshot {
            Some(bytes) => self.store.snapshot(last_covered, bytes),
            None => Ok(()),
        }
    }
}

/// Opens a file, at the start and after an error.
type Opener = Box<dyn FnMut() -> Result<(LogStorage, RecoveredRecords), Error> + Send>;

/// A voter's file through errors of the disk. After an error it is opened and read again, which shows whether the record
/// was stored.
pub struct RetryingLogStorage {
    opener: Opener,
    /// None: the last call failed, and the file is closed.
    storage: Option<LogStorage>,
    /// The number of the record that is to be stored next.
    next_number: u64,
}

impl RetryingLogStorage {
    /// Opens or creates the file, and returns what it holds.
    pub fn open(path: &Path) -> Result<(RetryingLogStorage, RecoveredRecords), Error> {
        let path: PathBuf = path.to_path_buf();
        RetryingLogStorage::with_opener(Box::new(move || LogStorage::open(&path)))
    }

    /// The same by any way of opening it.
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

    /// Stores a record, and a snapshot that replaces all records up to it: both are synced when this returns. After an
    /// error that [is transient](Error::is_transient) the caller repeats the call with the same arguments, and each of them is
    /// stored once.
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
            // The last attempt stored the record and failed afterwards.
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
