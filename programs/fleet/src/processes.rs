//! Processes of front ends: started, found again, asked to end. They outlive whoever started them.

use rustix::process::{kill_process, Pid as Raw, Signal};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Read};
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use tansy_rollout::ProcessId;
use xxhash_rust::xxh3::Xxh3;

/// The variable that says which supervisor's folder and which name a process belongs to.
const KEPT: &str = "TANSY_KEPT";
/// The variable that says of which program it is.
const LABEL: &str = "TANSY_LABEL";
/// What a front end's output begins with once it serves.
const READY: &str = "ready ";
/// Output that is looked at for it.
const OUTPUT: u64 = 64 * 1024;

/// What tells a program from another: the digest of its file.
pub fn label(path: &Path) -> io::Result<String> {
    let (mut file, mut hash, mut buffer) = (File::open(path)?, Xxh3::new(), vec![0; 1 << 16]);
    loop {
        match file.read(&mut buffer)? {
            0 => return Ok(format!("{:032x}", hash.digest128())),
            n => hash.update(&buffer[..n]),
        }
    }
}

/// A process that lives.
#[derive(Debug)]
struct Kept {
    /// None: another supervisor started it.
    child: Option<Child>,
    /// When it began, by the kernel: a number that is given again is another process.
    began: u64,
}

/// A process that some supervisor keeps, or kept, as the kernel has it.
#[derive(Debug)]
pub struct Running {
    /// Its number.
    pub pid: ProcessId,
    /// Its supervisor's folder.
    pub folder: PathBuf,
    /// Its front end's name.
    pub name: String,
    /// The program that it was told to be.
    pub label: String,
    /// The name of the file that it runs.
    pub program: String,
}

