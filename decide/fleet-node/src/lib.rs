//! One front end of a fleet, as one state machine.
//!
//! [`FleetNode`] joins what `tansy-agreement` and `tansy-membership` hold apart: who is there, under which lease and stay this front
//! end acts and on what, and, at a seat, the agreed log. It takes what arrives with the time and gives [`Command`]s. It
//! holds no clock, no sockets and no disk, so the gateway and the model run the same code.
//!
//! Times are microseconds of one monotonic clock of the caller that goes on while the machine sleeps.

mod changes;
mod known;
mod lists;
mod scopes;
mod seat;

pub use known::Directory;
pub use seat::{ChangeBlockers, RequestRejection};

use known::KnownNodes;
use lists::Lists;
use seat::ChangeController;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tansy_agreement::compatibility::{Compatibility, Fields, Schema};
use tansy_agreement::endpoints::{DrainTable, EndpointRecord};
use tansy_agreement::lease::{LeaseTiming, Member, Time};
use tansy_agreement::lease_tree::{LeaseMessage, LeaseNode};
use tansy_agreement::log::{ApplyOutcome, FleetState, Log, LogEntry, Revision};
use tansy_agreement::scope::StateDelta;
use tansy_agreement::session::{self, Session};
use tansy_agreement::subscription::{self, ScopeSubscriptions, SubscriptionLimits};
use tansy_consensus::{CorruptState, PersistentState, Replica};
use tansy_membership::{GossipTiming, Membership, MembershipEvent, NodeId, RejectedDatagram};
use xxhash_rust::xxh3::xxh3_64;

/// Time between two tries to find the fleet, and between two asks for a first stay.
const AGAIN: Time = 200_000;
/// A stay is asked for again after this part of it ...
const STAY_PART: Time = 4;
/// ... and at least so often: the seat wants to know who lives, at little cost.
const STAY_MOST: Time = 30_000_000;
/// And while a change of strict fields goes on, which waits for what the ask tells, in case that was lost.
const STAY_AWAITED: Time = 1_000_000;
/// Asks for a stay after which other seats are asked than the one that leads.
const UNANSWERED: usize = 3;
/// Addresses that are remembered of those who wrote and are not known as members yet.
const HEARD: usize = 1024;

/// The number of a front end's or a fleet's name.
pub fn number(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// What a front end of a fleet is.
#[derive(Clone, Debug)]
pub struct FleetNodeConfig {
    /// The fleet's number.
    pub fleet: u64,
    /// Its name in words.
    pub name: String,
    /// Its process, and where it is reached.
    pub node: NodeId,
    /// The numbers of the front ends that keep the log where the fleet begins, and where they are reached; by these one that
    /// starts finds the fleet.
    pub voters: Vec<(u64, SocketAddr)>,
    /// Leases.
    pub lease: LeaseTiming,
    /// Stays.
    pub session: LeaseTiming,
    /// Of membership.
    pub gossip: GossipTiming,
    /// How fields agree.
    pub schema: Schema,
    /// Of its random choices.
    pub seed: u64,
}

/// What passes between two front ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageBody {
    /// A datagram of membership.
    Gossip(Vec<u8>),
    /// Of leases and steps.
    Lease(LeaseMessage<FleetState, StateDelta>),
    /// For a stay, with the name in words and the digest of the workers that leave.
    SessionRequest(session::SessionRequest, String, u64),
    /// A stay.
    SessionGrant(session::SessionGrant),
    /// To the seat: it acts no more, and never again.
    Departed(Member),
    /// Workers that leave; whether all that the other knows is wanted back.
    Drains(Vec<EndpointRecord>, bool),
    /// The digest of the workers that leave, for one that knows others to tell of them.
    DrainDigest(u64),
    /// From seat to seat.
    Consensus(Vec<u8>),
    /// To the root: which scopes it wants and holds.
    Subscribe(subscription::SubscribeRequest),
    /// The root's answer.
    SubscribeReply(subscription::SubscribeReply),
    /// Nothing but what stands in the head of every letter.
    HeaderOnly,
}

/// The seat that leads, by the term in which it does; of two the later term is right. It stands in the head of every letter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Leader {
    /// Counts up with each change.
    pub term: u64,
    /// The front end's number.
    pub id: u64,
}

/// What a seat is started from.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// What its disk holds.
    pub persistent: PersistentState,
    /// The fields that a fleet which begins has first.
    pub initial_fields: Fields,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
