//! The processes of a run: real front ends, hollow ones, what they tell, and how they end.

use crate::hollow::{host, Counted, News, Order};
use crate::scopes::{Asked, Watch};
use crate::Error;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tansy_agreement::compatibility::Fields;
use tansy_agreement::lease_tree::LeaseTopology;
use tansy_agreement::log::{Version, VersionedSettings};
use tansy_fleet::client::Client;
use tansy_fleet_node::number;
use tansy_fleet_wire::pb::enter_request::Entry;
use tansy_fleet_wire::{of_state, pb, settings};
use tansy_net_sockets::clock;

/// Hollow front ends of one process, at least and at most: one thread runs them all.
const EACH: (usize, usize) = (4, 100);
/// Front ends that start at a time: a fleet does not start at once either, and what is measured comes after.
const STARTING: usize = 64;
/// How often interruption is looked at.
const LOOK: Duration = Duration::from_millis(20);
/// Time for an operator's request.
const REQUEST: Duration = Duration::from_secs(5);
/// Tries to enter a proposal, while the seat that leads may change.
const TRIES: usize = 5;

/// What a fleet is made of.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Front ends in all.
    pub front_ends: usize,
    /// Of them real, the seats among them.
    pub real: usize,
    /// Keep the log.
    pub seats: usize,
    /// Of all random choices.
    pub seed: u64,
    /// `fleet.stay`, seconds.
    pub stay: u64,
    /// Functions of the settings.
    pub functions: usize,
}

impl Shape {
    /// Hollow front ends of one process.
    pub fn each(&self) -> usize {
        (self.front_ends - self.real)
            .div_ceil(8)
            .clamp(EACH.0, EACH.1)
    }
    /// Processes of hollow front ends.
    pub fn hosts(&self) -> usize {
        (self.front_ends - self.real).div_ceil(self.each())
    }
    /// The settings' text, with the seats' addresses.
    pub fn text(&self, seats: &[(String, SocketAddr)]) -> String {
        let mut text = String::from(
            "classes: {\n    c: {aim: 60s, deadline: 120s}\n    d: {aim: 60s, deadline: 120s}\n}\n\
             tenants: t: {quota_per_s: 1000}\nfunctions: {\n",
        );
        for n in 0..self.functions {
            text += &format!(
                "    {}: {{class: \"c\", lanes: 8, memory: 100MB, load_time: 400ms}}\n",
                function(n)
            );
        }
        let seats: Vec<String> = seats
            .iter()
            .map(|(n, at)| format!("{{name: \"{n}\", address: \"{at}\"}}"))
            .collect();
        let stay = self.stay;
        text + &format!(
            "}}\nfleet: {{name: \"scale\", stay: {stay}s, seats: [{}]}}\n",
            seats.join(", ")
        )
    }
}

/// A function's name in the settings.
pub fn function(n: usize) -> String {
    format!("f{n:06}")
}

/// What a process told.
enum Told {
    Hollow(usize, News),
    HollowEnded(usize),
    Real {
        place: usize,
        life: u64,
        at: i64,
        says: Says,
    },
}

enum Says {
    Force(u64),
    Lease(bool),
    Stay(bool),
    Ended,
}

/// A real front end.
struct Real {
    address: SocketAddr,
    child: Option<Child>,
    life: u64,
    since: i64,
    lease: bool,
    stay: bool,
    acts: bool,
    force: Option<(u64, i64)>,
}

/// A process of hollow front ends.
struct Host {
    child: Child,
    orders: Option<ChildStdin>,
    mesh: Option<SocketAddr>,
    force: (u64, i64),
    counted: Option<Counted>,
}

/// All processes of a run; they end with it.
pub struct Cast {
    /// What it is made of.
    pub shape: Shape,
    /// Front ends that could act for the first time: place, milliseconds since their start.
    pub joined: Vec<(u32, f64)>,
    /// Asks front ends.
    pub client: Client,
    names: Vec<String>,
    reals: Vec<Real>,
    hosts: Vec<Host>,
    acting: BTreeSet<u32>,
    alive: BTreeSet<u32>,
    folder: PathBuf,
    told: Receiver<Told>,
    tell: Sender<Told>,
    ended: Arc<AtomicBool>,
    failed: Option<String>,
    leader: SocketAddr,
    force: VersionedSettings,
    proposals: u64,
    watches: BTreeMap<u64, Watch>,
}

