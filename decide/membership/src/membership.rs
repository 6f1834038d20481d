//! One front end's view of the others, by `foca`.

use crate::datagram::{self, Datagram, RejectedDatagram};
use crate::node_id::NodeId;
use foca::{
    AccumulatingRuntime, Config, Foca, NoCustomBroadcast, OwnedNotification, PostcardCodec, Timer,
};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::time::Duration;
use tansy_agreement::lease::Time;
use tansy_agreement::lease_tree::{LeaseTopology, RendezvousOrder};

/// How long a process that is down is remembered, and asked now and then whether it is back.
const DOWN_MEMORY: Duration = Duration::from_secs(24 * 3600);
/// The shortest time that the protocol is configured with, microseconds.
const MIN_INTERVAL: Time = 1000;
/// Timers that may be pending; more would be a defect.
const MAX_TIMERS: usize = 10_000;

/// How quickly other front ends are found and lost.
#[derive(Clone, Copy, Debug)]
pub struct GossipTiming {
    /// One other is probed in each of these intervals, microseconds.
    pub probe_interval: Time,
    /// One that does not answer is probed through others, then suspected, and is down after this time unless it refutes
    /// the suspicion, microseconds.
    pub suspicion_timeout: Time,
    /// Front ends expected; how often an update is sent grows with its logarithm.
    pub expected_members: u32,
}

impl Default for GossipTiming {
    fn default() -> GossipTiming {
        GossipTiming {
            probe_interval: 500_000,
            suspicion_timeout: 2_000_000,
            expected_members: 300,
        }
    }
}

/// A change of the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A process came up.
    Up(NodeId),
    /// A process left, or is taken for down.
    Down(NodeId),
}

/// One front end's view.
pub struct Membership {
    fleet: u64,
    foca: Foca<NodeId, PostcardCodec, StdRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<NodeId>,
    /// By their deadline, and the order in which they were set.
    timers: BTreeMap<(Time, u64), Timer<NodeId>>,
    timer_count: u64,
    datagrams: Vec<Datagram>,
    events: Vec<MembershipEvent>,
    /// The processes that are up and this one, as the protocol's notifications say.
    order: RendezvousOrder,
    /// The addresses of the others that are up.
    addresses: BTreeMap<u64, SocketAddr>,
}

impl Membership {
    /// A view without others. `fleet`: the number of the fleet's name.
    pub fn new(fleet: u64, node: NodeId, timing: GossipTiming, seed: u64) -> Membership {
        let order = RendezvousOrder::from_iter([node.id]);
        let rng = StdRng::seed_from_u64(seed);
        Membership {
            fleet,
            foca: Foca::new(node, protocol_config(timing), rng, PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            timer_count: 0,
            datagrams: Vec::new(),
            events: Vec::new(),
            order,
            addresses: BTreeMap::new(),
        }
    }

    /// This process, with its current life.
    pub fn local(&self) -> &NodeId {
        self.foca.identity()
    }

    /// The other processes that are up.
    pub fn other_members(&self) -> impl Iterator<Item = &NodeId> {
        self.foca.iter_members().map(|member| member.id())
    }

    /// How many [`Membership::other_members`] returns.
    pub fn other_member_count(&self) -> usize {
        self.foca.num_members()
    }

    /// The address of another front end that is up.
    pub fn address(&self, id: u64) -> Option<SocketAddr> {
        self.addresses.get(&id).copied()
    }

    /// The lease tree of all front ends that are up, this one among them, below this leader.
    pub fn topology(&self, leader: u64) -> LeaseTopology {
        LeaseTopology::with_order(leader, self.order.clone())
    }

    /// Announces this process to one that may be up.
    pub fn join(&mut self, now: Time, to: NodeId) {
        let _ = self.foca.announce(to, &mut self.runtime);
        self.collect(now);
    }

    /// Announces that this process leaves.
    pub fn leave(&mut self, now: Time) {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.collect(now);
    }

    /// Takes a datagram. One that is rejected changes nothing.
    pub fn on_datagram(&mut self, now: Time, bytes: &[u8]) -> Result<(), RejectedDatagram> {
        let payload = datagram::decode(self.fleet, bytes)?;
        let result = self.foca.handle_data(payload, &mut self.runtime);
        self.collect(now);
        result.map_err(|_| RejectedDatagram::Malformed)
    }

    /// Handles the timers that are due.
    pub fn tick(&mut self, now: Time) {
        while let Some(entry) = self
            .timers
            .first_entry()
            .filter(|entry| entry.key().0 <= now)
        {
            let timer = entry.remove();
            // A timer that is late, or of a former life, is not an error that a caller could act on.
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
            self.collect(now);
        }
    }

    /// When [`Membership::tick`] is due next.
    pub fn next_deadline(&self) -> Option<Time> {
        self.timers
            .first_key_value()
            .map(|((deadline, _), _)| *deadline)
    }

    /// The datagrams to send since the last call.
    pub fn take_datagrams(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.datagrams)
    }

    /// The changes of the view since the last call.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        std::mem::take(&mut self.events)
    }

    /// Takes what the protocol wants sent, timed and notified.
    fn collect(&mut self, now: Time) {
        while let Some((to, payload)) = self.runtime.to_send() {
            let bytes = datagram::encode(self.fleet, &payload);
            self.datagrams.push(Datagram { to, bytes });
        }
        while let Some((delay, timer)) = self.runtime.to_schedule() {
            if self.timers.len() < MAX_TIMERS {
                self.timer_count += 1;
                let deadline = now.saturating_add(delay.as_micros() as Time);
                self.timers.insert((deadline, self.timer_count), timer);
            }
        }
        while let Some(notification) = self.runtime.to_notify() {
            self.on_notification(notification);
        }
    }

    fn on_notification(&mut self, notification: OwnedNotification<NodeId>) {
        match notification {
            OwnedNotification::MemberUp(node) => {
                self.order.insert(node.id);
                self.addresses.insert(node.id, node.address);
                self.events.push(MembershipEvent::Up(node));
            }
            OwnedNotification::MemberDown(node) => {
                // This front end is up, whatever is said of a former process of it.
                if node.id != self.local().id {
                    self.order.remove(node.id);
                }
                self.addresses.remove(&node.id);
                self.events.push(MembershipEvent::Down(node));
            }
            // A later process or life of one that is up, perhaps at another address.
            OwnedNotification::Rename(_, node) => {
                self.addresses
                    .entry(node.id)
                    .and_modify(|address| *address = node.address);
            }
            _ => {}
        }
    }
}

fn protocol_config(timing: GossipTiming) -> Config {
    let size = NonZeroU32::new(timing.expected_members.max(2)).unwrap_or(NonZeroU32::MIN);
    let mut config = Config::new_lan(size);
    config.probe_period = duration(timing.probe_interval);
    config.probe_rtt = duration(timing.probe_interval / 3);
    config.suspect_to_down_after = duration(timing.suspicion_timeout);
    // One that is down is asked now and then whether it is back, or the sides of a split would never meet again. It is
    // remembered for a day; front ends are few, so that this stays small.
    config.remove_down_after = Some(DOWN_MEMORY);
    if let Some(announcements) = &mut config.periodic_announce_to_down_members {
        announcements.frequency = duration(timing.suspicion_timeout);
    }
    config
}

fn duration(micros: Time) -> Duration {
    Duration::from_micros(micros.max(MIN_INTERVAL) as u64)
}
