//! A process of hollow front ends: each runs the gateway's state machine on the gateway's links, and takes no calls.
//!
//! It is told what to do by lines on standard input, tells by lines on standard output, and ends when its input does: it
//! does not outlive whoever started it.

use crate::mesh::{self, Mesh};
use crate::scopes::{few, scope};
use crate::{system, Error};
use calloop::channel::{channel, Event};
use calloop::EventLoop;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, Write};
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tansy_agreement::compatibility::Fields;
use tansy_agreement::log::Revision;
use tansy_agreement::scope::ScopeChange;
use tansy_fleet_node::FleetNode;
use tansy_gateway::fleet::peer;
use tansy_net_fleet::{FleetTransport, TransportConfig};
use tansy_net_sockets::socket::listen;
use tansy_net_sockets::{clock, Spawner};

/// The loopback address of the front end at a place; `net` keeps runs apart.
pub fn host(net: u8, place: u32) -> IpAddr {
    let [.., high, low] = (place + 1).to_be_bytes();
    IpAddr::from([127, net, high, low])
}

/// Time between two calls of a front end.
const CALL_EVERY: Duration = Duration::from_millis(100);

/// Places that have an address.
pub const PLACES: usize = 65_000;

fn place(net: u8, address: SocketAddr) -> Option<u32> {
    match address.ip() {
        IpAddr::V4(ip) => match ip.octets() {
            [127, n, high, low] if n == net => u32::from_be_bytes([0, 0, high, low]).checked_sub(1),
            _ => None,
        },
        IpAddr::V6(_) => None,
    }
}

/// What such a process is told.
#[derive(Debug, Serialize, Deserialize)]
pub enum Order {
    /// Its surroundings; first of all.
    Begin {
        /// The settings of the fleet.
        settings: PathBuf,
        /// Of all front ends' addresses.
        net: u8,
        /// The first place of a hollow front end, ...
        first: u32,
        /// ... and how many one process has, in the order of the processes.
        each: u32,
    },
    /// Where the processes of hollow front ends take letters, in their order; before any starts.
    Mesh(Vec<SocketAddr>),
    /// Front ends start from nothing: their places and names.
    Start(Vec<(u32, String)>),
    /// One is over as a killed process is.
    Kill(u32),
    /// From now on each calls a few of so many functions that are agreed on one by one, by this seed.
    Call {
        /// How many there are.
        functions: usize,
        /// Of all choices.
        seed: u64,
    },
    /// Tell when all that hold one of these functions act on these fields of it.
    Watch {
        /// Of this order.
        id: u64,
        /// What is about to change, and to what.
        functions: Vec<(String, Fields)>,
    },
    /// Nobody asks any more.
    Unwatch(u64),
    /// Tell what was counted.
    Count,
}

/// What such a process tells. Times are of the machine's clock that all processes share, microseconds.
#[derive(Debug, Serialize, Deserialize)]
pub enum News {
    /// Where it takes letters.
    Ready(SocketAddr),
    /// A front end holds its first lease and stay.
    Acts {
        /// Its place.
        place: u32,
        /// When it started, and when it could act first.
        since: i64,
        /// The latter.
        at: i64,
    },
    /// The earliest version in force at any front end here that acts, when that changes.
    Force {
        /// Which.
        version: u64,
        /// When.
        at: i64,
    },
    /// How many hold each function that is watched for.
    Watching {
        /// Of the order.
        id: u64,
        /// In the order's order.
        holders: Vec<usize>,
    },
    /// All that held a function here when it began to be watched for, and live, act on its next fields, which are in force.
    Acted {
        /// Of the order.
        id: u64,
        /// Which of its functions.
        nth: usize,
        /// When the last one did.
        at: i64,
    },
    /// A front end acted on the class before while another knew the next one to be in force.
    Broken {
        /// Who.
        place: u32,
        /// Of which function.
        function: String,
    },
    /// What was counted.
    Counted(Counted),
    /// It can't go on.
    Failed(String),
}