impl Cast {
    /// Starts all of them and waits until all act, at most so long.
    pub fn start(shape: Shape, limit: Duration, say: &dyn Fn(String)) -> Result<Cast, Error> {
        let end = Instant::now() + limit;
        let client = Client::new()?;
        let ended = Arc::new(AtomicBool::new(false));
        // Before any thread starts: the signals are theirs to ignore.
        client.on_end(ended.clone())?;
        let folder = std::env::temp_dir().join(format!("tansy-scale-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let names = names(&shape);
        let net = net();
        let free = |place: usize| -> Result<SocketAddr, Error> {
            let at = SocketAddr::from((host(net, place as u32), 0));
            Ok(TcpListener::bind(at)
                .and_then(|l| l.local_addr())
                .map_err(|e| format!("{at}: {e}"))?)
        };
        let addresses = (0..shape.real).map(free).collect::<Result<Vec<_>, _>>()?;
        let seats: Vec<(String, SocketAddr)> = names
            .iter()
            .cloned()
            .zip(addresses.iter().copied())
            .take(shape.seats)
            .collect();
        let text = shape.text(&seats);
        std::fs::write(folder.join("scale.cue"), &text)?;
        let first = tansy_settings::agree::version("scale.cue", &text)?;
        let real = |address: SocketAddr| Real {
            address,
            child: None,
            life: 0,
            since: 0,
            lease: false,
            stay: false,
            acts: false,
            force: None,
        };
        let (tell, told) = channel();
        let mut cast = Cast {
            shape,
            joined: Vec::new(),
            client,
            names,
            leader: addresses[0],
            reals: addresses.into_iter().map(real).collect(),
            hosts: Vec::new(),
            acting: BTreeSet::new(),
            alive: BTreeSet::new(),
            folder,
            told,
            tell,
            ended,
            failed: None,
            force: VersionedSettings {
                version: Version(0),
                fields: first,
                reason: String::new(),
                id: 0,
            },
            proposals: 0,
            watches: BTreeMap::new(),
        };
        (0..shape.seats as u32).try_for_each(|n| cast.begin(n))?;
        cast.all_act(end)?;
        cast.learn()?;
        say(format!("{} seats act", shape.seats));
        (shape.seats as u32..shape.real as u32).try_for_each(|n| cast.begin(n))?;
        for n in 0..shape.hosts() {
            cast.host(n)?;
        }
        cast.until(end, "processes of hollow front ends to start", |c| {
            c.hosts.iter().all(|h| h.mesh.is_some())
        })?;
        let mesh: Vec<SocketAddr> = cast.hosts.iter().filter_map(|h| h.mesh).collect();
        for n in 0..cast.hosts.len() {
            cast.order(n, &Order::Mesh(mesh.clone()))?;
        }
        for place in shape.real..shape.front_ends {
            cast.until(end, "front ends to act", |c| {
                c.alive.len() < c.acting.len() + STARTING
            })?;
            cast.begin(place as u32)?;
        }
        cast.all_act(end)?;
        say(format!("{} front ends act", shape.front_ends));
        Ok(cast)
    }

    /// Waits until all that live act.
    pub fn all_act(&mut self, end: Instant) -> Result<(), Error> {
        self.until(end, "all front ends to act", |c| {
            c.acting.len() == c.alive.len()
        })
    }

    /// Takes what was told until this holds; the time of the run may be over before.
    pub fn until(
        &mut self,
        end: Instant,
        what: &str,
        done: impl Fn(&Cast) -> bool,
    ) -> Result<(), Error> {
        while !done(self) {
            if Instant::now() >= end {
                let (acting, alive) = (self.acting.len(), self.alive.len());
                return Err(
                    format!("no time left to wait for {what}: {acting} of {alive} act").into(),
                );
            }
            self.pump(LOOK)?;
        }
        Ok(())
    }

    /// Lets time pass and takes what is told.
    pub fn rest(&mut self, span: Duration) -> Result<(), Error> {
        let end = Instant::now() + span;
        while Instant::now() < end {
            self.pump(LOOK.min(end.saturating_duration_since(Instant::now())))?;
        }
        Ok(())
    }

    /// Takes what is told within this time, at least what is there.
    pub fn pump(&mut self, span: Duration) -> Result<(), Error> {
        let mut next = self.told.recv_timeout(span).ok();
        while let Some(told) = next {
            self.hear(told);
            next = self.told.try_recv().ok();
        }
        // The loop on which signals come.
        self.client.wait(Duration::from_micros(200));
        if self.ended.load(Ordering::Relaxed) {
            return Err("interrupted".into());
        }
        self.failed.take().map_or(Ok(()), |why| Err(why.into()))
    }

    fn hear(&mut self, told: Told) {
        match told {
            Told::Hollow(n, news) => {
                let Some(h) = self.hosts.get_mut(n) else {
                    return;
                };
                match news {
                    News::Ready(at) => h.mesh = Some(at),
                    News::Force { version, at } => h.force = (version, at),
                    News::Counted(c) => h.counted = Some(c),
                    News::Watching { id, holders } => {
                        self.watches.get_mut(&id).into_iter().for_each(|w| {
                            w.holders.insert(n, holders.clone());
                        });
                    }
                    News::Acted { id, nth, at } => {
                        self.watches.get_mut(&id).into_iter().for_each(|w| {
                            w.acted.insert((n, nth), at);
                        });
                    }
                    News::Broken { place, function } => {
                        self.failed = Some(format!(
                            "{:?} acted on the class of {function} before, which was in force no more",
                            self.names.get(place as usize)
                        ));
                    }
                    News::Failed(why) => {
                        self.failed = Some(format!("a process of hollow front ends: {why}"))
                    }
                    News::Acts { place, since, at } => {
                        self.acting.insert(place);
                        self.joined.push((place, (at - since) as f64 / 1e3));
                    }
                }
            }
            Told::HollowEnded(n) => {
                self.failed
                    .get_or_insert(format!("process {n} of hollow front ends has ended"));
            }
            Told::Real {
                place,
                life,
                at,
                says,
            } => {
                let Some(r) = self
                    .reals
                    .get_mut(place)
                    .filter(|r| r.life == life && r.child.is_some())
                else {
                    return;
                };
                match says {
                    Says::Force(v) => r.force = Some((v, at)),
                    Says::Lease(live) => r.lease = live,
                    Says::Stay(live) => r.stay = live,
                    Says::Ended => {
                        self.failed.get_or_insert(format!(
                            "the front end {:?} has ended",
                            self.names[place]
                        ));
                    }
                }
                if r.lease && r.stay && !r.acts {
                    r.acts = true;
                    self.acting.insert(place as u32);
                    self.joined
                        .push((place as u32, (at - r.since) as f64 / 1e3));
                }
            }
        }
    }

    /// A front end starts from nothing.
    pub fn begin(&mut self, place: u32) -> Result<(), Error> {
        self.alive.insert(place);
        let n = place as usize;
        if n >= self.shape.real {
            let name = self.names[n].clone();
            return self.order(
                (n - self.shape.real) / self.shape.each(),
                &Order::Start(vec![(place, name)]),
            );
        }
        let seat = n < self.shape.seats;
        let (file, state) = (
            self.folder.join("scale.cue"),
            self.folder.join(format!("seat{n}.redb")),
        );
        let r = &mut self.reals[n];
        let mut command = Command::new(std::env::current_exe()?);
        command
            .arg("gateway")
            .arg("--settings")
            .arg(file)
            .args(["--name", &self.names[n]]);
        command.args([
            "--peers",
            &r.address.to_string(),
            "--listen",
            "127.0.0.1:0",
            "--http",
            "127.0.0.1:0",
        ]);
        command.args(["--logs", "json", "--log", "error,tansy_net_fleet=info"]);
        if seat {
            command.arg("--state").arg(state);
        }
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        (r.life, r.since) = (r.life + 1, clock::now());
        (r.lease, r.stay, r.acts, r.force) = (false, false, false, None);
        let mut child = command.spawn()?;
        let out = child.stderr.take().ok_or("no logs of a front end")?;
        r.child = Some(child);
        let (tell, life) = (self.tell.clone(), r.life);
        std::thread::spawn(move || {
            let tell = |says| {
                tell.send(Told::Real {
                    place: n,
                    life,
                    at: clock::now(),
                    says,
                })
            };
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                if says(&line).is_some_and(|s| tell(s).is_err()) {
                    return;
                }
            }
            let _ = tell(Says::Ended);
        });
        Ok(())
    }

    /// One is over at once; nobody is told.
    pub fn kill(&mut self, place: u32) -> Result<(), Error> {
        self.alive.remove(&place);
        self.acting.remove(&place);
        let n = place as usize;
        if n >= self.shape.real {
            return self.order(
                (n - self.shape.real) / self.shape.each(),
                &Order::Kill(place),
            );
        }
        if let Some(mut child) = self.reals[n].child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    fn host(&mut self, n: usize) -> Result<(), Error> {
        let mut command = Command::new(std::env::current_exe()?);
        command
            .arg("hollow")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped());
        let mut child = command.spawn()?;
        let (orders, out) = (child.stdin.take(), child.stdout.take().ok_or("no output")?);
        self.hosts.push(Host {
            child,
            orders,
            mesh: None,
            force: (0, 0),
            counted: None,
        });
        let tell = self.tell.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                let news = serde_json::from_str(&line)
                    .unwrap_or_else(|e| News::Failed(format!("{e}: {line}")));
                if tell.send(Told::Hollow(n, news)).is_err() {
                    return;
                }
            }
            let _ = tell.send(Told::HollowEnded(n));
        });
        let settings = self.folder.join("scale.cue");
        let (first, each) = (self.shape.real as u32, self.shape.each() as u32);
        self.order(
            n,
            &Order::Begin {
                settings,
                net: net(),
                first,
                each,
            },
        )
    }

    fn order(&mut self, n: usize, order: &Order) -> Result<(), Error> {
        let to = self
            .hosts
            .get_mut(n)
            .and_then(|h| h.orders.as_mut())
            .ok_or("no such process")?;
        let done = writeln!(to, "{}", serde_json::to_string(order)?);
        Ok(done.map_err(|e| format!("a process of hollow front ends takes no orders: {e}"))?)
    }

    /// What each process of hollow front ends counted by now.
    pub fn counted(&mut self) -> Result<Vec<Counted>, Error> {
        for n in 0..self.hosts.len() {
            self.hosts[n].counted = None;
            self.order(n, &Order::Count)?;
        }
        let end = Instant::now() + Duration::from_secs(30);
        self.until(end, "what hollow front ends counted", |c| {
            c.hosts.iter().all(|h| h.counted.is_some())
        })?;
        Ok(self
            .hosts
            .iter()
            .filter_map(|h| h.counted.clone())
            .collect())
    }

    /// Processes of hollow front ends.
    pub fn host_pids(&self) -> Vec<u32> {
        self.hosts.iter().map(|h| h.child.id()).collect()
    }

    /// Real front ends that live: place, process, address.
    pub fn reals(&self) -> Vec<(usize, u32, SocketAddr)> {
        let one = |(n, r): (usize, &Real)| Some((n, r.child.as_ref()?.id(), r.address));
        self.reals.iter().enumerate().filter_map(one).collect()
    }

    /// Front ends that live and act, but for the seats.
    pub fn actors(&self) -> Vec<u32> {
        self.acting
            .iter()
            .copied()
            .filter(|p| *p as usize >= self.shape.seats)
            .collect()
    }

    /// Whether this one acts.
    pub fn acts(&self, place: u32) -> bool {
        self.acting.contains(&place)
    }

    /// Front ends that live.
    pub fn alive(&self) -> usize {
        self.alive.len()
    }

    /// Whether a version, or a later one, is in force at all that act, and since when.
    pub fn in_force(&self, version: u64) -> Option<i64> {
        let real = self
            .reals
            .iter()
            .enumerate()
            .filter(|(n, _)| self.acting.contains(&(*n as u32)));
        let real = real.map(|(_, r)| r.force.unwrap_or((0, 0)));
        let each = self.shape.each();
        let acts = |n: usize| {
            let first = (self.shape.real + n * each) as u32;
            self.acting
                .range(first..first + each as u32)
                .next()
                .is_some()
        };
        let hollow = self
            .hosts
            .iter()
            .enumerate()
            .filter(|(n, _)| acts(*n))
            .map(|(_, h)| h.force);
        let all: Vec<(u64, i64)> = real.chain(hollow).collect();
        if all.iter().any(|(v, _)| *v < version) {
            return None;
        }
        Some(all.iter().map(|f| f.1).max().unwrap_or_else(clock::now))
    }

    /// Learns which seat leads, and what is in force there.
    pub fn learn(&mut self) -> Result<(), Error> {
        let any = self.client.status_within(self.reals[0].address, REQUEST)?;
        self.leader = any.leader_address.parse().unwrap_or(self.leader);
        let status = self.client.status_within(self.leader, REQUEST)?;
        let state = status
            .state
            .ok_or("the seat that leads knows of no version")?;
        let state = of_state(state)?;
        if state.next.is_some() {
            return Err("a change is under way".into());
        }
        self.force = state.in_force;
        Ok(())
    }

    /// What a change that is not in force waits for, in words.
    pub fn waits(&mut self, version: u64) -> String {
        let behind = self
            .reals
            .iter()
            .filter(|r| r.acts && r.force.unwrap_or((0, 0)).0 < version)
            .count();
        let hosts = self.hosts.iter().filter(|h| h.force.0 < version).count();
        let hollow = self.counted().unwrap_or_default();
        let leases: usize = hollow.iter().map(|c| c.without_lease).sum();
        let stays: usize = hollow.iter().map(|c| c.without_stay).sum();
        let seat = match self.client.status_within(self.leader, REQUEST) {
            Ok(s) => format!(
                "the seat {} for leases and for {} stays",
                if s.blocked_by_leases {
                    "waits"
                } else {
                    "does not wait"
                },
                s.blocking_members.len()
            ),
            Err(e) => format!("the seat: {e}"),
        };
        format!(
            "{behind} real front ends and some of {hosts} hollow processes are behind, {leases} hollow ones have no lease, \
             {stays} no stay; {seat}"
        )
    }

    /// Gives a change up that goes on.
    pub fn abandon(&mut self, version: u64) {
        let _ = self
            .client
            .enter_within(self.leader, Entry::Abandon(version), REQUEST);
    }

    /// The place of the seat that leads.
    pub fn leader(&self) -> usize {
        self.reals
            .iter()
            .position(|r| r.address == self.leader)
            .unwrap_or(0)
    }

    /// The names, in the order of places.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// The fields in force, as far as it was learnt.
    pub fn fields(&self) -> &Fields {
        &self.force.fields
    }

    /// An id of a request, of its own.
    pub fn next_id(&mut self) -> u64 {
        self.proposals += 1;
        number(&format!(
            "{}/{}/{}",
            self.shape.seed,
            self.proposals,
            clock::now()
        ))
        .max(1)
    }

    /// Where the seat that leads is heard.
    pub fn leader_address(&self) -> SocketAddr {
        self.leader
    }

    /// Has hollow front ends call functions.
    pub fn call_scopes(&mut self, functions: usize, seed: u64) -> Result<(), Error> {
        (0..self.hosts.len()).try_for_each(|n| self.order(n, &Order::Call { functions, seed }))
    }

    /// Has functions watched for; how many hold each by now.
    pub fn watch(&mut self, id: u64, functions: &[(String, Fields)]) -> Result<Vec<usize>, Error> {
        self.watches.insert(id, Watch::default());
        for n in 0..self.hosts.len() {
            self.order(
                n,
                &Order::Watch {
                    id,
                    functions: functions.to_vec(),
                },
            )?;
        }
        let end = Instant::now() + Duration::from_secs(30);
        let there = |c: &Cast| {
            c.watches
                .get(&id)
                .is_none_or(|w| w.holders.len() == c.hosts.len())
        };
        self.until(end, "hollow processes to watch for a change", there)?;
        let all = self
            .watches
            .get(&id)
            .into_iter()
            .flat_map(|w| w.holders.values());
        Ok(all.fold(vec![0; functions.len()], |sum, one| {
            sum.iter().zip(one).map(|(a, b)| a + b).collect()
        }))
    }

    /// Has nobody watch for it any more.
    pub fn unwatch(&mut self, asked: &Asked) -> Result<(), Error> {
        self.watches.remove(&asked.id);
        (0..self.hosts.len()).try_for_each(|n| self.order(n, &Order::Unwatch(asked.id)))
    }

    /// When the last one of those who held a function acted on its change; outer none: not all do, inner none: nobody held
    /// it.
    pub fn acted(&self, id: u64, nth: usize) -> Option<Option<i64>> {
        let w = self.watches.get(&id)?;
        let held = w
            .holders
            .iter()
            .filter(|(_, h)| h.get(nth).is_some_and(|n| *n > 0));
        let all: Option<Vec<i64>> = held
            .map(|(n, _)| w.acted.get(&(*n, nth)).copied())
            .collect();
        Some(all?.into_iter().max())
    }

    /// An entry for the seat that leads; asked again with the same id where it was not taken, another one may lead by then.
    pub fn enter(&mut self, entry: Entry) -> Result<pb::EnterReply, Error> {
        let mut last: Error = "no try".into();
        for _ in 0..TRIES {
            match self
                .client
                .enter_within(self.leader, entry.clone(), REQUEST)
            {
                Ok(reply) => return Ok(reply),
                Err(e) => last = e.into(),
            }
            self.rest(Duration::from_millis(300))?;
            let _ = self.learn();
        }
        Err(format!("a change was not taken: {last}").into())
    }

    /// Asks for versions at once, all made from the one in force; and which were refused, in words.
    pub fn burst_versions(&mut self, all: Vec<Fields>) -> (i64, Vec<Result<u64, String>>) {
        let entry = |fields: Fields| {
            let id = self.next_id();
            let (version, why) = (self.force.version, "burst".into());
            Entry::Propose(settings(&VersionedSettings {
                version,
                fields,
                reason: why,
                id,
            }))
        };
        let entries = all.into_iter().map(entry).collect();
        let began = clock::now();
        let done = self.client.enters(self.leader, entries).into_iter();
        (
            began,
            done.map(|r| r.map(|e| e.version).map_err(|e| e.to_string()))
                .collect(),
        )
    }

    /// Asks for a version; its number, and when it was asked for.
    pub fn propose(&mut self, fields: Fields, why: &str) -> Result<(u64, i64), Error> {
        let began = clock::now();
        self.proposals += 1;
        let id = number(&format!("{}/{}/{began}", self.shape.seed, self.proposals));
        let mut last: Error = "no try".into();
        for _ in 0..TRIES {
            let s = VersionedSettings {
                version: self.force.version,
                fields: fields.clone(),
                reason: why.into(),
                id,
            };
            match self
                .client
                .enter_within(self.leader, Entry::Propose(settings(&s)), REQUEST)
            {
                Ok(pb::EnterReply { version, .. }) => {
                    self.force = VersionedSettings {
                        version: Version(version),
                        ..s
                    };
                    return Ok((version, began));
                }
                Err(e) => last = e.into(),
            }
            self.rest(Duration::from_millis(300))?;
            // Another seat may lead by now, from another version.
            let _ = self.learn();
        }
        Err(format!("a proposal was not taken: {last}").into())
    }
}

