//! The machine that runs were measured on.

use serde::{Deserialize, Serialize};
use std::io;
use thiserror::Error;

/// Where the kernel gives the machine's memory.
const MEMORY_FILE: &str = "/proc/meminfo";

/// Where runs were measured. No names, no paths.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Cores that the system gives to a process.
    pub cores: usize,
    /// Memory in GiB.
    pub memory_gb: u64,
}

/// The reason that the machine can't be described.
#[derive(Debug, Error)]
pub enum MachineError {
    /// The number of cores is not available.
    #[error("cores: {0}")]
    Cores(io::Error),
    /// The kernel's file can't be read.
    #[error("{MEMORY_FILE}: {0}")]
    Memory(io::Error),
    /// The kernel's file does not give the memory.
    #[error("{MEMORY_FILE}: no line MemTotal: with a number of kB")]
    NoMemoryTotal,
}

impl Machine {
    /// The machine that this process runs on.
    pub fn current() -> Result<Machine, MachineError> {
        let cores = std::thread::available_parallelism().map_err(MachineError::Cores)?;
        let text = std::fs::read_to_string(MEMORY_FILE).map_err(MachineError::Memory)?;
        let total = text.lines().find_map(|l| l.strip_prefix("MemTotal:"));
        let kilobytes: u64 = total
            .and_then(|t| t.split_whitespace().next()?.parse().ok())
            .ok_or(MachineError::NoMemoryTotal)?;
        Ok(Machine {
            cores: cores.get(),
            memory_gb: (kilobytes + (1 << 19)) >> 20,
        })
    }
}
