//! The program as a separate process, which tests can suspend and resume. Everything that happens while it is suspended is in
//! the kernel before its event loop runs again.
//!
//! `ServerProcess` of `tansy-test-support` is not used, because with `--platform` the program prints no `ready` line, and because
//! tests send signals before it serves.

use super::client::{call, Client};
use super::configuration::write_configuration;
use super::until;
use rustix::process::{getrlimit, kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use tansy_test_support::address::ReservedAddress;
use tansy_test_support::platform_configuration::PlatformConfiguration;

/// A front end process. It is killed when the value is dropped.
pub struct GatewayProcess {
    child: Child,
    /// The front end's address.
    pub address: SocketAddr,
    /// The configuration file.
    pub path: PathBuf,
    /// Keeps the address reserved if it was chosen by [`GatewayProcess::start`].
    _reserved: Option<ReservedAddress>,
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        // Both fail only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Reserves an unused address for a program that the test starts.
pub fn reserve() -> ReservedAddress {
    ReservedAddress::on([127, 0, 0, 1]).unwrap()
}

impl GatewayProcess {
    /// Starts a front end and waits until it answers a liveness check.
    pub fn start(configuration: &PlatformConfiguration) -> GatewayProcess {
        let reserved = reserve();
        let address = reserved.address();
        let path = write_configuration(configuration, address);
        let mut process = GatewayProcess::spawn(path, address);
        process._reserved = Some(reserved);
        process.wait_until_alive();
        process
    }

    /// Starts a front end without waiting for it.
    pub fn spawn(path: PathBuf, address: SocketAddr) -> GatewayProcess {
        GatewayProcess::spawn_with(path, address, |_| {})
    }

    /// Starts a front end after `more` has added arguments or environment variables.
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

    /// Starts a front end whose system calls fail according to `rules` (`tests/fault-shim`).
    pub fn spawn_with_faults(
        configuration: &PlatformConfiguration,
        address: SocketAddr,
        rules: &str,
    ) -> GatewayProcess {
        GatewayProcess::spawn_with_faults_and_options(configuration, address, rules, |_| {})
    }

    /// Starts a front end with faults, after `more` has added arguments or environment variables.
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

    /// Waits until the front end answers a liveness check.
    pub fn wait_until_alive(&self) {
        until("the front end listens", || {
            std::net::TcpStream::connect(self.address).is_ok()
        });
        let mut alive = Client::to(self.address);
        alive.send("GET /alive HTTP/1.1\r\nHost: x\r\n\r\n");
        assert_eq!(alive.answer_status(), Some(200));
    }

    /// The process id.
    pub fn pid(&self) -> Pid {
        Pid::from_child(&self.child)
    }
    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        kill_process(self.pid(), signal).unwrap();
    }

    /// Suspends the process until [`GatewayProcess::resume`].
    pub fn suspend(&self) {
        self.signal(Signal::STOP);
        until("the process is suspended", || self.state() == "T");
    }
    /// Resumes the process.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// The process state in `/proc`: `S` for sleeping, `T` for suspended.
    pub fn state(&self) -> String {
        let stat =
            std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let after = stat.rsplit(')').next().unwrap_or("").trim_start();
        after.split(' ').next().unwrap_or("").to_string()
    }
    /// Whether the process blocks exactly the three signals that the program handles. Before it executes the program, a new
    /// process blocks all signals.
    pub fn handles_signals(&self) -> bool {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("SigBlk:"));
        let bits = [Signal::HUP, Signal::INT, Signal::TERM].map(|s| 1u64 << (s.as_raw() - 1));
        line.and_then(|l| u64::from_str_radix(l.trim(), 16).ok()) == Some(bits.iter().sum())
    }
    /// Processor time that the process has used, hundredths of a second.
    pub fn cpu_ticks(&self) -> u64 {
        cpu_ticks(self.child.id())
    }
    /// Anonymous memory that the process has in use, KiB.
    pub fn anonymous_memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|l| l.strip_prefix("RssAnon:"));
        let number = line.and_then(|l| l.trim().strip_suffix("kB"));
        number.expect("a size").trim().parse().expect("a number")
    }
    /// Number of open descriptors.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }
    /// Sets the limit on open descriptors.
    pub fn limit_descriptors(&self, descriptors: u64) {
        let limit = Rlimit {
            current: Some(descriptors),
            ..getrlimit(Resource::Nofile)
        };
        prlimit(Some(self.pid()), Resource::Nofile, limit).unwrap();
    }

    /// Waits for the process and returns its exit code; `None` if a signal terminated it.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.wait().code()
    }
    /// Waits until the process exits.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.wait();
    }
    /// Sends SIGTERM and returns the exit code; `None` if a signal terminated the process.
    pub fn terminate(&mut self) -> Option<i32> {
        self.signal(Signal::TERM);
        self.exit_code()
    }

    /// Opens a client connection and completes one call on it.
    pub fn warm_client(&self) -> Client {
        let mut client = Client::to(self.address);
        client.send(&call(1).text());
        assert_eq!(client.answer_status(), Some(200));
        client
    }
}

/// Processor time that a process has used, in hundredths of a second.
pub fn cpu_ticks(pid: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let after_name = stat.rsplit(')').next().unwrap_or("");
    let user_and_system = after_name.split_whitespace().skip(11).take(2);
    user_and_system
        .filter_map(|ticks| ticks.parse::<u64>().ok())
        .sum()
}