/// What all front ends of a process counted.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counted {
    /// That live.
    pub alive: usize,
    /// Others that the one with the smallest view sees.
    pub least_view: usize,
    /// And the one with the largest.
    pub most_view: usize,
    /// Without a lease at this moment, and without a stay.
    pub without_lease: usize,
    /// The same.
    pub without_stay: usize,
    /// Functions that are held one by one, over all.
    pub holds: usize,
    /// Functions that are called, over all.
    pub calls: usize,
    /// Letters taken and sent, those of front ends that are over among them.
    pub taken: u64,
    /// Their bytes.
    pub taken_bytes: u64,
    /// Sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Letters dropped on the way.
    pub dropped: u64,
    /// Seconds of CPU of the process.
    pub cpu_s: f64,
}

struct Home {
    spawner: Spawner,
    fleet: tansy_settings::Fleet,
    net: u8,
    first: u32,
    each: u32,
    mesh: RefCell<Option<Rc<Mesh>>>,
    all: RefCell<BTreeMap<u32, Rc<FleetTransport>>>,
    /// Versions in force by place; apart, since the state machines tell of them while they run.
    force: RefCell<BTreeMap<u32, u64>>,
    since: RefCell<BTreeMap<u32, i64>>,
    addresses: RefCell<BTreeMap<u32, SocketAddr>>,
    over: RefCell<Counted>,
    told: Cell<u64>,
    /// The functions that each place calls.
    calls: RefCell<Option<(usize, u64)>>,
    few: RefCell<BTreeMap<u32, Vec<String>>>,
    /// The steps that front ends act on.
    steps: RefCell<BTreeMap<u32, Revision>>,
    watched: RefCell<BTreeMap<u64, Vec<Watched>>>,
}

/// A function whose change is watched for.
struct Watched {
    name: String,
    wanted: Fields,
    /// Moves after this step count.
    since: Revision,
    /// Who held it as the watch began, and does not act on the change.
    behind: BTreeSet<u32>,
    told: bool,
    /// Somebody here knows that it is in force.
    known: bool,
}

impl Watched {
    /// Whether this one was told that the change is in force; none: it may have been told so with a whole state.
    fn carried(&self, peer: &FleetNode, now: i64) -> Option<bool> {
        let Some(state) = peer.active_state(now).state else {
            return Some(false);
        };
        let mine = |m: &ScopeChange| {
            m.scope == self.name
                && m.record.next().is_none()
                && m.record.fields.as_ref() == Some(&self.wanted)
        };
        state
            .history
            .since(self.since)
            .map(|mut all| all.any(|m| mine(m)))
    }

    /// Whether this one does not act on it, which it holds.
    fn is_behind(&self, peer: &FleetNode, now: i64) -> bool {
        let Some(acts) = peer.effective_settings(now, &self.name) else {
            return false;
        };
        acts.rejected
            || acts.fields.as_ref() != Some(&self.wanted)
            || self.carried(peer, now) == Some(false)
    }

    /// Whether this one takes calls by another class.
    fn old_class(&self, peer: &FleetNode, now: i64) -> bool {
        let class = |f: &Fields| f.get("class").cloned();
        let acts = peer
            .effective_settings(now, &self.name)
            .filter(|a| !a.rejected);
        acts.is_some_and(|a| a.fields.is_some_and(|f| class(&f) != class(&self.wanted)))
    }
}

fn tell(news: &News) {
    let Ok(line) = serde_json::to_string(news) else {
        return;
    };
    // Nobody reads any more: the input ends as well then.
    let _ = writeln!(std::io::stdout().lock(), "{line}");
}

/// Runs such a process.
pub fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            tell(&News::Failed(e.to_string()));
            ExitCode::from(1)
        }
    }
}

