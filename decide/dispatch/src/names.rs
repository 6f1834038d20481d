//! Names and their numeric ids in the router. An id is a hash of the name, so all front ends use the same id for a name
//! without coordination.

use std::collections::HashMap;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// Names of one kind, by id.
#[derive(Debug, Default)]
pub struct NameTable {
    by_id: HashMap<u64, String>,
}

/// Two names with the same id. The later one is not added, because front ends would confuse the two.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{name:?} has the same id as {existing:?}: rename it")]
pub struct NameCollision {
    /// The name that was not added.
    pub name: String,
    /// The name that already has its id.
    pub existing: String,
}

/// The id of a name, whether or not a table contains it.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

impl NameTable {
    /// Adds a name if the table does not contain it, and returns its id.
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

    /// The name with this id.
    pub fn name(&self, id: u64) -> Option<&str> {
        self.by_id.get(&id).map(String::as_str)
    }

    /// The id of a name, if the table contains it.
    pub fn find(&self, name: &str) -> Option<u64> {
        let id = name_hash(name);
        let known = self.by_id.get(&id).is_some_and(|known| known == name);
        known.then_some(id)
    }

    /// Removes a name.
    pub fn remove(&mut self, id: u64) {
        self.by_id.remove(&id);
    }

    /// Keeps only names whose ids are in use.
    pub fn retain(&mut self, in_use: impl Fn(u64) -> bool) {
        self.by_id.retain(|id, _| in_use(*id));
    }

    /// The number of names.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}
