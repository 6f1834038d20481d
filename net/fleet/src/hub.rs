//! Gives what arrives to the state machine and carries out its commands.

use crate::ask::ask;
use crate::disk::{Disk, Done};
use crate::serve;
use calloop::channel::Event;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::poll_fn;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tansy_agreement::hold::Call;
use tansy_agreement::lease::Time;
use tansy_agreement::list::Line;
use tansy_agreement::log::{Applied, Entry, State, MEMBERS};
use tansy_agreement::rule::Fields;
use tansy_consensus::Saved;
use tansy_fleet_node::{Body, Command, Held, Note, Peer, Refusal};
use tansy_fleet_wire::{letter, read, Bad};
use tansy_net_grpc::link::{Limits as LinkLimits, Link};
use tansy_net_grpc::server::{Limits, Server};
use tansy_net_sockets::interrupt::Uninterrupted;
use tansy_net_sockets::socket::descriptors;
use tansy_net_sockets::{clock, within, Spawner};

/// Letters on their way to one front end; further ones are dropped, as a network drops them.
const ON_THE_WAY: usize = 64;
/// A letter that is not taken by then is of no use.
const LETTER_WITHIN: Duration = Duration::from_secs(1);
/// The state machine is looked at at least so often, and at most.
const LOOK_MOST: Time = 50_000;
const LOOK_LEAST: Time = 500;
/// A link that nothing was sent on for so long is let go.
const UNUSED: Time = 60_000_000;
/// A front end that turns letters away is told of again after this time.
const TELL_AGAIN: Time = 10_000_000;
/// Requests for entries that wait for their answer.
const REQUESTS: usize = 256;
/// Connections of siblings and operators, whatever descriptors there are.
const CONNECTIONS: usize = 2048;

/// Bounds of what siblings and operators send.
///
/// Each front end has a connection to the seat that leads, which has one back: it takes as many as the roster holds, as far
/// as half of its descriptors go. One that finds no room acts never, since it gets no stay.
fn limits() -> Limits {
    Limits {
        connections: (descriptors() / 2).clamp(CONNECTIONS, MEMBERS),
        streams: 256,
        header_bytes: 8 * 1024,
        stream_window: 64 * 1024,
        message_bytes: tansy_fleet_wire::LARGEST,
        preface_within: Duration::from_secs(5),
    }
}

/// Whether a version's fields make sense as a whole; the reason, if not.
pub type Check = Rc<dyn Fn(&Fields) -> Result<(), String>>;
/// Is told, before anything that follows from it leaves, that the front end may act on something else by now; gives what
/// is wrong if it can't.
pub type Acts = Rc<dyn Fn(&Peer, Time) -> Option<String>>;

/// Whether a function's fields make sense by themselves, with the classes of this state; the reason, if not.
pub type CheckFunction = Rc<dyn Fn(&str, &Fields, &State) -> Result<(), String>>;

/// What the front end counted, and of which program it is; its name and what it acts on are filled in.
pub type Counts = Rc<dyn Fn() -> tansy_fleet_wire::pb::CountsReply>;

/// Takes a letter that goes another way than by a link to its address; false: it knows no way there. Nothing rests on a
/// letter's arrival.
pub type Carrier = Rc<dyn Fn(SocketAddr, &[u8]) -> bool>;

/// What a front end's place in a fleet is made of.
pub struct Setup {
    /// The state machine's; its own address is filled in.
    pub peer: tansy_fleet_node::Setup,
    /// The fleet's name in words.
    pub fleet: String,
    /// A seat's file, and the fields that a fleet which begins has as its first version.
    pub seat: Option<(PathBuf, Fields)>,
    /// Front ends that are reached through another address than their own.
    pub via: HashMap<SocketAddr, SocketAddr>,
    /// Asked first, where many front ends of one process share their ways.
    pub carrier: Option<Carrier>,
    /// Of versions.
    pub check: Check,
    /// Of functions that are agreed on one by one.
    pub check_function: CheckFunction,
    /// Of calls.
    pub counts: Counts,
}

/// Letters of this place since it was taken, and the bytes of their messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Letters {
    /// Taken from others, those that could not be read among them.
    pub taken: u64,
    /// Their bytes.
    pub taken_bytes: u64,
    /// Sent, whether they arrive or not; those dropped here are not among them.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
}

struct Way {
    link: Rc<Link>,
    letters: Cell<usize>,
    /// When it was last told that letters are turned away.
    told: Cell<Option<Time>>,
    used: Cell<Time>,
}

