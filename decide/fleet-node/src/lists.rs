//! Workers that leave, told on: news at once to a few, and now and then a digest to one, so that what was lost on the way
//! is found.

use crate::known::KnownNodes;
use crate::{Command, MessageBody};
use tansy_agreement::endpoints::{DrainTable, EndpointRecord, EndpointState};
use tansy_agreement::lease::Time;
use tansy_membership::NodeId;
use xxhash_rust::xxh3::Xxh3Default;

/// Front ends that are told of what is new here; each tells as many.
const TELLS: usize = 3;
/// Time between two digests.
const DIGEST_EVERY: Time = 500_000;

pub(crate) struct Lists {
    leaving: DrainTable,
    digest: u64,
    changes: u64,
    next: Time,
    rng: fastrand::Rng,
}

impl Lists {
    pub(crate) fn new(seed: u64, now: Time) -> Lists {
        let leaving = DrainTable::default();
        let digest = digest(&leaving);
        Lists {
            leaving,
            digest,
            changes: 0,
            next: now,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    pub(crate) fn leaving(&self) -> &DrainTable {
        &self.leaving
    }

    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    pub(crate) fn next(&self) -> Time {
        self.next
    }

    /// All that is known, for one that knows something else.
    pub(crate) fn whole(&self, back: bool) -> MessageBody {
        MessageBody::Drains(self.leaving.records().collect(), back)
    }

    /// Takes lines; what is new of them goes on to a few others.
    pub(crate) fn hear<'a>(
        &mut self,
        now: Time,
        lines: Vec<EndpointRecord>,
        others: impl Iterator<Item = &'a NodeId>,
        out: &mut Vec<Command>,
    ) {
        let new = self.leaving.merge(now, lines);
        if new.is_empty() {
            return;
        }
        self.changed();
        let others: Vec<&NodeId> = others.collect();
        for to in self.rng.choose_multiple(others, TELLS) {
            out.push(Command::Send {
                to: to.address,
                body: MessageBody::Drains(new.clone(), false),
            });
        }
    }

    pub(crate) fn tick(&mut self, now: Time, others: &KnownNodes, out: &mut Vec<Command>) {
        if now < self.next {
            return;
        }
        self.next = now + DIGEST_EVERY;
        let count = self.leaving.records().count();
        self.leaving.expire(now);
        if self.leaving.records().count() != count {
            self.changed();
        }
        let count = others.count();
        if let Some(to) = (count > 0)
            .then(|| self.rng.usize(0..count))
            .and_then(|n| others.nth(n))
        {
            out.push(Command::Send {
                to,
                body: MessageBody::DrainDigest(self.digest),
            });
        }
    }

    fn changed(&mut self) {
        self.changes += 1;
        self.digest = digest(&self.leaving);
    }
}

/// The same for the same lines, at every front end.
fn digest(leaving: &DrainTable) -> u64 {
    let mut hash = Xxh3Default::new();
    for line in leaving.records() {
        for text in [&line.endpoint.name, &line.endpoint.address] {
            hash.update(&(text.len() as u64).to_le_bytes());
            hash.update(text.as_bytes());
        }
        hash.update(&line.incarnation.to_le_bytes());
        hash.update(&[u8::from(line.state == EndpointState::Gone)]);
    }
    hash.digest()
}
