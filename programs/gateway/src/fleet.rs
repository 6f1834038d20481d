//! A gateway in a fleet: what its lease and its stay let it act on, as terms of its ledger.

use crate::Error;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::rc::{Rc, Weak};
use std::time::SystemTime;
use tansy_agreement::compatibility::{
    part, rules_after_expiry, rules_without_lease, AffectedCalls, EffectiveRules, Fields, Schema,
};
use tansy_agreement::endpoints::{Endpoint as Named, EndpointRecord, EndpointState};
use tansy_agreement::lease::{LeaseTiming as LeaseTerms, Time};
use tansy_agreement::log::{ChangePhase, FleetState, VersionedSettings as Version};
use tansy_agreement::subscription::{Admission, MAX_SUBSCRIPTIONS};
use tansy_dispatch::{ClassCounters, ConflictingScopes, EffectiveConfig, FunctionShape};
use tansy_fleet_node::{number, FleetNode};
use tansy_fleet_wire::pb;
use tansy_net_fleet::{FleetTransport, TransportConfig};
use tansy_net_inference::{
    DirectoryEntry, Driver, FunctionDirectory, MetadataKeys, WorkerEndpoint,
};
use tansy_net_sockets::Spawner;
use tansy_settings::{agree, WorkerLine};

/// A lease's part of the time within which no two front ends contradict each other, in tenths.
const LEASE_TENTHS: i64 = 3;

/// The variable by which a supervisor tells a process of which program it is.
pub const LABEL: &str = "TANSY_LABEL";

/// What a gateway is told of its place in a fleet, beside its settings.
#[derive(Debug, Default, Clone)]
pub struct Place {
    /// All fields of its own file, what the command line says instead among them.
    pub own: Fields,
    /// The version that a fleet which begins has first: what stands in its file.
    pub first: Fields,
    /// Front ends and workers that are reached through another address than their own.
    pub via: HashMap<SocketAddr, SocketAddr>,
    /// Where it stands.
    pub zone: String,
}

/// What the ledger was given.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Given {
    step: u64,
    lease: bool,
    stay: bool,
}

/// Terms for each right that a front end may have.
#[derive(Clone)]
struct Ready {
    whole: EffectiveConfig,
    apart: EffectiveConfig,
    lapsed: EffectiveConfig,
    names: MetadataKeys,
}

/// By what a front end acts.
#[derive(Clone, Copy)]
enum Right {
    /// A lease and a stay.
    Whole,
    /// A stay alone.
    Apart,
    /// Neither.
    Lapsed,
}

impl Ready {
    fn by(&self, right: Right) -> &EffectiveConfig {
        match right {
            Right::Whole => &self.whole,
            Right::Apart => &self.apart,
            Right::Lapsed => &self.lapsed,
        }
    }
}

struct Adopter {
    hub: Rc<Driver>,
    name: String,
    own: Fields,
    schema: Schema,
    for_about: i64,
    given: RefCell<Option<Given>>,
    ready: RefCell<Option<(u64, Result<Ready, String>)>>,
    /// Whoever is reached through another address than its own.
    via: HashMap<SocketAddr, SocketAddr>,
    /// The last list that was read.
    workers: RefCell<Vec<WorkerLine>>,
    /// The count of changes of what leaves when it was applied last.
    leavings: Cell<u64>,
    /// The count of what might answer calls otherwise, when those that wait were looked up last.
    scopes: Cell<u64>,
}

/// Functions that are agreed on one by one.
struct Scopes {
    peers: Weak<FleetTransport>,
    /// What was read of them, for as long as their fields are the same.
    read: RefCell<HashMap<String, (Fields, DirectoryEntry)>>,
}

impl FunctionDirectory for Scopes {
    fn lookup(&self, function: &str) -> DirectoryEntry {
        let Some(peers) = self.peers.upgrade() else {
            return DirectoryEntry::Refused;
        };
        match peers.admit(function) {
            Admission::Admit(fields) => self.read(function, fields),
            // Versions say all, and this one is not in them.
            Admission::Unscoped | Admission::Unknown => DirectoryEntry::Unknown,
            Admission::Reject(_) => DirectoryEntry::Refused,
            Admission::Wait => DirectoryEntry::Pending,
        }
    }
}

impl Scopes {
    fn read(&self, function: &str, fields: Fields) -> DirectoryEntry {
        let mut read = self.read.borrow_mut();
        if let Some((_, looked)) = read.get(function).filter(|(known, _)| *known == fields) {
            return looked.clone();
        }
        let looked = match agree::function(function, &fields) {
            Ok(f) => {
                let shape = FunctionShape {
                    lanes: f.lanes,
                    memory_mb: f.memory_mb,
                    load_time: f.load_time,
                };
                DirectoryEntry::Known {
                    class: f.class.into(),
                    shape,
                }
            }
            Err(why) => {
                tracing::error!(%function, %why, "its settings can't be acted on here: its calls are refused");
                DirectoryEntry::Refused
            }
        };
        if read.len() >= MAX_SUBSCRIPTIONS {
            read.clear();
        }
        read.insert(function.to_string(), (fields, looked.clone()));
        looked
    }
}

