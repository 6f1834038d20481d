//! Starts the child processes of a run, and parses what they report.

use super::FleetShape;
use crate::hollow::protocol::{HollowCommand, HollowCounters, HollowEvent};
use crate::Error;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::mpsc::Sender;
use tansy_net_sockets::clock;
use tansy_test_support::address::ReservedAddress;

/// A report of a child process.
pub(super) enum ProcessEvent {
    /// A process of hollow front ends sent an event.
    Hollow { process: usize, event: HollowEvent },
    /// A process of hollow front ends closed its output.
    HollowExited { process: usize },
    /// A real front end logged a change of its state, or exited.
    Real {
        index: usize,
        incarnation: u64,
        at: i64,
        event: FrontEndEvent,
    },
}

/// A change of a real front end's state.
pub(super) enum FrontEndEvent {
    /// The front end has this version in force.
    InForce { version: u64 },
    /// The front end acquired or lost its lease.
    Lease { is_held: bool },
    /// The front end established or lost its session with the leader.
    Session { is_held: bool },
    /// The process closed its logs.
    Exited,
}

/// A version of the settings, and since when it is in force, in microseconds of the machine's clock.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct InForce {
    pub(super) version: u64,
    pub(super) since: i64,
}

/// A gateway in a process of its own.
pub(super) struct RealFrontEnd {
    address: ReservedAddress,
    pub(super) child: Option<Child>,
    /// Number of starts; reports of an earlier one are ignored.
    pub(super) incarnation: u64,
    pub(super) started_at: i64,
    pub(super) has_lease: bool,
    pub(super) has_session: bool,
    /// Whether it has held a lease and a session at the same time since its start.
    pub(super) has_joined: bool,
    pub(super) in_force: InForce,
}

impl RealFrontEnd {
    pub(super) fn new(address: ReservedAddress) -> RealFrontEnd {
        RealFrontEnd {
            address,
            child: None,
            incarnation: 0,
            started_at: 0,
            has_lease: false,
            has_session: false,
            has_joined: false,
            in_force: InForce::default(),
        }
    }

    /// Returns the address of its fleet transport.
    pub(super) fn address(&self) -> SocketAddr {
        self.address.address()
    }

    /// Starts the process. A voter keeps its replicated log in a file in `folder`.
    pub(super) fn start(
        &mut self,
        index: usize,
        name: &str,
        is_voter: bool,
        folder: &Path,
        events: &Sender<ProcessEvent>,
    ) -> Result<(), Error> {
        let mut command = gateway_command(name, self.address(), folder)?;
        if is_voter {
            let state = folder.join(format!("seat{index}.redb"));
            command.arg("--state").arg(state);
        }
        self.incarnation += 1;
        self.started_at = clock::now();
        (self.has_lease, self.has_session, self.has_joined) = (false, false, false);
        self.in_force = InForce::default();
        let mut child = command.spawn()?;
        let logs = child.stderr.take();
        let logs = logs.ok_or(Error::MissingPipe("the logs of a front end are not piped"))?;
        self.child = Some(child);
        let (events, incarnation) = (events.clone(), self.incarnation);
        std::thread::spawn(move || {
            let send = |event| {
                events.send(ProcessEvent::Real {
                    index,
                    incarnation,
                    at: clock::now(),
                    event,
                })
            };
            for line in BufReader::new(logs).lines().map_while(Result::ok) {
                if front_end_event(&line).is_some_and(|event| send(event).is_err()) {
                    return;
                }
            }
            let _ = send(FrontEndEvent::Exited);
        });
        Ok(())
    }

    /// Applies a report. Returns the milliseconds since the start if the front end has joined with this report.
    pub(super) fn apply(&mut self, event: &FrontEndEvent, at: i64) -> Option<f64> {
        match event {
            FrontEndEvent::InForce { version } => {
                let version = *version;
                self.in_force = InForce { version, since: at };
            }
            FrontEndEvent::Lease { is_held } => self.has_lease = *is_held,
            FrontEndEvent::Session { is_held } => self.has_session = *is_held,
            FrontEndEvent::Exited => {}
        }
        if self.has_joined || !self.has_lease || !self.has_session {
            return None;
        }
        self.has_joined = true;
        Some((at - self.started_at) as f64 / 1e3)
    }
}

