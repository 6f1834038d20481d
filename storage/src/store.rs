//! A snapshot and the entries after it, in one file.
//!
//! The file is a `redb` database, which has checksums and atomic transactions. Entries are numbered without gaps, and
//! entries that are appended together are stored in one transaction. The file states its format; a file of a later format
//! is rejected before anything else is read.

use redb::{
    Database, ReadTransaction, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition,
    TableError,
};
use std::path::Path;

/// Format of the files that this program writes.
pub const FORMAT_VERSION: u64 = 1;
/// Maximum size of an entry or a snapshot.
pub const MAX_ENTRY_BYTES: usize = 16 << 20;
/// Size of the page cache.
const CACHE_BYTES: usize = 4 << 20;

const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
const FORMAT_KEY: &str = "format";
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
const SNAPSHOT: TableDefinition<u64, &[u8]> = TableDefinition::new("snapshot");

/// Errors of opening, reading and writing a file.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file has a later format than this program supports.
    #[error(
        "the state file has format {found}, but this program supports formats up to {}: upgrade this program",
        FORMAT_VERSION
    )]
    NewerFormat {
        /// Format of the file.
        found: u64,
    },
    /// Another process has the file open.
    #[error("another process has the state file open: stop that process first")]
    InUse,
    /// The file can't be opened, read or written. Its earlier content is unchanged.
    #[error("error in the state file: {0}; check free disk space and permissions, then restart")]
    File(redb::Error),
    /// An entry is missing in the file.
    #[error("the state file has entry {found} in place of entry {expected}: restore the file from another voter")]
    Gap {
        /// Number of the missing entry.
        expected: u64,
        /// Number of the entry in its place.
        found: u64,
    },
    /// The number of an entry to append is not the next one.
    #[error("entry {given} is out of order: the next entry is {expected}")]
    OutOfOrder {
        /// The next number.
        expected: u64,
        /// The given number.
        given: u64,
    },
    /// An entry or snapshot is larger than [`MAX_ENTRY_BYTES`].
    #[error(
        "size of {bytes} bytes exceeds the maximum of {} bytes",
        MAX_ENTRY_BYTES
    )]
    TooLarge {
        /// Size of the entry or snapshot.
        bytes: usize,
    },
}

impl Error {
    /// Whether the same call may succeed later, because the disk is full or failing, or another process has the file open.
    pub fn is_transient(&self) -> bool {
        matches!(self, Error::File(_) | Error::InUse)
    }
}

impl<E: Into<redb::Error>> From<E> for Error {
    fn from(error: E) -> Error {
        match error.into() {
            redb::Error::DatabaseAlreadyOpen => Error::InUse,
            error => Error::File(error),
        }
    }
}

/// The content of a file when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredLog {
    /// The number of the last entry that the snapshot covers, and the snapshot.
    pub snapshot: Option<(u64, Vec<u8>)>,
    /// Numbers and content of the entries after the snapshot, without gaps.
    pub entries: Vec<(u64, Vec<u8>)>,
}

impl RecoveredLog {
    fn last_number(&self) -> Option<u64> {
        let last_entry = self.entries.last().map(|(number, _)| *number);
        last_entry.or(self.snapshot.as_ref().map(|(number, _)| *number))
    }
}

/// An open file with a snapshot and the entries after it.
#[derive(Debug)]
pub struct Store {
    database: Database,
    next_number: u64,
}

impl Store {
    /// Opens or creates a file, and returns its content.
    pub fn open(path: &Path) -> Result<(Store, RecoveredLog), Error> {
        Store::recover(builder().create(path)?)
    }

    /// Opens a store on another storage backend, for tests with injected faults.
    pub fn with_backend(backend: impl StorageBackend) -> Result<(Store, RecoveredLog), Error> {
        Store::recover(builder().create_with_backend(backend)?)
    }

    /// The number of the next entry.
    pub fn next_number(&self) -> u64 {
        self.next_number
    }

