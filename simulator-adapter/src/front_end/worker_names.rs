//! Conversion between worker names and the identifiers of the router.

use fnv::FnvHasher;
use std::collections::BTreeMap;
use std::hash::Hasher;
use tansyrouter::{ListKind, WorkerEntry, WorkerId, WorkerState};

/// The names of the workers that lists have named and that have not left.
#[derive(Default)]
pub struct WorkerNames {
    ids: BTreeMap<String, WorkerId>,
    names: BTreeMap<WorkerId, String>,
    departed: Vec<WorkerId>,
}

impl WorkerNames {
    /// Returns the identifier of a worker: a hash of its name, which is the same at every front end, or the next free
    /// number if another worker has that hash.
    ///
    /// An outcome may name a worker that has left. It gets an identifier but is not recorded.
    pub fn id(&self, name: &str) -> WorkerId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let mut hash = FnvHasher::default();
        hash.write(name.as_bytes());
        let mut id = WorkerId(hash.finish());
        while self.names.contains_key(&id) {
            id = WorkerId(id.0.wrapping_add(1));
        }
        id
    }

    /// Returns the name of a worker, or an empty string if the identifier is unknown.
    pub fn name(&self, id: WorkerId) -> &str {
        self.names.get(&id).map_or("", String::as_str)
    }

    /// Records the name of a listed worker and returns its identifier.
    pub fn register(&mut self, name: String) -> WorkerId {
        let id = self.id(&name);
        self.names.insert(id, name.clone());
        self.ids.insert(name, id);
        id
    }

    /// Marks the workers that have left according to a list.
    pub fn mark_departed(&mut self, kind: ListKind, entries: &[WorkerEntry]) {
        let is_present = |id: &WorkerId| {
            entries
                .iter()
                .any(|entry| entry.worker == *id && entry.state != WorkerState::Gone)
        };
        self.departed.retain(|id| !is_present(id));
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            let absent = self.names.keys().filter(|id| !is_present(id));
            self.departed.extend(absent);
        } else {
            let gone = entries
                .iter()
                .filter(|entry| entry.state == WorkerState::Gone);
            self.departed.extend(gone.map(|entry| entry.worker));
        }
    }

    /// Removes the workers that have left. Called when all commands that may name them have been written.
    pub fn remove_departed(&mut self) {
        for id in self.departed.drain(..) {
            if let Some(name) = self.names.remove(&id) {
                self.ids.remove(&name);
            }
        }
    }
}
