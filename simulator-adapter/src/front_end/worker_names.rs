//! Conversion between worker names and the identifiers of the router.

use fnv::FnvHasher;
use std::collections::BTreeMap;
use std::hash::Hasher;
use tansyrouter::{ListKind, WorkerEntry, WorkerId, WorkerState};

/// The names of listed workers, including those that have left until [`WorkerNames::remove_departed`] is called.
#[derive(Default)]
pub struct WorkerNames {
    ids: BTreeMap<String, WorkerId>,
    names: BTreeMap<WorkerId, String>,
    /// Workers that have left, but whose names the commands of the current batch may still need.
    departed: Vec<WorkerId>,
}

impl WorkerNames {
    /// Returns the recorded identifier of a worker. If there is none, returns a hash of the name, or the next free number
    /// if a recorded worker has that hash. The hash is the same at every front end.
    ///
    /// The end of an attempt, probe or load may name a worker that has left. Such a worker gets an identifier, but its
    /// name is not recorded.
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

    /// Removes the workers that have left. Called after the commands of a batch are written, since they may name these
    /// workers.
    pub fn remove_departed(&mut self) {
        for id in self.departed.drain(..) {
            if let Some(name) = self.names.remove(&id) {
                self.ids.remove(&name);
            }
        }
    }
}
