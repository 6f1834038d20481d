//! Processes of front ends: started, found again after a restart of the supervisor, asked to end. They outlive the supervisor.

use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Read};
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use tansy_rollout::ProcessId;
use xxhash_rust::xxh3::Xxh3;

/// The environment variable of a process with its supervisor's folder and its front end's name.
const OWNER_VARIABLE: &str = "TANSY_KEPT";
/// The environment variable with the label of its program.
const LABEL_VARIABLE: &str = "TANSY_LABEL";
/// What a front end's output begins with once it serves.
const READY_PREFIX: &str = "ready ";
/// Bytes of the output that are searched for it.
const MAX_OUTPUT: u64 = 64 * 1024;

/// Why a process could not be started, or the folder not be taken.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// A file can't be read, written or run.
    #[error("{path}: {source}", path = path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// Another supervisor runs on the folder.
    #[error("{path}: another supervisor keeps this folder", path = .0.display())]
    FolderInUse(PathBuf),
    /// The file is not the program that it is to be.
    #[error("{path}: it is another program, {actual}, than {expected}", path = path.display())]
    WrongProgram {
        /// The file.
        path: PathBuf,
        /// Its label.
        actual: String,
        /// The label that it is to have.
        expected: String,
    },
    /// No file is known for the program of this label.
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

/// A process under this supervisor.
#[derive(Debug)]
struct OwnProcess {
    /// `None` if an earlier supervisor started it.
    child: Option<Child>,
    /// When it began, in the kernel's ticks: a process with the same number and another start is another one.
    began: u64,
}

/// A process that some supervisor started, as the kernel reports it.
#[derive(Debug)]
pub struct SupervisedProcess {
    /// The process.
    pub pid: ProcessId,
    /// Its supervisor's folder.
    pub folder: PathBuf,
    /// Its front end's name.
    pub name: String,
    /// The label of its program.
    pub label: String,
    /// The name of the file that it runs.
    pub program: String,
}

/// All processes that any supervisor started, by their environment.
pub fn supervised_processes() -> Vec<SupervisedProcess> {
    let one = |entry: std::fs::DirEntry| {
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
        .filter_map(one)
        .collect()
}

/// The processes of one supervisor, which is known by its folder.
#[derive(Debug)]
pub struct Processes {
    folder: PathBuf,
    all: BTreeMap<ProcessId, OwnProcess>,
    /// Locked while this supervisor runs, so that there is no second one on the folder.
    _lock: File,
}

/// A process of an earlier supervisor that still runs.
#[derive(Debug)]
pub struct RunningProcess {
    /// The process.
    pub pid: ProcessId,
    /// Its front end's name.
    pub name: String,
    /// The label of its program.
    pub label: String,
}

impl Processes {
    /// Locks the folder and finds the processes that an earlier supervisor of it left.
    pub fn open(folder: &Path) -> Result<(Processes, Vec<RunningProcess>), ProcessError> {
        let failed = |error| ProcessError::file(folder, error);
        std::fs::create_dir_all(folder.join("programs")).map_err(failed)?;
        let absolute = folder.canonicalize().map_err(failed)?;
        let lock = File::create(absolute.join("lock")).map_err(failed)?;
        let locked = rustix::fs::flock(&lock, rustix::fs::FlockOperation::NonBlockingLockExclusive);
        locked.map_err(|_| ProcessError::FolderInUse(absolute.clone()))?;
        let mut processes = Processes {
            folder: absolute,
            all: BTreeMap::new(),
            _lock: lock,
        };
        let running = processes.find();
        Ok((processes, running))
    }

    fn owner(&self, name: &str) -> String {
        format!("{}:{name}", self.folder.display())
    }

    /// Processes whose environment names this folder.
    fn find(&mut self) -> Vec<RunningProcess> {
        let mut all = Vec::new();
        let here = supervised_processes()
            .into_iter()
            .filter(|process| process.folder == self.folder);
        for process in here {
            let Some(began) = began(process.pid) else {
                continue;
            };
            self.all
                .insert(process.pid, OwnProcess { child: None, began });
            all.push(RunningProcess {
                pid: process.pid,
                name: process.name,
                label: process.label,
            });
        }
        all
    }

    /// Copies a program to the folder under its label, which has to be that of the file.
    pub fn store(&self, expected: &str, path: &Path) -> Result<PathBuf, ProcessError> {
        let stored = self.folder.join("programs").join(expected);
        let failed = |error| ProcessError::file(path, error);
        if !stored.exists() {
            let part = self
                .folder
                .join("programs")
                .join(format!("{expected}.part"));
            std::fs::copy(path, &part).map_err(failed)?;
            let actual = program_label(&part).map_err(failed)?;
            if actual != expected {
                return Err(ProcessError::WrongProgram {
                    path: path.to_path_buf(),
                    actual,
                    expected: expected.to_string(),
                });
            }
            std::fs::rename(&part, &stored).map_err(failed)?;
        }
        Ok(stored)
    }

    /// Starts a process; its output and its log go to files of its front end's name.
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
        // In a process group of its own, signals of a terminal don't reach it.
        command.process_group(0);
        let child = command.spawn().map_err(failed)?;
        let pid = child.id();
        let process = OwnProcess {
            child: Some(child),
            began: began(pid).unwrap_or(0),
        };
        self.all.insert(pid, process);
        Ok(pid)
    }

    fn output_path(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.out"))
    }

    /// Whether the front end's process has printed that it serves.
    pub fn ready(&self, name: &str) -> bool {
        let mut text = String::new();
        let file = File::open(self.output_path(name));
        let read = file.and_then(|file| file.take(MAX_OUTPUT).read_to_string(&mut text));
        read.is_ok() && text.lines().any(|line| line.starts_with(READY_PREFIX))
    }

    /// Processes that have ended since the last call, and how.
    pub fn ended(&mut self) -> Vec<(ProcessId, String)> {
        let mut ended = Vec::new();
        for (pid, process) in &mut self.all {
            let how = match &mut process.child {
                Some(child) => match child.try_wait() {
                    Ok(Some(status)) => Some(match (status.code(), status.signal()) {
                        (Some(code), _) => format!("exit code {code}"),
                        (None, Some(signal)) => format!("signal {signal}"),
                        (None, None) => "ended".into(),
                    }),
                    Ok(None) => None,
                    Err(error) => Some(error.to_string()),
                },
                None => (began(*pid) != Some(process.began)).then(|| "ended".to_string()),
            };
            ended.extend(how.map(|how| (*pid, how)));
        }
        for (pid, _) in &ended {
            self.all.remove(pid);
        }
        ended
    }

    /// Sends a signal to a process, unless its number is by now that of another.
    pub fn signal(&self, pid: ProcessId, signal: Signal) {
        let same = self
            .all
            .get(&pid)
            .is_some_and(|process| process.child.is_some() || began(pid) == Some(process.began));
        let raw = i32::try_from(pid).ok().and_then(Pid::from_raw);
        if let (Some(raw), true) = (raw, same) {
            // It may have just ended.
            let _ = kill_process(raw, signal);
        }
    }
}

/// When a process began, in the kernel's ticks; `None` if there is none, or only a zombie.
fn began(pid: ProcessId) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name in parentheses may hold anything.
    let mut rest = text.rsplit_once(')')?.1.split_whitespace();
    let state = rest.next()?;
    if state == "Z" || state == "X" {
        return None;
    }
    rest.nth(18)?.parse().ok()
}