/// What the state machine of a process that starts now is told by its settings.
pub fn peer(
    fleet: &tansy_settings::Fleet,
    address: SocketAddr,
) -> tansy_fleet_node::FleetNodeConfig {
    // A process that comes back under its name is a later one; clocks of calendars do not go back by a restart's time.
    let since = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let incarnation = u64::try_from(since.as_micros()).unwrap_or(u64::MAX);
    let id = number(&fleet.me);
    tansy_fleet_node::FleetNodeConfig {
        fleet: number(&fleet.name),
        name: fleet.me.clone(),
        node: tansy_membership::NodeId::new(id, incarnation, address),
        voters: fleet
            .seats
            .iter()
            .map(|s| (number(&s.name), s.address))
            .collect(),
        lease: LeaseTerms {
            span: fleet.within * LEASE_TENTHS / 10,
            drift_ppm: fleet.clock_ppm,
        },
        session: LeaseTerms {
            span: fleet.stay,
            drift_ppm: fleet.clock_ppm,
        },
        gossip: tansy_membership::GossipTiming::default(),
        schema: agree::agreement(),
        seed: id ^ incarnation,
    }
}

/// Takes the gateway's place in its fleet. It acts on nothing before it holds a lease and a stay.
pub fn start(
    spawner: Spawner,
    hub: Rc<Driver>,
    listener: TcpListener,
    fleet: &tansy_settings::Fleet,
    place: &Place,
) -> Result<Member, Error> {
    let peer = peer(fleet, listener.local_addr()?);
    let (schema, lease) = (peer.schema.clone(), peer.lease);
    let at_seat = fleet.seats.iter().any(|s| s.name == fleet.me);
    let file = match (&fleet.state, at_seat) {
        // One that is no seat yet may become one.
        (Some(path), _) => Some((path.clone(), place.first.clone())),
        (None, true) => {
            return Err(format!(
                "fleet.state: {:?} keeps the agreed log: want its file, as --state seat.redb",
                fleet.me
            )
            .into())
        }
        (None, false) => None,
    };
    let adopter = Rc::new(Adopter {
        hub,
        name: fleet.me.clone(),
        own: place.own.clone(),
        schema,
        for_about: lease.span,
        given: RefCell::new(None),
        ready: RefCell::new(None),
        via: place.via.clone(),
        workers: RefCell::new(Vec::new()),
        leavings: Cell::new(0),
        scopes: Cell::new(0),
    });
    adopter.nothing_yet(&place.first)?;
    let check = Rc::new(|fields: &Fields| agree::check(fields).map_err(|e| e.to_string()));
    let (counted, zone) = (adopter.hub.clone(), place.zone.clone());
    adopter.hub.enable_class_counters();
    let label = std::env::var(LABEL).unwrap_or_default();
    let counts = Rc::new(move || counts(&counted, &zone, &label));
    let setup = TransportConfig {
        node: peer,
        fleet: fleet.name.clone(),
        voter: file,
        proxies: place.via.clone(),
        carrier: None,
        check,
        check_function: Rc::new(check_function),
        counts,
    };
    let acts = adopter.clone();
    let hear = Rc::new(move |peer: &FleetNode, now| acts.hears(peer, now));
    let peers = FleetTransport::start(spawner, listener, setup, hear)?;
    let scopes = Scopes {
        peers: Rc::downgrade(&peers),
        read: RefCell::new(HashMap::new()),
    };
    adopter.hub.set_directory(Rc::new(scopes));
    Ok(Member { peers, adopter })
}

/// A gateway's place in its fleet.
pub struct Member {
    peers: Rc<FleetTransport>,
    adopter: Rc<Adopter>,
}

impl Member {
    /// Its links.
    pub fn peers(&self) -> &Rc<FleetTransport> {
        &self.peers
    }

    /// Takes a list of workers: those that leave are told on, and those that anybody told to leave do so here.
    pub fn list(&self, list: Vec<WorkerLine>) {
        let lines = list.iter().map(line).collect();
        *self.adopter.workers.borrow_mut() = list;
        self.peers.update_endpoints(lines);
        self.peers.with_node(|peer, _| self.adopter.apply(peer));
    }
}