fn serve() -> Result<(), Error> {
    let mut event_loop: EventLoop<'static, ()> = EventLoop::try_new()?;
    let spawner = Spawner::new(event_loop.handle())?;
    let (orders, told) = channel::<Result<Order, String>>();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines() {
            let Ok(line) = line else { return };
            let order = serde_json::from_str(&line)
                .map_err(|e| format!("an order that can't be read: {e}"));
            if orders.send(order).is_err() {
                return;
            }
        }
        // The sender goes, which ends the loop.
    });
    let (home, end) = (
        Rc::new(RefCell::new(None::<Rc<Home>>)),
        Rc::new(RefCell::new(None::<Result<(), String>>)),
    );
    let (spawner2, ended) = (spawner.clone(), end.clone());
    let inserted = event_loop
        .handle()
        .insert_source(told, move |event, (), ()| match event {
            Event::Msg(order) => {
                let done = order
                    .map_err(Error::from)
                    .and_then(|o| obey(&spawner2, &mut home.borrow_mut(), o));
                if let Err(e) = done {
                    *ended.borrow_mut() = Some(Err(e.to_string()));
                }
            }
            Event::Closed => *ended.borrow_mut() = Some(Ok(())),
        });
    inserted.map_err(|e| e.to_string())?;
    loop {
        if let Some(end) = end.borrow_mut().take() {
            return Ok(end?);
        }
        event_loop.dispatch(Some(Duration::from_secs(60)), &mut ())?;
    }
}

fn obey(spawner: &Spawner, home: &mut Option<Rc<Home>>, order: Order) -> Result<(), Error> {
    if let Order::Begin {
        settings,
        net,
        first,
        each,
    } = order
    {
        let (name, text) = (
            settings.display().to_string(),
            std::fs::read_to_string(&settings)?,
        );
        let fleet = tansy_settings::settings(&name, &text)?.fleet;
        let made = Rc::new(Home {
            spawner: spawner.clone(),
            fleet: fleet.ok_or("settings without a fleet")?,
            net,
            first,
            each: each.max(1),
            mesh: RefCell::new(None),
            all: RefCell::default(),
            force: RefCell::default(),
            since: RefCell::default(),
            addresses: RefCell::default(),
            over: RefCell::default(),
            told: Cell::new(0),
            calls: RefCell::default(),
            few: RefCell::default(),
            steps: RefCell::default(),
            watched: RefCell::default(),
        });
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0)), false)?;
        let at = listener.local_addr()?;
        let me = made.clone();
        mesh::listen(
            spawner,
            listener,
            Rc::new(move |to, letter| me.take(to, letter)),
        )?;
        *home = Some(made);
        tell(&News::Ready(at));
        return Ok(());
    }
    let home = home.as_ref().ok_or("an order before the first")?;
    match order {
        Order::Begin { .. } => {}
        Order::Mesh(all) => *home.mesh.borrow_mut() = Some(Rc::new(Mesh::connect(spawner, &all))),
        Order::Start(all) => {
            for (place, name) in all {
                home.start(place, name)?;
            }
        }
        Order::Kill(place) => home.kill(place),
        Order::Call { functions, seed } => home.call(functions, seed),
        Order::Watch { id, functions } => home.watch(id, functions),
        Order::Unwatch(id) => drop(home.watched.borrow_mut().remove(&id)),
        Order::Count => tell(&News::Counted(home.counted())),
    }
    Ok(())
}

impl Watched {
    /// Tells once that nobody is behind.
    fn tell(&mut self, id: u64, nth: usize, at: i64) {
        if self.behind.is_empty() && !std::mem::replace(&mut self.told, true) {
            tell(&News::Acted { id, nth, at });
        }
    }
}

impl Home {
    fn take(&self, to: u32, letter: &[u8]) {
        let peers = self.all.borrow().get(&to).cloned();
        // What can't be read was counted; a front end answers that to its sender, who isn't there.
        peers.into_iter().for_each(|p| drop(p.on_datagram(letter)));
    }

