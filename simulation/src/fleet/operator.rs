//! Operator requests to the leader: to propose a version, to replace a voter, and to abandon a version change.

use super::process::{address_of, id_of};
use super::{settings, Simulation};
use tansy_agreement::log::LogEntry;

impl Simulation<'_> {
    /// Asks the leader to introduce a version with changed fields. Returns `None` if there is no leader.
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

    /// Asks the leader to replace a random voter by a random voter candidate, which the log rejects if it is a voter already. Returns
    /// `None` if there is no leader, or if the audit knows no voter yet.
    pub(super) fn replace_voter(&mut self) -> Option<()> {
        let (leader, _) = self.leader()?;
        let candidate = self.rng.usize(0..self.disks.len());
        let voters = &self.audit.voters;
        let replaced = *voters.get(self.rng.usize(0..voters.len().max(1)))?;
        let entry = LogEntry::BeginVoterReplacement {
            // Not a wide id: those are used only in runs at scale, which request no voter replacements.
            new: id_of(candidate, false),
            address: address_of(candidate),
            replaced,
        };
        self.request(leader, 0, entry);
        Some(())
    }

    /// Asks the leader to abandon the pending version change, if there is one. Returns `None` if there is no leader.
    pub(super) fn abandon(&mut self) -> Option<()> {
        let (leader, state) = self.leader()?;
        if let Some((next, _)) = state.next {
            let version = next.version;
            self.request(leader, 0, LogEntry::Abandon { version });
        }
        Some(())
    }

    /// Asks the process `leader` to append an entry. The response carries the request number `id`, which is 0 where the response is
    /// not evaluated.
    pub(crate) fn request(&mut self, leader: usize, id: u64, entry: LogEntry) {
        self.step_node(leader, |node, now, commands| {
            node.request(now, id, entry, commands)
        });
    }
}
