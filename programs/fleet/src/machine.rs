//! `up`: the supervisor of one machine's front ends, which also controls rollouts; and `steer`: a controller alone.

mod file;
mod fleet_state;

pub(crate) use fleet_state::sample;

use crate::client::Client;
use crate::processes::{program_label, ProcessError, Processes, RunningProcess};
use crate::FleetError;
use file::MachineFile;
use fleet_state::{micros, FleetState};
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tansy_fleet_wire::encode_rollout_entry;
use tansy_fleet_wire::pb::enter_request::Entry;
use tansy_net_fleet::client::RequestError;
use tansy_rollout::{
    Crash, DesiredProcess, ProcessExit, Rollout, RolloutChange, RolloutController, RolloutEntry,
    Supervisor, SupervisorCommand, SupervisorLimits, Time, SECOND,
};

/// Time between two looks at the processes.
const PROCESS_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two questions to the fleet.
const FLEET_INTERVAL: Duration = Duration::from_millis(250);
/// Time for an answer of a front end.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// Crashes that wait to be reported; the oldest are dropped when there are more.
const MAX_UNREPORTED: usize = 256;

/// Keeps the front ends of a machine's file running until SIGTERM or SIGINT.
pub(crate) fn run(path: &Path) -> Result<(), FleetError> {
    let file = file::read(path)?;
    let end = Arc::new(AtomicBool::new(false));
    let mut machine = Machine::start(file)?;
    machine
        .client
        .on_termination(end.clone())
        .map_err(FleetError::invalid)?;
    println!("ready fronts={}", machine.file.front_ends.len());
    machine.serve(&end);
    Ok(())
}

/// Controls rollouts without front ends of its own.
pub(crate) fn control_rollouts(name: &str, at: SocketAddr) -> Result<(), FleetError> {
    let mut client = Client::new().map_err(FleetError::unreachable)?;
    let end = Arc::new(AtomicBool::new(false));
    client
        .on_termination(end.clone())
        .map_err(FleetError::unreachable)?;
    let mut controller = RolloutController::new(name.to_string());
    let mut fleet = FleetState::default();
    let began = Instant::now();
    while !end.load(Ordering::Relaxed) {
        fleet.refresh(&mut client, &[at], began);
        fleet.control(&mut client, &mut controller, began);
        client.wait(FLEET_INTERVAL);
    }
    Ok(())
}

/// The front ends of one machine.
struct Machine {
    file: MachineFile,
    began: Instant,
    processes: Processes,
    supervisor: Supervisor,
    client: Client,
    controller: RolloutController,
    fleet: FleetState,
    /// Where the program of each label is found.
    programs: BTreeMap<String, PathBuf>,
    /// The label of the program that is to run outside of rollouts.
    current_label: String,
    unreported: Vec<Crash>,
}

impl Machine {
    fn start(file: MachineFile) -> Result<Machine, FleetError> {
        let program_label =
            program_label(&file.program).map_err(|error| FleetError::file(&file.program, error))?;
        let (processes, running) = Processes::open(&file.folder)?;
        let limits = SupervisorLimits {
            start_timeout: file.ready as Time * SECOND,
            drain_timeout: file.drain as Time * SECOND,
            ..SupervisorLimits::default()
        };
        let names = file.front_ends.iter().map(|own| own.name.clone());
        let mut machine = Machine {
            supervisor: Supervisor::new(limits, names, &program_label),
            programs: BTreeMap::from([(program_label.clone(), file.program.clone())]),
            client: Client::new().map_err(FleetError::invalid)?,
            controller: RolloutController::new(file.name.clone()),
            fleet: FleetState::default(),
            began: Instant::now(),
            unreported: Vec::new(),
            processes,
            current_label: program_label,
            file,
        };
        for RunningProcess { pid, name, label } in running {
            tracing::info!(name, pid, label, "found running");
            machine.supervisor.adopt(0, &name, pid, label);
        }
        // By now the fleet may run another program than that of the file.
        machine.refresh();
        Ok(machine)
    }

    fn serve(&mut self, end: &AtomicBool) {
        let mut next_refresh = Instant::now();
        let mut ending = false;
        while !(ending && self.supervisor.is_finished()) {
            if end.load(Ordering::Relaxed) && !ending {
                ending = true;
                self.supervise(|supervisor, now, commands| supervisor.shut_down(now, commands));
            }
            self.watch_processes();
            if Instant::now() >= next_refresh && !ending {
                next_refresh = Instant::now() + FLEET_INTERVAL;
                self.refresh();
                self.fleet
                    .control(&mut self.client, &mut self.controller, self.began);
                self.report_crashes();
            }
            self.supervise(|supervisor, now, commands| supervisor.tick(now, commands));
            self.client.wait(PROCESS_INTERVAL);
        }
    }

    /// Tells the supervisor which processes have ended and which are ready.
    fn watch_processes(&mut self) {
        for (pid, kind) in self.processes.ended() {
            tracing::info!(pid, sort = kind, "ended");
            let exit = ProcessExit { kind };
            self.supervise(|supervisor, now, commands| {
                supervisor.on_exit(now, pid, exit, commands);
            });
        }
        let now = micros(self.began);
        for own in &self.file.front_ends {
            if self.processes.ready(&own.name) {
                self.supervisor.on_ready(now, &own.name);
            }
        }
    }

