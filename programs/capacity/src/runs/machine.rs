//! The machine that runs were measured on.

use serde::{Deserialize, Serialize};
use std::io;
use thiserror::Error;

/// The kernel's file with the size of the memory.
const MEMORY_FILE: &str = "/proc/meminfo";

/// The machine that runs were measured on, without identifying names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Number of cores available to the process.
    pub cores: usize,
    /// Memory in GiB.
    pub memory_gb: u64,
}

/// An error in determining the properties of the machine.
#[derive(Debug, Error)]
pub enum MachineError {
    /// The number of cores is not available.
    #[error("cores: {0}")]
    Cores(io::Error),
    /// `/proc/meminfo` can't be read.
    #[error("{MEMORY_FILE}: {0}")]
    Memory(io::Error),
    /// `/proc/meminfo` has no valid `MemTotal` line.
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
