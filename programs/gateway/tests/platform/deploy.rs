//! Tests that the command `run` of the deploy file starts a single process with one listener: no child processes, no further
//! sockets, descriptors or files, and no static linkage.

use crate::harness::process::reserve;
use crate::harness::*;
use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use tansy_test_support::address::ReservedAddress;

/// The value of a key in the deploy file, without quotes.
fn deploy_value(key: &str) -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/balancer.toml");
    let text = fs::read_to_string(&file).expect("the deploy file");
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix(key)?.trim_start().strip_prefix('='));
    line.expect("the key").trim().trim_matches('"').to_string()
}

/// A temporary directory with the program at the path that the deploy file names. It is removed when the value is dropped.
struct DeployRoot {
    path: PathBuf,
}

impl DeployRoot {
    fn new(name: &str) -> DeployRoot {
        let root = std::env::temp_dir().join(format!("tansy-deploy-{}-{name}", std::process::id()));
        for folder in ["target/release", "tmp", "home"] {
            fs::create_dir_all(root.join(folder)).expect("a directory");
        }
        let program = root.join("target/release/tansy-gateway");
        std::os::unix::fs::symlink(env!("CARGO_BIN_EXE_tansy-gateway"), program)
            .expect("the program");
        DeployRoot { path: root }
    }

