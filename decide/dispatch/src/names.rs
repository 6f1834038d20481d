//! NameTable to the module's numbers: a hash of the name, so that every front end gives a name the same number without
//! asking another.

use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// NameTable of one sort and their numbers.
#[derive(Debug, Default)]
pub struct NameTable {
    by_id: HashMap<u64, String>,
}

/// Two names with one number: the later cannot be taken without mixing up the two at some front end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NameCollision {
    /// The name that was not taken.
    pub name: String,
    /// The name that has its number.
    pub existing: String,
}

impl std::fmt::Display for NameCollision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{:?} hashes to the number of {:?}: give it another name",
            self.name, self.existing
        )
    }
}
impl std::error::Error for NameCollision {}

/// The number of a name, whoever holds it.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

impl NameTable {
    /// Takes a name; gives its number.
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
    /// The number of a name that was taken.
    pub fn find(&self, name: &str) -> Option<u64> {
        let id = name_hash(name);
        self.by_id.get(&id).is_some_and(|n| n == name).then_some(id)
    }
    /// Lets a name go.
    pub fn forget(&mut self, id: u64) {
        self.by_id.remove(&id);
    }
    /// Lets all names go whose numbers are not wanted.
    pub fn retain(&mut self, wanted: impl Fn(u64) -> bool) {
        self.by_id.retain(|id, _| wanted(*id));
    }
    /// How many names are held.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }
    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}
