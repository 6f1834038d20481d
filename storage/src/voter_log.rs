//! A seat's records, held before anything of them is told.

use crate::store::{Error, RecoveredLog, Store};
use std::path::{Path, PathBuf};

/// What a seat's file holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredRecords {
    /// The whole as it was once.
    pub snapshot: Option<Vec<u8>>,
    /// Records after it, in their order.
    pub records: Vec<Vec<u8>>,
}

/// A seat's file.
#[derive(Debug)]
pub struct LogStorage {
    store: Store,
}

impl LogStorage {
    /// Opens the file, or makes it; what it holds comes with it.
    pub fn open(path: &Path) -> Result<(LogStorage, RecoveredRecords), Error> {
        Ok(LogStorage::of(Store::open(path)?))
    }

    /// On what was recovered of a store.
    pub fn of((store, held): (Store, RecoveredLog)) -> (LogStorage, RecoveredRecords) {
        let whole = held.snapshot.map(|(_, bytes)| bytes);
        let records = held.entries.into_iter().map(|(_, bytes)| bytes).collect();
        (
            LogStorage { store },
            RecoveredRecords {
                snapshot: whole,
                records,
            },
        )
    }

    /// The number that the next record has.
    pub fn next(&self) -> u64 {
        self.store.next()
    }

    /// Holds a record: it is synced when this returns, or nothing of it can be relied on. A whole takes the place of all
    /// before it, this record included.
    pub fn append(&mut self, record: Vec<u8>, whole: Option<&[u8]>) -> Result<(), Error> {
        let number = self.store.next();
        self.store.append(number, &[record])?;
        self.cover(number, whole)
    }

    /// Has a whole take the place of all records up to this number; the same again changes nothing.
    fn cover(&mut self, number: u64, whole: Option<&[u8]>) -> Result<(), Error> {
        match whole {
            Some(bytes) => self.store.snapshot(number, bytes),
            None => Ok(()),
        }
    }
}

/// How a file is opened, at the start and after an error.
type Open = Box<dyn FnMut() -> Result<(LogStorage, RecoveredRecords), Error> + Send>;

/// A seat's file through errors of the disk: after one it is opened and read anew, which tells what of the record is held.
pub struct RetryingLogStorage {
    open: Open,
    /// None: the last call failed, and the file is closed.
    records: Option<LogStorage>,
    /// The number of the record that is to be held next.
    next: u64,
}

impl RetryingLogStorage {
    /// Opens the file, or makes it; what it holds comes with it.
    pub fn open(path: &Path) -> Result<(RetryingLogStorage, RecoveredRecords), Error> {
        let path: PathBuf = path.to_path_buf();
        RetryingLogStorage::with(Box::new(move || LogStorage::open(&path)))
    }

    /// The same by any way of opening it.
    pub fn with(mut open: Open) -> Result<(RetryingLogStorage, RecoveredRecords), Error> {
        let (records, held) = open()?;
        let next = records.next();
        Ok((
            RetryingLogStorage {
                open,
                records: Some(records),
                next,
            },
            held,
        ))
    }

    /// Holds a record, and a whole that takes the place of all up to it: both are synced when this returns. After an error
    /// that [may pass](Error::may_pass) it is called again with the same ones, and each of them is held once.
    pub fn append(&mut self, record: &[u8], whole: Option<&[u8]>) -> Result<(), Error> {
        let done = self.try_hold(record, whole);
        match &done {
            Ok(()) => self.next += 1,
            Err(_) => self.records = None,
        }
        done
    }

    fn try_hold(&mut self, record: &[u8], whole: Option<&[u8]>) -> Result<(), Error> {
        let mut records = match self.records.take() {
            Some(records) => records,
            None => (self.open)()?.0,
        };
        if records.next() == self.next + 1 {
            // It was held, and the error came after that.
            records.cover(self.next, whole)?;
        } else if records.next() == self.next {
            records.append(record.to_vec(), whole)?;
        } else {
            return Err(Error::Gap {
                wanted: self.next,
                found: records.next(),
            });
        }
        self.records = Some(records);
        Ok(())
    }
}
