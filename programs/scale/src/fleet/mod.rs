//! A fleet of child processes on this machine, and an operator's requests to it.
//!
//! - [`shape`]: the number of front ends of each kind, their names, and the settings.
//! - `process`: starts child processes and parses what they report.
//! - `events`: waits for reports and applies them.
//! - `operator`: finds the leader and proposes versions of the settings.
//! - [`scope_updates`]: updates functions that are scopes of their own.
//!
//! This module only controls processes and records their reports; [`crate::run`] decides what is measured and when front ends are killed.

mod events;
mod operator;
mod process;
pub mod scope_updates;
pub mod shape;

pub use shape::FleetShape;

use crate::hollow::loopback_address;
use crate::hollow::protocol::{HollowCommand, HollowCounters};
use crate::Error;
use process::{initialize_command, HollowProcess, InForce, ProcessEvent, RealFrontEnd};
use scope_updates::ScopeWatch;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::sync::atomic::AtomicBool;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tansy_agreement::log::{Version, VersionedSettings};
use tansy_fleet::client::Client;
use tansy_net_sockets::clock;
use tansy_test_support::address::ReservedAddress;

/// Maximum number of front ends that start at the same time; limits the load of joins.
const MAX_CONCURRENT_STARTS: usize = 64;
/// Timeout for a process of hollow front ends to answer a command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(30);

/// A front end that joined: it holds a lease and a session for the first time since its start.
#[derive(Clone, Copy, Debug)]
pub struct Join {
    /// Its index.
    pub front_end: u32,
    /// Milliseconds from its start.
    pub ms: f64,
}

/// The process of a real front end that runs.
#[derive(Clone, Copy, Debug)]
pub struct RunningFrontEnd {
    /// Its index.
    pub index: usize,
    /// Its process id.
    pub pid: u32,
    /// The address of its fleet transport.
    pub address: SocketAddr,
}

/// All processes of a run; dropping it kills them.
pub struct TestFleet {
    /// The number of front ends of each kind, and their settings.
    pub shape: FleetShape,
    /// Joins, in order.
    pub joins: Vec<Join>,
    /// The operator's client.
    pub client: Client,
    names: Vec<String>,
    real: Vec<RealFrontEnd>,
    hollow: Vec<HollowProcess>,
    /// Running front ends that have joined since their start.
    joined: BTreeSet<u32>,
    /// Front ends that were started and not killed.
    running: BTreeSet<u32>,
    folder: PathBuf,
    events: Receiver<ProcessEvent>,
    event_sender: Sender<ProcessEvent>,
    /// Set by SIGINT and SIGTERM.
    is_interrupted: Arc<AtomicBool>,
    /// An error that ends the run; returned by the next poll for events.
    failure: Option<Error>,
    leader_address: SocketAddr,
    in_force: VersionedSettings,
    /// Number of the operator's requests so far.
    requests: u64,
    watches: BTreeMap<u64, ScopeWatch>,
}

impl TestFleet {
    /// Starts all front ends, and waits until all have joined; fails after `limit`.
    pub fn start(
        shape: FleetShape,
        limit: Duration,
        progress: &dyn Fn(String),
    ) -> Result<TestFleet, Error> {
        let end = Instant::now() + limit;
        let mut fleet = TestFleet::prepare(shape)?;
        let (voters, real) = (shape.voters as u32, shape.real as u32);
        (0..voters).try_for_each(|index| fleet.start_front_end(index))?;
        fleet.wait_until_all_joined(end)?;
        fleet.refresh_leader()?;
        progress(format!("{} voters have joined", shape.voters));
        (voters..real).try_for_each(|index| fleet.start_front_end(index))?;
        fleet.start_hollow_processes(end)?;
        for index in real..shape.front_ends as u32 {
            fleet.wait_until(end, "front ends to join", |fleet| {
                fleet.running.len() < fleet.joined.len() + MAX_CONCURRENT_STARTS
            })?;
            fleet.start_front_end(index)?;
        }
        fleet.wait_until_all_joined(end)?;
        progress(format!("{} front ends have joined", shape.front_ends));
        Ok(fleet)
    }

