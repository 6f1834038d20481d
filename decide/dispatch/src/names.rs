//! Names and the router's numbers for them: a hash of the name, so that every front end gives a name the same number
//! without asking another.

use std::collections::HashMap;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// Names of one kind and their numbers.
#[derive(Debug, Default)]
pub struct NameTable {
    by_id: HashMap<u64, String>,
}

/// Two names with one number: the later cannot be added without mixing up the two at some front end.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{name:?} hashes to the number of {existing:?}: give it another name")]
pub struct NameCollision {
    /// The name that was not added.
    pub name: String,
    /// The name that has its number.
    pub existing: String,
}

/// The number of a name, whether a table has it or not.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

impl NameTable {
    /// Adds a name, unless the table has it; gives its number.
    pub fn intern(&mut self, name: &str) -> Result<u64, NameCollision> {
        let id = name_hash(name);
        match self.by_id.get(&id) {
            Some(existing) if existing != name => Err(NameCollision {
                name: name.into(),
                existing: existing.clone(),
            }),
            Some(_) => Ok(id),
            None => {
                self.by_id.insert(id, name.into());
                Ok(id)
            }
        }
    }

    /// The name of a number.
    pub fn name(&self, id: u64) -> Option<&str> {
        self.by_id.get(&id).map(String::as_str)
    }

    /// The number of a name that was added.
    pub fn find(&self, name: &str) -> Option<u64> {
        let id = name_hash(name);
        let known = self.by_id.get(&id).is_some_and(|known| known == name);
        known.then_some(id)
    }

    /// Removes a name.
    pub fn forget(&mut self, id: u64) {
        self.by_id.remove(&id);
    }

    /// Removes all names but those whose numbers are in use.
    pub fn retain(&mut self, in_use: impl Fn(u64) -> bool) {
        self.by_id.retain(|id, _| in_use(*id));
    }

    /// How many names there are.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}
