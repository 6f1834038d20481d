//! A simulated cluster of replicas in virtual time, with disks and with links that lose and delay messages.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use tansy_agreement::compatibility::{Fields, Value};
use tansy_agreement::lease::LeaseTiming;
use tansy_agreement::log::LogEntry;
use tansy_consensus::{Effect, PersistentState, Replica, ReplicaConfig};

pub(crate) const SECOND: i64 = 1_000_000;

pub(crate) fn fields(max_attempts: i64) -> Fields {
    [("worker.max_attempts".to_string(), Value::Int(max_attempts))].into()
}

#[derive(Default)]
pub(crate) struct Disk {
    pub(crate) saved: PersistentState,
    /// Writes that are not synced yet: each record with the snapshot that replaces all records, if any.
    pub(crate) unsynced: Vec<(Vec<u8>, Option<Vec<u8>>)>,
}

impl Disk {
    pub(crate) fn sync(&mut self) {
        let (record, snapshot) = self.unsynced.remove(0);
        match snapshot {
            Some(snapshot) => {
                self.saved = PersistentState {
                    snapshot: Some(snapshot),
                    records: Vec::new(),
                }
            }
            None => self.saved.records.push(record),
        }
    }
}

pub(crate) enum Event {
    Message(usize, u64, Vec<u8>),
    Synced(usize, u64),
}

pub(crate) struct Cluster {
    pub(crate) now: i64,
    pub(crate) rng: fastrand::Rng,
    pub(crate) replicas: Vec<Option<Replica>>,
    pub(crate) incarnations: Vec<u64>,
    pub(crate) disks: Vec<Disk>,
    pub(crate) queue: BinaryHeap<Reverse<(i64, u64)>>,
    pub(crate) events: BTreeMap<u64, Event>,
    pub(crate) count: u64,
    pub(crate) blocked_links: BTreeSet<(usize, usize)>,
    /// The state after each index, as the first replica to apply it had it.
    pub(crate) committed: BTreeMap<u64, String>,
    /// An injected defect: writes are acknowledged before they are synced.
    pub(crate) acknowledges_unsynced: bool,
    /// Whether two replicas had different states after the same index.
    pub(crate) diverged: bool,
    /// Number of replicas that start as voters.
    pub(crate) voter_count: usize,
}

pub(crate) fn address(id: u64) -> std::net::SocketAddr {
    ([10, 0, 0, id as u8], 7000).into()
}

impl Cluster {
    pub(crate) fn new(size: usize, seed: u64) -> Cluster {
        Cluster::with_voters(size, size, seed)
    }

    /// A cluster whose first `voter_count` replicas start as voters.
    pub(crate) fn with_voters(size: usize, voter_count: usize, seed: u64) -> Cluster {
        let mut cluster = Cluster {
            voter_count,
            now: 0,
            rng: fastrand::Rng::with_seed(seed),
            replicas: Vec::new(),
            incarnations: vec![0; size],
            disks: Vec::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            count: 0,
            blocked_links: BTreeSet::new(),
            committed: BTreeMap::new(),
            acknowledges_unsynced: false,
            diverged: false,
        };
        cluster.replicas.resize_with(size, || None);
        cluster.disks.resize_with(size, Disk::default);
        (0..size).for_each(|index| cluster.start(index));
        cluster
    }

    pub(crate) fn start(&mut self, index: usize) {
        self.incarnations[index] += 1;
        let config = ReplicaConfig {
            id: index as u64 + 1,
            incarnation: self.incarnations[index],
            voters: (1..=self.voter_count as u64)
                .map(|id| (id, address(id)))
                .collect(),
            timing: LeaseTiming {
                span: SECOND * 6 / 10,
                drift_ppm: 1000,
            },
            initial_fields: fields(index as i64),
            seed: self.rng.u64(..),
        };
        self.replicas[index] = Some(
            Replica::new(config, &self.disks[index].saved, self.now)
                .expect("the state on disk is valid"),
        );
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.replicas[index] = None;
        // Some of the unsynced writes may have reached the disk.
        let synced = self.rng.usize(0..=self.disks[index].unsynced.len());
        (0..synced).for_each(|_| self.disks[index].sync());
        self.disks[index].unsynced.clear();
    }

