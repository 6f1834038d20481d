//! One front end's view of the fleet, maintained by `foca`.

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

/// Time for which a down process is remembered and periodically contacted again. Front ends are few, so the list of down
/// ones stays small.
const DOWN_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Lower bound of the protocol's time settings, in microseconds.
const MIN_INTERVAL: Time = 1000;
/// Maximum number of pending timers. The protocol needs far fewer; the bound limits memory in case of a defect.
const MAX_TIMERS: usize = 10_000;

/// Parameters of failure detection and dissemination.
#[derive(Clone, Copy, Debug)]
pub struct GossipTiming {
    /// Interval in which one other member is probed, in microseconds.
    pub probe_interval: Time,
    /// Time after which a suspected member is declared down unless it refutes the suspicion, in microseconds. A member is
    /// suspected if it answers neither direct nor indirect probes.
    pub suspicion_timeout: Time,
    /// Expected number of front ends. Each update is sent a number of times that grows with the logarithm of this.
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
    /// A process left or was declared down.
    Down(NodeId),
}

/// One front end's view of the fleet.
pub struct Membership {
    fleet: u64,
    foca: Foca<NodeId, PostcardCodec, StdRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<NodeId>,
    /// Pending timers by deadline, and by the order in which they were set.
    timers: BTreeMap<(Time, u64), Timer<NodeId>>,
    timer_count: u64,
    datagrams: Vec<Datagram>,
    events: Vec<MembershipEvent>,
    /// The front ends that are up, with this one.
    order: RendezvousOrder,
    /// Addresses of the other front ends that are up.
    addresses: BTreeMap<u64, SocketAddr>,
}

impl Membership {
    /// Creates a view without other members. `fleet` is the fleet's id.
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

    /// The current identity of this process.
    pub fn local(&self) -> &NodeId {
        self.foca.identity()
    }

    /// The other processes that are up.
    pub fn other_members(&self) -> impl Iterator<Item = &NodeId> {
        self.foca.iter_members().map(|member| member.id())
    }

    /// The number of [`Membership::other_members`].
    pub fn other_member_count(&self) -> usize {
        self.foca.num_members()
    }

    /// The address of another front end that is up.
    pub fn address(&self, id: u64) -> Option<SocketAddr> {
        self.addresses.get(&id).copied()
    }

    /// The lease tree of all front ends that are up, this one included, with this leader as its root.
    pub fn topology(&self, leader: u64) -> LeaseTopology {
        LeaseTopology::with_order(leader, self.order.clone())
    }

    /// Announces this process to another one, which may be down.
    pub fn join(&mut self, now: Time, to: NodeId) {
        let _ = self.foca.announce(to, &mut self.runtime);
        self.collect(now);
    }

    /// Announces that this process leaves.
    pub fn leave(&mut self, now: Time) {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.collect(now);
    }

    /// Handles a datagram. A rejected datagram changes nothing.
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
            // Errors for late timers and for timers of an earlier identity need no handling.
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

    /// Takes the datagrams to send since the last call.
    pub fn take_datagrams(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.datagrams)
    }

    /// Takes the changes of the view since the last call.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        std::mem::take(&mut self.events)
    }

    /// Collects the protocol's datagrams, timers and notifications.
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
                // An earlier process of this front end may be declared down, but this one is up.
                if node.id != self.local().id {
                    self.order.remove(node.id);
                }
                self.addresses.remove(&node.id);
                self.events.push(MembershipEvent::Down(node));
            }
            // A front end that is up has a new process or renewed identity, possibly at another address.
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
    // Down members are contacted again periodically, without which the sides of a partition would not find each other.
    config.remove_down_after = Some(DOWN_RETENTION);
    if let Some(announcements) = &mut config.periodic_announce_to_down_members {
        announcements.frequency = duration(timing.suspicion_timeout);
    }
    config
}

fn duration(micros: Time) -> Duration {
    Duration::from_micros(micros.max(MIN_INTERVAL) as u64)
}