    /// Appends entries, numbered from `first`, in one transaction that is synced when this returns. After
    /// [`Error::File`] the file has to be opened again before anything else can be stored.
    pub fn append(&mut self, first: u64, entries: &[Vec<u8>]) -> Result<(), Error> {
        if first != self.next_number {
            return Err(Error::OutOfOrder {
                expected: self.next_number,
                given: first,
            });
        }
        entries.iter().try_for_each(|entry| check_size(entry))?;
        let transaction = self.database.begin_write()?;
        {
            let mut table = transaction.open_table(ENTRIES)?;
            for (number, entry) in (first..).zip(entries) {
                table.insert(number, entry.as_slice())?;
            }
        }
        transaction.commit()?;
        self.next_number = first + entries.len() as u64;
        Ok(())
    }

    /// Stores a snapshot that covers all entries up to `last_covered`, and removes these and earlier snapshots.
    pub fn snapshot(&mut self, last_covered: u64, bytes: &[u8]) -> Result<(), Error> {
        if last_covered >= self.next_number {
            return Err(Error::OutOfOrder {
                expected: self.next_number,
                given: last_covered,
            });
        }
        check_size(bytes)?;
        let transaction = self.database.begin_write()?;
        {
            let mut snapshots = transaction.open_table(SNAPSHOT)?;
            snapshots.retain(|number, _| number > last_covered)?;
            snapshots.insert(last_covered, bytes)?;
            let mut entries = transaction.open_table(ENTRIES)?;
            entries.retain(|number, _| number > last_covered)?;
        }
        transaction.commit()?;
        Ok(())
    }

    fn recover(database: Database) -> Result<(Store, RecoveredLog), Error> {
        let format = read_format(&database.begin_read()?)?;
        match format {
            Some(found) if found > FORMAT_VERSION => return Err(Error::NewerFormat { found }),
            Some(_) => {}
            None => create_tables(&database)?,
        }
        let recovered = read_log(&database.begin_read()?)?;
        let next_number = recovered.last_number().map_or(1, |last| last + 1);
        let store = Store {
            database,
            next_number,
        };
        Ok((store, recovered))
    }
}

fn builder() -> redb::Builder {
    let mut builder = redb::Builder::new();
    builder.set_cache_size(CACHE_BYTES);
    builder
}

/// The format that the file states; `None` for a new file.
fn read_format(transaction: &ReadTransaction) -> Result<Option<u64>, Error> {
    match transaction.open_table(META) {
        Ok(meta) => Ok(meta.get(FORMAT_KEY)?.map(|format| format.value())),
        Err(TableError::TableDoesNotExist(_)) => Ok(None),
        Err(error) => Err(error.into()),
    }
}

fn create_tables(database: &Database) -> Result<(), Error> {
    let transaction = database.begin_write()?;
    transaction
        .open_table(META)?
        .insert(FORMAT_KEY, FORMAT_VERSION)?;
    transaction.open_table(ENTRIES)?;
    transaction.open_table(SNAPSHOT)?;
    transaction.commit()?;
    Ok(())
}

fn read_log(transaction: &ReadTransaction) -> Result<RecoveredLog, Error> {
    let snapshot = transaction
        .open_table(SNAPSHOT)?
        .last()?
        .map(|(number, bytes)| (number.value(), bytes.value().to_vec()));
    let first = snapshot.as_ref().map_or(1, |(number, _)| number + 1);
    let mut entries = Vec::new();
    let table = transaction.open_table(ENTRIES)?;
    for (expected, entry) in (first..).zip(table.range(first..)?) {
        let (number, bytes) = entry?;
        if number.value() != expected {
            return Err(Error::Gap {
                expected,
                found: number.value(),
            });
        }
        entries.push((expected, bytes.value().to_vec()));
    }
    Ok(RecoveredLog { snapshot, entries })
}

fn check_size(bytes: &[u8]) -> Result<(), Error> {
    if bytes.len() > MAX_ENTRY_BYTES {
        return Err(Error::TooLarge { bytes: bytes.len() });
    }
    Ok(())
}
