//! Which front ends are in the fleet, as each of them sees it.
//!
//! Joining, suspicion, refutation and leaving are SWIM's, by `foca`, which does no I/O; this package gives it names, a
//! clock that is told, bounds, and the fleet's name on every datagram. What comes out is who is there, for
//! [`tansy_agreement::lease_tree::LeaseTopology`]: membership says whom to ask and never who may act. A view that is wrong costs time.
//!
//! A process is a name with an incarnation. One that comes back is another one and begins from nothing; it takes the place
//! of the one before wherever it is heard of. One that was taken for down though it lives takes a further life and goes on.

use foca::{
    AccumulatingRuntime, Config, Foca, Identity, NoCustomBroadcast, OwnedNotification,
    PostcardCodec, Timer,
};
use rand::rngs::StdRng;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::time::Duration;
use tansy_agreement::lease::{Member, Time};
use tansy_agreement::lease_tree::{LeaseTopology, RendezvousOrder};

/// The form of a datagram. One of another form is not read.
pub const FORMAT_VERSION: u8 = 1;
/// Bytes of a datagram at most.
pub const MAX_DATAGRAM_BYTES: usize = 1400 + HEAD;
const HEAD: usize = 9;
/// For so long one that is down is known, and asked whether it is back.
const DOWN_KNOWN: Duration = Duration::from_secs(24 * 3600);
/// Timers that wait at a time; more would be a fault of ours.
const TIMERS: usize = 10_000;

/// A process of a front end, as the others know it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId {
    /// Its name's number and which of its processes it is.
    pub id: u64,
    /// A later process of the same name has a larger one.
    pub incarnation: u64,
    /// How often this process was taken for down and came back.
    pub life: u32,
    /// Where it is heard.
    pub address: SocketAddr,
}

impl NodeId {
    /// A new process.
    pub fn new(id: u64, incarnation: u64, address: SocketAddr) -> NodeId {
        NodeId {
            id,
            incarnation,
            life: 0,
            address,
        }
    }

    /// Without where and which life.
    pub fn member(&self) -> Member {
        Member {
            id: self.id,
            incarnation: self.incarnation,
        }
    }
}

impl Identity for NodeId {
    type Addr = u64;

    fn renew(&self) -> Option<NodeId> {
        Some(NodeId {
            life: self.life.checked_add(1)?,
            ..self.clone()
        })
    }

    fn addr(&self) -> u64 {
        self.id
    }

    fn win_addr_conflict(&self, other: &NodeId) -> bool {
        (self.incarnation, self.life) > (other.incarnation, other.life)
    }
}

/// How quickly others are found and lost.
#[derive(Clone, Copy, Debug)]
pub struct GossipTiming {
    /// One other is looked at in each of these times, microseconds.
    pub probe: Time,
    /// Who was looked at in vain is asked about, then suspected, and is down after this time unless it says otherwise.
    pub suspect: Time,
    /// Front ends expected; how often news are told grows with its logarithm.
    pub size: u32,
}

impl Default for GossipTiming {
    fn default() -> GossipTiming {
        GossipTiming {
            probe: 500_000,
            suspect: 2_000_000,
            size: 300,
        }
    }
}

/// Why a datagram is thrown away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectedDatagram {
    /// It is of another form: a program that can't be understood.
    UnknownFormat(u8),
    /// It is of another fleet.
    OtherFleet,
    /// It is too short, too long, or can't be read.
    Malformed,
}

impl std::fmt::Display for RejectedDatagram {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RejectedDatagram::UnknownFormat(n) => {
                write!(
                    f,
                    "a datagram of form {n}, this program knows form {FORMAT_VERSION}"
                )
            }
            RejectedDatagram::OtherFleet => write!(
                f,
                "a datagram of another fleet: two fleets are wired to each other"
            ),
            RejectedDatagram::Malformed => write!(f, "a datagram that can't be read"),
        }
    }
}

/// What happened to the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// It is there.
    Up(NodeId),
    /// It left, or is taken for down.
    Down(NodeId),
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// To whom.
    pub to: NodeId,
    /// What.
    pub bytes: Vec<u8>,
}

/// One front end's view.
pub struct Membership {
    fleet: u64,
    foca: Foca<NodeId, PostcardCodec, StdRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<NodeId>,
    timers: BTreeMap<(Time, u64), Timer<NodeId>>,
    count: u64,
    out: Vec<Datagram>,
    news: Vec<MembershipEvent>,
    /// Those that are there and itself, as their coming and going was told.
    order: RendezvousOrder,
    /// Where each that is there is heard, itself not among them.
    addresses: BTreeMap<u64, SocketAddr>,
}