/// Returns the command that runs this executable as a gateway whose logs report leases, sessions and versions.
fn gateway_command(name: &str, address: SocketAddr, folder: &Path) -> Result<Command, Error> {
    let mut command = Command::new(std::env::current_exe()?);
    command.arg("gateway");
    command.arg("--settings").arg(folder.join("scale.cue"));
    command.args(["--name", name]);
    command.args(["--peers", &address.to_string()]);
    command.args(["--listen", "127.0.0.1:0", "--http", "127.0.0.1:0"]);
    command.args(["--logs", "json", "--log", "error,tansy_net_fleet=info"]);
    command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    Ok(command)
}

/// Parses a line of a gateway's logs, if it reports a change of state.
fn front_end_event(line: &str) -> Option<FrontEndEvent> {
    let line: serde_json::Value = serde_json::from_str(line).ok()?;
    let fields = line.get("fields")?;
    match fields.get("message")?.as_str()? {
        "fleet revision changed" => Some(FrontEndEvent::InForce {
            version: fields.get("in_force")?.as_u64()?,
        }),
        "lease acquired" => Some(FrontEndEvent::Lease { is_held: true }),
        "session established" => Some(FrontEndEvent::Session { is_held: true }),
        message if message.starts_with("lease expired") => {
            Some(FrontEndEvent::Lease { is_held: false })
        }
        message if message.starts_with("session expired") => {
            Some(FrontEndEvent::Session { is_held: false })
        }
        _ => None,
    }
}

/// A process of hollow front ends.
pub(super) struct HollowProcess {
    pub(super) child: Child,
    commands: Option<ChildStdin>,
    /// The address at which it listens for messages, once it is ready.
    pub(super) address: Option<SocketAddr>,
    /// The lowest version that its joined front ends have in force.
    pub(super) in_force: InForce,
    /// The answer to the last request for counters.
    pub(super) counters: Option<HollowCounters>,
}

impl HollowProcess {
    /// Starts the process; its first command must be [`HollowCommand::Initialize`].
    pub(super) fn start(
        process: usize,
        events: &Sender<ProcessEvent>,
    ) -> Result<HollowProcess, Error> {
        let mut command = Command::new(std::env::current_exe()?);
        command
            .arg("hollow")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped());
        let mut child = command.spawn()?;
        let commands = child.stdin.take();
        let output = child.stdout.take().ok_or(Error::MissingPipe(
            "the output of a process of hollow front ends is not piped",
        ))?;
        let events = events.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let event = serde_json::from_str(&line)
                    .unwrap_or_else(|error| HollowEvent::Failed(format!("{error}: {line}")));
                if events
                    .send(ProcessEvent::Hollow { process, event })
                    .is_err()
                {
                    return;
                }
            }
            let _ = events.send(ProcessEvent::HollowExited { process });
        });
        Ok(HollowProcess {
            child,
            commands,
            address: None,
            in_force: InForce::default(),
            counters: None,
        })
    }

    /// Sends a command.
    pub(super) fn send(&mut self, command: &HollowCommand) -> Result<(), Error> {
        let input = self.commands.as_mut().ok_or(Error::NoSuchProcess)?;
        let line = serde_json::to_string(command)?;
        writeln!(input, "{line}").map_err(Error::CommandPipe)
    }
}

/// Returns the command that initializes the processes of a fleet's hollow front ends.
pub(super) fn initialize_command(shape: &FleetShape, network: u8, folder: &Path) -> HollowCommand {
    HollowCommand::Initialize {
        settings: folder.join("scale.cue"),
        network,
        first: shape.real as u32,
        per_process: shape.hollow_per_process() as u32,
    }
}
