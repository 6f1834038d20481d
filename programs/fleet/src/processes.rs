//! Processes of front ends. They outlive their supervisor: after a restart it finds them by their environment.

use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Read};
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use tansy_rollout::ProcessId;
use xxhash_rust::xxh3::Xxh3;

/// Environment variable of a process with its supervisor's folder and its front end's name.
const OWNER_VARIABLE: &str = "TANSY_KEPT";
/// Environment variable of a process with the label of its program.
const LABEL_VARIABLE: &str = "TANSY_LABEL";
/// Beginning of the line that a front end prints once it serves.
const READY_PREFIX: &str = "ready ";
/// Bytes of the output searched for that line.
const MAX_OUTPUT: u64 = 64 * 1024;

/// Position of the start time in `/proc/PID/stat`, counted from the field after the process' state.
const START_TIME_FIELD: usize = 18;

/// Why a process could not be started, or the supervisor's folder not be opened.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// A file could not be read, written or executed.
    #[error("{path}: {source}", path = path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Another supervisor uses the folder.
    #[error("{path}: another supervisor uses this folder", path = .0.display())]
    FolderInUse(PathBuf),
    /// The file is not the expected program.
    #[error("{path}: it is another program, {actual}, than {expected}", path = path.display())]
    WrongProgram {
        /// Path of the file.
        path: PathBuf,
        /// Label of the file.
        actual: String,
        /// Label of the expected program.
        expected: String,
    },
    /// No path is known for the program with this label.
    #[error("the program {0} is not known here")]
    UnknownProgram(String),
}

impl ProcessError {
    fn file(path: &Path, source: io::Error) -> ProcessError {
        ProcessError::File {
            path: path.to_path_buf(),
            source,
        }
    }
}

/// The label of a program: the digest of its file.
pub fn program_label(path: &Path) -> io::Result<String> {
    let mut file = File::open(path)?;
    let mut hash = Xxh3::new();
    let mut buffer = vec![0; 1 << 16];
    loop {
        match file.read(&mut buffer)? {
            0 => return Ok(format!("{:032x}", hash.digest128())),
            length => hash.update(&buffer[..length]),
        }
    }
}

/// A process that this supervisor watches.
#[derive(Debug)]
struct WatchedProcess {
    /// `None` if an earlier supervisor started the process.
    child: Option<Child>,
    /// Start time in clock ticks since boot. It tells the process from a later one with the same id.
    start_ticks: u64,
}

/// A running process that any supervisor on the machine started, as reported by the kernel.
#[derive(Debug)]
pub struct SupervisedProcess {
    /// Process id.
    pub pid: ProcessId,
    /// Folder of its supervisor.
    pub folder: PathBuf,
    /// Name of its front end.
    pub name: String,
    /// Label of its program.
    pub label: String,
    /// Name of the file that it executes.
    pub program: String,
}

/// Finds all running processes that any supervisor on the machine started, by their environment.
pub fn supervised_processes() -> Vec<SupervisedProcess> {
    let read = |entry: std::fs::DirEntry| {
        let pid = entry.file_name().to_str()?.parse().ok()?;
        let environment = std::fs::read(entry.path().join("environ")).ok()?;
        let value = |name: &str| {
            let mut variables = environment
                .split(|byte| *byte == 0)
                .map(String::from_utf8_lossy);
            variables.find_map(|variable| {
                variable
                    .strip_prefix(name)?
                    .strip_prefix('=')
                    .map(str::to_string)
            })
        };
        let owner = value(OWNER_VARIABLE)?;
        let (folder, name) = owner.rsplit_once(':')?;
        let program = std::fs::read_link(entry.path().join("exe")).ok()?;
        let program = program
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        Some(SupervisedProcess {
            pid,
            folder: PathBuf::from(folder),
            name: name.to_string(),
            label: value(LABEL_VARIABLE).unwrap_or_default(),
            program,
        })
    };
    std::fs::read_dir("/proc")
        .into_iter()
        .flatten()
        .flatten()
        .filter_map(read)
        .collect()
}

/// The processes of one supervisor. The folder identifies the supervisor across restarts.
#[derive(Debug)]
pub struct Processes {
    folder: PathBuf,
    by_pid: BTreeMap<ProcessId, WatchedProcess>,
    /// Holds a file lock that keeps a second supervisor from using the folder.
    _lock: File,
}

/// A running process that an earlier supervisor with the same folder started.
#[derive(Debug)]
pub struct AdoptableProcess {
    /// Process id.
    pub pid: ProcessId,
    /// Name of its front end.
    pub name: String,
    /// Label of its program.
    pub label: String,
}

impl Processes {
    /// Locks the folder and finds the processes that an earlier supervisor with this folder left running.
    pub fn open(folder: &Path) -> Result<(Processes, Vec<AdoptableProcess>), ProcessError> {
        let failed = |error| ProcessError::file(folder, error);
        std::fs::create_dir_all(folder.join("programs")).map_err(failed)?;
        let absolute = folder.canonicalize().map_err(failed)?;
        let lock = File::create(absolute.join("lock")).map_err(failed)?;
        let locked = rustix::fs::flock(&lock, rustix::fs::FlockOperation::NonBlockingLockExclusive);
        locked.map_err(|_| ProcessError::FolderInUse(absolute.clone()))?;
        let mut processes = Processes {
            folder: absolute,
            by_pid: BTreeMap::new(),
            _lock: lock,
        };
        let running = processes.find_running();
        Ok((processes, running))
    }

