//! Feeds the node's state machine and carries out its commands.

use crate::config::{
    ApplyState, MessageCarrier, ReadCounters, TransportConfig, ValidateFunction, ValidateVersion,
};
use crate::events::log_event;
use crate::links::PeerLinks;
use crate::pending::{PendingRequest, PendingRequests};
use crate::voter_storage::{PersistError, PersistResult, VoterStorage};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tansy_agreement::endpoints::EndpointRecord;
use tansy_agreement::lease::Time;
use tansy_agreement::log::LogEntry;
use tansy_agreement::subscription::Admission;
use tansy_consensus::CorruptState;
use tansy_fleet_node::{Command, FleetNode, MessageBody, RecoveredState, StorageFailure};
use tansy_fleet_wire::{decode_message, encode_message, DecodeError};
use tansy_net_grpc::server::Server;
use tansy_net_sockets::{clock, within, Spawner};

/// The most time between two looks at the state machine's timers.
const MAX_TIMER_SLEEP: Time = 50_000;
/// The least time between two looks.
const MIN_TIMER_SLEEP: Time = 500;

/// Messages of this node since it was started, and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCounters {
    /// Received from others, those that could not be decoded among them.
    pub received: u64,
    /// Their bytes.
    pub received_bytes: u64,
    /// Sent, whether they arrive or not; without those dropped here.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
}

/// A front end's node in a fleet, on the network.
pub struct FleetTransport {
    pub(crate) spawner: Spawner,
    pub(crate) fleet: String,
    pub(crate) validate_version: ValidateVersion,
    pub(crate) validate_function: ValidateFunction,
    pub(crate) read_counters: ReadCounters,
    /// Why the state can't be applied, if so.
    pub(crate) error: RefCell<Option<String>>,
    node: RefCell<FleetNode>,
    apply_state: ApplyState,
    storage: Option<VoterStorage>,
    carrier: Option<MessageCarrier>,
    links: PeerLinks,
    pending: PendingRequests,
    dropped: Cell<u64>,
    traffic: Cell<TrafficCounters>,
    stopped: Cell<bool>,
    server: RefCell<Option<Rc<Server>>>,
    /// The next deadline may have come nearer, and who is to look at it anew.
    timers_changed: Cell<bool>,
    timer_waker: RefCell<Option<Waker>>,
}

impl FleetTransport {
    /// A node that serves nobody yet, with a voter's storage and what was recovered from it.
    pub(crate) fn new(
        spawner: Spawner,
        config: TransportConfig,
        storage: Option<VoterStorage>,
        recovered: Option<RecoveredState>,
        apply_state: ApplyState,
    ) -> Result<FleetTransport, CorruptState> {
        let node = FleetNode::new(config.node, recovered, clock::now())?;
        Ok(FleetTransport {
            links: PeerLinks::new(spawner.clone(), config.proxies),
            spawner,
            fleet: config.fleet,
            validate_version: config.validate_version,
            validate_function: config.validate_function,
            read_counters: config.read_counters,
            error: RefCell::new(None),
            node: RefCell::new(node),
            apply_state,
            storage,
            carrier: config.carrier,
            pending: PendingRequests::default(),
            dropped: Cell::new(0),
            traffic: Cell::new(TrafficCounters::default()),
            stopped: Cell::new(false),
            server: RefCell::new(None),
            timers_changed: Cell::new(false),
            timer_waker: RefCell::new(None),
        })
    }

    /// Sets the server that is closed with the node.
    pub(crate) fn set_server(&self, server: Rc<Server>) {
        *self.server.borrow_mut() = Some(server);
    }

    /// Runs the state machine's timers until the node is stopped.
    pub(crate) async fn run_timers(self: Rc<Self>) {
        while !self.stopped.get() {
            let remaining = self.node.borrow().next_deadline() - clock::now();
            let sleep = remaining.clamp(MIN_TIMER_SLEEP, MAX_TIMER_SLEEP);
            let sleep = Duration::from_micros(sleep as u64);
            within(
                self.spawner.sleep(sleep),
                poll_fn(|cx| self.poll_timers_changed(cx)),
            )
            .await;
            if self.node.borrow().next_deadline() <= clock::now() {
                self.drive(FleetNode::tick);
            }
            self.links.close_idle();
        }
    }

