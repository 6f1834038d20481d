//! Entries after a snapshot, in one file.
//!
//! The file is a `redb` database: pages with checksums, and a commit that a crash leaves whole or undone. Entries are
//! numbered without gaps; several that come together are synced together. The format's number stands in the file, and a
//! program refuses a file of a later one before it reads anything of it.

use redb::{
    Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition, TableError,
};
use std::path::Path;

/// This program's format.
pub const FORMAT: u64 = 1;
/// Bytes of one entry or snapshot.
pub const LARGEST: usize = 16 << 20;
/// Memory for pages read.
const CACHE: usize = 4 << 20;

const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
const SNAPSHOT: TableDefinition<u64, &[u8]> = TableDefinition::new("snapshot");

/// Why something is not held, or can't be read.
#[derive(Debug)]
pub enum Error {
    /// The file's format is later than this program's.
    Newer {
        /// The file's.
        found: u64,
    },
    /// Another process has the file open.
    Used,
    /// The file can't be opened, read or written; what was held before is held still.
    File(redb::Error),
    /// The file's entries don't follow each other.
    Gap {
        /// The number that is missing.
        wanted: u64,
        /// The one that stands there.
        found: u64,
    },
    /// An entry is not the next one.
    Order {
        /// The next number.
        wanted: u64,
        /// The one given.
        given: u64,
    },
    /// An entry or snapshot is larger than [`LARGEST`].
    Large {
        /// Its bytes.
        bytes: usize,
    },
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Newer { found } => write!(
                f,
                "the state file has format {found}, this program knows up to {FORMAT}: start the later program"
            ),
            Error::Used => write!(f, "another process has the state file open: end it first"),
            Error::File(e) => write!(f, "the state file: {e}; free room or mend its rights, then start again"),
            Error::Gap { wanted, found } => {
                write!(f, "the state file lacks entry {wanted}, {found} stands there: restore it from another seat")
            }
            Error::Order { wanted, given } => write!(f, "entry {given} was given where {wanted} is next"),
            Error::Large { bytes } => write!(f, "{bytes} bytes are more than the {LARGEST} that an entry may have"),
        }
    }
}
impl std::error::Error for Error {}

impl Error {
    /// Whether the same may be taken later: a disk that is full or fails, another process that has the file yet.
    pub fn may_pass(&self) -> bool {
        matches!(self, Error::File(_) | Error::Used)
    }
}

impl<E: Into<redb::Error>> From<E> for Error {
    fn from(e: E) -> Error {
        match e.into() {
            redb::Error::DatabaseAlreadyOpen => Error::Used,
            e => Error::File(e),
        }
    }
}

/// What a file held when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredLog {
    /// The last entry that the snapshot covers, and the snapshot.
    pub snapshot: Option<(u64, Vec<u8>)>,
    /// Entries after it, in order, without gaps.
    pub entries: Vec<(u64, Vec<u8>)>,
}

/// An open file.
#[derive(Debug)]
pub struct Store {
    db: Database,
    next: u64,
}

impl Store {
    /// Opens a file, or makes it; what it holds comes with it.
    pub fn open(path: &Path) -> Result<(Store, RecoveredLog), Error> {
        Store::of(redb::Builder::new().set_cache_size(CACHE).create(path)?)
    }

    /// The same on another sort of storage, for tests of what goes wrong there.
    pub fn on(backend: impl StorageBackend) -> Result<(Store, RecoveredLog), Error> {
        Store::of(
            redb::Builder::new()
                .set_cache_size(CACHE)
                .create_with_backend(backend)?,
        )
    }

    fn of(db: Database) -> Result<(Store, RecoveredLog), Error> {
        let read = db.begin_read()?;
        let format = match read.open_table(META) {
            Ok(meta) => meta.get("format")?.map(|f| f.value()),
            Err(TableError::TableDoesNotExist(_)) => None,
            Err(e) => return Err(e.into()),
        };
        if let Some(found) = format.filter(|f| *f > FORMAT) {
            return Err(Error::Newer { found });
        }
        drop(read);
        if format.is_none() {
            let write = db.begin_write()?;
            write.open_table(META)?.insert("format", FORMAT)?;
            write.open_table(ENTRIES)?;
            write.open_table(SNAPSHOT)?;
            write.commit()?;
        }
        let recovered = Store::recover(&db)?;
        let last = recovered
            .entries
            .last()
            .map(|e| e.0)
            .or(recovered.snapshot.as_ref().map(|s| s.0));
        Ok((
            Store {
                db,
                next: last.map_or(1, |l| l + 1),
            },
            recovered,
        ))
    }

    fn recover(db: &Database) -> Result<RecoveredLog, Error> {
        let read = db.begin_read()?;
        let snapshot = read
            .open_table(SNAPSHOT)?
            .last()?
            .map(|(n, bytes)| (n.value(), bytes.value().to_vec()));
        let first = snapshot.as_ref().map_or(1, |s| s.0 + 1);
        let mut entries = Vec::new();
        for (wanted, entry) in (first..).zip(read.open_table(ENTRIES)?.range(first..)?) {
            let (n, bytes) = entry?;
            if n.value() != wanted {
                return Err(Error::Gap {
                    wanted,
                    found: n.value(),
                });
            }
            entries.push((wanted, bytes.value().to_vec()));
        }
        Ok(RecoveredLog { snapshot, entries })
    }

    /// The number that the next entry has.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Holds these entries, the first with this number; all are synced when it returns, or none is held. After an error
    /// of the file nothing more is taken until it is opened again.
    pub fn append(&mut self, first: u64, entries: &[Vec<u8>]) -> Result<(), Error> {
        if first != self.next {
            return Err(Error::Order {
                wanted: self.next,
                given: first,
            });
        }
        if let Some(large) = entries.iter().find(|e| e.len() > LARGEST) {
            return Err(Error::Large { bytes: large.len() });
        }
        let write = self.db.begin_write()?;
        {
            let mut table = write.open_table(ENTRIES)?;
            for (n, entry) in entries.iter().enumerate() {
                table.insert(first + n as u64, entry.as_slice())?;
            }
        }
        write.commit()?;
        self.next = first + entries.len() as u64;
        Ok(())
    }

    /// Holds a snapshot that covers entries up to this one, and lets go of those and of the snapshot before.
    pub fn snapshot(&mut self, upto: u64, bytes: &[u8]) -> Result<(), Error> {
        if upto >= self.next {
            return Err(Error::Order {
                wanted: self.next,
                given: upto,
            });
        } else if bytes.len() > LARGEST {
            return Err(Error::Large { bytes: bytes.len() });
        }
        let write = self.db.begin_write()?;
        {
            let mut table = write.open_table(SNAPSHOT)?;
            table.retain(|n, _| n > upto)?;
            table.insert(upto, bytes)?;
            write.open_table(ENTRIES)?.retain(|n, _| n > upto)?;
        }
        write.commit()?;
        Ok(())
    }
}
