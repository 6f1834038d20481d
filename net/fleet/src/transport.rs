//! Feeds the node's state machine and executes its commands.

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

/// The longest time between two checks of the state machine's timers, microseconds.
const MAX_TIMER_SLEEP: Time = 50_000;
/// The shortest time between two checks, microseconds.
const MIN_TIMER_SLEEP: Time = 500;

/// Messages received and sent by this node since its start, and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCounters {
    /// Messages received, including those that could not be decoded.
    pub received: u64,
    /// Bytes of the messages received.
    pub received_bytes: u64,
    /// Messages sent, whether or not they were delivered; excludes messages dropped before sending.
    pub sent: u64,
    /// Bytes of the messages sent.
    pub sent_bytes: u64,
}

/// A front end's node in a fleet with its connections, storage and timers.
pub struct FleetTransport {
    pub(crate) spawner: Spawner,
    pub(crate) fleet: String,
    pub(crate) validate_version: ValidateVersion,
    pub(crate) validate_function: ValidateFunction,
    pub(crate) read_counters: ReadCounters,
    /// Why the current state can't be applied, if it can't.
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
    /// Set when the next deadline may have moved earlier.
    timers_changed: Cell<bool>,
    /// Wakes the timer task when `timers_changed` is set.
    timer_waker: RefCell<Option<Waker>>,
}

impl FleetTransport {
    /// Creates a node that accepts no connections yet. A voter passes its storage and the state recovered from it.
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

    /// Sets the server, which is closed when the node leaves or shuts down.
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

    /// Ready when the state machine's next deadline may have moved earlier.
    fn poll_timers_changed(&self, cx: &Context<'_>) -> Poll<()> {
        if self.timers_changed.take() {
            return Poll::Ready(());
        }
        *self.timer_waker.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Calls `read` with the state machine and the current time.
    pub fn with_node<T>(&self, read: impl FnOnce(&FleetNode, Time) -> T) -> T {
        read(&self.node.borrow(), clock::now())
    }

    /// Decides on the admission of a call of a function that the versions do not name.
    pub fn admit(self: &Rc<Self>, function: &str) -> Admission {
        let mut commands = Vec::new();
        let (admission, deadline) = {
            let mut node = self.node.borrow_mut();
            let now = clock::now();
            let scopes_before = node.admission_changes();
            let mut admission = node.admit(now, function, &mut commands);
            // At the leader, a new subscription is answered immediately.
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

    /// Updates the node's table of workers from a new worker list.
    pub fn update_endpoints(self: &Rc<Self>, records: Vec<EndpointRecord>) {
        self.drive(|node, now, commands| node.update_endpoints(now, records, commands));
    }

    /// Leaves the fleet: notifies the other front ends and stops accepting connections.
    pub fn leave(self: &Rc<Self>) {
        self.drive(FleetNode::leave);
        if let Some(server) = &*self.server.borrow() {
            server.close();
        }
    }

    /// Stops immediately, like a killed process: notifies no one, and sends and accepts nothing more.
    pub fn shut_down(&self) {
        self.stopped.set(true);
        if let Some(server) = self.server.borrow_mut().take() {
            server.close();
            server.drop_connections();
        }
        self.links.drop_all();
    }

    /// Processes a message that arrived at this node's listener or through a message carrier.
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

    /// The counters of messages received and sent.
    pub fn traffic(&self) -> TrafficCounters {
        self.traffic.get()
    }

    /// Whether no message is in flight.
    pub fn is_idle(&self) -> bool {
        self.links.is_idle()
    }

    /// The number of messages dropped because too many were in flight.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    /// Requests a log entry; `None` if too many requests are pending.
    pub(crate) fn request(self: &Rc<Self>, entry: LogEntry) -> Option<Rc<PendingRequest>> {
        let (number, pending) = self.pending.add()?;
        self.drive(|node, now, commands| node.request(now, number, entry, commands));
        Some(pending)
    }

    /// Reports the result of persisting a record to the state machine.
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
            // The state must be applied before any message about it is sent: a node that acknowledges a revision promises not
            // to act on an earlier one.
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
