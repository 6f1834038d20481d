//! What the kernel counts of processes and of the machine.

use std::fs::{read_dir, read_link, read_to_string};

/// Seconds of CPU that a process used since it began; none: there is no such process.
pub fn cpu_s(pid: u32) -> Option<f64> {
    let text = read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name in parentheses may hold anything.
    let mut rest = text.rsplit_once(')')?.1.split_whitespace().skip(11);
    let (user, system): (u64, u64) = (rest.next()?.parse().ok()?, rest.next()?.parse().ok()?);
    Some((user + system) as f64 / rustix::param::clock_ticks_per_second().max(1) as f64)
}

/// Megabytes (of 1,000,000) that a process holds in memory.
pub fn memory_mb(pid: u32) -> Option<f64> {
    let text = read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some((pages * rustix::param::page_size() as u64) as f64 / 1e6)
}

/// Sockets that a process holds open.
pub fn sockets(pid: u32) -> Option<usize> {
    let all = read_dir(format!("/proc/{pid}/fd")).ok()?;
    let socket = |e: &std::fs::DirEntry| {
        read_link(e.path()).is_ok_and(|to| to.to_string_lossy().starts_with("socket:"))
    };
    Some(all.flatten().filter(socket).count())
}

/// The machine's CPU time since it started, in ticks: what was used, and all of it.
pub fn machine() -> Option<(u64, u64)> {
    let text = read_to_string("/proc/stat").ok()?;
    let all: Vec<u64> = text
        .lines()
        .next()?
        .split_whitespace()
        .skip(1)
        .filter_map(|n| n.parse().ok())
        .collect();
    let total: u64 = all.iter().take(8).sum();
    let idle = all.get(3)? + all.get(4)?;
    Some((total.saturating_sub(idle), total))
}

/// Bytes that passed the loopback device, sent and received counted each.
pub fn loopback() -> Option<u64> {
    let text = read_to_string("/proc/net/dev").ok()?;
    let line = text.lines().find_map(|l| l.trim().strip_prefix("lo:"))?;
    let all: Vec<u64> = line
        .split_whitespace()
        .filter_map(|n| n.parse().ok())
        .collect();
    Some(all.first()? + all.get(8)?)
}

/// Bytes of memory that the machine has.
pub fn memory() -> Option<u64> {
    let text = read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find_map(|l| l.strip_prefix("MemTotal:"))?;
    let kilo: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilo * 1024)
}

/// Cores that this process may use.
pub fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, |n| n.get())
}
