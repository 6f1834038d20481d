//! A seat's records, held before anything of them is told.

use crate::store::{Error, Recovered, Store};
use std::path::Path;

/// What a seat's file holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// The whole as it was once.
    pub whole: Option<Vec<u8>>,
    /// Records after it, in their order.
    pub records: Vec<Vec<u8>>,
}

/// A seat's file.
#[derive(Debug)]
pub struct Records {
    store: Store,
}

impl Records {
    /// Opens the file, or makes it; what it holds comes with it.
    pub fn open(path: &Path) -> Result<(Records, Held), Error> {
        Ok(Records::of(Store::open(path)?))
    }

    /// On what was recovered of a store.
    pub fn of((store, held): (Store, Recovered)) -> (Records, Held) {
        let whole = held.snapshot.map(|(_, bytes)| bytes);
        let records = held.entries.into_iter().map(|(_, bytes)| bytes).collect();
        (Records { store }, Held { whole, records })
    }

    /// Holds a record: it is synced when this returns, or nothing of it can be relied on. A whole takes the place of all
    /// before it, this record included.
    pub fn hold(&mut self, record: Vec<u8>, whole: Option<&[u8]>) -> Result<(), Error> {
        let number = self.store.next();
        self.store.append(number, &[record])?;
        match whole {
            Some(bytes) => self.store.snapshot(number, bytes),
            None => Ok(()),
        }
    }
}
