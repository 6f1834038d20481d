//! The recent changes of scopes, from which a member that is slightly behind catches up.

use super::ScopeRecord;
use crate::revision::Revision;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::VecDeque;
use std::sync::Arc;

/// The largest number of retained changes.
pub const MAX_HISTORY: usize = 4096;
/// The largest total size of the retained changes in bytes.
pub const MAX_HISTORY_BYTES: usize = 1 << 20;

/// The approximate size in bytes of a change without the scope's name and record.
const CHANGE_OVERHEAD_BYTES: usize = 16;

/// A change of a scope's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopeChange {
    /// The revision of the change.
    pub revision: Revision,
    /// The scope's name.
    pub scope: String,
    /// The scope's record after the change.
    pub record: ScopeRecord,
}

impl ScopeChange {
    /// The approximate size of the change in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.scope.len() + CHANGE_OVERHEAD_BYTES + self.record.memory_bytes()
    }
}

/// The retained changes: all that were made after some revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangeHistory {
    from: Revision,
    changes: VecDeque<Arc<ScopeChange>>,
    memory_bytes: usize,
}

impl ChangeHistory {
    /// Creates an empty history. Changes may have been made up to this revision, but not after it.
    pub fn after(from: Revision) -> ChangeHistory {
        ChangeHistory {
            from,
            ..ChangeHistory::default()
        }
    }

    /// The revision after which every change is retained.
    pub fn retained_after(&self) -> Revision {
        self.from
    }

    /// The changes after a revision; `None` if some of them are not retained.
    pub fn since(&self, revision: Revision) -> Option<impl Iterator<Item = &Arc<ScopeChange>>> {
        let first = self.changes.partition_point(|c| c.revision <= revision);
        (revision >= self.from).then(|| self.changes.range(first..))
    }

    /// The number of retained changes.
    pub fn len(&self) -> usize {
        self.changes.len()
    }

    /// Whether no change is retained.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// The approximate size of the retained changes in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.memory_bytes
    }

    /// Appends later changes. Beyond the limits, the oldest changes are dropped, always all changes of a revision
    /// together.
    pub(crate) fn push(&mut self, changes: impl IntoIterator<Item = Arc<ScopeChange>>) {
        for change in changes {
            self.memory_bytes += change.memory_bytes();
            self.changes.push_back(change);
        }
        while self.changes.len() > MAX_HISTORY || self.memory_bytes > MAX_HISTORY_BYTES {
            let Some(oldest) = self.changes.front().map(|c| c.revision) else {
                return;
            };
            self.drop_revision(oldest);
        }
    }

    fn drop_revision(&mut self, oldest: Revision) {
        let count = self.changes.partition_point(|c| c.revision == oldest);
        let dropped = self.changes.drain(..count);
        self.memory_bytes -= dropped.map(|c| c.memory_bytes()).sum::<usize>();
        self.from = oldest;
    }
}

impl Serialize for ChangeHistory {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let changes: Vec<&ScopeChange> = self.changes.iter().map(|c| &**c).collect();
        (self.from, changes).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for ChangeHistory {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ChangeHistory, D::Error> {
        let (from, changes) = <(Revision, Vec<ScopeChange>)>::deserialize(deserializer)?;
        let mut history = ChangeHistory::after(from);
        history.push(changes.into_iter().map(Arc::new));
        Ok(history)
    }
}

/// The changes that lead a member from one revision to a later one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateDelta {
    /// The revision that the member has before.
    pub from: Revision,
    /// The revision that the member has afterwards.
    pub to: Revision,
    /// All changes in between, in order.
    pub changes: Vec<Arc<ScopeChange>>,
}