fn counts(hub: &Driver, zone: &str, label: &str) -> pb::CountsReply {
    let (account, _) = hub.counters();
    let classes = hub.with_dispatcher(|f| {
        let one = |(name, c): (&String, &ClassCounters)| {
            let (took, calls) = c
                .latency
                .iter_recorded()
                .map(|v| (v.value_iterated_to(), v.count_at_value()))
                .unzip();
            pb::ClassCounters {
                class: name.clone(),
                asked: c.ended,
                served: c.served,
                refused: c.refused,
                failed: c.failed,
                wanted: c.possible_value,
                worth: c.value,
                took,
                calls,
            }
        };
        f.class_counters()
            .into_iter()
            .flat_map(|c| c.classes().iter().map(one))
            .collect()
    });
    pb::CountsReply {
        zone: zone.into(),
        label: label.into(),
        memory: memory(),
        guarded: account.guard_rejections,
        classes,
        ..Default::default()
    }
}

/// Bytes that this process holds in memory; 0: it can't be told.
fn memory() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or(0) * rustix::param::page_size() as u64
}

fn line(w: &WorkerLine) -> EndpointRecord {
    let worker = Named {
        name: w.listed.name.clone(),
        address: w.address.to_string(),
    };
    let standing = match w.listed.state {
        0 => EndpointState::Ready,
        1 => EndpointState::Draining,
        _ => EndpointState::Gone,
    };
    EndpointRecord {
        endpoint: worker,
        incarnation: w.incarnation,
        state: standing,
    }
}

impl Adopter {
    /// Before anything is known: by what binds most of all.
    fn nothing_yet(&self, first: &Fields) -> Result<(), Error> {
        let (filled, _) = agree::filled(first)?;
        let (terms, names) = self.terms(&rules_after_expiry(&self.schema, &filled))?;
        Ok(self.hub.apply_settings(terms, names, Vec::new())?)
    }

    /// The front end may act on something else by now; what is wrong, if it can't act on what it knows.
    fn hears(&self, peer: &FleetNode, now: Time) -> Option<String> {
        let before = *self.given.borrow();
        let wrong = self.acts(peer, now);
        let changes = peer.scopes_changed();
        let moved = self.scopes.replace(changes) != changes || *self.given.borrow() != before;
        if moved && self.hub.with_dispatcher(|f| f.pending_calls()) > 0 {
            // Once the state machine's turn is over: it is asked for each of them.
            let hub = self.hub.clone();
            self.hub.spawner.spawn(async move { hub.resolve_pending() });
        }
        wrong
    }

    /// Gives the ledger what the front end may act on by now; what is wrong, if it can't act on what it knows.
    fn acts(&self, peer: &FleetNode, now: Time) -> Option<String> {
        if peer.drain_changes() != self.leavings.get() {
            self.apply(peer);
        }
        let acting = peer.active_state(now);
        let state = acting.state?;
        let step = state.revision.0;
        let (lease, stay) = (acting.lease > 0, acting.session > 0);
        let given = Given { step, lease, stay };
        // What comes after each of them, in their order; a lease that outlasts the stay ends with that.
        let within = lease && stay && acting.lease < acting.session;
        let ends = [
            (within, acting.lease, Right::Apart),
            (stay, acting.session, Right::Lapsed),
        ];
        let ends = ends.into_iter().filter(|(there, ..)| *there);
        let ends: Vec<(i64, Right)> = ends.map(|(_, left, after)| (left, after)).collect();
        let left: Vec<i64> = ends.iter().map(|e| e.0).collect();
        if *self.given.borrow() == Some(given) && self.hub.extend_expiry(&left) {
            return self.wrong();
        }
        let known = self.ready.borrow().as_ref().map(|r| r.0);
        if known != Some(step) {
            let ready = self.ready_for(state);
            if let Err(why) = &ready {
                tracing::error!(step, %why, "the version in use can't be acted on here: all calls are refused");
            }
            *self.ready.borrow_mut() = Some((step, ready));
        }
        let ready = self.ready.borrow().as_ref().map(|r| r.1.clone());
        let Some(Ok(ready)) = ready else {
            self.refuse_all();
            return self.wrong();
        };
        let first = match (lease, stay) {
            (true, true) => Right::Whole,
            (false, true) => Right::Apart,
            (_, false) => Right::Lapsed,
        };
        let after = ends
            .into_iter()
            .map(|(left, right)| (left, ready.by(right).clone()))
            .collect();
        let adopted = self
            .hub
            .apply_settings(ready.by(first).clone(), ready.names.clone(), after);
        *self.given.borrow_mut() = Some(given);
        if let Err(e) = adopted {
            *self.ready.borrow_mut() = Some((step, Err(e.to_string())));
            self.refuse_all();
        }
        self.wrong()
    }

