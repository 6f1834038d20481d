//! The program as a process of its own, which the test stops and lets go on: what happens meanwhile is all in the kernel
//! before its loop runs again.
//!
//! `ServerProcess` of the tests' support does not fit here: with `--platform` the program prints no `ready` line, and tests signal
//! it before it serves.

use super::client::{call, Client};
use super::configuration::write_configuration;
use super::until;
use rustix::process::{getrlimit, kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use tansy_test_support::address::ReservedAddress;
use tansy_test_support::platform_configuration::PlatformConfiguration;

/// A front end's process; it ends with the value.
pub struct GatewayProcess {
    child: Child,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its configuration's file.
    pub path: PathBuf,
    /// Where the program chose its address itself.
    _reserved: Option<ReservedAddress>,
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        // Both fail only where it has ended before.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

/// An address at which nobody listens, for a program of the test.
pub fn reserve() -> ReservedAddress {
    ReservedAddress::on([127, 0, 0, 1]).unwrap()
}

impl GatewayProcess {
    /// Started, and it has answered that it is alive.
    pub fn start(configuration: &PlatformConfiguration) -> GatewayProcess {
        let reserved = reserve();
        let address = reserved.address();
        let path = write_configuration(configuration, address);
        let mut process = GatewayProcess::spawn(path, address);
        process._reserved = Some(reserved);
        process.wait_until_alive();
        process
    }

    /// Started.
    pub fn spawn(path: PathBuf, address: SocketAddr) -> GatewayProcess {
        GatewayProcess::spawn_with(path, address, |_| {})
    }

    /// Started, with more on its command line or in its environment.
    pub fn spawn_with(
        path: PathBuf,
        address: SocketAddr,
        more: impl FnOnce(&mut Command),
    ) -> GatewayProcess {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tansy-gateway"));
        command
            .arg("--platform")
            .env("EDGE_CONFIG", &path)
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        more(&mut command);
        let child = command.spawn().unwrap();
        GatewayProcess {
            child,
            address,
            path,
            _reserved: None,
        }
    }

    /// Started with these faults of its system calls (`tests/fault-shim`).
    pub fn spawn_with_faults(
        configuration: &PlatformConfiguration,
        address: SocketAddr,
        rules: &str,
    ) -> GatewayProcess {
        GatewayProcess::spawn_with_faults_and_options(configuration, address, rules, |_| {})
    }

    /// The same, with more on its command line or in its environment.
    pub fn spawn_with_faults_and_options(
        configuration: &PlatformConfiguration,
        address: SocketAddr,
        rules: &str,
        more: impl FnOnce(&mut Command),
    ) -> GatewayProcess {
        GatewayProcess::spawn_with(
            write_configuration(configuration, address),
            address,
            |command| {
                command
                    .env("LD_PRELOAD", tansy_soak::shim::library())
                    .env("FAULT_RULES", rules)
                    .env("FAULT_SEED", "7");
                more(command);
            },
        )
    }

    /// Waits until it has answered that it is alive.
    pub fn wait_until_alive(&self) {
        until("it listens", || {
            std::net::TcpStream::connect(self.address).is_ok()
        });
        let mut alive = Client::to(self.address);
        alive.send("GET /alive HTTP/1.1\r\nHost: x\r\n\r\n");
        assert_eq!(alive.answer_status(), Some(200));
    }

    /// Its id.
    pub fn pid(&self) -> Pid {
        Pid::from_child(&self.child)
    }
    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        kill_process(self.pid(), signal).unwrap();
    }

    /// Suspends it: its loop does not run until [`GatewayProcess::resume`].
    pub fn suspend(&self) {
        self.signal(Signal::STOP);
        until("it is suspended", || self.state() == "T");
    }
    /// Lets it go on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Its state in the kernel's table: `S` waits, `T` is suspended.
    pub fn state(&self) -> String {
        let stat =
            std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let after = stat.rsplit(')').next().unwrap_or("").trim_start();
        after.split(' ').next().unwrap_or("").to_string()
    }
    /// Whether it takes up signals by itself: these three, and not all, as a process does that is about to become it.
    pub fn handles_signals(&self) -> bool {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("SigBlk:"));
        let bits = [Signal::HUP, Signal::INT, Signal::TERM].map(|s| 1u64 << (s.as_raw() - 1));
        line.and_then(|l| u64::from_str_radix(l.trim(), 16).ok()) == Some(bits.iter().sum())
    }
    /// Processor time it has used, hundredths of a second.
    pub fn cpu_ticks(&self) -> u64 {
        cpu_ticks(self.child.id())
    }
    /// Descriptors it holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }
    /// It may hold so many descriptors from here on.
    pub fn limit_descriptors(&self, descriptors: u64) {
        let limit = Rlimit {
            current: Some(descriptors),
            ..getrlimit(Resource::Nofile)
        };
        prlimit(Some(self.pid()), Resource::Nofile, limit).unwrap();
    }

    /// Its exit code once it has ended; none: a signal ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.wait().code()
    }
    /// How it ends.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
    /// Kills it outright, and waits until it has ended.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.wait();
    }
    /// Sends it SIGTERM: its exit code; none: a signal ended it.
    pub fn terminate(&mut self) -> Option<i32> {
        self.signal(Signal::TERM);
        self.exit_code()
    }

    /// A client's connection that has been answered one call.
    pub fn warm_client(&self) -> Client {
        let mut client = Client::to(self.address);
        client.send(&call(1).text());
        assert_eq!(client.answer_status(), Some(200));
        client
    }
}

/// Processor time that a process has used, hundredths of a second.
pub fn cpu_ticks(pid: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let after_name = stat.rsplit(')').next().unwrap_or("");
    let user_and_system = after_name.split_whitespace().skip(11).take(2);
    user_and_system
        .filter_map(|ticks| ticks.parse::<u64>().ok())
        .sum()
}