/// The outcome of a request for an entry, once it is there.
#[derive(Default)]
pub(crate) struct Slot {
    outcome: RefCell<Option<Result<Applied, Refusal>>>,
    waker: RefCell<Option<Waker>>,
}

impl Slot {
    pub(crate) fn poll(&self, cx: &Context<'_>) -> Poll<Result<Applied, Refusal>> {
        if let Some(outcome) = self.outcome.borrow_mut().take() {
            return Poll::Ready(outcome);
        }
        *self.waker.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    }
}

/// A front end's place in a fleet.
pub struct Peers {
    pub(crate) spawner: Spawner,
    pub(crate) fleet: String,
    pub(crate) check: Check,
    pub(crate) check_function: CheckFunction,
    pub(crate) counts: Counts,
    pub(crate) peer: RefCell<Peer>,
    pub(crate) error: RefCell<Option<String>>,
    acts: Acts,
    disk: Option<Disk>,
    via: HashMap<SocketAddr, SocketAddr>,
    carrier: Option<Carrier>,
    ways: RefCell<HashMap<SocketAddr, Rc<Way>>>,
    slots: RefCell<HashMap<u64, Rc<Slot>>>,
    next_request: Cell<u64>,
    dropped: Cell<u64>,
    letters: Cell<Letters>,
    ended: Cell<bool>,
    server: RefCell<Option<Rc<Server>>>,
    /// The state machine has to be looked at anew, and who is to do it.
    nudged: Cell<bool>,
    looks: RefCell<Option<Waker>>,
}

/// Why a place in a fleet can't be taken.
pub type Error = Box<dyn std::error::Error>;

impl Peers {
    /// Takes its place, on a listener whose address its siblings know.
    pub fn start(
        spawner: Spawner,
        listener: TcpListener,
        mut setup: Setup,
        acts: Acts,
    ) -> Result<Rc<Peers>, Error> {
        setup.peer.me.address = listener.local_addr()?;
        let fleet = setup.peer.fleet;
        let (mut disk, mut held, mut done) = (None, None, None);
        let mut file = String::new();
        if let Some((path, first)) = setup.seat {
            file = path.display().to_string();
            let (d, h, c) = Disk::open(&path).map_err(|e| format!("{file}: {e}"))?;
            let saved = Saved {
                whole: h.whole,
                records: h.records,
            };
            (disk, held, done) = (Some(d), Some(Held { saved, first }), Some(c));
        }
        let peer = Peer::new(setup.peer, held, clock::now()).map_err(|e| format!("{file}: {e}"))?;
        let peers = Rc::new(Peers {
            spawner: spawner.clone(),
            fleet: setup.fleet,
            check: setup.check,
            check_function: setup.check_function,
            counts: setup.counts,
            peer: RefCell::new(peer),
            error: RefCell::new(None),
            acts,
            disk,
            via: setup.via,
            carrier: setup.carrier,
            ways: RefCell::new(HashMap::new()),
            slots: RefCell::new(HashMap::new()),
            next_request: Cell::new(0),
            dropped: Cell::new(0),
            letters: Cell::new(Letters::default()),
            ended: Cell::new(false),
            server: RefCell::new(None),
            nudged: Cell::new(false),
            looks: RefCell::new(None),
        });
        if let Some(done) = done {
            let p = peers.clone();
            let inserted =
                spawner
                    .handle()
                    .insert_source(Uninterrupted(done), move |event, _, ()| {
                        if let Event::Msg(done) = event {
                            p.held(done);
                        }
                    });
            inserted.map_err(|e| io::Error::other(e.to_string()))?;
        }
        let server = Server::start(
            spawner.clone(),
            listener,
            limits(),
            serve::handler(peers.clone(), fleet),
        )?;
        *peers.server.borrow_mut() = Some(server);
        let p = peers.clone();
        spawner.spawn(async move {
            while !p.ended.get() {
                let next = p.peer.borrow().next() - clock::now();
                let sleep = Duration::from_micros(next.clamp(LOOK_LEAST, LOOK_MOST) as u64);
                within(p.spawner.sleep(sleep), poll_fn(|cx| p.nudge(cx))).await;
                if p.peer.borrow().next() <= clock::now() {
                    p.turn(Peer::tick);
                }
                p.let_go();
            }
        });
        Ok(peers)
    }

    /// Reads the state machine.
    pub fn with_peer<T>(&self, f: impl FnOnce(&Peer, Time) -> T) -> T {
        f(&self.peer.borrow(), clock::now())
    }

