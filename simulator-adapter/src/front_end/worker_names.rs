//! The names of a front end's workers, and the identifiers that its router knows them by.

use fnv::FnvHasher;
use std::collections::BTreeMap;
use std::hash::Hasher;
use tansyrouter::{ListKind, WorkerEntry, WorkerId, WorkerState};

/// The workers that lists have named and that have not left since.
#[derive(Default)]
pub struct WorkerNames {
    ids: BTreeMap<String, WorkerId>,
    names: BTreeMap<WorkerId, String>,
    departed: Vec<WorkerId>,
}

impl WorkerNames {
    /// A worker's identifier: a hash of its name, the same at every front end; the next free one on a collision.
    ///
    /// An outcome may still name a worker that has left: it gets an identifier, but no entry.
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

    /// The name of a worker; empty if there is none of this identifier.
    pub fn name(&self, id: WorkerId) -> &str {
        self.names.get(&id).map_or("", String::as_str)
    }

    /// Records the name of a worker of a list.
    pub fn register(&mut self, name: String) -> WorkerId {
        let id = self.id(&name);
        self.names.insert(id, name.clone());
        self.ids.insert(name, id);
        id
    }

    /// Records which workers have left by a list.
    pub fn mark_departed(&mut self, kind: ListKind, entries: &[WorkerEntry]) {
        let remains = |id: &WorkerId| {
            entries
                .iter()
                .any(|entry| entry.worker == *id && entry.state != WorkerState::Gone)
        };
        self.departed.retain(|id| !remains(id));
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            let absent = self.names.keys().filter(|id| !remains(id));
            self.departed.extend(absent);
        } else {
            let gone = entries
                .iter()
                .filter(|entry| entry.state == WorkerState::Gone);
            self.departed.extend(gone.map(|entry| entry.worker));
        }
    }

    /// Removes the workers that have left, once no command can name them any more.
    pub fn remove_departed(&mut self) {
        for id in self.departed.drain(..) {
            if let Some(name) = self.names.remove(&id) {
                self.ids.remove(&name);
            }
        }
    }
}