#[expect(
    clippy::large_enum_variant,
    reason = "nearly all are letters, and each lives for one turn of the loop"
)]
pub enum Command {
    /// Send to the front end at this address. Nothing rests on its arrival, its order or its being alone.
    Send {
        /// Where.
        to: SocketAddr,
        /// What.
        body: MessageBody,
    },
    /// Send to the seat of this number, at [`FleetNode::address`].
    SendToVoter {
        /// Which.
        to: u64,
        /// What.
        bytes: Vec<u8>,
    },
    /// Hold a record, then call [`FleetNode::on_persisted`]; in order. A whole takes the place of all before it.
    Persist {
        /// The record.
        record: Vec<u8>,
        /// All that there is, this record included.
        snapshot: Option<Vec<u8>>,
    },
    /// The outcome of a request for an entry.
    Respond {
        /// The request's number.
        request: u64,
        /// What came of it.
        outcome: Result<ApplyOutcome, RequestRejection>,
    },
    /// Tell the operator.
    Notify(FleetEvent),
}

/// What an operator wants to read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetEvent {
    /// A front end is there, or is no more.
    Membership(MembershipEvent),
    /// This front end's step: the log's at a seat, else what its lease is for. Those that move functions alone are not told.
    RevisionChanged {
        /// Which.
        step: Revision,
        /// The version in force there.
        force: u64,
        /// The version under way, if any.
        next: Option<u64>,
    },
    /// The lease ran out, or there is one again.
    Lease {
        /// Whether there is one.
        live: bool,
    },
    /// The stay ran out, or there is one again.
    Session {
        /// Whether there is one.
        live: bool,
    },
    /// This seat leads the fleet, or does no more.
    Leadership {
        /// Whether it does.
        live: bool,
    },
    /// A datagram was thrown away.
    DatagramRejected(RejectedDatagram),
    /// A change that touches strict fields did not get through in time and is given up.
    ChangeAbandoned {
        /// The version.
        version: u64,
        /// Who was not known to have come as far.
        behind: Vec<Member>,
    },
    /// One that was to become a seat did not learn the log in time, and does not become one.
    VoterReplacementAbandoned {
        /// Which.
        new: u64,
    },
    /// Scopes that were called were let go, since more are called than one front end may hold.
    SubscriptionsEvicted {
        /// How many so far.
        total: u64,
        /// How many are held.
        subscribed: usize,
    },
    /// Changes of scopes did not get through in time and are given up.
    ScopeChangesAbandoned {
        /// Which; the first ones of many.
        scopes: Vec<String>,
        /// Who holds them and was not known to have come as far; the first ones of many.
        behind: Vec<Member>,
    },
    /// The seat's disk failed: it takes no entry until it is started again.
    StorageFailed {
        /// Why.
        cause: String,
    },
}

/// What a front end acts on.
#[derive(Clone, Copy, Debug)]
pub struct ActiveState<'a> {
    /// What it knows last; none: nothing yet.
    pub state: Option<&'a FleetState>,
    /// What is left of its lease, microseconds.
    pub lease: Time,
    /// What is left of its stay, microseconds.
    pub session: Time,
}

/// A front end.
pub struct FleetNode {
    setup: FleetNodeConfig,
    members: KnownNodes,
    front: LeaseNode<FleetState>,
    stay: Session,
    next_stay: Time,
    next_join: Time,
    keeper: Option<ChangeController>,
    leader: Leader,
    /// It is the root.
    leads: bool,
    /// Asks for a stay in a row that nobody answered.
    unanswered: usize,
    lists: Lists,
    holding: ScopeSubscriptions,
    /// The step that it told the root last.
    update_members: Revision,
    /// Up to then it says nothing more of scopes that were let go, and how many it said.
    squeezed: (Time, u64),
    heard: BTreeMap<u64, SocketAddr>,
    noted: (Revision, bool, bool),
    /// When it first held a lease and a stay.
    acts_since: Option<Time>,
}