    /// Whether the state machine's next deadline may have come nearer.
    fn poll_timers_changed(&self, cx: &Context<'_>) -> Poll<()> {
        if self.timers_changed.take() {
            return Poll::Ready(());
        }
        *self.timer_waker.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Reads the state machine.
    pub fn with_node<T>(&self, read: impl FnOnce(&FleetNode, Time) -> T) -> T {
        read(&self.node.borrow(), clock::now())
    }

    /// Admission of a call, now, of a function that the versions do not name.
    pub fn admit(self: &Rc<Self>, function: &str) -> Admission {
        let mut commands = Vec::new();
        let (admission, deadline) = {
            let mut node = self.node.borrow_mut();
            let now = clock::now();
            let scopes_before = node.admission_changes();
            let mut admission = node.admit(now, function, &mut commands);
            // The leader answers its own subscription at once.
            if admission == Admission::Wait && node.admission_changes() != scopes_before {
                admission = node.admit(now, function, &mut commands);
            }
            (admission, node.next_deadline())
        };
        self.execute_all(commands);
        if admission == Admission::Wait && deadline < clock::now() + MAX_TIMER_SLEEP {
            self.timers_changed.set(true);
            let waker = self.timer_waker.borrow_mut().take();
            waker.into_iter().for_each(Waker::wake);
        }
        admission
    }

    /// Updates the node's table of workers from a list that was read.
    pub fn update_endpoints(self: &Rc<Self>, records: Vec<EndpointRecord>) {
        self.drive(|node, now, commands| node.update_endpoints(now, records, commands));
    }

    /// Notifies the others that it leaves, and accepts no more connections.
    pub fn leave(self: &Rc<Self>) {
        self.drive(FleetNode::leave);
        if let Some(server) = &*self.server.borrow() {
            server.close();
        }
    }

    /// Stops at once, as a process that is killed: nobody is notified, nothing is sent or accepted any more.
    pub fn shut_down(&self) {
        self.stopped.set(true);
        if let Some(server) = self.server.borrow_mut().take() {
            server.close();
            server.drop_connections();
        }
        self.links.drop_all();
    }

    /// Accepts a message, of this node's listener or of another carrier.
    pub fn receive_message(self: &Rc<Self>, bytes: &[u8]) -> Result<(), DecodeError> {
        let mut traffic = self.traffic.get();
        traffic.received += 1;
        traffic.received_bytes += bytes.len() as u64;
        self.traffic.set(traffic);
        let fleet = self.node.borrow().config().fleet;
        let (from, leader, body) = decode_message(fleet, bytes)?;
        self.drive(|node, now, commands| node.on_message(now, &from, leader, body, commands));
        Ok(())
    }

    /// The messages that passed.
    pub fn traffic(&self) -> TrafficCounters {
        self.traffic.get()
    }

    /// Whether no message is in flight.
    pub fn is_idle(&self) -> bool {
        self.links.is_idle()
    }

    /// Messages that were dropped because too many were in flight.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    /// Requests a log entry; `None`: too many requests wait.
    pub(crate) fn request(self: &Rc<Self>, entry: LogEntry) -> Option<Rc<PendingRequest>> {
        let (number, pending) = self.pending.add()?;
        self.drive(|node, now, commands| node.request(now, number, entry, commands));
        Some(pending)
    }

    /// Passes on the result of persisting a record.
    pub(crate) fn on_persisted(self: &Rc<Self>, result: PersistResult) {
        let result = result.map_err(|error| StorageFailure(error.to_string()));
        self.drive(|node, now, commands| node.on_persisted(now, result, commands));
    }

    fn drive(self: &Rc<Self>, step: impl FnOnce(&mut FleetNode, Time, &mut Vec<Command>)) {
        if self.stopped.get() {
            return;
        }
        let mut commands = Vec::new();
        {
            let mut node = self.node.borrow_mut();
            step(&mut node, clock::now(), &mut commands);
            // The state is applied before any message about it is sent: acknowledging a revision promises not to act on any
            // earlier one.
            *self.error.borrow_mut() = (self.apply_state)(&node, clock::now());
        }
        self.execute_all(commands);
    }

    fn execute_all(self: &Rc<Self>, commands: Vec<Command>) {
        commands
            .into_iter()
            .for_each(|command| self.execute(command));
    }

    fn execute(self: &Rc<Self>, command: Command) {
        match command {
            Command::Send { to, body } => self.send(to, body),
            Command::SendToVoter { to, bytes } => {
                if let Some(address) = self.with_node(|node, _| node.address(to)) {
                    self.send(address, MessageBody::Consensus(bytes));
                }
            }
            Command::Persist { record, snapshot } => self.persist(record, snapshot),
            Command::Respond { request, outcome } => self.pending.complete(request, outcome),
            Command::Notify(event) => log_event(&event),
        }
    }

    fn persist(self: &Rc<Self>, record: Vec<u8>, snapshot: Option<Vec<u8>>) {
        let storage = self.storage.as_ref();
        if !storage.is_some_and(|storage| storage.persist(record, snapshot)) {
            let transport = self.clone();
            self.spawner
                .spawn(async move { transport.on_persisted(Err(PersistError::ThreadEnded)) });
        }
    }

    fn send(self: &Rc<Self>, to: SocketAddr, body: MessageBody) {
        let bytes = {
            let node = self.node.borrow();
            let setup = node.config();
            encode_message(setup.fleet, &setup.node, node.leader(), body)
        };
        let size = bytes.len();
        let carrier = self.carrier.as_ref();
        let carried = carrier.is_some_and(|carry| carry(to, &bytes));
        if carried || self.links.send(to, bytes) {
            self.count_sent(size);
        } else {
            self.dropped.set(self.dropped.get() + 1);
        }
    }

    fn count_sent(&self, bytes: usize) {
        let mut traffic = self.traffic.get();
        traffic.sent += 1;
        traffic.sent_bytes += bytes as u64;
        self.traffic.set(traffic);
    }
}
