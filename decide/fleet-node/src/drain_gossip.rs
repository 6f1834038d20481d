//! Distribution of the drain table by gossip: changes are sent to a few other front ends at once, and a periodic digest
//! to a random one detects tables that differ because messages were lost.

use crate::command::Command;
use crate::known_nodes::KnownNodes;
use crate::message::MessageBody;
use tansy_agreement::endpoints::{DrainTable, EndpointRecord, EndpointState};
use tansy_agreement::lease::Time;
use tansy_membership::NodeId;
use xxhash_rust::xxh3::Xxh3Default;

/// Number of front ends that a change is sent to; each of them forwards it to as many.
const FANOUT: usize = 3;
/// Time between two digests.
const DIGEST_INTERVAL: Time = 500_000;

/// The drain table and its distribution.
pub(crate) struct DrainGossip {
    table: DrainTable,
    digest: u64,
    changes: u64,
    next_digest: Time,
    rng: fastrand::Rng,
}

impl DrainGossip {
    pub(crate) fn new(seed: u64, now: Time) -> DrainGossip {
        let table = DrainTable::default();
        DrainGossip {
            digest: table_digest(&table),
            table,
            changes: 0,
            next_digest: now,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    pub(crate) fn table(&self) -> &DrainTable {
        &self.table
    }

    /// Counts the changes of the table.
    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// When [`DrainGossip::tick`] is due next.
    pub(crate) fn next_deadline(&self) -> Time {
        self.next_digest
    }

    /// A message with the whole table, for a front end whose table differs.
    pub(crate) fn full_table(&self, wants_reply: bool) -> MessageBody {
        MessageBody::Drains(self.table.records().collect(), wants_reply)
    }

    /// Merges records and forwards those that are new to a few other front ends.
    pub(crate) fn on_records<'a>(
        &mut self,
        now: Time,
        records: Vec<EndpointRecord>,
        others: impl Iterator<Item = &'a NodeId>,
        commands: &mut Vec<Command>,
    ) {
        let new = self.table.merge(now, records);
        if new.is_empty() {
            return;
        }
        self.on_change();
        let others: Vec<&NodeId> = others.collect();
        for node in self.rng.choose_multiple(others, FANOUT) {
            commands.push(Command::Send {
                to: node.address,
                body: MessageBody::Drains(new.clone(), false),
            });
        }
    }

    /// Removes expired records and sends the digest to a random front end, if that is due.
    pub(crate) fn tick(&mut self, now: Time, others: &KnownNodes, commands: &mut Vec<Command>) {
        if now < self.next_digest {
            return;
        }
        self.next_digest = now + DIGEST_INTERVAL;
        let records = self.table.records().count();
        self.table.expire(now);
        if self.table.records().count() != records {
            self.on_change();
        }
        let others_count = others.count();
        if others_count == 0 {
            return;
        }
        let position = self.rng.usize(0..others_count);
        if let Some(to) = others.nth_address(position) {
            commands.push(Command::Send {
                to,
                body: MessageBody::DrainDigest(self.digest),
            });
        }
    }

    fn on_change(&mut self) {
        self.changes += 1;
        self.digest = table_digest(&self.table);
    }
}

/// A hash of the table, which is the same on every front end that has the same table.
fn table_digest(table: &DrainTable) -> u64 {
    let mut hash = Xxh3Default::new();
    for record in table.records() {
        for text in [&record.endpoint.name, &record.endpoint.address] {
            hash.update(&(text.len() as u64).to_le_bytes());
            hash.update(text.as_bytes());
        }
        hash.update(&record.incarnation.to_le_bytes());
        hash.update(&[u8::from(record.state == EndpointState::Gone)]);
    }
    hash.digest()
}
