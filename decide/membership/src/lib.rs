//! Which front ends are in the fleet, as each of them sees it.
//!
//! Joining, suspicion, refutation and leaving are SWIM's, by `foca`, which does no I/O; this package gives it names, a
//! clock that is told, bounds, and the fleet's name on every datagram. What comes out is who is there, for
//! [`tansy_agreement::member::View`]: membership says whom to ask and never who may act. A view that is wrong costs time.
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
use tansy_agreement::member::{Order, View};

/// The form of a datagram. One of another form is not read.
pub const FORM: u8 = 1;
/// Bytes of a datagram at most.
pub const LARGEST: usize = 1400 + HEAD;
const HEAD: usize = 9;
/// For so long one that is down is known, and asked whether it is back.
const DOWN_KNOWN: Duration = Duration::from_secs(24 * 3600);
/// Timers that wait at a time; more would be a fault of ours.
const TIMERS: usize = 10_000;

/// A process of a front end, as the others know it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Name {
    /// Its name's number and which of its processes it is.
    pub id: u64,
    /// A later process of the same name has a larger one.
    pub incarnation: u64,
    /// How often this process was taken for down and came back.
    pub life: u32,
    /// Where it is heard.
    pub address: SocketAddr,
}

impl Name {
    /// A new process.
    pub fn new(id: u64, incarnation: u64, address: SocketAddr) -> Name {
        Name {
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

impl Identity for Name {
    type Addr = u64;

    fn renew(&self) -> Option<Name> {
        Some(Name {
            life: self.life.checked_add(1)?,
            ..self.clone()
        })
    }

    fn addr(&self) -> u64 {
        self.id
    }

    fn win_addr_conflict(&self, other: &Name) -> bool {
        (self.incarnation, self.life) > (other.incarnation, other.life)
    }
}

/// How quickly others are found and lost.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// One other is looked at in each of these times, microseconds.
    pub probe: Time,
    /// Who was looked at in vain is asked about, then suspected, and is down after this time unless it says otherwise.
    pub suspect: Time,
    /// Front ends expected; how often news are told grows with its logarithm.
    pub size: u32,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            probe: 500_000,
            suspect: 2_000_000,
            size: 300,
        }
    }
}

/// Why a datagram is thrown away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stranger {
    /// It is of another form: a program that can't be understood.
    Form(u8),
    /// It is of another fleet.
    Fleet,
    /// It is too short, too long, or can't be read.
    Noise,
}

impl std::fmt::Display for Stranger {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Stranger::Form(n) => {
                write!(f, "a datagram of form {n}, this program knows form {FORM}")
            }
            Stranger::Fleet => write!(
                f,
                "a datagram of another fleet: two fleets are wired to each other"
            ),
            Stranger::Noise => write!(f, "a datagram that can't be read"),
        }
    }
}

/// What happened to the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// It is there.
    Up(Name),
    /// It left, or is taken for down.
    Down(Name),
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// To whom.
    pub to: Name,
    /// What.
    pub bytes: Vec<u8>,
}

/// One front end's view.
pub struct Members {
    fleet: u64,
    foca: Foca<Name, PostcardCodec, StdRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Name>,
    timers: BTreeMap<(Time, u64), Timer<Name>>,
    count: u64,
    out: Vec<Datagram>,
    news: Vec<News>,
    /// Those that are there and itself, as their coming and going was told.
    order: Order,
    /// Where each that is there is heard, itself not among them.
    addresses: BTreeMap<u64, SocketAddr>,
}

impl Members {
    /// One that knows nobody. `fleet`: a hash of the fleet's name.
    pub fn new(fleet: u64, me: Name, pace: Pace, seed: u64) -> Members {
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
        let order = Order::from_iter([me.id]);
        Members {
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
    pub fn me(&self) -> &Name {
        self.foca.identity()
    }

    /// Those that are there, itself not among them.
    pub fn all(&self) -> impl Iterator<Item = &Name> {
        self.foca.iter_members().map(|m| m.id())
    }

    /// How many [`Members::all`] gives.
    pub fn count(&self) -> usize {
        self.foca.num_members()
    }

    /// Where one that is there is heard; itself is not among them.
    pub fn address(&self, id: u64) -> Option<SocketAddr> {
        self.addresses.get(&id).copied()
    }

    /// The view for leases: the seat, itself and all that are there.
    pub fn view(&self, seat: u64) -> View {
        View::of(seat, self.order.clone())
    }

    /// Makes itself known to one that may be there.
    pub fn join(&mut self, now: Time, to: Name) {
        let _ = self.foca.announce(to, &mut self.runtime);
        self.collect(now);
    }

    /// Tells that it leaves.
    pub fn leave(&mut self, now: Time) {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.collect(now);
    }

    /// Takes a datagram. What can't be read changes nothing.
    pub fn hear(&mut self, now: Time, bytes: &[u8]) -> Result<(), Stranger> {
        let (Some(form), Some(fleet), true) =
            (bytes.first(), bytes.get(1..HEAD), bytes.len() <= LARGEST)
        else {
            return Err(Stranger::Noise);
        };
        if *form != FORM {
            return Err(Stranger::Form(*form));
        } else if fleet != self.fleet.to_be_bytes() {
            return Err(Stranger::Fleet);
        }
        let read = self.foca.handle_data(&bytes[HEAD..], &mut self.runtime);
        self.collect(now);
        read.map_err(|_| Stranger::Noise)
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

    /// When [`Members::tick`] has something to do.
    pub fn next(&self) -> Option<Time> {
        self.timers.first_key_value().map(|(k, _)| k.0)
    }

    /// Datagrams to send since the last call.
    pub fn take_out(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.out)
    }

    /// What happened since the last call.
    pub fn take_news(&mut self) -> Vec<News> {
        std::mem::take(&mut self.news)
    }

    fn collect(&mut self, now: Time) {
        while let Some((to, data)) = self.runtime.to_send() {
            let mut bytes = Vec::with_capacity(HEAD + data.len());
            bytes.push(FORM);
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
                    self.news.push(News::Up(n));
                }
                OwnedNotification::MemberDown(n) => {
                    // Itself is there, whatever is said of a process before it.
                    if n.id != self.me().id {
                        self.order.remove(n.id);
                    }
                    self.addresses.remove(&n.id);
                    self.news.push(News::Down(n));
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
