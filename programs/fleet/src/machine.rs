//! The command `up`, which supervises the front ends of one machine and controls rollouts, and the command `steer`, which only controls
//! rollouts.

mod file;
mod fleet_state;

pub(crate) use fleet_state::sample;

use crate::client::Client;
use crate::processes::{program_label, AdoptableProcess, ProcessError, Processes};
use crate::FleetError;
use file::MachineFile;
use fleet_state::{elapsed_micros, FleetState};
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

/// Time between two checks of the processes.
const PROCESS_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two queries of the fleet's state.
const FLEET_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a request to a front end.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum number of crashes waiting to be reported; the oldest are dropped.
const MAX_UNREPORTED: usize = 256;

/// Runs the front ends that the machine file at `path` lists, until SIGTERM or SIGINT.
pub(crate) fn run(path: &Path) -> Result<(), FleetError> {
    let file = file::read(path)?;
    let terminated = Arc::new(AtomicBool::new(false));
    let mut machine = Machine::start(file)?;
    machine
        .client
        .on_termination(terminated.clone())
        .map_err(FleetError::invalid)?;
    println!("ready fronts={}", machine.file.front_ends.len());
    machine.serve(&terminated);
    Ok(())
}

/// Controls rollouts as the controller `name` until SIGTERM or SIGINT, without running front ends. The fleet is queried through
/// `front_end`.
pub(crate) fn control_rollouts(name: &str, front_end: SocketAddr) -> Result<(), FleetError> {
    let mut client = Client::new().map_err(FleetError::unreachable)?;
    let terminated = Arc::new(AtomicBool::new(false));
    client
        .on_termination(terminated.clone())
        .map_err(FleetError::unreachable)?;
    let mut controller = RolloutController::new(name.to_string());
    let mut fleet = FleetState::default();
    let started_at = Instant::now();
    while !terminated.load(Ordering::Relaxed) {
        fleet.refresh(&mut client, &[front_end], started_at);
        fleet.control(&mut client, &mut controller, started_at);
        client.wait(FLEET_INTERVAL);
    }
    Ok(())
}

/// The supervisor of one machine.
struct Machine {
    file: MachineFile,
    started_at: Instant,
    processes: Processes,
    supervisor: Supervisor,
    client: Client,
    controller: RolloutController,
    fleet: FleetState,
    /// Paths of programs, by label.
    programs: BTreeMap<String, PathBuf>,
    /// Label of the program that front ends run outside of rollouts.
    current_label: String,
    /// Crashes that are not reported to the leader yet, oldest first.
    unreported: Vec<Crash>,
}

impl Machine {
    fn start(file: MachineFile) -> Result<Machine, FleetError> {
        let program_label =
            program_label(&file.program).map_err(|error| FleetError::file(&file.program, error))?;
        let (processes, running) = Processes::open(&file.folder)?;
        let limits = SupervisorLimits {
            start_timeout: file.ready_timeout_seconds as Time * SECOND,
            drain_timeout: file.drain_timeout_seconds as Time * SECOND,
            ..SupervisorLimits::default()
        };
        let names = file.front_ends.iter().map(|own| own.name.clone());
        let mut machine = Machine {
            supervisor: Supervisor::new(limits, names, &program_label),
            programs: BTreeMap::from([(program_label.clone(), file.program.clone())]),
            client: Client::new().map_err(FleetError::invalid)?,
            controller: RolloutController::new(file.name.clone()),
            fleet: FleetState::default(),
            started_at: Instant::now(),
            unreported: Vec::new(),
            processes,
            current_label: program_label,
            file,
        };
        for AdoptableProcess { pid, name, label } in running {
            tracing::info!(name, pid, label, "adopted a running process");
            machine.supervisor.adopt(0, &name, pid, label);
        }
        // The fleet may run another program than the one in the file.
        machine.refresh();
        Ok(machine)
    }

    /// Supervises the front ends until `terminated` is set, then shuts them down and returns once none has a process.
    fn serve(&mut self, terminated: &AtomicBool) {
        let mut next_refresh = Instant::now();
        let mut shutting_down = false;
        while !(shutting_down && self.supervisor.is_finished()) {
            if terminated.load(Ordering::Relaxed) && !shutting_down {
                shutting_down = true;
                self.supervise(|supervisor, now, commands| supervisor.shut_down(now, commands));
            }
            self.check_processes();
            if Instant::now() >= next_refresh && !shutting_down {
                next_refresh = Instant::now() + FLEET_INTERVAL;
                self.refresh();
                self.fleet
                    .control(&mut self.client, &mut self.controller, self.started_at);
                self.report_crashes();
            }
            self.supervise(|supervisor, now, commands| supervisor.tick(now, commands));
            self.client.wait(PROCESS_INTERVAL);
        }
    }

