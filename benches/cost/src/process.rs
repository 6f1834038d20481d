//! Processes that are measured: their address, CPU time and memory.

use crate::error::BenchError;
use std::net::SocketAddr;
use std::process::Command;
use tansy_test_support::process::ServerProcess;

/// Ticks of CPU time a second in `/proc` (proc(5), USER_HZ).
const TICKS_PER_SECOND: f64 = 100.0;
/// The place of `utime` among the fields of `/proc/PID/stat` after the program's name; `stime` follows.
const USER_TICKS_FIELD: usize = 11;

/// A process that serves gRPC, ended with its owner.
pub struct MeasuredProcess {
    process: ServerProcess,
    address: SocketAddr,
}

impl MeasuredProcess {
    /// Starts it, and reads the address from its line `ready grpc=ADDRESS ...`.
    pub fn start(command: &mut Command) -> Result<MeasuredProcess, BenchError> {
        let process = ServerProcess::start(command)?;
        let address = process.address("grpc")?;
        Ok(MeasuredProcess { process, address })
    }

    /// Where it serves gRPC.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// All addresses of a worker process with several ports.
    pub fn all_addresses(&self) -> Vec<SocketAddr> {
        let words = self.process.ready_line().split_whitespace();
        let lists = words.filter_map(|word| word.strip_prefix("all="));
        lists
            .flat_map(|list| list.split(','))
            .filter_map(|address| address.parse().ok())
            .collect()
    }

    /// CPU time used so far, seconds.
    pub fn cpu_seconds(&self) -> f64 {
        let stat = self.proc_file("stat");
        // The program's name, in parentheses, may contain blanks.
        let after_name = stat.rsplit(')').next().unwrap_or("");
        let ticks: f64 = after_name
            .split_whitespace()
            .skip(USER_TICKS_FIELD)
            .take(2)
            .filter_map(|field| field.parse::<f64>().ok())
            .sum();
        ticks / TICKS_PER_SECOND
    }

    /// Resident memory, MB.
    pub fn memory_mb(&self) -> f64 {
        let status = self.proc_file("status");
        let kilobytes = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|rest| rest.split_whitespace().next())
            .and_then(|number| number.parse::<f64>().ok());
        kilobytes.unwrap_or(0.0) / 1000.0
    }

    fn proc_file(&self, name: &str) -> String {
        let path = format!("/proc/{}/{name}", self.process.id());
        std::fs::read_to_string(path).unwrap_or_default()
    }
}
