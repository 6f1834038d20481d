//! A simulated cluster of front ends in virtual time, with its links and disks. An [`Observer`] checks invariants after
//! every event.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use tansy_agreement::compatibility::{Fields, Schema};
use tansy_agreement::lease::LeaseTiming;
use tansy_agreement::log::{ApplyOutcome, Log, LogEntry};
use tansy_consensus::PersistentState;
use tansy_fleet_node::{
    Command, FleetEvent, FleetNode, FleetNodeConfig, Leader, MessageBody, RecoveredState,
    RequestRejection, StorageFailure,
};
use tansy_membership::{GossipTiming, NodeId};

pub(crate) const SECOND: i64 = 1_000_000;
const SESSION_SPAN: i64 = 60 * SECOND;

/// Id of the front end at an index.
pub(crate) fn id(index: usize) -> u64 {
    index as u64 + 1
}

pub(crate) fn address(index: usize) -> SocketAddr {
    ([10, 0, 0, index as u8], 7000).into()
}

/// Hooks that run around the events of a cluster.
pub(crate) trait Observer {
    /// Runs before a message is delivered to the front end at index `to`.
    fn before_delivery(
        &mut self,
        _now: i64,
        _nodes: &[Option<FleetNode>],
        _to: usize,
        _body: &MessageBody,
    ) {
    }
    /// Runs after a front end handled an event, before its commands are carried out.
    fn after_event(&mut self, _now: i64, _nodes: &[Option<FleetNode>]) {}
}

impl Observer for () {}

/// Configuration of a cluster.
pub(crate) struct Options {
    pub(crate) size: usize,
    /// Number of front ends that start as voters.
    pub(crate) voters: usize,
    /// Number of front ends with a disk, which are voters or may become voters.
    pub(crate) disks: usize,
    pub(crate) seed: u64,
    pub(crate) schema: fn() -> Schema,
    pub(crate) initial_fields: Fields,
    /// Percentage of messages that are lost. With `None` none is lost, and no random number is drawn for it.
    pub(crate) loss_percent: Option<u32>,
}

pub(crate) struct Cluster<O> {
    pub(crate) now: i64,
    pub(crate) nodes: Vec<Option<FleetNode>>,
    incarnations: Vec<u64>,
    voters: usize,
    schema: fn() -> Schema,
    initial_fields: Fields,
    disks: Vec<PersistentState>,
    /// Writes to the disk of front end 0 fail.
    pub(crate) is_disk_full: bool,
    queue: BinaryHeap<Reverse<(i64, u64)>>,
    messages: BTreeMap<u64, (usize, NodeId, Leader, MessageBody)>,
    message_count: u64,
    pub(crate) blocked_links: BTreeSet<(usize, usize)>,
    /// Upper bound of the delay of a message, in microseconds.
    pub(crate) max_delay: i64,
    pub(crate) loss_percent: Option<u32>,
    pub(crate) answers: BTreeMap<u64, Vec<Result<ApplyOutcome, RequestRejection>>>,
    pub(crate) events: Vec<(usize, FleetEvent)>,
    pub(crate) rng: fastrand::Rng,
    pub(crate) observer: O,
}

impl<O: Observer> Cluster<O> {
    pub(crate) fn new(options: Options, observer: O) -> Cluster<O> {
        let mut cluster = Cluster {
            now: 0,
            nodes: Vec::new(),
            incarnations: vec![0; options.size],
            voters: options.voters,
            schema: options.schema,
            initial_fields: options.initial_fields,
            disks: vec![PersistentState::default(); options.disks],
            is_disk_full: false,
            queue: BinaryHeap::new(),
            messages: BTreeMap::new(),
            message_count: 0,
            blocked_links: BTreeSet::new(),
            max_delay: 20_000,
            loss_percent: options.loss_percent,
            answers: BTreeMap::new(),
            events: Vec::new(),
            rng: fastrand::Rng::with_seed(options.seed),
            observer,
        };
        cluster.nodes.resize_with(options.size, || None);
        (0..options.size).for_each(|index| cluster.start(index));
        cluster
    }

    pub(crate) fn start(&mut self, index: usize) {
        self.incarnations[index] += 1;
        let config = FleetNodeConfig {
            fleet: 7,
            name: format!("f{index}"),
            node: NodeId::new(id(index), self.incarnations[index], address(index)),
            voters: (0..self.voters)
                .map(|voter| (id(voter), address(voter)))
                .collect(),
            lease: LeaseTiming {
                span: SECOND * 6 / 10,
                drift_ppm: 1_000,
            },
            session: LeaseTiming {
                span: SESSION_SPAN,
                drift_ppm: 1_000,
            },
            gossip: GossipTiming::default(),
            schema: (self.schema)(),
            seed: self.rng.u64(..),
        };
        let recovered = self.disks.get(index).map(|disk| RecoveredState {
            persistent: disk.clone(),
            initial_fields: self.initial_fields.clone(),
        });
        let node = FleetNode::new(config, recovered, self.now);
        self.nodes[index] = Some(node.expect("the state on disk is valid"));
    }