    /// Tells the supervisor which processes have exited and which are ready.
    fn check_processes(&mut self) {
        for (pid, kind) in self.processes.take_exited() {
            tracing::info!(pid, kind, "process exited");
            let exit = ProcessExit { kind };
            self.supervise(|supervisor, now, commands| {
                supervisor.on_exit(now, pid, exit, commands);
            });
        }
        let now = elapsed_micros(self.started_at);
        for own in &self.file.front_ends {
            if self.processes.is_ready(&own.name) {
                self.supervisor.on_ready(now, &own.name);
            }
        }
    }

    /// Reads the fleet's state and tells the supervisor which program each front end of this machine should run.
    fn refresh(&mut self) {
        let own = self.file.front_ends.iter().map(|own| own.peer_address);
        let addresses: Vec<SocketAddr> = self
            .file
            .fleet_addresses
            .iter()
            .copied()
            .chain(own)
            .collect();
        self.fleet
            .refresh(&mut self.client, &addresses, self.started_at);
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
                .set_desired(self.fleet.requested_at, &own.name, desired);
        }
    }

    /// Returns the first front end that runs another program than the fleet's current one, for example because it was started while the
    /// leader could not be reached. Such front ends are replaced one after the other. Returns `None` during a rollout, or if the
    /// fleet's state is not current or names no program.
    fn outdated(&self, rollout: Option<&Rollout>) -> Option<&str> {
        if rollout.is_some() || !self.fleet.is_current || self.fleet.program.is_none() {
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

    /// The program that a front end should run, and whether a process of another program may be replaced now. `outdated` is the result of
    /// [`Machine::outdated`].
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
            desired.may_replace = rollout.released.contains(name) && self.fleet.is_current;
        }
        desired
    }

    /// Passes an event to the supervisor and carries out its commands.
    fn supervise(
        &mut self,
        event: impl FnOnce(&mut Supervisor, Time, &mut Vec<SupervisorCommand>),
    ) {
        let now = elapsed_micros(self.started_at);
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

    /// Starts a front end's process, and tells the supervisor the outcome.
    fn start_process(&mut self, name: &str, label: &str) {
        let own = self.file.front_ends.iter().find(|own| own.name == name);
        let Some(arguments) = own.map(file::FrontEnd::command_line) else {
            return;
        };
        match self.try_start(name, label, &arguments) {
            Ok(pid) => {
                tracing::info!(name, pid, label, "process started");
                let now = elapsed_micros(self.started_at);
                self.supervisor
                    .on_started(now, name, pid, label.to_string());
            }
            Err(error) => {
                let reason = error.to_string();
                tracing::error!(name, reason, "process could not be started");
                self.supervise(|supervisor, now, commands| {
                    supervisor.on_start_failed(now, name, reason, commands);
                });
            }
        }
    }

    /// Stores the program `label` in the machine's folder, unless it is there, and starts it.
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

    /// Logs a crash, and keeps it for [`Machine::report_crashes`].
    fn record_crash(&mut self, crash: Crash) {
        tracing::warn!(
            name = crash.name,
            pid = crash.process,
            kind = crash.kind,
            consecutive = crash.consecutive,
            "process crashed"
        );
        self.unreported.push(crash);
        if self.unreported.len() > MAX_UNREPORTED {
            self.unreported.remove(0);
        }
    }

    /// Reports crashes to the leader, for the rollout in progress; without one they are dropped. If the leader can't be reached, the
    /// remaining crashes are reported later.
    fn report_crashes(&mut self) {
        let rollout = self.fleet.rollout.as_ref();
        if rollout.is_none_or(Rollout::has_ended) {
            self.unreported.clear();
        }
        let Some(leader) = self.fleet.leader.filter(|_| self.fleet.is_current) else {
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

/// Records the path of a program. The first known path is kept.
fn add_program(programs: &mut BTreeMap<String, PathBuf>, label: &str, path: &str) {
    programs
        .entry(label.to_string())
        .or_insert_with(|| PathBuf::from(path));
}