    /// Asks the fleet, and passes on what it assigns to these front ends.
    fn refresh(&mut self) {
        let own = self.file.front_ends.iter().map(|own| own.peers);
        let addresses: Vec<SocketAddr> = self.file.at.iter().copied().chain(own).collect();
        self.fleet.refresh(&mut self.client, &addresses, self.began);
        if let Some((label, path)) = &self.fleet.program {
            self.current_label.clone_from(label);
            add_program(&mut self.programs, label, path);
        }
        let rollout = self
            .fleet
            .rollout
            .as_ref()
            .filter(|rollout| !rollout.has_ended());
        if let Some(RolloutChange::Program { label, path }) = rollout.map(|rollout| &rollout.change)
        {
            add_program(&mut self.programs, label, path);
        }
        let outdated = self.outdated(rollout).map(str::to_string);
        for own in &self.file.front_ends {
            let desired = self.desired(&own.name, rollout, outdated.as_deref());
            self.supervisor
                .set_desired(self.fleet.asked, &own.name, desired);
        }
    }

    /// Outside of rollouts, the first front end with another program than the current one: it was started while nobody could say what
    /// the fleet is to run. Such ones are changed one after the other.
    fn outdated(&self, rollout: Option<&Rollout>) -> Option<&str> {
        if rollout.is_some() || !self.fleet.fresh || self.fleet.program.is_none() {
            return None;
        }
        let is_outdated = |name: &&str| {
            let running = self.supervisor.process(name);
            running
                .and_then(|(_, label)| label)
                .is_some_and(|label| label != self.current_label)
        };
        self.file
            .front_ends
            .iter()
            .map(|own| own.name.as_str())
            .find(is_outdated)
    }

    /// What is assigned to a front end.
    fn desired(
        &self,
        name: &str,
        rollout: Option<&Rollout>,
        outdated: Option<&str>,
    ) -> DesiredProcess {
        let mut desired = DesiredProcess {
            label: self.current_label.clone(),
            may_replace: outdated == Some(name),
        };
        let Some(rollout) = rollout else {
            return desired;
        };
        if let RolloutChange::Program { label, .. } = &rollout.change {
            if rollout.should_be_changed(name) {
                desired.label.clone_from(label);
            }
            desired.may_replace = rollout.released.contains(name) && self.fleet.fresh;
        }
        desired
    }

    /// Gives the supervisor an event and runs its commands.
    fn supervise(
        &mut self,
        event: impl FnOnce(&mut Supervisor, Time, &mut Vec<SupervisorCommand>),
    ) {
        let now = micros(self.began);
        let mut commands = Vec::new();
        event(&mut self.supervisor, now, &mut commands);
        for command in commands {
            match command {
                SupervisorCommand::Start { name, label } => self.start_process(&name, &label),
                SupervisorCommand::Terminate { pid } => self.processes.signal(pid, Signal::TERM),
                SupervisorCommand::Kill { pid } => self.processes.signal(pid, Signal::KILL),
                SupervisorCommand::ReportCrash {
                    name,
                    pid,
                    kind,
                    consecutive,
                } => self.record_crash(Crash {
                    name,
                    process: u64::from(pid),
                    kind,
                    consecutive,
                }),
            }
        }
    }

    fn start_process(&mut self, name: &str, label: &str) {
        let own = self.file.front_ends.iter().find(|own| own.name == name);
        let Some(arguments) = own.map(file::FrontEnd::command_line) else {
            return;
        };
        match self.try_start(name, label, &arguments) {
            Ok(pid) => {
                tracing::info!(name, pid, label, "started");
                let now = micros(self.began);
                self.supervisor
                    .on_started(now, name, pid, label.to_string());
            }
            Err(error) => {
                let reason = error.to_string();
                tracing::error!(name, why = reason, "could not be started");
                self.supervise(|supervisor, now, commands| {
                    supervisor.on_start_failed(now, name, reason, commands);
                });
            }
        }
    }

    fn try_start(
        &mut self,
        name: &str,
        label: &str,
        arguments: &[String],
    ) -> Result<tansy_rollout::ProcessId, ProcessError> {
        let path = self.programs.get(label);
        let path = path.ok_or_else(|| ProcessError::UnknownProgram(label.to_string()))?;
        let program = self.processes.store(label, path)?;
        self.processes.start(name, label, &program, arguments)
    }

    fn record_crash(&mut self, crash: Crash) {
        tracing::warn!(
            name = crash.name,
            pid = crash.process,
            sort = crash.kind,
            again = crash.consecutive,
            "ended by itself"
        );
        self.unreported.push(crash);
        if self.unreported.len() > MAX_UNREPORTED {
            self.unreported.remove(0);
        }
    }

    /// Enters the crashes during a rollout.
    fn report_crashes(&mut self) {
        let rollout = self.fleet.rollout.as_ref();
        if rollout.is_none_or(Rollout::has_ended) {
            self.unreported.clear();
        }
        let Some(leader) = self.fleet.leader.filter(|_| self.fleet.fresh) else {
            return;
        };
        while let Some(crash) = self.unreported.first().cloned() {
            let entry = Entry::Rollout(encode_rollout_entry(&RolloutEntry::Crashed(crash), None));
            match self.client.enter_within(leader, entry, ANSWER_TIMEOUT) {
                Err(RequestError::Unreachable(_)) => return,
                _ => drop(self.unreported.remove(0)),
            }
        }
    }
}

/// Records where a program is found; the first place stands.
fn add_program(programs: &mut BTreeMap<String, PathBuf>, label: &str, path: &str) {
    programs
        .entry(label.to_string())
        .or_insert_with(|| PathBuf::from(path));
}
