//! Server processes under measurement: address, CPU time and resident memory.

use crate::error::BenchError;
use std::net::SocketAddr;
use std::process::Command;
use tansy_test_support::process::ServerProcess;

/// Unit of CPU times in `/proc`: clock ticks per second (proc(5), `USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of `utime` among the fields of `/proc/PID/stat` that follow the program name; `stime` is next.
const USER_TICKS_FIELD: usize = 11;

/// A gRPC server process, killed on drop.
pub struct MeasuredProcess {
    process: ServerProcess,
    address: SocketAddr,
}

impl MeasuredProcess {
    /// Starts the process and reads its address from the line `ready grpc=ADDRESS ...`.
    pub fn start(command: &mut Command) -> Result<MeasuredProcess, BenchError> {
        let process = ServerProcess::start(command)?;
        let address = process.address("grpc")?;
        Ok(MeasuredProcess { process, address })
    }

    /// The gRPC address of the process.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// All addresses of a worker process, read from `all=` in its `ready` line.
    pub fn all_addresses(&self) -> Vec<SocketAddr> {
        let words = self.process.ready_line().split_whitespace();
        let lists = words.filter_map(|word| word.strip_prefix("all="));
        lists
            .flat_map(|list| list.split(','))
            .filter_map(|address| address.parse().ok())
            .collect()
    }

    /// CPU time used so far, in seconds.
    pub fn cpu_seconds(&self) -> f64 {
        let stat = self.proc_file("stat");
        // The program name, in parentheses, may contain spaces.
        let after_name = stat.rsplit(')').next().unwrap_or("");
        let ticks: f64 = after_name
            .split_whitespace()
            .skip(USER_TICKS_FIELD)
            .take(2)
            .filter_map(|field| field.parse::<f64>().ok())
            .sum();
        ticks / TICKS_PER_SECOND
    }

    /// Resident memory, in MB.
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