    /// Gives the ledger the workers as they stand by the list and by what anybody told.
    fn apply(&self, peer: &FleetNode) {
        self.leavings.set(peer.drain_changes());
        let stands = |w: &WorkerLine| {
            let told = line(w);
            let mut listed = w.listed.clone();
            listed.state =
                match peer
                    .drains()
                    .state_of(&told.endpoint, told.incarnation, told.state)
                {
                    EndpointState::Ready => 0,
                    EndpointState::Draining => 1,
                    EndpointState::Gone => 2,
                };
            WorkerEndpoint {
                record: listed,
                address: self.via.get(&w.address).copied().unwrap_or(w.address),
            }
        };
        let list: Vec<WorkerEndpoint> = self.workers.borrow().iter().map(stands).collect();
        if !list.is_empty() {
            self.hub.set_workers(list);
        }
    }

    fn wrong(&self) -> Option<String> {
        self.ready
            .borrow()
            .as_ref()
            .and_then(|r| r.1.as_ref().err().cloned())
    }

    /// What it knows can't be acted on: it takes no call.
    fn refuse_all(&self) {
        let config = self.hub.with_dispatcher(|f| f.applied_config());
        let contested = ConflictingScopes {
            all: true,
            retry_after: self.for_about,
            ..ConflictingScopes::default()
        };
        let names = self.hub.metadata_keys();
        // The ledger acts on this configuration already.
        let _ = self.hub.apply_settings(
            EffectiveConfig {
                config,
                conflicting: contested,
            },
            (*names).clone(),
            Vec::new(),
        );
        *self.given.borrow_mut() = None;
    }

    fn ready_for(&self, state: &FleetState) -> Result<Ready, String> {
        let state = &state.for_member(&self.name);
        let fill = |v: &Version| agree::filled(&v.fields).map_err(|e| e.to_string());
        let (force, mut strange) = fill(&state.in_force)?;
        let mut filled = state.clone();
        filled.in_force.fields = force;
        if let Some((next, phase)) = &mut filled.next {
            let (fields, unknown) = fill(next)?;
            next.fields = fields;
            if *phase == ChangePhase::Joint {
                strange.extend(unknown);
            }
        }
        // Those that try other settings are valued as their siblings are.
        let force = agree::settings(&self.own, &filled.in_force.fields)
            .map_err(|e| e.to_string())?
            .front;
        self.hub.set_valuation_classes(
            force
                .classes
                .into_iter()
                .zip(force.settings.classes)
                .collect(),
        );
        let mut rules = filled.rules(&self.schema);
        rules.rejected.extend(strange);
        let made = |rules: &EffectiveRules| self.terms(rules).map_err(|e| e.to_string());
        let (whole, names) = made(&rules)?;
        let (apart, _) = made(&rules_without_lease(&self.schema, rules))?;
        let (lapsed, _) = made(&rules_after_expiry(&self.schema, &filled.in_force.fields))?;
        Ok(Ready {
            whole,
            apart,
            lapsed,
            names,
        })
    }

    fn terms(&self, rules: &EffectiveRules) -> Result<(EffectiveConfig, MetadataKeys), Error> {
        let settings = agree::settings(&self.own, &rules.fields)?;
        let mut contested = ConflictingScopes {
            unknown_names: rules.unlisted,
            ..ConflictingScopes::default()
        };
        contested.retry_after = self.for_about;
        for touch in &rules.rejected {
            match touch {
                AffectedCalls::All => contested.all = true,
                AffectedCalls::Class(n) => note(&mut contested.classes, n),
                AffectedCalls::Tenant(n) => note(&mut contested.tenants, n),
                AffectedCalls::Function(n) => note(&mut contested.functions, n),
            }
        }
        let g = settings.gateway;
        let names = MetadataKeys {
            class: g.class_key,
            tenant: g.tenant_key,
            work_ms: g.work_key,
        };
        Ok((
            EffectiveConfig {
                config: settings.front,
                conflicting: contested,
            },
            names,
        ))
    }
}

/// Whether a function's fields make sense, of a class that the settings in force have and go on to have.
fn check_function(name: &str, fields: &Fields, state: &FleetState) -> Result<(), String> {
    let f = agree::function(name, fields).map_err(|e| e.to_string())?;
    let there = |v: &Version| {
        let under = format!("classes.{}.", part(&f.class));
        v.fields
            .range(under.clone()..)
            .next()
            .is_some_and(|(path, _)| path.starts_with(&under))
    };
    let all = [Some(&state.in_force), state.next.as_ref().map(|n| &n.0)];
    match all.into_iter().flatten().find(|v| !there(v)) {
        None => Ok(()),
        Some(v) => Err(format!(
            "functions.{name}.class: {:?} is not there: want a class of version {}",
            f.class, v.version.0
        )),
    }
}

fn note(names: &mut BTreeSet<String>, name: &str) {
    names.insert(name.to_string());
}