impl Membership {
    /// One that knows nobody. `fleet`: a hash of the fleet's name.
    pub fn new(fleet: u64, me: NodeId, pace: GossipTiming, seed: u64) -> Membership {
        let mut config =
            Config::new_lan(NonZeroU32::new(pace.size.max(2)).unwrap_or(NonZeroU32::MIN));
        let span = |t: Time| Duration::from_micros(t.max(1000) as u64);
        config.probe_period = span(pace.probe);
        config.probe_rtt = span(pace.probe / 3);
        config.suspect_to_down_after = span(pace.suspect);
        // Who is down is asked now and then whether it is back, or the sides of a split would never meet again. It is
        // remembered for a day; names are few, so that this stays small.
        config.remove_down_after = Some(DOWN_KNOWN);
        if let Some(down) = &mut config.periodic_announce_to_down_members {
            down.frequency = span(pace.suspect);
        }
        let order = RendezvousOrder::from_iter([me.id]);
        Membership {
            fleet,
            order,
            addresses: BTreeMap::new(),
            foca: Foca::new(me, config, StdRng::seed_from_u64(seed), PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            count: 0,
            out: Vec::new(),
            news: Vec::new(),
        }
    }

    /// Who it is by now.
    pub fn local(&self) -> &NodeId {
        self.foca.identity()
    }

    /// Those that are there, itself not among them.
    pub fn all(&self) -> impl Iterator<Item = &NodeId> {
        self.foca.iter_members().map(|m| m.id())
    }

    /// How many [`Membership::all`] gives.
    pub fn count(&self) -> usize {
        self.foca.num_members()
    }

    /// Where one that is there is heard; itself is not among them.
    pub fn address(&self, id: u64) -> Option<SocketAddr> {
        self.addresses.get(&id).copied()
    }

    /// The view for leases: the seat, itself and all that are there.
    pub fn topology(&self, seat: u64) -> LeaseTopology {
        LeaseTopology::with_order(seat, self.order.clone())
    }

    /// Makes itself known to one that may be there.
    pub fn join(&mut self, now: Time, to: NodeId) {
        let _ = self.foca.announce(to, &mut self.runtime);
        self.collect(now);
    }

    /// Tells that it leaves.
    pub fn leave(&mut self, now: Time) {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.collect(now);
    }

    /// Takes a datagram. What can't be read changes nothing.
    pub fn on_datagram(&mut self, now: Time, bytes: &[u8]) -> Result<(), RejectedDatagram> {
        let (Some(form), Some(fleet), true) = (
            bytes.first(),
            bytes.get(1..HEAD),
            bytes.len() <= MAX_DATAGRAM_BYTES,
        ) else {
            return Err(RejectedDatagram::Malformed);
        };
        if *form != FORMAT_VERSION {
            return Err(RejectedDatagram::UnknownFormat(*form));
        } else if fleet != self.fleet.to_be_bytes() {
            return Err(RejectedDatagram::OtherFleet);
        }
        let read = self.foca.handle_data(&bytes[HEAD..], &mut self.runtime);
        self.collect(now);
        read.map_err(|_| RejectedDatagram::Malformed)
    }

    /// What time brings.
    pub fn tick(&mut self, now: Time) {
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            let timer = entry.remove();
            // A timer that is late, or of a life that is over, is not an error that anyone could mend.
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
            self.collect(now);
        }
    }

    /// When [`Membership::tick`] has something to do.
    pub fn next_deadline(&self) -> Option<Time> {
        self.timers.first_key_value().map(|(k, _)| k.0)
    }

    /// Datagrams to send since the last call.
    pub fn take_datagrams(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.out)
    }

    /// What happened since the last call.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        std::mem::take(&mut self.news)
    }

    fn collect(&mut self, now: Time) {
        while let Some((to, data)) = self.runtime.to_send() {
            let mut bytes = Vec::with_capacity(HEAD + data.len());
            bytes.push(FORMAT_VERSION);
            bytes.extend(self.fleet.to_be_bytes());
            bytes.extend(data);
            self.out.push(Datagram { to, bytes });
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            if self.timers.len() < TIMERS {
                self.count += 1;
                let at = now.saturating_add(after.as_micros() as Time);
                self.timers.insert((at, self.count), timer);
            }
        }
        while let Some(note) = self.runtime.to_notify() {
            match note {
                OwnedNotification::MemberUp(n) => {
                    self.order.insert(n.id);
                    self.addresses.insert(n.id, n.address);
                    self.news.push(MembershipEvent::Up(n));
                }
                OwnedNotification::MemberDown(n) => {
                    // Itself is there, whatever is said of a process before it.
                    if n.id != self.local().id {
                        self.order.remove(n.id);
                    }
                    self.addresses.remove(&n.id);
                    self.news.push(MembershipEvent::Down(n));
                }
                // A later process or life of one that is there, which may be heard elsewhere.
                OwnedNotification::Rename(_, n) => {
                    self.addresses.entry(n.id).and_modify(|a| *a = n.address);
                }
                _ => {}
            }
        }
    }
}
