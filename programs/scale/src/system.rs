//! The kernel's counters of processes and of the machine, read from `/proc`.

use std::fs::{read_dir, read_link, read_to_string};

/// Returns the CPU seconds that a process has used, or `None` if it does not exist.
pub fn cpu_seconds(pid: u32) -> Option<f64> {
    let text = read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The command name in parentheses may contain spaces and parentheses.
    let mut rest = text.rsplit_once(')')?.1.split_whitespace().skip(11);
    let (user, system): (u64, u64) = (rest.next()?.parse().ok()?, rest.next()?.parse().ok()?);
    Some((user + system) as f64 / rustix::param::clock_ticks_per_second().max(1) as f64)
}

/// Returns the resident memory of a process in megabytes (1,000,000 bytes).
pub fn memory_mb(pid: u32) -> Option<f64> {
    let text = read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some((pages * rustix::param::page_size() as u64) as f64 / 1e6)
}

/// Counts the open sockets of a process.
pub fn sockets(pid: u32) -> Option<usize> {
    let descriptors = read_dir(format!("/proc/{pid}/fd")).ok()?;
    let is_socket = |entry: &std::fs::DirEntry| {
        read_link(entry.path()).is_ok_and(|to| to.to_string_lossy().starts_with("socket:"))
    };
    Some(descriptors.flatten().filter(is_socket).count())
}

/// CPU time of all cores since boot, in clock ticks.
#[derive(Clone, Copy, Debug)]
pub struct CpuTicks {
    /// Time that is neither idle nor spent waiting for I/O.
    pub busy: u64,
    /// Time in all states.
    pub total: u64,
}

/// Reads the machine's CPU time, or returns `None` if `/proc/stat` can't be read.
pub fn machine_cpu() -> Option<CpuTicks> {
    let text = read_to_string("/proc/stat").ok()?;
    let ticks: Vec<u64> = text
        .lines()
        .next()?
        .split_whitespace()
        .skip(1)
        .filter_map(|n| n.parse().ok())
        .collect();
    let total: u64 = ticks.iter().take(8).sum();
    let idle = ticks.get(3)? + ticks.get(4)?;
    let busy = total.saturating_sub(idle);
    Some(CpuTicks { busy, total })
}

/// Returns the bytes received plus the bytes sent on the loopback device.
pub fn loopback_bytes() -> Option<u64> {
    let text = read_to_string("/proc/net/dev").ok()?;
    let line = text.lines().find_map(|l| l.trim().strip_prefix("lo:"))?;
    let counters: Vec<u64> = line
        .split_whitespace()
        .filter_map(|n| n.parse().ok())
        .collect();
    Some(counters.first()? + counters.get(8)?)
}

/// Returns the memory of the machine in bytes.
pub fn memory_bytes() -> Option<u64> {
    let text = read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find_map(|l| l.strip_prefix("MemTotal:"))?;
    let kibibytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kibibytes * 1024)
}

/// Returns the number of cores that this process may use.
pub fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, |n| n.get())
}