impl FleetNode {
    /// One that starts from nothing; a seat from what it held.
    pub fn new(
        setup: FleetNodeConfig,
        held: Option<RecoveredState>,
        now: Time,
    ) -> Result<FleetNode, CorruptState> {
        let members = Membership::new(setup.fleet, setup.node.clone(), setup.gossip, setup.seed);
        let members = KnownNodes::Found(Box::new(members));
        let me = setup.node.member();
        let root = Leader {
            term: 0,
            id: setup.voters.first().map_or(0, |s| s.0),
        };
        let front = LeaseNode::new(setup.lease, me, members.view(root.id), now);
        let keeper = match held {
            Some(held) => {
                let seats = tansy_consensus::ReplicaConfig {
                    id: me.id,
                    incarnation: me.incarnation,
                    voters: setup.voters.iter().copied().collect(),
                    terms: setup.lease,
                    initial_fields: held.initial_fields,
                    seed: setup.seed,
                };
                Some(ChangeController::new(
                    Replica::new(seats, &held.persistent, now)?,
                    setup.session,
                    now,
                ))
            }
            None => None,
        };
        let stay = Session::new(setup.session, me);
        let lists = Lists::new(setup.seed, now);
        Ok(FleetNode {
            setup,
            members,
            front,
            stay,
            next_stay: now,
            next_join: now,
            keeper,
            leader: root,
            leads: false,
            unanswered: 0,
            lists,
            holding: ScopeSubscriptions::new(me, SubscriptionLimits::default(), now),
            update_members: Revision(0),
            squeezed: (now, 0),
            heard: BTreeMap::new(),
            noted: (Revision(0), false, false),
            acts_since: None,
        })
    }

    /// Its setup.
    pub fn setup(&self) -> &FleetNodeConfig {
        &self.setup
    }

