//! The program as a process of its own, which the test stops and lets go on: what happens meanwhile is all in the kernel
//! before its loop runs again.

use crate::stage::{until, Client, Site};
use rustix::process::{getrlimit, kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use tansy_test_support::address::ReservedAddress;

/// A front end's process; it ends with the value.
pub struct Program {
    child: Child,
    pub address: SocketAddr,
    pub path: PathBuf,
    /// Where the program chose its address itself.
    _reserved: Option<ReservedAddress>,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

/// An address at which nobody listens, for a program of the test.
pub fn reserve() -> ReservedAddress {
    ReservedAddress::on([127, 0, 0, 1]).unwrap()
}

impl Program {
    /// Started, and it has answered that it is alive.
    pub fn start(site: &Site) -> Program {
        let reserved = reserve();
        let address = reserved.address();
        let mut program = Program::spawn(site.file(&address.to_string()), address);
        program._reserved = Some(reserved);
        program.serves();
        program
    }

    /// Started.
    pub fn spawn(path: PathBuf, address: SocketAddr) -> Program {
        Program::spawn_with(path, address, |_| {})
    }

    /// Started, with more on its command line or in its environment.
    pub fn spawn_with(
        path: PathBuf,
        address: SocketAddr,
        more: impl FnOnce(&mut Command),
    ) -> Program {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tansy-gateway"));
        command
            .arg("--platform")
            .env("EDGE_CONFIG", &path)
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        more(&mut command);
        let child = command.spawn().unwrap();
        Program {
            child,
            address,
            path,
            _reserved: None,
        }
    }

    /// Started with these faults of its system calls (`tests/fault-shim`).
    pub fn spawn_under(site: &Site, address: SocketAddr, rules: &str) -> Program {
        Program::spawn_under_with(site, address, rules, |_| {})
    }

    /// The same, with more on its command line or in its environment.
    pub fn spawn_under_with(
        site: &Site,
        address: SocketAddr,
        rules: &str,
        more: impl FnOnce(&mut Command),
    ) -> Program {
        Program::spawn_with(site.file(&address.to_string()), address, |command| {
            command
                .env("LD_PRELOAD", tansy_soak::shim::library())
                .env("FAULT_RULES", rules)
                .env("FAULT_SEED", "7");
            more(command);
        })
    }

    /// Waits until it has answered that it is alive.
    pub fn serves(&self) {
        until("it listens", || {
            std::net::TcpStream::connect(self.address).is_ok()
        });
        let mut alive = Client::to(self.address);
        alive.send("GET /alive HTTP/1.1\r\nHost: x\r\n\r\n");
        assert_eq!(alive.answer().map(|a| a.0), Some(200));
    }

    pub fn pid(&self) -> Pid {
        Pid::from_child(&self.child)
    }
    pub fn signal(&self, signal: Signal) {
        kill_process(self.pid(), signal).unwrap();
    }

    /// Its loop does not run from here on ...
    pub fn halt(&self) {
        self.signal(Signal::STOP);
        until("it is halted", || self.state() == "T");
    }
    /// ... to here.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Its state in the kernel's table: `S` waits, `T` is halted.
    pub fn state(&self) -> String {
        let stat =
            std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let after = stat.rsplit(')').next().unwrap_or("").trim_start();
        after.split(' ').next().unwrap_or("").to_string()
    }
    /// Whether it takes up signals by itself: these three, and not all, as a process does that is about to become it.
    pub fn takes_signals(&self) -> bool {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("SigBlk:"));
        let bits = [Signal::HUP, Signal::INT, Signal::TERM].map(|s| 1u64 << (s.as_raw() - 1));
        line.and_then(|l| u64::from_str_radix(l.trim(), 16).ok()) == Some(bits.iter().sum())
    }
    /// Processor time it has used, hundredths of a second.
    pub fn ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let after = stat.rsplit(')').next().unwrap_or("");
        after
            .split_whitespace()
            .skip(11)
            .take(2)
            .filter_map(|t| t.parse::<u64>().ok())
            .sum()
    }
    /// Descriptors it holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }
    /// It may hold so many descriptors from here on.
    pub fn limit(&self, descriptors: u64) {
        let limit = Rlimit {
            current: Some(descriptors),
            ..getrlimit(Resource::Nofile)
        };
        prlimit(Some(self.pid()), Resource::Nofile, limit).unwrap();
    }

    /// Its exit code; none: a signal ended it.
    pub fn ends(&mut self) -> Option<i32> {
        self.ended().code()
    }
    /// How it ends.
    pub fn ended(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}
