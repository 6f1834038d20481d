//! Child processes that print a line `ready NAME=ADDRESS ...` once they serve.

use rustix::process::{kill_process, Pid, Signal};
use std::io::{self, BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};

/// Why a child process could not be started, read or controlled.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The program could not be started, or its output could not be read.
    #[error("{program}: {source}")]
    Start {
        /// The program and its arguments.
        program: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The first line of the program's output is not its `ready` line.
    #[error("{program}: the first line is {line:?}, expected `ready NAME=ADDRESS ...`")]
    NotReady {
        /// The program and its arguments.
        program: String,
        /// The first line; empty if the program ended without output.
        line: String,
    },
    /// The `ready` line has no valid address of this name.
    #[error("no address {name}= in {line:?}")]
    NoAddress {
        /// The name of the address.
        name: String,
        /// The `ready` line.
        line: String,
    },
    /// The process could not be signalled or waited for.
    #[error("process {pid}: {source}")]
    Control {
        /// The process id.
        pid: u32,
        /// The error of the operating system.
        source: io::Error,
    },
}

/// A child process that has printed its `ready` line. It is killed when the value is dropped.
#[derive(Debug)]
pub struct ServerProcess {
    child: Child,
    /// `None` once the test has closed it.
    output: Option<BufReader<ChildStdout>>,
    ready_line: String,
}

impl ServerProcess {
    /// Starts a program and waits for its `ready` line. Pipes the standard output; all else is as `command` has it.
    pub fn start(command: &mut Command) -> Result<ServerProcess, ProcessError> {
        let program = format!("{command:?}");
        let start_error = |source| ProcessError::Start {
            program: program.clone(),
            source,
        };
        let mut child = command
            .stdout(Stdio::piped())
            .spawn()
            .map_err(start_error)?;
        let stdout = child
            .stdout
            .take()
            .ok_or_else(|| start_error(io::Error::other("the standard output is not piped")))?;
        let mut process = ServerProcess {
            child,
            output: None,
            ready_line: String::new(),
        };
        let mut output = BufReader::new(stdout);
        output
            .read_line(&mut process.ready_line)
            .map_err(start_error)?;
        process.output = Some(output);
        if process.ready_line.starts_with("ready ") {
            Ok(process)
        } else {
            let line = process.ready_line.clone();
            Err(ProcessError::NotReady { program, line })
        }
    }

    /// The `ready` line, with its line break.
    pub fn ready_line(&self) -> &str {
        &self.ready_line
    }

    /// The address of this name on the `ready` line.
    pub fn address(&self, name: &str) -> Result<SocketAddr, ProcessError> {
        self.ready_line
            .split_whitespace()
            .find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
            .and_then(|address| address.parse().ok())
            .ok_or_else(|| ProcessError::NoAddress {
                name: name.into(),
                line: self.ready_line.clone(),
            })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        kill_process(Pid::from_child(&self.child), signal)
            .map_err(|error| self.control_error(error.into()))
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Kills the process, and waits until it has ended.
    pub fn kill(&mut self) {
        // Both fail only if the process has been waited for before.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Closes the read end of the output pipe: the process's next writes to it fail.
    pub fn close_output(&mut self) {
        self.output = None;
    }

    /// Waits until the process ends by itself. Returns the exit status, and the output after the `ready` line; the output is empty if
    /// it has been closed.
    pub fn wait(&mut self) -> Result<(ExitStatus, String), ProcessError> {
        let mut rest = String::new();
        if let Some(output) = &mut self.output {
            let read = output.read_to_string(&mut rest);
            read.map_err(|error| self.control_error(error))?;
        }
        let status = self.child.wait();
        let status = status.map_err(|error| self.control_error(error))?;
        Ok((status, rest))
    }

    /// Sends SIGTERM, and waits as [`ServerProcess::wait`] does.
    pub fn stop(&mut self) -> Result<(ExitStatus, String), ProcessError> {
        self.signal(Signal::TERM)?;
        self.wait()
    }

    fn control_error(&self, source: io::Error) -> ProcessError {
        let pid = self.child.id();
        ProcessError::Control { pid, source }
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