    /// The value of [`OWNER_VARIABLE`].
    fn owner(&self, name: &str) -> String {
        format!("{}:{name}", self.folder.display())
    }

    /// Finds and watches the processes whose environment names this folder.
    fn find_running(&mut self) -> Vec<AdoptableProcess> {
        let mut running = Vec::new();
        let own = supervised_processes()
            .into_iter()
            .filter(|process| process.folder == self.folder);
        for process in own {
            let Some(start_ticks) = start_ticks(process.pid) else {
                continue;
            };
            self.by_pid.insert(
                process.pid,
                WatchedProcess {
                    child: None,
                    start_ticks,
                },
            );
            running.push(AdoptableProcess {
                pid: process.pid,
                name: process.name,
                label: process.label,
            });
        }
        running
    }

    /// Copies a program into the supervisor's folder, named by its label, unless it is already there. The file has to have the expected
    /// label.
    pub fn store(&self, expected: &str, path: &Path) -> Result<PathBuf, ProcessError> {
        let stored = self.folder.join("programs").join(expected);
        let failed = |error| ProcessError::file(path, error);
        if !stored.exists() {
            let partial_copy = self
                .folder
                .join("programs")
                .join(format!("{expected}.part"));
            std::fs::copy(path, &partial_copy).map_err(failed)?;
            let actual = program_label(&partial_copy).map_err(failed)?;
            if actual != expected {
                return Err(ProcessError::WrongProgram {
                    path: path.to_path_buf(),
                    actual,
                    expected: expected.to_string(),
                });
            }
            std::fs::rename(&partial_copy, &stored).map_err(failed)?;
        }
        Ok(stored)
    }

    /// Starts a process. Its output and its log go to files named after the front end.
    pub fn start(
        &mut self,
        name: &str,
        label: &str,
        program: &Path,
        arguments: &[String],
    ) -> Result<ProcessId, ProcessError> {
        let failed = |error| ProcessError::file(program, error);
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")));
        let output = File::create(self.output_path(name)).map_err(failed)?;
        let mut command = Command::new(program);
        command
            .args(arguments)
            .env(OWNER_VARIABLE, self.owner(name))
            .env(LABEL_VARIABLE, label);
        command
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(log.map_err(failed)?);
        // A separate process group keeps the terminal's signals from the process.
        command.process_group(0);
        let child = command.spawn().map_err(failed)?;
        let pid = child.id();
        let process = WatchedProcess {
            child: Some(child),
            start_ticks: start_ticks(pid).unwrap_or(0),
        };
        self.by_pid.insert(pid, process);
        Ok(pid)
    }

    fn output_path(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.out"))
    }

    /// Whether the front end's process has printed its ready line.
    pub fn is_ready(&self, name: &str) -> bool {
        let mut text = String::new();
        let file = File::open(self.output_path(name));
        let read = file.and_then(|file| file.take(MAX_OUTPUT).read_to_string(&mut text));
        read.is_ok() && text.lines().any(|line| line.starts_with(READY_PREFIX))
    }

    /// Stops watching the processes that have exited and returns them, with how they exited.
    pub fn take_exited(&mut self) -> Vec<(ProcessId, String)> {
        let mut exited = Vec::new();
        for (pid, process) in &mut self.by_pid {
            let kind = match &mut process.child {
                Some(child) => match child.try_wait() {
                    Ok(Some(status)) => Some(match (status.code(), status.signal()) {
                        (Some(code), _) => format!("exit code {code}"),
                        (None, Some(signal)) => format!("signal {signal}"),
                        (None, None) => "ended".into(),
                    }),
                    Ok(None) => None,
                    Err(error) => Some(error.to_string()),
                },
                None => {
                    (start_ticks(*pid) != Some(process.start_ticks)).then(|| "ended".to_string())
                }
            };
            exited.extend(kind.map(|kind| (*pid, kind)));
        }
        for (pid, _) in &exited {
            self.by_pid.remove(pid);
        }
        exited
    }

    /// Sends a signal to a process, unless its id has been reused by another one.
    pub fn signal(&self, pid: ProcessId, signal: Signal) {
        let is_same = self.by_pid.get(&pid).is_some_and(|process| {
            process.child.is_some() || start_ticks(pid) == Some(process.start_ticks)
        });
        let raw = i32::try_from(pid).ok().and_then(Pid::from_raw);
        if let (Some(raw), true) = (raw, is_same) {
            // The process may have exited in the meantime.
            let _ = kill_process(raw, signal);
        }
    }
}

/// The start time of a process in clock ticks since boot; `None` if it does not exist or is a zombie.
fn start_ticks(pid: ProcessId) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The command name in parentheses may contain any character.
    let mut fields = text.rsplit_once(')')?.1.split_whitespace();
    let state = fields.next()?;
    if state == "Z" || state == "X" {
        return None;
    }
    fields.nth(START_TIME_FIELD)?.parse().ok()
}
