//! Programs that print a line `ready NAME=ADDRESS ...` once they serve.

use rustix::process::{kill_process, Pid, Signal};
use std::io::{self, BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};

/// Why a program can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// It could not be started, or its output not be read.
    #[error("{program}: {source}")]
    Start {
        /// The program and its arguments.
        program: String,
        /// The system's error.
        source: io::Error,
    },
    /// Its first line is not the one that says where it serves.
    #[error("{program}: its first line is {line:?}; want `ready NAME=ADDRESS ...`")]
    NotReady {
        /// The program and its arguments.
        program: String,
        /// The line; empty if it ended without any.
        line: String,
    },
    /// The line names no such address.
    #[error("no address {name}= in {line:?}")]
    NoAddress {
        /// The name.
        name: String,
        /// The line.
        line: String,
    },
    /// It could not be signalled or waited for.
    #[error("the process {pid}: {source}")]
    Control {
        /// Its id.
        pid: u32,
        /// The system's error.
        source: io::Error,
    },
}

/// A process that has said where it serves. It is killed when the value is dropped.
#[derive(Debug)]
pub struct ServerProcess {
    child: Child,
    /// None once the test has closed it.
    output: Option<BufReader<ChildStdout>>,
    ready_line: String,
}

impl ServerProcess {
    /// Starts a program, and waits for its `ready` line. Its standard output is piped, the rest is as the command says.
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
            .ok_or_else(|| start_error(io::Error::other("its output is not piped")))?;
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

    /// The line in which it said where it serves.
    pub fn ready_line(&self) -> &str {
        &self.ready_line
    }

    /// The address of this name on its `ready` line.
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

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        kill_process(Pid::from_child(&self.child), signal)
            .map_err(|error| self.control_error(error.into()))
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Kills it, and waits until it has ended.
    pub fn kill(&mut self) {
        // Both fail only where it has ended before.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Closes the reader of its output: what it prints from now on has nowhere to go.
    pub fn close_output(&mut self) {
        self.output = None;
    }

    /// Waits until it ends by itself: how it ended, and what it printed after its `ready` line, if its output is not closed.
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

    /// Asks it to end with SIGTERM, and waits as [`ServerProcess::wait`] does.
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
