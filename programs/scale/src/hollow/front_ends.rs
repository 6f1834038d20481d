//! The front ends of one process, the functions they call and the settings they have in force.

use super::protocol::{HollowCounters, HollowEvent};
use super::transport::HollowTransport;
use super::watch::{WatchedFunction, Watches};
use super::{front_end_at, loopback_address};
use crate::scopes::{called_functions, function_name};
use crate::{system, Error};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tansy_agreement::compatibility::Fields;
use tansy_agreement::log::Revision;
use tansy_fleet_node::FleetNode;
use tansy_gateway::fleet::node_config;
use tansy_net_fleet::{FleetTransport, TransportConfig};
use tansy_net_sockets::socket::listen;
use tansy_net_sockets::{clock, Spawner};

/// Time between two calls of a front end.
const CALL_INTERVAL: Duration = Duration::from_millis(100);

/// All hollow front ends of one process, by their index in the fleet.
pub(super) struct HollowFrontEnds {
    spawner: Spawner,
    fleet: tansy_settings::FleetSettings,
    network: u8,
    first: u32,
    per_process: u32,
    transport: RefCell<Option<Rc<HollowTransport>>>,
    running: RefCell<BTreeMap<u32, Rc<FleetTransport>>>,
    /// Versions in force. Not a part of `running`, which may be borrowed while a node reports a version.
    in_force: RefCell<BTreeMap<u32, u64>>,
    started_at: RefCell<BTreeMap<u32, i64>>,
    /// Addresses of all front ends that were ever started; a restarted one listens at the same address.
    addresses: RefCell<BTreeMap<u32, SocketAddr>>,
    /// Traffic of front ends that were killed.
    stopped_traffic: RefCell<HollowCounters>,
    /// The last reported version.
    reported_version: Cell<u64>,
    /// Number of functions that are scopes of their own, and the seed by which front ends choose which to call.
    call_parameters: Cell<Option<(usize, u64)>>,
    called: RefCell<BTreeMap<u32, Vec<String>>>,
    /// The revision of each front end's active state.
    revisions: RefCell<BTreeMap<u32, Revision>>,
    watches: Watches,
}

impl HollowFrontEnds {
    pub(super) fn new(
        spawner: Spawner,
        fleet: tansy_settings::FleetSettings,
        network: u8,
        first: u32,
        per_process: u32,
    ) -> HollowFrontEnds {
        HollowFrontEnds {
            spawner,
            fleet,
            network,
            first,
            per_process: per_process.max(1),
            transport: RefCell::default(),
            running: RefCell::default(),
            in_force: RefCell::default(),
            started_at: RefCell::default(),
            addresses: RefCell::default(),
            stopped_traffic: RefCell::default(),
            reported_version: Cell::new(0),
            call_parameters: Cell::new(None),
            called: RefCell::default(),
            revisions: RefCell::default(),
            watches: Watches::default(),
        }
    }

    /// Connects to all processes of hollow front ends.
    pub(super) fn connect(&self, processes: &[SocketAddr]) {
        let transport = HollowTransport::connect(&self.spawner, processes);
        *self.transport.borrow_mut() = Some(Rc::new(transport));
    }

    /// Passes a message to the front end that it is for, if that runs.
    pub(super) fn receive(&self, front_end: u32, message: &[u8]) {
        let node = self.running.borrow().get(&front_end).cloned();
        // The node counts undecodable messages, and the sender expects no answer.
        node.into_iter()
            .for_each(|node| drop(node.receive_message(message)));
    }