    pub(crate) fn call<R: Default>(
        &mut self,
        index: usize,
        call: impl FnOnce(&mut FleetNode, i64, &mut Vec<Command>) -> R,
    ) -> R {
        let mut commands = Vec::new();
        let Some(node) = &mut self.nodes[index] else {
            return R::default();
        };
        let result = call(node, self.now, &mut commands);
        self.observer.after_event(self.now, &self.nodes);
        self.carry_out(index, commands);
        result
    }

    fn carry_out(&mut self, index: usize, commands: Vec<Command>) {
        let Some(node) = &self.nodes[index] else {
            return;
        };
        let (from, leader) = (node.config().node.clone(), node.leader());
        let mut follow_up = Vec::new();
        for command in commands {
            match command {
                Command::SendToVoter { to, bytes } => {
                    let body = MessageBody::Consensus(bytes);
                    self.send(
                        index,
                        (from.clone(), leader),
                        address(to as usize - 1),
                        body,
                    );
                }
                Command::Send { to, body } => self.send(index, (from.clone(), leader), to, body),
                Command::Persist { record, snapshot } => {
                    let result = self.persist(index, record, snapshot);
                    let node = self.nodes[index].as_mut().expect("the node runs");
                    node.on_persisted(self.now, result, &mut follow_up);
                }
                Command::Respond { request, outcome } => {
                    self.answers.entry(request).or_default().push(outcome);
                }
                Command::Notify(event) => self.events.push((index, event)),
            }
        }
        if !follow_up.is_empty() {
            self.carry_out(index, follow_up);
        }
    }

    fn send(
        &mut self,
        from_index: usize,
        (from, leader): (NodeId, Leader),
        to: SocketAddr,
        body: MessageBody,
    ) {
        let to = (0..self.nodes.len())
            .find(|index| address(*index) == to)
            .expect("a known address");
        if self.blocked_links.contains(&(from_index, to)) {
            return;
        }
        if let Some(percent) = self.loss_percent {
            if self.rng.u32(0..100) < percent {
                return;
            }
        }
        self.message_count += 1;
        let message = (to, from, leader, body);
        self.messages.insert(self.message_count, message);
        let delay = self.rng.i64(200..self.max_delay);
        self.queue
            .push(Reverse((self.now + delay, self.message_count)));
    }

    fn persist(
        &mut self,
        index: usize,
        record: Vec<u8>,
        snapshot: Option<Vec<u8>>,
    ) -> Result<(), StorageFailure> {
        if self.is_disk_full && index == 0 {
            return Err(StorageFailure("disk full".to_string()));
        }
        match snapshot {
            Some(snapshot) => {
                self.disks[index] = PersistentState {
                    snapshot: Some(snapshot),
                    records: Vec::new(),
                }
            }
            None => self.disks[index].records.push(record),
        }
        Ok(())
    }

    pub(crate) fn run(&mut self, seconds: f64) {
        let end = self.now + (seconds * SECOND as f64) as i64;
        while self.now < end {
            let nodes = self.nodes.iter().flatten();
            let tick = nodes.map(FleetNode::next_deadline).min().unwrap_or(end);
            let delivery = self.queue.peek().map_or(end, |next| next.0 .0);
            self.now = tick.min(delivery).min(end).max(self.now);
            self.deliver_due();
            for index in 0..self.nodes.len() {
                let node = self.nodes[index].as_ref();
                if node.is_some_and(|node| node.next_deadline() <= self.now) {
                    self.call(index, |node, now, commands| node.tick(now, commands));
                }
            }
        }
    }

    fn deliver_due(&mut self) {
        let now = self.now;
        while let Some(Reverse((_, number))) =
            self.queue.peek().copied().filter(|next| next.0 .0 <= now)
        {
            self.queue.pop();
            let (to, from, leader, body) = self.messages.remove(&number).expect("a message");
            self.observer.before_delivery(now, &self.nodes, to, &body);
            self.call(to, |node, now, commands| {
                node.on_message(now, &from, leader, body, commands)
            });
        }
    }

    /// Requests an entry at the leader.
    pub(crate) fn request(&mut self, request: u64, entry: LogEntry) {
        let leader = self.leader();
        self.call(leader, |node, now, commands| {
            node.request(now, request, entry, commands)
        });
    }

    /// The last answer to a request.
    pub(crate) fn answer(&self, request: u64) -> &Result<ApplyOutcome, RequestRejection> {
        let answers = self.answers.get(&request);
        answers.and_then(|all| all.last()).expect("an answer")
    }

    /// The log with the most entries applied.
    pub(crate) fn log(&self) -> &Log {
        latest_log(&self.nodes).expect("a voter that runs")
    }

    pub(crate) fn find_leader(&self) -> Option<usize> {
        self.nodes
            .iter()
            .position(|node| node.as_ref().is_some_and(|node| node.log().is_some()))
    }

    pub(crate) fn leader(&self) -> usize {
        self.find_leader().expect("a leader")
    }

    /// Blocks all links from and to a front end.
    pub(crate) fn isolate(&mut self, index: usize) {
        for other in (0..self.nodes.len()).filter(|other| *other != index) {
            self.blocked_links.extend([(index, other), (other, index)]);
        }
    }
}

/// The log with the most entries applied.
pub(crate) fn latest_log(nodes: &[Option<FleetNode>]) -> Option<&Log> {
    let logs = nodes.iter().flatten().filter_map(FleetNode::applied_log);
    logs.max_by_key(|(applied, _)| *applied).map(|(_, log)| log)
}
