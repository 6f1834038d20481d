//! The command line.

use clap::{Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// What the gateway costs beside a direct call and a plain proxy.
#[derive(Parser)]
pub struct Arguments {
    #[command(subcommand)]
    pub role: Option<Role>,
    /// The gateway's program.
    #[arg(long, default_value = "target/release/tansy-gateway")]
    pub gateway: PathBuf,
    /// Seconds of each measurement.
    #[arg(long, default_value_t = 5)]
    pub seconds: u64,
    /// Calls open at once when calls a second are measured.
    #[arg(long, default_value_t = 256)]
    pub open: usize,
    /// Calls a second when latency is measured.
    #[arg(long, default_value_t = 1400)]
    pub rate: u64,
    /// Calls held when memory is measured.
    #[arg(long, default_value_t = 10_000)]
    pub held: usize,
}

impl Arguments {
    /// The time of each measurement.
    pub fn span(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }
}

/// What this process does, if it is not the comparison.
#[derive(Subcommand)]
pub enum Role {
    /// A worker that answers at once, or not at all.
    Worker {
        #[arg(long)]
        silent: bool,
        /// Milliseconds of each answer.
        #[arg(long, default_value_t = 0)]
        delay: u64,
        /// Ports: so many workers in one process.
        #[arg(long, default_value_t = 1)]
        ports: usize,
    },
    /// Cost and memory of a call after ever more calls.
    Growth {
        #[arg(long, default_value_t = 2_000_000)]
        calls: u64,
    },
    /// Cost of a call by calls that wait, functions and workers.
    Waiting,
    /// Latency while many clients have sent half a request each.
    Slow {
        #[arg(long, default_value_t = 10_000)]
        clients: usize,
    },
    /// What membership of a fleet costs a call, and its memory, beside the same gateway without.
    Fleet {
        /// Front ends of the fleet, the measured one and the voter among them.
        #[arg(long, default_value_t = 20)]
        members: usize,
        /// Measurements of each, in turn.
        #[arg(long, default_value_t = 5)]
        rounds: usize,
    },
    /// Only the load, on a gRPC port that serves already.
    Load {
        target: SocketAddr,
        /// Calls open at once.
        #[arg(long, default_value_t = 256)]
        open: usize,
        /// For so long.
        #[arg(long, default_value_t = 1)]
        seconds: u64,
    },
    /// The plain proxy.
    Proxy { workers: Vec<SocketAddr> },
}