    /// Starts a front end without state from before, at the address that it listened at before, if any.
    pub(super) fn start(self: &Rc<Self>, front_end: u32, name: String) -> Result<(), Error> {
        let known = self.addresses.borrow().get(&front_end).copied();
        let any_port = SocketAddr::from((loopback_address(self.network, front_end), 0));
        let address = known.unwrap_or(any_port);
        let listener = listen(address, false).map_err(|source| Error::Listen {
            name: name.clone(),
            address,
            source,
        })?;
        let address = listener.local_addr()?;
        self.addresses.borrow_mut().insert(front_end, address);
        let started_at = clock::now();
        self.started_at.borrow_mut().insert(front_end, started_at);
        let config = self.transport_config(name, address)?;
        let process = self.clone();
        let on_state_change = Rc::new(move |node: &FleetNode, now: i64| {
            process.on_state_change(front_end, started_at, node, now);
            None
        });
        let node = FleetTransport::start(self.spawner.clone(), listener, config, on_state_change)?;
        self.running.borrow_mut().insert(front_end, node);
        Ok(())
    }

    fn transport_config(
        &self,
        name: String,
        address: SocketAddr,
    ) -> Result<TransportConfig, Error> {
        let mut fleet = self.fleet.clone();
        fleet.node_name = name;
        let transport = self.transport.borrow().clone().ok_or(Error::NotConnected)?;
        let (network, first, per_process) = (self.network, self.first, self.per_process);
        let send_to_hollow = move |to: SocketAddr, message: &[u8]| {
            let hollow = front_end_at(network, to).and_then(|index| index.checked_sub(first));
            let Some(hollow) = hollow else {
                return false;
            };
            transport.send((hollow / per_process) as usize, hollow + first, message);
            true
        };
        Ok(TransportConfig {
            node: node_config(&fleet, address),
            fleet: fleet.name.clone(),
            voter: None,
            proxies: Default::default(),
            carrier: Some(Rc::new(send_to_hollow)),
            validate_version: Rc::new(|_| Ok(())),
            validate_function: Rc::new(|_, _, _| Ok(())),
            read_counters: Rc::new(Default::default),
        })
    }

    /// Stops a front end without notifying the others.
    pub(super) fn kill(&self, front_end: u32) {
        let Some(node) = self.running.borrow_mut().remove(&front_end) else {
            return;
        };
        node.shut_down();
        add_traffic(&mut self.stopped_traffic.borrow_mut(), &node);
        self.started_at.borrow_mut().remove(&front_end);
        self.in_force.borrow_mut().remove(&front_end);
        self.revisions.borrow_mut().remove(&front_end);
        let now = clock::now();
        self.report_lowest_version(now);
        self.watches.remove_front_end(front_end, now);
    }

    /// Makes each front end call its functions in turn, at a fixed rate.
    pub(super) fn start_calls(self: &Rc<Self>, functions: usize, seed: u64) {
        if self
            .call_parameters
            .replace(Some((functions, seed)))
            .is_some()
        {
            return;
        }
        let process = self.clone();
        self.spawner.spawn(async move {
            for round in 0.. {
                process.spawner.sleep(CALL_INTERVAL).await;
                process.call_once(round);
            }
        });
    }

    fn call_once(&self, round: usize) {
        let running: Vec<(u32, Rc<FleetTransport>)> = self
            .running
            .borrow()
            .iter()
            .map(|(front_end, node)| (*front_end, node.clone()))
            .collect();
        for (front_end, node) in running {
            let functions = self.called_by(front_end);
            if let Some(function) = functions.get(round % functions.len().max(1)) {
                drop(node.admit(function));
            }
        }
    }

    /// Returns the functions that a front end calls.
    fn called_by(&self, front_end: u32) -> Vec<String> {
        let Some((functions, seed)) = self.call_parameters.get() else {
            return Vec::new();
        };
        let choose = || {
            called_functions(seed, front_end, functions)
                .into_iter()
                .map(function_name)
                .collect()
        };
        self.called
            .borrow_mut()
            .entry(front_end)
            .or_insert_with(choose)
            .clone()
    }