    fn start(self: &Rc<Self>, place: u32, name: String) -> Result<(), Error> {
        let known = self.addresses.borrow().get(&place).copied();
        let at = known.unwrap_or_else(|| SocketAddr::from((host(self.net, place), 0)));
        let listener = listen(at, false).map_err(|e| format!("{name} at {at}: {e}"))?;
        let address = listener.local_addr()?;
        self.addresses.borrow_mut().insert(place, address);
        let since = clock::now();
        self.since.borrow_mut().insert(place, since);
        let mut fleet = self.fleet.clone();
        fleet.node_name = name;
        let mesh = self.mesh.borrow().clone().ok_or("no ways to the others")?;
        let (net, first, each) = (self.net, self.first, self.each);
        let carry = move |to: SocketAddr, letter: &[u8]| {
            let Some(nth) = self::place(net, to).and_then(|p| p.checked_sub(first)) else {
                return false;
            };
            mesh.send((nth / each) as usize, nth + first, letter);
            true
        };
        let setup = TransportConfig {
            node: peer(&fleet, address),
            fleet: fleet.name.clone(),
            voter: None,
            proxies: Default::default(),
            carrier: Some(Rc::new(carry)),
            check: Rc::new(|_| Ok(())),
            check_function: Rc::new(|_, _, _| Ok(())),
            counts: Rc::new(Default::default),
        };
        let me = self.clone();
        let acts = Rc::new(move |peer: &FleetNode, now: i64| {
            me.acts(place, since, peer, now);
            None
        });
        let peers = FleetTransport::start(self.spawner.clone(), listener, setup, acts)?;
        self.all.borrow_mut().insert(place, peers);
        Ok(())
    }

    fn kill(&self, place: u32) {
        let Some(peers) = self.all.borrow_mut().remove(&place) else {
            return;
        };
        peers.shut_down();
        let (letters, mut over) = (peers.traffic(), self.over.borrow_mut());
        over.taken += letters.received;
        over.taken_bytes += letters.received_bytes;
        over.sent += letters.sent;
        over.sent_bytes += letters.sent_bytes;
        over.dropped += peers.dropped();
        drop(over);
        self.since.borrow_mut().remove(&place);
        self.force.borrow_mut().remove(&place);
        self.steps.borrow_mut().remove(&place);
        let now = clock::now();
        self.earliest(now);
        for (id, all) in self.watched.borrow_mut().iter_mut() {
            for (nth, w) in all.iter_mut().enumerate() {
                w.behind.remove(&place);
                w.tell(*id, nth, now);
            }
        }
    }

    /// Each front end calls one of its few functions at a time, at a steady rate.
    fn call(self: &Rc<Self>, functions: usize, seed: u64) {
        if self.calls.replace(Some((functions, seed))).is_some() {
            return;
        }
        let me = self.clone();
        self.spawner.spawn(async move {
            for n in 0.. {
                me.spawner.sleep(CALL_EVERY).await;
                let all: Vec<(u32, Rc<FleetTransport>)> = me
                    .all
                    .borrow()
                    .iter()
                    .map(|(p, o)| (*p, o.clone()))
                    .collect();
                for (place, peers) in all {
                    let function = me
                        .calls_of(place)
                        .get(n % me.calls_of(place).len().max(1))
                        .cloned();
                    function.into_iter().for_each(|f| drop(peers.admit(&f)));
                }
            }
        });
    }

    /// The functions that a place calls.
    fn calls_of(&self, place: u32) -> Vec<String> {
        let Some((functions, seed)) = *self.calls.borrow() else {
            return Vec::new();
        };
        let fresh = || few(seed, place, functions).into_iter().map(scope).collect();
        self.few
            .borrow_mut()
            .entry(place)
            .or_insert_with(fresh)
            .clone()
    }

