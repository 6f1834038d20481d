//! The agreed log of a fleet with one seat, held before it is told.

use crate::store::{Error as StoreError, Store};
use std::path::Path;
use tansy_agree::log::{Applied, Entry, Log, Refused};
use tansy_agree::rule::Fields;

/// Entries after which a snapshot takes their place.
const SNAPSHOT_EVERY: u64 = 256;

/// Why an entry changed nothing.
#[derive(Debug)]
pub enum Error {
    /// The log refuses it.
    Refused(Refused),
    /// It can't be held; the seat has to start again.
    Store(StoreError),
    /// What the file holds can't be read as entries of a log.
    Content {
        /// Of which number.
        entry: u64,
        /// Why.
        why: postcard::Error,
    },
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Refused(r) => write!(f, "{r}"),
            Error::Store(e) => write!(f, "{e}"),
            Error::Content { entry, why } => {
                write!(
                    f,
                    "entry {entry} of the state file can't be read: {why}; restore it from another seat"
                )
            }
        }
    }
}
impl std::error::Error for Error {}

impl From<StoreError> for Error {
    fn from(e: StoreError) -> Error {
        Error::Store(e)
    }
}

/// A seat.
#[derive(Debug)]
pub struct Seat {
    log: Log,
    store: Store,
}

impl Seat {
    /// Opens the seat's file. A fleet that begins has these fields as its first version; else they are not looked at.
    pub fn open(path: &Path, first: Fields) -> Result<Seat, Error> {
        Seat::of(Store::open(path)?, first)
    }

    /// A seat on what was recovered of a store.
    pub fn of((store, held): (Store, crate::store::Recovered), first: Fields) -> Result<Seat, Error> {
        let begins = held.snapshot.is_none() && held.entries.is_empty();
        let mut seat = Seat { log: Log::new(first), store };
        if let Some((entry, bytes)) = held.snapshot {
            seat.log = postcard::from_bytes(&bytes).map_err(|why| Error::Content { entry, why })?;
        }
        for (entry, bytes) in held.entries {
            match postcard::from_bytes(&bytes).map_err(|why| Error::Content { entry, why })? {
                Held::First(fields) => seat.log = Log::new(fields),
                // What was refused then is refused now: it was held for nothing, and changes nothing.
                Held::Entry(e) => drop(seat.log.apply(e)),
            }
        }
        if begins {
            let fields = seat.log.state().force.fields.clone();
            seat.hold(&Held::First(fields))?;
        }
        Ok(seat)
    }

    /// The log as it is held.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Enters an entry: it is held when this returns, or nothing is changed.
    pub fn enter(&mut self, entry: Entry) -> Result<Applied, Error> {
        let mut log = self.log.clone();
        let applied = log.apply(entry.clone()).map_err(Error::Refused)?;
        if matches!(applied, Applied::Again(_)) {
            return Ok(applied);
        }
        self.hold(&Held::Entry(entry))?;
        self.log = log;
        let upto = self.store.next() - 1;
        if upto.is_multiple_of(SNAPSHOT_EVERY) {
            let bytes = postcard::to_stdvec(&self.log).map_err(|why| Error::Content { entry: upto, why })?;
            self.store.snapshot(upto, &bytes)?;
        }
        Ok(applied)
    }

    fn hold(&mut self, held: &Held) -> Result<(), Error> {
        let entry = self.store.next();
        let bytes = postcard::to_stdvec(held).map_err(|why| Error::Content { entry, why })?;
        Ok(self.store.append(entry, &[bytes])?)
    }
}

/// What an entry of the file is.
#[derive(serde::Serialize, serde::Deserialize)]
enum Held {
    /// The fields that the fleet begins with.
    First(Fields),
    /// An entry of the log.
    Entry(Entry),
}