    /// Watches for updates of functions at all front ends that subscribe to them now.
    pub(super) fn watch(&self, id: u64, functions: Vec<(String, Fields)>) {
        let (running, now) = (self.running.borrow(), clock::now());
        let revision = |node: &FleetNode, now| {
            node.active_state(now)
                .state
                .map_or(Revision(0), |state| state.revision)
        };
        let since = running
            .values()
            .map(|node| node.with_node(revision))
            .max()
            .unwrap_or_default();
        let start = |(name, target): (String, Fields)| {
            let mut function = WatchedFunction::new(name, target, since);
            function.pending = running
                .iter()
                .filter(|(_, node)| node.with_node(|node, _| function.is_behind(node, now)))
                .map(|(front_end, _)| *front_end)
                .collect();
            function
        };
        self.watches
            .insert(id, functions.into_iter().map(start).collect());
    }

    /// Ends a watch.
    pub(super) fn unwatch(&self, id: u64) {
        self.watches.remove(id);
    }

    /// Updates the watches, and reports a join or a new version in force, after a front end's state may have changed.
    fn on_state_change(&self, front_end: u32, started_at: i64, node: &FleetNode, now: i64) {
        // Ignores reports of a front end that was killed or restarted since.
        if self.started_at.borrow().get(&front_end) != Some(&started_at) {
            return;
        }
        let active = node.active_state(now);
        let Some(state) = active.state else { return };
        let previous = self
            .revisions
            .borrow_mut()
            .insert(front_end, state.revision);
        let is_new_revision = previous != Some(state.revision);
        self.watches.on_state_change(
            front_end,
            node,
            now,
            is_new_revision,
            &self.running.borrow(),
        );
        let version = state.in_force.version.0;
        let before = self.in_force.borrow().get(&front_end).copied();
        let has_joined = active.lease_remaining > 0 && active.session_remaining > 0;
        if before == Some(version) || (before.is_none() && !has_joined) {
            return;
        }
        self.in_force.borrow_mut().insert(front_end, version);
        if before.is_none() {
            HollowEvent::Joined {
                front_end,
                started_at,
                at: now,
            }
            .send();
        }
        self.report_lowest_version(now);
    }

    fn report_lowest_version(&self, at: i64) {
        let lowest = self.in_force.borrow().values().min().copied();
        if let Some(version) = lowest.filter(|version| *version != self.reported_version.get()) {
            self.reported_version.set(version);
            HollowEvent::InForce { version, at }.send();
        }
    }

    /// Returns the counters of the process.
    pub(super) fn counters(&self) -> HollowCounters {
        let running = self.running.borrow();
        let mut counters = self.stopped_traffic.borrow().clone();
        let views: Vec<usize> = running
            .values()
            .map(|node| node.with_node(|node, _| node.other_members().count()))
            .collect();
        counters.alive = running.len();
        counters.called_functions = running
            .keys()
            .map(|front_end| self.called_by(*front_end).len())
            .sum();
        counters.smallest_view = views.iter().min().copied().unwrap_or(0);
        counters.largest_view = views.iter().max().copied().unwrap_or(0);
        for node in running.values() {
            let (lease, session) = node.with_node(|node, now| {
                let active = node.active_state(now);
                (active.lease_remaining > 0, active.session_remaining > 0)
            });
            counters.without_lease += usize::from(!lease);
            counters.without_session += usize::from(!session);
            counters.subscriptions += node.with_node(|node, _| node.subscription_count());
            add_traffic(&mut counters, node);
        }
        let transport = self.transport.borrow();
        counters.dropped += transport
            .as_ref()
            .map_or(0, |transport| transport.dropped());
        counters.cpu_seconds = system::cpu_seconds(std::process::id()).unwrap_or(0.0);
        counters
    }
}

/// Adds a front end's traffic to the counters.
fn add_traffic(counters: &mut HollowCounters, node: &Rc<FleetTransport>) {
    let traffic = node.traffic();
    counters.received += traffic.received;
    counters.received_bytes += traffic.received_bytes;
    counters.sent += traffic.sent;
    counters.sent_bytes += traffic.sent_bytes;
    counters.dropped += node.dropped();
}