    fn watch(&self, id: u64, functions: Vec<(String, Fields)>) {
        let (all, now) = (self.all.borrow(), clock::now());
        let step = |p: &FleetNode, now| {
            p.active_state(now)
                .state
                .map_or(Revision(0), |s| s.revision)
        };
        let since = all
            .values()
            .map(|o| o.with_node(step))
            .max()
            .unwrap_or_default();
        let one = |(name, wanted): (String, Fields)| {
            let mut w = Watched {
                name,
                wanted,
                since,
                behind: BTreeSet::new(),
                told: false,
                known: false,
            };
            let behind = all
                .iter()
                .filter(|(_, o)| o.with_node(|p, _| w.is_behind(p, now)));
            w.behind = behind.map(|(place, _)| *place).collect();
            w
        };
        let made: Vec<Watched> = functions.into_iter().map(one).collect();
        tell(&News::Watching {
            id,
            holders: made.iter().map(|w| w.behind.len()).collect(),
        });
        self.watched.borrow_mut().insert(id, made);
    }

    /// One may act on something else: looks at what is watched for.
    fn look(&self, place: u32, peer: &FleetNode, now: i64, stepped: bool) {
        let all = self.all.borrow();
        for (id, watched) in self.watched.borrow_mut().iter_mut() {
            for (nth, w) in watched.iter_mut().enumerate() {
                if stepped && !w.known && w.carried(peer, now) == Some(true) {
                    w.known = true;
                    let others = all.iter().filter(|(p, _)| **p != place);
                    for (p, _) in others.filter(|(_, o)| o.with_node(|p, now| w.old_class(p, now)))
                    {
                        tell(&News::Broken {
                            place: *p,
                            function: w.name.clone(),
                        });
                    }
                }
                if stepped && w.known && w.old_class(peer, now) {
                    tell(&News::Broken {
                        place,
                        function: w.name.clone(),
                    });
                }
                if w.behind.contains(&place) && !w.is_behind(peer, now) {
                    w.behind.remove(&place);
                    w.tell(*id, nth, now);
                }
            }
        }
    }

    fn acts(&self, place: u32, since: i64, peer: &FleetNode, now: i64) {
        // One that is over has no say.
        if self.since.borrow().get(&place) != Some(&since) {
            return;
        }
        let acting = peer.active_state(now);
        let Some(state) = acting.state else { return };
        let stepped = self.steps.borrow_mut().insert(place, state.revision) != Some(state.revision);
        self.look(place, peer, now, stepped);
        let version = state.in_force.version.0;
        let before = self.force.borrow().get(&place).copied();
        if before == Some(version)
            || (before.is_none() && (acting.lease <= 0 || acting.session <= 0))
        {
            return;
        }
        self.force.borrow_mut().insert(place, version);
        if before.is_none() {
            tell(&News::Acts {
                place,
                since,
                at: now,
            });
        }
        self.earliest(now);
    }

    fn earliest(&self, at: i64) {
        let version = self.force.borrow().values().min().copied();
        if let Some(version) = version.filter(|v| *v != self.told.get()) {
            self.told.set(version);
            tell(&News::Force { version, at });
        }
    }

    fn counted(&self) -> Counted {
        let all = self.all.borrow();
        let mut c = self.over.borrow().clone();
        let views: Vec<usize> = all
            .values()
            .map(|o| o.with_node(|p, _| p.others().count()))
            .collect();
        c.alive = all.len();
        c.calls = all.keys().map(|place| self.calls_of(*place).len()).sum();
        c.least_view = views.iter().min().copied().unwrap_or(0);
        c.most_view = views.iter().max().copied().unwrap_or(0);
        for peers in all.values() {
            let (lease, stay) = peers.with_node(|p, now| {
                (
                    p.active_state(now).lease > 0,
                    p.active_state(now).session > 0,
                )
            });
            c.without_lease += usize::from(!lease);
            c.without_stay += usize::from(!stay);
            c.holds += peers.with_node(|p, _| p.subscription_count());
            let l = peers.traffic();
            c.taken += l.received;
            c.taken_bytes += l.received_bytes;
            c.sent += l.sent;
            c.sent_bytes += l.sent_bytes;
            c.dropped += peers.dropped();
        }
        c.dropped += self.mesh.borrow().as_ref().map_or(0, |m| m.dropped());
        c.cpu_s = system::cpu_s(std::process::id()).unwrap_or(0.0);
        c
    }
}