    /// What is done with a call of a function that the versions don't name, now.
    pub fn called(self: &Rc<Self>, function: &str) -> Call {
        let mut out = Vec::new();
        let (call, next) = {
            let mut peer = self.peer.borrow_mut();
            let (now, before) = (clock::now(), peer.scopes_changed());
            let mut call = peer.called(now, function, &mut out);
            // The seat that leads answers itself.
            if call == Call::Wait && peer.scopes_changed() != before {
                call = peer.called(now, function, &mut out);
            }
            (call, peer.next())
        };
        out.into_iter().for_each(|c| self.carry_out(c));
        if call == Call::Wait && next < clock::now() + LOOK_MOST {
            self.nudged.set(true);
            self.looks
                .borrow_mut()
                .take()
                .into_iter()
                .for_each(Waker::wake);
        }
        call
    }

    /// Whether the state machine's next time may have come nearer.
    fn nudge(&self, cx: &Context<'_>) -> Poll<()> {
        if self.nudged.take() {
            return Poll::Ready(());
        }
        *self.looks.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    }

    /// A list of workers was read.
    pub fn list(self: &Rc<Self>, lines: Vec<Line>) {
        self.turn(|p, now, out| p.list(now, lines, out));
    }

    /// Tells the others that it leaves, and takes no more connections.
    pub fn leave(self: &Rc<Self>) {
        self.turn(Peer::leave);
        if let Some(server) = &*self.server.borrow() {
            server.close();
        }
    }

    /// It is over at once, as with a process that is killed: nobody is told, nothing leaves and nothing is taken any more.
    pub fn end(&self) {
        self.ended.set(true);
        if let Some(server) = self.server.borrow_mut().take() {
            server.close();
            server.drop_connections();
        }
        self.ways
            .borrow_mut()
            .drain()
            .for_each(|(_, w)| w.link.drop_connection());
    }

    /// Takes a letter that came another way than by this place's own listener.
    pub fn take(self: &Rc<Self>, bytes: &[u8]) -> Result<(), Bad> {
        let mut letters = self.letters.get();
        (letters.taken, letters.taken_bytes) =
            (letters.taken + 1, letters.taken_bytes + bytes.len() as u64);
        self.letters.set(letters);
        let fleet = self.peer.borrow().setup().fleet;
        let (from, root, body) = read(fleet, bytes)?;
        self.turn(|p, now, out| p.hear(now, &from, root, body, out));
        Ok(())
    }

    /// Letters that passed.
    pub fn letters(&self) -> Letters {
        self.letters.get()
    }

    /// Whether no letter is on its way.
    pub fn quiet(&self) -> bool {
        self.ways.borrow().values().all(|w| w.letters.get() == 0)
    }