    pub(crate) fn schedule(&mut self, delay: i64, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((self.now + delay, self.count)));
        self.events.insert(self.count, event);
    }

    pub(crate) fn call(
        &mut self,
        index: usize,
        call: impl FnOnce(&mut Replica, i64, &mut Vec<Effect>),
    ) {
        let mut effects = Vec::new();
        let Some(replica) = &mut self.replicas[index] else {
            return;
        };
        call(replica, self.now, &mut effects);
        let mut position = 0;
        while position < effects.len() {
            match effects[position].clone() {
                Effect::Send { to, bytes } => {
                    let to = to as usize - 1;
                    if !self.blocked_links.contains(&(index, to)) && self.rng.u32(0..50) > 0 {
                        let delay = self.rng.i64(200..20_000);
                        self.schedule(delay, Event::Message(to, index as u64 + 1, bytes));
                    }
                }
                Effect::Persist { record, snapshot } => {
                    self.disks[index].unsynced.push((record, snapshot));
                    let delay = self.rng.i64(500..10_000);
                    self.schedule(delay, Event::Synced(index, self.incarnations[index]));
                    if self.acknowledges_unsynced {
                        let replica = self.replicas[index].as_mut().expect("the replica runs");
                        replica.on_persisted(true, &mut effects);
                    }
                }
                Effect::Applied { .. } | Effect::UnknownEntry => {}
            }
            position += 1;
        }
        let replica = self.replicas[index].as_ref().expect("the replica runs");
        if let Some(log) = replica.log() {
            let state = format!("{:?}", log.state());
            let first = self
                .committed
                .entry(replica.applied())
                .or_insert_with(|| state.clone());
            self.diverged |= *first != state;
        }
    }

    pub(crate) fn run(&mut self, seconds: f64) {
        let until = self.now + (seconds * SECOND as f64) as i64;
        while self.now < until {
            let tick = self
                .replicas
                .iter()
                .flatten()
                .map(Replica::next_deadline)
                .min()
                .unwrap_or(until);
            let next = self.queue.peek().map_or(until, |e| e.0 .0);
            self.now = tick.min(next).min(until).max(self.now);
            while let Some(Reverse((_, id))) =
                self.queue.peek().copied().filter(|e| e.0 .0 <= self.now)
            {
                self.queue.pop();
                match self.events.remove(&id).expect("an event") {
                    Event::Message(to, from, bytes) => self.call(to, |replica, _, effects| {
                        replica.on_message(from, &bytes, effects)
                    }),
                    Event::Synced(index, incarnation) => {
                        if self.incarnations[index] == incarnation && self.replicas[index].is_some()
                        {
                            self.disks[index].sync();
                            if !self.acknowledges_unsynced {
                                self.call(index, |replica, _, effects| {
                                    replica.on_persisted(true, effects)
                                });
                            }
                        }
                    }
                }
            }
            for index in 0..self.replicas.len() {
                if self.replicas[index]
                    .as_ref()
                    .is_some_and(|replica| replica.next_deadline() <= self.now)
                {
                    self.call(index, Replica::tick);
                }
            }
        }
    }

    pub(crate) fn leader(&self) -> Option<usize> {
        self.replicas.iter().position(|replica| {
            replica
                .as_ref()
                .is_some_and(|replica| replica.leader_lease(self.now).is_some())
        })
    }

    pub(crate) fn propose(&mut self, number: i64) {
        let Some(leader) = self.leader() else { return };
        let state = self.replicas[leader]
            .as_ref()
            .and_then(Replica::log)
            .expect("a log")
            .state()
            .clone();
        let entry = match state.next {
            Some(_) => LogEntry::Advance {
                from: state.revision,
            },
            None => LogEntry::Propose {
                id: 0,
                base: state.latest(),
                fields: fields(1000 + number),
                reason: String::new(),
            },
        };
        self.call(leader, |replica, _, effects| {
            replica.propose(entry, effects);
        });
    }
}