    /// What it acts on now. Whoever acts has to look again once the lease or the stay is over.
    pub fn active_state(&self, now: Time) -> ActiveState<'_> {
        ActiveState {
            state: self.front.known_state(),
            lease: self.front.remaining(now),
            session: self.stay.remaining(now),
        }
    }

    /// For how long it has acted: since it first held a lease and a stay.
    pub fn active_for(&self, now: Time) -> Time {
        self.acts_since.map_or(0, |since| (now - since).max(0))
    }

    /// The others that are there.
    pub fn others(&self) -> impl Iterator<Item = &NodeId> {
        self.members.all()
    }

    /// The agreed log, at the seat that leads.
    pub fn log(&self) -> Option<&Log> {
        self.keeper
            .as_ref()
            .filter(|_| self.leads)
            .and_then(ChangeController::log)
    }

    /// What any seat knows to be agreed on, and how many entries that is.
    pub fn agreed(&self) -> Option<(u64, &Log)> {
        let keeper = self.keeper.as_ref()?;
        Some((keeper.applied(), keeper.log()?))
    }

    /// Who leads, as far as it is known.
    pub fn leader(&self) -> Leader {
        self.leader
    }

    /// Where the seat that leads is reached.
    pub fn leader_address(&self) -> SocketAddr {
        let first = || self.setup.voters.first().map(|s| s.1);
        self.address(self.leader.id)
            .or_else(first)
            .unwrap_or(self.setup.node.address)
    }

    /// Who keeps the log, and where each is reached, as far as it is known here.
    pub fn voters(&self) -> Vec<(u64, SocketAddr)> {
        let agreed = self.agreed().map(|(_, log)| log.voters());
        agreed.map_or_else(
            || self.setup.voters.clone(),
            |s| s.iter().map(|(id, at)| (*id, *at)).collect(),
        )
    }

    /// Where a front end is reached.
    pub fn address(&self, id: u64) -> Option<SocketAddr> {
        let me = Some(&self.setup.node).filter(|me| me.id == id);
        let member = || me.map(|n| n.address).or_else(|| self.members.address(id));
        let log = self.agreed().map(|(_, log)| log);
        let agreed = log.and_then(|l| l.voters().get(&id).copied());
        let learns = || {
            log.and_then(|l| l.voter_replacement())
                .filter(|s| s.new == id)
                .map(|s| s.address)
        };
        let first = || self.setup.voters.iter().find(|s| s.0 == id).map(|s| s.1);
        agreed
            .or_else(learns)
            .or_else(first)
            .or_else(member)
            .or_else(|| self.heard.get(&id).copied())
    }

    /// What the change under way waits for, at the seat that leads.
    pub fn change_blockers(&self, now: Time) -> Option<ChangeBlockers> {
        self.keeper
            .as_ref()?
            .waits(now, &self.front, &self.setup.schema)
    }

    /// When [`FleetNode::tick`] has something to do.
    pub fn next_deadline(&self) -> Time {
        let stay = self.next_stay;
        let seat = self
            .keeper
            .as_ref()
            .map_or(Time::MAX, ChangeController::next);
        let (members, holding) = (self.members.next(), self.holding.next_deadline());
        let all = [
            members,
            self.front.next_deadline(),
            stay,
            self.next_join,
            seat,
            self.lists.next(),
            holding,
        ];
        all.into_iter().min().unwrap_or(Time::MAX)
    }

    /// What time brings.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Command>) {
        self.members.tick(now);
        if let Some(keeper) = &mut self.keeper {
            keeper.tick(now, out);
        }
        if now >= self.next_join {
            // Until somebody is known the seats are asked; they know the others.
            let alone = self.members.count() == 0;
            if alone {
                for (id, address) in self.setup.voters.clone() {
                    if id != self.setup.node.id {
                        self.members.join(now, NodeId::new(id, 0, address));
                    }
                }
            }
            self.next_join = now + AGAIN * if alone { 1 } else { 10 };
        }
        self.lead(now, out);
        self.spread(now, out);
        let mut letters = Vec::new();
        self.front.tick(now, &mut letters);
        self.post(letters, out);
        if now >= self.next_stay {
            self.ask_stay(now, out);
        }
        self.lists.tick(now, &self.members, out);
        self.go_on(now, out);
    }

    /// From now on it is told who is there: it finds nobody itself, and sends and reads no letters of membership.
    pub fn update_members(&mut self, all: Arc<Directory>) {
        self.members = KnownNodes::Told {
            me: self.setup.node.id,
            all,
        };
        self.front
            .update_topology(self.members.view(self.leader.id));
    }

    /// A list of workers was read here: what it says of those that leave is told on.
    pub fn update_endpoints(
        &mut self,
        now: Time,
        lines: Vec<EndpointRecord>,
        out: &mut Vec<Command>,
    ) {
        self.lists.hear(now, lines, self.members.all(), out);
    }

    /// Workers that leave, as anyone in the fleet was told.
    pub fn drains(&self) -> &DrainTable {
        self.lists.leaving()
    }

    /// Counts up with each change of [`FleetNode::drains`].
    pub fn drain_changes(&self) -> u64 {
        self.lists.changes()
    }

    /// Takes what a front end wrote.
    pub fn on_message(
        &mut self,
        now: Time,
        from: &NodeId,
        root: Leader,
        body: MessageBody,
        out: &mut Vec<Command>,
    ) {
        if from.id == self.setup.node.id {
            return;
        }
        self.learn(now, root);
        // A right that is out while the process stood still grants nothing.
        self.lead(now, out);
        if self.heard.len() < HEARD || self.heard.contains_key(&from.id) {
            self.heard.insert(from.id, from.address);
        }
        match body {
            MessageBody::Gossip(bytes) => {
                if let Err(stranger) = self.members.hear(now, &bytes) {
                    out.push(Command::Notify(FleetEvent::DatagramRejected(stranger)));
                }
                self.spread(now, out);
            }
            MessageBody::Lease(message) => {
                let mut letters = Vec::new();
                self.front.on_message(now, from.id, message, &mut letters);
                self.post(letters, out);
            }
            MessageBody::Subscribe(want) => self.on_subscribe(now, from, want, out),
            MessageBody::SubscribeReply(reply) => self.on_subscribe_reply(now, reply),
            MessageBody::SessionRequest(ask, name, digest) => {
                let member = from.member();
                if let Some(keeper) = self.keeper.as_mut().filter(|_| ask.from == member) {
                    // One that starts from nothing hears first of the workers that leave.
                    let told = digest == self.lists.digest();
                    let may = self.leads && (told || keeper.hosts(member));
                    let grant = if may {
                        keeper.stay(now, ask, name)
                    } else {
                        None
                    };
                    let body = match grant {
                        Some(grant) => MessageBody::SessionGrant(grant),
                        None if !told => self.lists.whole(true),
                        // It hears at least who leads.
                        None => MessageBody::HeaderOnly,
                    };
                    out.push(Command::Send {
                        to: from.address,
                        body,
                    });
                    self.send_resync(member, from.address, out);
                }
            }
            MessageBody::Drains(lines, back) => {
                self.lists.hear(now, lines, self.members.all(), out);
                if back {
                    out.push(Command::Send {
                        to: from.address,
                        body: self.lists.whole(false),
                    });
                }
            }
            MessageBody::DrainDigest(digest) => {
                if digest != self.lists.digest() {
                    out.push(Command::Send {
                        to: from.address,
                        body: self.lists.whole(true),
                    });
                }
            }
            MessageBody::Departed(member) => {
                if let Some(keeper) = self.keeper.as_mut().filter(|_| member == from.member()) {
                    keeper.gone(member);
                }
            }
            MessageBody::SessionGrant(grant) => {
                if from.id == self.leader.id || self.voters().iter().any(|s| s.0 == from.id) {
                    self.stays(now, grant);
                }
            }
            MessageBody::Consensus(bytes) => {
                if let Some(keeper) = &mut self.keeper {
                    keeper.hear(now, from.id, &bytes, out);
                }
            }
            MessageBody::HeaderOnly => {}
        }
        self.lead(now, out);
        self.go_on(now, out);
    }

    /// Asks for an entry; the answer comes with this number.
    pub fn request(&mut self, now: Time, request: u64, entry: LogEntry, out: &mut Vec<Command>) {
        self.lead(now, out);
        match &mut self.keeper {
            Some(keeper) if self.leads => keeper.request(request, entry, out),
            _ => {
                let outcome = Err(RequestRejection::NotLeader {
                    leader: self.leader_address(),
                });
                out.push(Command::Respond { request, outcome });
            }
        }
        self.go_on(now, out);
    }

    /// The first record that was to be held is held, or can't be.
    pub fn on_persisted(&mut self, now: Time, done: Result<(), String>, out: &mut Vec<Command>) {
        let Some(keeper) = &mut self.keeper else {
            return;
        };
        keeper.held(now, done, out);
        self.lead(now, out);
        self.go_on(now, out);
    }

    /// It acts no more: the others need not find out, and nothing waits for it.
    pub fn leave(&mut self, now: Time, out: &mut Vec<Command>) {
        let member = self.setup.node.member();
        match &mut self.keeper {
            Some(keeper) if self.leads => keeper.gone(member),
            _ => out.push(Command::Send {
                to: self.leader_address(),
                body: MessageBody::Departed(member),
            }),
        }
        self.go_on(now, out);
        self.members.leave(now);
        self.spread(now, out);
    }

    fn spread(&mut self, now: Time, out: &mut Vec<Command>) {
        let (datagrams, news) = self.members.take();
        for d in datagrams {
            out.push(Command::Send {
                to: d.to.address,
                body: MessageBody::Gossip(d.bytes),
            });
        }
        if !news.is_empty() {
            self.front
                .update_topology(self.members.view(self.leader.id));
            let mut letters = Vec::new();
            self.front.tick(now, &mut letters);
            self.post(letters, out);
        }
        out.extend(
            news.into_iter()
                .map(|n| Command::Notify(FleetEvent::Membership(n))),
        );
    }

    /// Puts addresses on letters; one to nobody known is dropped, as the network might.
    fn post(
        &mut self,
        letters: Vec<(u64, LeaseMessage<FleetState, StateDelta>)>,
        out: &mut Vec<Command>,
    ) {
        for (id, message) in letters {
            let to = self.address(id);
            out.extend(to.map(|to| Command::Send {
                to,
                body: MessageBody::Lease(message),
            }));
        }
    }

    fn ask_stay(&mut self, now: Time, out: &mut Vec<Command>) {
        let at = self.front.known_state().map_or(Revision(0), |s| s.revision);
        let awaited = self.front.known_state().is_some_and(|s| self.strict(s))
            || self.holding.delays_change(&self.setup.schema);
        let most = if awaited { STAY_AWAITED } else { STAY_MOST };
        let often = (self.setup.session.span / STAY_PART).min(most);
        self.next_stay = now
            + if self.stay.remaining(now) == 0 || self.unanswered > 0 {
                AGAIN
            } else {
                often
            };
        // One that knows nothing acts on nothing: it has no need of a stay.
        if at == Revision(0) {
            return;
        }
        self.update_members = at;
        let (ask, name) = (self.stay.request(now, at), self.setup.name.clone());
        if let Some(keeper) = self.keeper.as_mut().filter(|_| self.leads) {
            // The root is on the roster as any other is: the next root has to wait for it.
            if let Some(grant) = keeper.stay(now, ask, name) {
                self.stays(now, grant);
            }
            return;
        }
        self.unanswered += 1;
        // Who leads may be gone: then any seat may know who does by now.
        let others = self.voters();
        // Every other time, since those that are known here may all have been replaced.
        let to = match self.unanswered.checked_sub(UNANSWERED) {
            Some(n) if n % 2 == 1 => others.get(n / 2 % others.len().max(1)).map(|s| s.1),
            _ => None,
        };
        let to = to.unwrap_or_else(|| self.leader_address());
        let digest = self.lists.digest();
        out.push(Command::Send {
            to,
            body: MessageBody::SessionRequest(ask, name, digest),
        });
    }

    /// Takes a stay. After one that ran out nobody waited for it any more.
    fn stays(&mut self, now: Time, grant: session::SessionGrant) {
        self.unanswered = 0;
        if self.stay.remaining(now) == 0 {
            self.holding.on_session_expired(now);
        }
        self.stay.on_grant(grant);
    }

    /// Another seat leads, as somebody says.
    fn learn(&mut self, now: Time, root: Leader) {
        // It says whom to ask, and is right only while that one grants: it may be a seat that is not known here yet.
        if root > self.leader && root.id != self.setup.node.id && !self.leads {
            self.leader = root;
            self.front.update_topology(self.members.view(root.id));
            self.holding.on_new_leader(now);
        }
    }

    /// Takes up the root's part, goes on with it, or gives it up.
    fn lead(&mut self, now: Time, out: &mut Vec<Command>) {
        let Some(keeper) = &mut self.keeper else {
            return;
        };
        let me = self.setup.node.member();
        match (keeper.right(now), keeper.log().map(Log::state)) {
            (Some(until), Some(state)) if !self.leads => {
                let (state, term) = (state.clone(), keeper.leader().map_or(0, |l| l.0));
                keeper.begin(now);
                (self.leads, self.leader) = (true, Leader { term, id: me.id });
                let view = self.members.view(me.id);
                self.front = LeaseNode::leader(self.setup.lease, me, view, state, until, now);
                self.next_stay = now;
                self.holding.on_new_leader(now);
                out.push(Command::Notify(FleetEvent::Leadership { live: true }));
            }
            (Some(until), Some(state)) => {
                let mut letters = Vec::new();
                let stepped = self
                    .front
                    .known_state()
                    .is_none_or(|known| known.revision != state.revision);
                if let Some(state) = stepped.then(|| state.clone()) {
                    self.front.on_state_change(now, state, &mut letters);
                }
                self.front.extend_leader_lease(now, until, &mut letters);
                self.post(letters, out);
            }
            _ if self.leads => {
                keeper.end(out);
                self.leads = false;
                let view = self.members.view(self.leader.id);
                let known = self.front.known_state().cloned();
                self.front = match known {
                    Some(state) => LeaseNode::with_state(self.setup.lease, me, view, state, now),
                    None => LeaseNode::new(self.setup.lease, me, view, now),
                };
                out.push(Command::Notify(FleetEvent::Leadership { live: false }));
            }
            _ => {}
        }
        if let Some((term, id)) = self
            .keeper
            .as_ref()
            .and_then(ChangeController::leader)
            .filter(|l| l.1 != me.id)
        {
            self.learn(now, Leader { term, id });
        }
    }

    /// Whether a change of strict fields is under way.
    fn strict(&self, state: &FleetState) -> bool {
        state
            .conflicting_fields(&self.setup.schema)
            .iter()
            .any(|c| c.compatibility == Compatibility::Strict)
    }

    /// What follows of what happened: steps of the log, and what is told.
    fn go_on(&mut self, now: Time, out: &mut Vec<Command>) {
        self.follow(now);
        let versions_at = self
            .front
            .known_state()
            .map_or(Revision(0), |s| s.versions_revision);
        if versions_at != self.noted.0 {
            let mut strict = false;
            if let Some(s) = self.front.known_state() {
                let step = s.revision;
                let next = s.next.as_ref().map(|(n, _)| n.version.0);
                out.push(Command::Notify(FleetEvent::RevisionChanged {
                    step,
                    force: s.in_force.version.0,
                    next,
                }));
                strict = self.strict(s);
            }
            // The seat waits for all where the change is of what must never be two things; and a first stay is urgent.
            if strict || self.stay.remaining(now) == 0 {
                self.ask_stay(now, out);
            }
        }
        self.update_subscriptions(now, out);
        if let Some(keeper) = self.keeper.as_mut().filter(|_| self.leads) {
            keeper.go_on(now, &self.front, &self.setup.schema, out);
        }
        self.follow(now);
        let acting = self.active_state(now);
        let (lease, stay) = (acting.lease > 0, acting.session > 0);
        if lease != self.noted.1 {
            out.push(Command::Notify(FleetEvent::Lease { live: lease }));
        }
        if stay != self.noted.2 {
            out.push(Command::Notify(FleetEvent::Session { live: stay }));
        }
        if lease && stay {
            self.acts_since.get_or_insert(now);
        }
        self.noted = (versions_at, lease, stay);
    }
}
