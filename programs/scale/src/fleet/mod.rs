//! A fleet of child processes on this machine: real front ends, hollow ones, and an operator's requests to them.
//!
//! - [`shape`]: how many front ends of each kind, their names, and the settings.
//! - `process`: how child processes start, and what they report.
//! - `events`: waiting for reports.
//! - `operator`: the leader, and changes of the settings' version.
//! - [`scope_updates`]: changes of functions that are agreed on one by one.
//!
//! It records what the processes report; what is measured, and when front ends are killed, is decided in [`crate::run`].

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

/// Front ends that start at a time: a fleet does not start at once either, and what is measured comes after.
const MAX_CONCURRENT_STARTS: usize = 64;
/// Time for a process of hollow front ends to answer a command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(30);

/// A front end that held a lease and a session for the first time since its start.
#[derive(Clone, Copy, Debug)]
pub struct Join {
    /// Its index.
    pub front_end: u32,
    /// Milliseconds since its start.
    pub ms: f64,
}

/// The process of a real front end that runs.
#[derive(Clone, Copy, Debug)]
pub struct RunningFrontEnd {
    /// Its index.
    pub index: usize,
    /// Its process id.
    pub pid: u32,
    /// Where its fleet transport listens.
    pub address: SocketAddr,
}

/// All processes of a run; they end when it is dropped.
pub struct TestFleet {
    /// What it is made of.
    pub shape: FleetShape,
    /// Front ends that joined, in order.
    pub joins: Vec<Join>,
    /// The operator's client.
    pub client: Client,
    names: Vec<String>,
    real: Vec<RealFrontEnd>,
    hollow: Vec<HollowProcess>,
    joined: BTreeSet<u32>,
    running: BTreeSet<u32>,
    folder: PathBuf,
    events: Receiver<ProcessEvent>,
    event_sender: Sender<ProcessEvent>,
    /// Set by SIGINT and SIGTERM.
    is_interrupted: Arc<AtomicBool>,
    /// Why the run can't go on, until that is returned.
    failure: Option<Error>,
    leader_address: SocketAddr,
    in_force: VersionedSettings,
    /// Requests of the operator so far.
    requests: u64,
    watches: BTreeMap<u64, ScopeWatch>,
}

impl TestFleet {
    /// Starts all front ends, and waits until all act, at most for this time.
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
        progress(format!("{} voters act", shape.voters));
        (voters..real).try_for_each(|index| fleet.start_front_end(index))?;
        fleet.start_hollow_processes(end)?;
        for index in real..shape.front_ends as u32 {
            fleet.wait_until(end, "front ends to act", |fleet| {
                fleet.running.len() < fleet.joined.len() + MAX_CONCURRENT_STARTS
            })?;
            fleet.start_front_end(index)?;
        }
        fleet.wait_until_all_joined(end)?;
        progress(format!("{} front ends act", shape.front_ends));
        Ok(fleet)
    }

    /// Reserves addresses and writes the settings; no process runs yet.
    fn prepare(shape: FleetShape) -> Result<TestFleet, Error> {
        let client = Client::new()?;
        let is_interrupted = Arc::new(AtomicBool::new(false));
        // Before any thread starts, which inherit the mask of signals.
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
        let fields = tansy_settings::agree::version("scale.cue", &text)?;
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

    /// Starts the processes of hollow front ends, and connects them with each other.
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

    /// Starts a front end; only a voter has state from before.
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

    /// Kills a front end; the others are not notified.
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

    /// The counters of each process of hollow front ends, as of now.
    pub fn hollow_counters(&mut self) -> Result<Vec<HollowCounters>, Error> {
        for process in &mut self.hollow {
            process.counters = None;
            process.send(&HollowCommand::Count)?;
        }
        let end = Instant::now() + COMMAND_TIMEOUT;
        self.wait_until(end, "what hollow front ends counted", |fleet| {
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

    /// Process ids of the processes of hollow front ends.
    pub fn hollow_pids(&self) -> Vec<u32> {
        self.hollow
            .iter()
            .map(|process| process.child.id())
            .collect()
    }

    /// Real front ends that run.
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

    /// Addresses of real front ends that run.
    pub fn real_addresses(&self) -> Vec<SocketAddr> {
        let running = self.running_real();
        running
            .into_iter()
            .map(|front_end| front_end.address)
            .collect()
    }

    /// Front ends that run and act, but for the voters.
    pub fn joined_non_voters(&self) -> Vec<u32> {
        self.joined
            .iter()
            .copied()
            .filter(|front_end| *front_end as usize >= self.shape.voters)
            .collect()
    }

    /// Whether a front end runs and acts.
    pub fn has_joined(&self, front_end: u32) -> bool {
        self.joined.contains(&front_end)
    }

    /// How many front ends run.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// The names, by index.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// Since when a version, or a later one, is in force at all that act; none: it is not at some.
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

/// The second octet of all front ends' addresses; it keeps runs at the same time apart.
fn network() -> u8 {
    1 + (std::process::id() % 200) as u8
}

/// A free port on the loopback address of a real front end.
fn reserve_address(front_end: u32) -> Result<ReservedAddress, Error> {
    let host = loopback_address(network(), front_end);
    ReservedAddress::on(host.octets()).map_err(|source| Error::ReserveAddress {
        address: SocketAddr::from((host, 0)),
        source,
    })
}