impl Drop for Cast {
    fn drop(&mut self) {
        for child in self.reals.iter_mut().filter_map(|r| r.child.as_mut()) {
            let _ = child.kill();
        }
        for h in &mut self.hosts {
            let _ = h.child.kill();
        }
        let hosts = self.hosts.iter_mut().map(|h| &mut h.child);
        for child in self
            .reals
            .iter_mut()
            .filter_map(|r| r.child.as_mut())
            .chain(hosts)
        {
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Keeps the addresses of runs at the same time apart.
fn net() -> u8 {
    1 + (std::process::id() % 200) as u8
}

/// What a line of a gateway's logs says.
fn says(line: &str) -> Option<Says> {
    let line: serde_json::Value = serde_json::from_str(line).ok()?;
    let fields = line.get("fields")?;
    match fields.get("message")?.as_str()? {
        "fleet revision changed" => Some(Says::Force(fields.get("in_force")?.as_u64()?)),
        "lease acquired" => Some(Says::Lease(true)),
        "session established" => Some(Says::Stay(true)),
        m if m.starts_with("lease expired") => Some(Says::Lease(false)),
        m if m.starts_with("session expired") => Some(Says::Stay(false)),
        _ => None,
    }
}

/// Names in the order of places: the seats', those of other real front ends, half of them such as others ask for leases,
/// then the hollow ones'.
fn names(shape: &Shape) -> Vec<String> {
    let mut rng = fastrand::Rng::with_seed(shape.seed);
    let all: Vec<String> = (0..shape.front_ends).map(|n| format!("f{n}")).collect();
    let relays = relays(&all, 0);
    let (mut above, mut below): (Vec<usize>, Vec<usize>) =
        (shape.seats..shape.front_ends).partition(|n| relays[*n]);
    rng.shuffle(&mut above);
    rng.shuffle(&mut below);
    let mut order: Vec<usize> = (0..shape.seats).collect();
    while order.len() < shape.real {
        let from = if order.len().is_multiple_of(2) {
            [&mut above, &mut below]
        } else {
            [&mut below, &mut above]
        };
        order.extend(from.into_iter().find_map(Vec::pop));
    }
    above.extend(below);
    above.sort_unstable();
    order
        .into_iter()
        .chain(above)
        .map(|n| all[n].clone())
        .collect()
}

/// Which of these names others ask for leases, where the one at this place leads.
pub fn relays(names: &[String], leader: usize) -> Vec<bool> {
    let ids: Vec<u64> = names.iter().map(|n| number(n)).collect();
    let view = LeaseTopology::new(ids[leader], ids.iter().copied());
    let parents: BTreeSet<u64> = ids.iter().filter_map(|id| view.parent(*id, 0)).collect();
    ids.iter().map(|id| parents.contains(id)).collect()
}