    /// Starts a shell in this directory that runs one line with a minimal environment.
    fn shell(&self, line: &str, config: &Path) -> RunningShell {
        let child = Command::new("/bin/sh")
            .args(["-c", line])
            .current_dir(&self.path)
            .env_clear()
            .env("EDGE_CONFIG", config)
            .env("TMPDIR", self.path.join("tmp"))
            .env("HOME", self.path.join("home"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        RunningShell {
            child: child.expect("a shell"),
        }
    }

    fn files(&self) -> BTreeSet<PathBuf> {
        let mut unread = vec![self.path.clone()];
        let mut all = BTreeSet::new();
        while let Some(folder) = unread.pop() {
            for entry in fs::read_dir(folder).expect("a directory").flatten() {
                if entry.file_type().is_ok_and(|kind| kind.is_dir()) {
                    unread.push(entry.path());
                }
                all.insert(entry.path());
            }
        }
        all
    }
}

impl Drop for DeployRoot {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}

/// A shell that is killed with its child processes when the value is dropped.
struct RunningShell {
    child: Child,
}

impl Drop for RunningShell {
    fn drop(&mut self) {
        for pid in children(self.child.id())
            .into_iter()
            .filter_map(|p| Pid::from_raw(p as i32))
        {
            let _ = kill_process(pid, Signal::KILL);
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The state and the parent's id from a `stat` file of a process.
fn stat(path: &Path) -> Option<(String, u32)> {
    let text = fs::read_to_string(path).ok()?;
    let mut words = text.rsplit(')').next()?.split_whitespace();
    Some((words.next()?.to_string(), words.next()?.parse().ok()?))
}

fn children(pid: u32) -> Vec<u32> {
    let all = fs::read_dir("/proc").expect("the process table").flatten();
    let numbers = all.filter_map(|e| e.file_name().to_str()?.parse::<u32>().ok());
    numbers
        .filter(|n| stat(Path::new(&format!("/proc/{n}/stat"))).is_some_and(|s| s.1 == pid))
        .collect()
}

/// Violations of the platform's deploy terms by a process, which should listen on the given port only.
fn term_violations(pid: u32, port: u16) -> Vec<String> {
    let proc = PathBuf::from(format!("/proc/{pid}"));
    let mut found = Vec::new();
    let exe = fs::read_link(proc.join("exe")).unwrap_or_default();
    if exe.file_name().is_none_or(|n| n != "tansy-gateway") {
        found.push(format!("the process is {}", exe.display()));
    }
    let maps = fs::read_to_string(proc.join("maps")).unwrap_or_default();
    if !maps.contains("/libc.so") {
        found.push("no C library is mapped: it is not linked dynamically".into());
    }
    found.extend(
        children(pid)
            .into_iter()
            .map(|child| format!("child {child}")),
    );
    let descriptors = Descriptors::of(&proc);
    found.extend(descriptors.unexpected);
    found.extend(unexpected_sockets(&proc, &descriptors.socket_inodes, port));
    found
}

/// The open descriptors of a process.
struct Descriptors {
    /// Descriptors that are neither sockets nor used by an event loop.
    unexpected: Vec<String>,
    socket_inodes: BTreeSet<String>,
}

impl Descriptors {
    /// Descriptors that an event loop uses.
    const EVENT_LOOP: [&'static str; 4] = [
        "anon_inode:[eventpoll]",
        "anon_inode:[eventfd]",
        "anon_inode:[signalfd]",
        "anon_inode:[timerfd]",
    ];

    /// Reads the descriptors from the process's directory in `/proc`.
    fn of(proc: &Path) -> Descriptors {
        // Descriptors that the test process has inherited too are not opened by the program.
        let inherited = fs::read_dir("/proc/self/fd").expect("the test's descriptors");
        let inherited: BTreeSet<PathBuf> = inherited
            .flatten()
            .filter_map(|fd| fs::read_link(fd.path()).ok())
            .collect();
        let mut descriptors = Descriptors {
            unexpected: Vec::new(),
            socket_inodes: BTreeSet::new(),
        };
        let own = fs::read_dir(proc.join("fd")).expect("the process's descriptors");
        for fd in own.flatten() {
            let target = fs::read_link(fd.path()).unwrap_or_default();
            if !inherited.contains(&target) {
                descriptors.add(&target.display().to_string());
            }
        }
        descriptors
    }

    fn add(&mut self, target: &str) {
        let inode = target
            .strip_prefix("socket:[")
            .and_then(|rest| rest.strip_suffix(']'));
        if let Some(inode) = inode {
            self.socket_inodes.insert(inode.to_string());
        } else if !Self::EVENT_LOOP.contains(&target) && target != "/dev/null" && !target.is_empty()
        {
            self.unexpected.push(format!("descriptor of {target}"));
        }
    }
}

/// The process's sockets other than the listener on the given port and TCP connections.
fn unexpected_sockets(proc: &Path, inodes: &BTreeSet<String>, port: u16) -> Vec<String> {
    let mut found = Vec::new();
    // The columns of the kernel's tables differ: address, state and inode, or for Unix sockets only the inode.
    for table in ["tcp", "tcp6", "udp", "udp6", "raw", "packet", "unix"] {
        let text = fs::read_to_string(proc.join("net").join(table)).unwrap_or_default();
        for line in text.lines().skip(1) {
            let words: Vec<&str> = line.split_whitespace().collect();
            let inode = match table {
                "unix" => words.get(6),
                "packet" => words.get(8),
                _ => words.get(9),
            };
            let own = inode.is_some_and(|i| inodes.contains(*i));
            let listens = words.get(3) == Some(&"0A");
            let address = words.get(1).copied().unwrap_or("");
            let expected = address == format!("0100007F:{port:04X}");
            if own && !(table == "tcp" && (!listens || expected)) {
                found.push(format!("a {table} socket at {address}"));
            }
        }
    }
    found
}

fn all_threads_sleep(pid: u32) -> bool {
    let tasks = fs::read_dir(format!("/proc/{pid}/task"))
        .expect("the threads of the process")
        .flatten();
    tasks
        .into_iter()
        .all(|t| stat(&t.path().join("stat")).is_none_or(|s| s.0 == "S"))
}

#[test]
fn the_run_command_starts_one_process_with_one_listener() {
    let worker = Worker::plain();
    let root = DeployRoot::new("run");
    let reserved = reserve();
    let port = reserved.address();
    let config = write_configuration(&configuration_for(&[&worker]), port);
    let before = root.files();
    let running = root.shell(&deploy_value("run"), &config);
    until("the program listens", || {
        std::net::TcpStream::connect(port).is_ok()
    });
    let mut client = Client::to(port);
    for id in 1..=20 {
        client.send(&call(id).text());
        assert_eq!(client.answer_status(), Some(200));
    }
    let pid = Pid::from_child(&running.child);
    kill_process(pid, Signal::HUP).expect("the program runs");
    client.send(&call(21).text());
    assert_eq!(client.answer_status(), Some(200), "after SIGHUP");
    // The shell has replaced itself by the program, which has the shell's process id.
    assert_eq!(
        term_violations(running.child.id(), port.port()),
        Vec::<String>::new()
    );
    until("all threads sleep", || {
        all_threads_sleep(running.child.id())
    });
    assert_eq!(root.files(), before, "the program created or removed files");
    fs::remove_file(config).expect("the configuration");
}

#[test]
fn violations_of_the_deploy_terms_are_detected() {
    let root = DeployRoot::new("planted");
    let none = root.path.join("none");
    let reserved = [reserve(), reserve()];
    let [grpc, http] = reserved.each_ref().map(ReservedAddress::address);
    // The program has two listeners and an open output file, and is a child of a shell that keeps running.
    let line = format!(
        "target/release/tansy-gateway --embedded --listen {grpc} --http {http} >tmp/out 2>&1; true"
    );
    let shell = root.shell(&line, &none);
    until("the program listens", || {
        std::net::TcpStream::connect(http).is_ok()
    });
    let of_shell = term_violations(shell.child.id(), grpc.port());
    assert!(
        of_shell.iter().any(|f| f.starts_with("child")),
        "{of_shell:?}"
    );
    assert!(
        of_shell.iter().any(|f| f.starts_with("the process is")),
        "{of_shell:?}"
    );
    let program = children(shell.child.id())[0];
    let of_program = term_violations(program, grpc.port());
    assert!(
        of_program
            .iter()
            .any(|f| f.contains(&format!(":{:04X}", http.port()))),
        "{of_program:?}"
    );
    assert!(
        of_program.iter().any(|f| f.contains("tmp/out")),
        "{of_program:?}"
    );
    assert!(root.files().iter().any(|f| f.ends_with("tmp/out")));
}
