//! Operator requests to the leader: new versions, voter replacements and abandoned changes.

use super::process::{address_of, id_of};
use super::{settings, Simulation};
use tansy_agreement::log::LogEntry;

impl Simulation<'_> {
    /// Proposes a version; `None` if there is no leader.
    pub(super) fn propose(&mut self) -> Option<()> {
        let id = self.rng.u64(1..);
        let (leader, state) = self.leader()?;
        let entry = LogEntry::Propose {
            id,
            base: state.latest(),
            fields: settings::change_fields(&mut self.rng, &state.in_force.fields),
            reason: "a change".into(),
        };
        self.request(leader, id, entry);
        Some(())
    }

    /// Requests that a random candidate replaces a random voter; `None` if there is no leader or no known voter.
    pub(super) fn replace_voter(&mut self) -> Option<()> {
        let (leader, _) = self.leader()?;
        let candidate = self.rng.usize(0..self.disks.len());
        let voters = &self.audit.voters;
        let replaced = *voters.get(self.rng.usize(0..voters.len().max(1)))?;
        let entry = LogEntry::BeginVoterReplacement {
            new: id_of(candidate, false),
            address: address_of(candidate),
            replaced,
        };
        self.request(leader, 0, entry);
        Some(())
    }

    /// Abandons the pending version change, if there is one; `None` if there is no leader.
    pub(super) fn abandon(&mut self) -> Option<()> {
        let (leader, state) = self.leader()?;
        if let Some((next, _)) = state.next {
            let version = next.version;
            self.request(leader, 0, LogEntry::Abandon { version });
        }
        Some(())
    }

    /// Asks a process to append an entry; the response carries `id`.
    pub(crate) fn request(&mut self, leader: usize, id: u64, entry: LogEntry) {
        self.step_node(leader, |node, now, commands| {
            node.request(now, id, entry, commands)
        });
    }
}