    /// Letters that were dropped because too many were on their way.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    pub(crate) fn turn(self: &Rc<Self>, act: impl FnOnce(&mut Peer, Time, &mut Vec<Command>)) {
        if self.ended.get() {
            return;
        }
        let mut out = Vec::new();
        {
            let mut peer = self.peer.borrow_mut();
            act(&mut peer, clock::now(), &mut out);
            // What it acts on comes before what it says of it: a letter that tells a step is the promise to act on none
            // before it.
            *self.error.borrow_mut() = (self.acts)(&peer, clock::now());
        }
        out.into_iter().for_each(|c| self.carry_out(c));
    }

    fn held(self: &Rc<Self>, done: Done) {
        self.turn(|p, now, out| p.held(now, done, out));
    }

    fn carry_out(self: &Rc<Self>, command: Command) {
        match command {
            Command::Send { to, body } => self.send(to, body),
            Command::Seat { to, bytes } => {
                if let Some(address) = self.with_peer(|p, _| p.address(to)) {
                    self.send(address, Body::Seats(bytes));
                }
            }
            Command::Hold { record, whole } => {
                if !self.disk.as_ref().is_some_and(|d| d.hold(record, whole)) {
                    let me = self.clone();
                    self.spawner
                        .spawn(async move { me.held(Err("the seat's thread has ended".into())) });
                }
            }
            Command::Answer { request, outcome } => {
                if let Some(slot) = self.slots.borrow_mut().remove(&request) {
                    *slot.outcome.borrow_mut() = Some(outcome);
                    slot.waker
                        .borrow_mut()
                        .take()
                        .into_iter()
                        .for_each(Waker::wake);
                }
            }
            Command::Note(note) => tell(&note),
        }
    }

    fn send(self: &Rc<Self>, to: SocketAddr, body: Body) {
        let bytes = {
            let peer = self.peer.borrow();
            letter(peer.setup().fleet, &peer.setup().me, peer.root(), body)
        };
        if self.carrier.as_ref().is_some_and(|carry| carry(to, &bytes)) {
            return self.sent(bytes.len());
        }
        let way = {
            let mut ways = self.ways.borrow_mut();
            let fresh = || {
                let at = self.via.get(&to).copied().unwrap_or(to);
                let link = Link::new(self.spawner.clone(), at, LinkLimits::default());
                Rc::new(Way {
                    link,
                    letters: Cell::new(0),
                    told: Cell::new(None),
                    used: Cell::new(0),
                })
            };
            ways.entry(to).or_insert_with(fresh).clone()
        };
        if way.letters.get() >= ON_THE_WAY {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        self.sent(bytes.len());
        way.letters.set(way.letters.get() + 1);
        way.used.set(clock::now());
        let spawner = self.spawner.clone();
        self.spawner.spawn(async move {
            if let Err(e) = ask(&spawner, &way.link, "Tell", &bytes, LETTER_WITHIN).await {
                tracing::debug!(%to, error = %e, "a letter did not arrive");
                let now = clock::now();
                let lately = way.told.get().is_some_and(|at| now - at < TELL_AGAIN);
                if matches!(e, crate::ask::Failed::Refused(..)) && !lately {
                    way.told.set(Some(now));
                    tracing::warn!(%to, error = %e, "a front end turns letters away");
                }
            }
            way.letters.set(way.letters.get() - 1);
        });
    }

    fn sent(&self, bytes: usize) {
        let mut letters = self.letters.get();
        (letters.sent, letters.sent_bytes) = (letters.sent + 1, letters.sent_bytes + bytes as u64);
        self.letters.set(letters);
    }

    fn let_go(&self) {
        let now = clock::now();
        self.ways.borrow_mut().retain(|_, w| {
            let stays = w.letters.get() > 0 || now - w.used.get() < UNUSED;
            if !stays {
                w.link.retire();
            }
            stays
        });
    }

    /// Asks for an entry; none: too many wait.
    pub(crate) fn enter(self: &Rc<Self>, entry: Entry) -> Option<Rc<Slot>> {
        if self.slots.borrow().len() >= REQUESTS {
            return None;
        }
        let request = self.next_request.get() + 1;
        self.next_request.set(request);
        let slot = Rc::new(Slot::default());
        self.slots.borrow_mut().insert(request, slot.clone());
        self.turn(|p, now, out| p.request(now, request, entry, out));
        Some(slot)
    }
}

fn tell(note: &Note) {
    match note {
        Note::Member(news) => tracing::info!(member = ?news, "membership"),
        Note::Step { step, force, next } => {
            tracing::info!(
                step = step.0,
                force,
                next = next.unwrap_or(0),
                "a step of the fleet"
            );
        }
        Note::Lease { live: true } => tracing::info!("a lease is held"),
        Note::Lease { live: false } => {
            tracing::warn!(
                "the lease is out: the stricter side of every limit holds until there is one again"
            );
        }
        Note::Stay { live: true } => tracing::info!("a stay is held"),
        Note::Stay { live: false } => {
            tracing::error!(
                "the stay is out: calls that strict fields touch are refused until the seat is reached"
            );
        }
        Note::Leads { live: true } => tracing::info!("this seat leads the fleet"),
        Note::Leads { live: false } => tracing::warn!("this seat leads the fleet no more"),
        Note::Stranger(why) => tracing::warn!(%why, "a datagram was thrown away"),
        Note::GivenUp { version, behind } => {
            tracing::error!(
                version,
                ?behind,
                "a change was stuck while calls were refused for it, and is given up"
            );
        }
        Note::NotSeated { new } => {
            tracing::error!(
                new = format!("{new:x}"),
                "it did not learn the agreed log in time and does not become a seat: was it started with --state?"
            );
        }
        Note::Squeezed { total, held } => {
            tracing::warn!(
                total,
                held,
                "functions were let go to make room: more are called here than one front end holds"
            );
        }
        Note::ScopesGivenUp { scopes, behind } => {
            tracing::error!(
                ?scopes,
                ?behind,
                "changes of functions were stuck, and are given up"
            );
        }
        Note::Disk { why } => {
            tracing::error!(%why, "the seat's disk takes no entry: no change until it is mended and the seat started again");
        }
    }
}