/// All of them, by what their surroundings say; those that have ended are none.
pub fn kept() -> Vec<Running> {
    let one = |entry: std::fs::DirEntry| {
        let pid = entry.file_name().to_str()?.parse().ok()?;
        let surroundings = std::fs::read(entry.path().join("environ")).ok()?;
        let value = |name: &str| {
            let mut each = surroundings.split(|b| *b == 0).map(String::from_utf8_lossy);
            each.find_map(|v| v.strip_prefix(name)?.strip_prefix('=').map(str::to_string))
        };
        let kept = value(KEPT)?;
        let (folder, name) = kept.rsplit_once(':')?;
        let program = std::fs::read_link(entry.path().join("exe")).ok()?;
        let program = program
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        let (folder, name) = (PathBuf::from(folder), name.to_string());
        Some(Running {
            pid,
            folder,
            name,
            label: value(LABEL).unwrap_or_default(),
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

/// The processes under one folder.
#[derive(Debug)]
pub struct Processes {
    folder: PathBuf,
    all: BTreeMap<ProcessId, Kept>,
    /// Held while this supervisor runs: a second one on the folder is turned away.
    _lock: File,
}

/// A process that was found running.
#[derive(Debug)]
pub struct Found {
    /// Its number.
    pub pid: ProcessId,
    /// Its name.
    pub name: String,
    /// Its program.
    pub label: String,
}

impl Processes {
    /// Takes the folder; processes that an earlier supervisor of it left are found.
    pub fn open(folder: &Path) -> Result<(Processes, Vec<Found>), String> {
        let told = |e: io::Error| format!("{}: {e}", folder.display());
        std::fs::create_dir_all(folder.join("programs")).map_err(told)?;
        let folder = folder.canonicalize().map_err(told)?;
        let lock = File::create(folder.join("lock")).map_err(told)?;
        let held = rustix::fs::flock(&lock, rustix::fs::FlockOperation::NonBlockingLockExclusive);
        held.map_err(|_| format!("{}: another supervisor keeps this folder", folder.display()))?;
        let mut processes = Processes {
            folder,
            all: BTreeMap::new(),
            _lock: lock,
        };
        let found = processes.find();
        Ok((processes, found))
    }

    fn kept(&self, name: &str) -> String {
        format!("{}:{name}", self.folder.display())
    }

    /// Processes whose surroundings say that they belong here.
    fn find(&mut self) -> Vec<Found> {
        let mut all = Vec::new();
        for k in kept().into_iter().filter(|k| k.folder == self.folder) {
            let Some(began) = began(k.pid) else { continue };
            self.all.insert(k.pid, Kept { child: None, began });
            all.push(Found {
                pid: k.pid,
                name: k.name,
                label: k.label,
            });
        }
        all
    }

    /// Keeps a copy of a program under its label, which its file has to have.
    pub fn store(&self, label_wanted: &str, path: &Path) -> Result<PathBuf, String> {
        let stored = self.folder.join("programs").join(label_wanted);
        let told = |e: io::Error| format!("{}: {e}", path.display());
        if !stored.exists() {
            let part = self
                .folder
                .join("programs")
                .join(format!("{label_wanted}.part"));
            std::fs::copy(path, &part).map_err(told)?;
            let is = label(&part).map_err(told)?;
            if is != label_wanted {
                return Err(format!(
                    "{}: it is another program, {is}, than {label_wanted}",
                    path.display()
                ));
            }
            std::fs::rename(&part, &stored).map_err(told)?;
        }
        Ok(stored)
    }

    /// Starts a process; its output and its log go to files of its name.
    pub fn start(
        &mut self,
        name: &str,
        label: &str,
        program: &Path,
        arguments: &[String],
    ) -> Result<ProcessId, String> {
        let told = |e: io::Error| format!("{}: {e}", program.display());
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")));
        let out = File::create(self.out(name)).map_err(told)?;
        let mut command = Command::new(program);
        command
            .args(arguments)
            .env(KEPT, self.kept(name))
            .env(LABEL, label);
        command
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(log.map_err(told)?);
        // Of a group of its own: what ends a terminal's programs does not end it.
        command.process_group(0);
        let child = command.spawn().map_err(told)?;
        let pid = child.id();
        let kept = Kept {
            child: Some(child),
            began: began(pid).unwrap_or(0),
        };
        self.all.insert(pid, kept);
        Ok(pid)
    }

    fn out(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.out"))
    }

    /// Whether the name's process has said that it serves.
    pub fn ready(&self, name: &str) -> bool {
        let mut text = String::new();
        let file = File::open(self.out(name));
        let read = file.and_then(|f| f.take(OUTPUT).read_to_string(&mut text));
        read.is_ok() && text.lines().any(|l| l.starts_with(READY))
    }

    /// Those that have ended, and how.
    pub fn ended(&mut self) -> Vec<(ProcessId, String)> {
        let mut over = Vec::new();
        for (pid, kept) in &mut self.all {
            let how = match &mut kept.child {
                Some(child) => match child.try_wait() {
                    Ok(Some(status)) => Some(match (status.code(), status.signal()) {
                        (Some(code), _) => format!("exit code {code}"),
                        (None, Some(signal)) => format!("signal {signal}"),
                        (None, None) => "ended".into(),
                    }),
                    Ok(None) => None,
                    Err(e) => Some(e.to_string()),
                },
                None => (began(*pid) != Some(kept.began)).then(|| "ended".to_string()),
            };
            over.extend(how.map(|how| (*pid, how)));
        }
        over.iter().for_each(|(pid, _)| {
            self.all.remove(pid);
        });
        over
    }

    /// Sends a signal to one that is known to be the same process still.
    pub fn signal(&self, pid: ProcessId, signal: Signal) {
        let same = self
            .all
            .get(&pid)
            .is_some_and(|k| k.child.is_some() || began(pid) == Some(k.began));
        let raw = i32::try_from(pid).ok().and_then(Raw::from_raw);
        if let (Some(raw), true) = (raw, same) {
            // It may have ended this moment.
            let _ = kill_process(raw, signal);
        }
    }
}

/// When the process of this number began, in the kernel's ticks; none: there is none, or it has ended and waits to be read.
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