    /// Reserves addresses and writes the settings without starting any process.
    fn prepare(shape: FleetShape) -> Result<TestFleet, Error> {
        let client = Client::new()?;
        let is_interrupted = Arc::new(AtomicBool::new(false));
        // Threads inherit the signal mask, so it is set before any starts.
        client.on_termination(is_interrupted.clone())?;
        let folder = std::env::temp_dir().join(format!("tansy-scale-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let names = shape::front_end_names(&shape);
        let real = (0..shape.real)
            .map(|index| reserve_address(index as u32).map(RealFrontEnd::new))
            .collect::<Result<Vec<_>, Error>>()?;
        let voters: Vec<(String, SocketAddr)> = names
            .iter()
            .cloned()
            .zip(real.iter().map(RealFrontEnd::address))
            .take(shape.voters)
            .collect();
        let text = shape.settings_text(&voters);
        std::fs::write(folder.join("scale.cue"), &text)?;
        let fields = tansy_settings::agreement::parse_version("scale.cue", &text)?;
        let (event_sender, events) = channel();
        Ok(TestFleet {
            shape,
            joins: Vec::new(),
            client,
            names,
            leader_address: real[0].address(),
            real,
            hollow: Vec::new(),
            joined: BTreeSet::new(),
            running: BTreeSet::new(),
            folder,
            events,
            event_sender,
            is_interrupted,
            failure: None,
            in_force: VersionedSettings {
                version: Version(0),
                fields,
                reason: String::new(),
                id: 0,
            },
            requests: 0,
            watches: BTreeMap::new(),
        })
    }

    /// Starts the processes of hollow front ends, and connects them to each other.
    fn start_hollow_processes(&mut self, end: Instant) -> Result<(), Error> {
        let initialize = initialize_command(&self.shape, network(), &self.folder);
        for process in 0..self.shape.hollow_processes() {
            let started = HollowProcess::start(process, &self.event_sender)?;
            self.hollow.push(started);
            self.send(process, &initialize)?;
        }
        self.wait_until(end, "processes of hollow front ends to start", |fleet| {
            fleet.hollow.iter().all(|process| process.address.is_some())
        })?;
        let addresses = self.hollow.iter().filter_map(|process| process.address);
        let connect = HollowCommand::Connect(addresses.collect());
        self.broadcast(&connect)
    }

    /// Starts a front end. Only a voter keeps its state over a restart.
    pub fn start_front_end(&mut self, front_end: u32) -> Result<(), Error> {
        self.running.insert(front_end);
        let index = front_end as usize;
        let name = &self.names[index];
        if self.shape.is_real(front_end) {
            let is_voter = index < self.shape.voters;
            let (folder, events) = (&self.folder, &self.event_sender);
            return self.real[index].start(index, name, is_voter, folder, events);
        }
        let start = HollowCommand::Start(vec![(front_end, name.clone())]);
        self.send(self.shape.hollow_process_of(index), &start)
    }

    /// Kills a front end without notifying the others.
    pub fn kill(&mut self, front_end: u32) -> Result<(), Error> {
        self.running.remove(&front_end);
        self.joined.remove(&front_end);
        let index = front_end as usize;
        if !self.shape.is_real(front_end) {
            let process = self.shape.hollow_process_of(index);
            return self.send(process, &HollowCommand::Kill(front_end));
        }
        if let Some(mut child) = self.real[index].child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    fn send(&mut self, process: usize, command: &HollowCommand) -> Result<(), Error> {
        let process = self.hollow.get_mut(process).ok_or(Error::NoSuchProcess)?;
        process.send(command)
    }

    /// Sends a command to all processes of hollow front ends.
    fn broadcast(&mut self, command: &HollowCommand) -> Result<(), Error> {
        self.hollow
            .iter_mut()
            .try_for_each(|process| process.send(command))
    }

    /// Requests the current counters of each process of hollow front ends.
    pub fn hollow_counters(&mut self) -> Result<Vec<HollowCounters>, Error> {
        for process in &mut self.hollow {
            process.counters = None;
            process.send(&HollowCommand::Count)?;
        }
        let end = Instant::now() + COMMAND_TIMEOUT;
        self.wait_until(end, "the counters of hollow front ends", |fleet| {
            fleet
                .hollow
                .iter()
                .all(|process| process.counters.is_some())
        })?;
        let counters = self.hollow.iter();
        Ok(counters
            .filter_map(|process| process.counters.clone())
            .collect())
    }

    /// Returns the ids of the processes of hollow front ends.
    pub fn hollow_pids(&self) -> Vec<u32> {
        self.hollow
            .iter()
            .map(|process| process.child.id())
            .collect()
    }

    /// Returns the real front ends that run.
    pub fn running_real(&self) -> Vec<RunningFrontEnd> {
        let running = |(index, front_end): (usize, &RealFrontEnd)| {
            Some(RunningFrontEnd {
                index,
                pid: front_end.child.as_ref()?.id(),
                address: front_end.address(),
            })
        };
        self.real.iter().enumerate().filter_map(running).collect()
    }

    /// Returns the addresses of the real front ends that run.
    pub fn real_addresses(&self) -> Vec<SocketAddr> {
        let running = self.running_real();
        running
            .into_iter()
            .map(|front_end| front_end.address)
            .collect()
    }

    /// Returns the front ends that run and have joined, without the voters.
    pub fn joined_non_voters(&self) -> Vec<u32> {
        self.joined
            .iter()
            .copied()
            .filter(|front_end| *front_end as usize >= self.shape.voters)
            .collect()
    }

    /// Whether a front end runs and has joined since its start.
    pub fn has_joined(&self, front_end: u32) -> bool {
        self.joined.contains(&front_end)
    }

    /// Returns the number of front ends that run.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Returns the names of all front ends, by index.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// Returns since when all joined front ends have this version or a later one in force, or `None` if some do not.
    pub fn in_force_since(&self, version: u64) -> Option<i64> {
        let per_process = self.shape.hollow_per_process();
        let has_joined_member = |process: usize| {
            let first = (self.shape.real + process * per_process) as u32;
            let mut joined = self.joined.range(first..first + per_process as u32);
            joined.next().is_some()
        };
        let real = (0..).zip(&self.real);
        let real = real.filter(|(index, _)| self.joined.contains(index));
        let hollow = self.hollow.iter().enumerate();
        let hollow = hollow.filter(|(process, _)| has_joined_member(*process));
        let reports: Vec<InForce> = real
            .map(|(_, front_end)| front_end.in_force)
            .chain(hollow.map(|(_, process)| process.in_force))
            .collect();
        if reports.iter().any(|report| report.version < version) {
            return None;
        }
        let since = reports.iter().map(|report| report.since);
        Some(since.max().unwrap_or_else(clock::now))
    }
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        let real = self.real.iter_mut();
        let real = real.filter_map(|front_end| front_end.child.as_mut());
        let hollow = self.hollow.iter_mut().map(|process| &mut process.child);
        let mut children: Vec<&mut Child> = real.chain(hollow).collect();
        for child in &mut children {
            let _ = child.kill();
        }
        for child in &mut children {
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns the second octet of the loopback addresses of all front ends, which separates concurrent runs.
fn network() -> u8 {
    1 + (std::process::id() % 200) as u8
}

/// Reserves a free port on the loopback address of a real front end.
fn reserve_address(front_end: u32) -> Result<ReservedAddress, Error> {
    let host = loopback_address(network(), front_end);
    ReservedAddress::on(host.octets()).map_err(|source| Error::ReserveAddress {
        address: SocketAddr::from((host, 0)),
        source,
    })
}
