//! Command-line arguments.

use clap::{Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Compares the gateway with direct calls and a pass-through proxy.
#[derive(Parser)]
pub struct Arguments {
    #[command(subcommand)]
    pub command: Option<Command>,
    /// Path of the gateway executable.
    #[arg(long, default_value = "target/release/tansy-gateway")]
    pub gateway: PathBuf,
    /// Duration of each measurement, in seconds.
    #[arg(long, default_value_t = 5)]
    pub seconds: u64,
    /// Concurrent calls while throughput is measured.
    #[arg(long, default_value_t = 256)]
    pub open: usize,
    /// Calls per second while latency is measured.
    #[arg(long, default_value_t = 1400)]
    pub rate: u64,
    /// Calls kept open while memory is measured.
    #[arg(long, default_value_t = 10_000)]
    pub held: usize,
}

impl Arguments {
    /// Duration of each measurement.
    pub fn duration(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }
}

/// What this process runs instead of the comparison.
#[derive(Subcommand)]
pub enum Command {
    /// Run a worker that answers immediately, after a delay, or never.
    Worker {
        /// Never answer calls.
        #[arg(long)]
        silent: bool,
        /// Delay before each answer, in milliseconds.
        #[arg(long, default_value_t = 0)]
        delay: u64,
        /// Number of ports to serve, each acting as one worker.
        #[arg(long, default_value_t = 1)]
        ports: usize,
    },
    /// Measure CPU time per call and memory as the number of served calls grows.
    Growth {
        /// Calls to serve in total.
        #[arg(long, default_value_t = 2_000_000)]
        calls: u64,
    },
    /// Measure CPU time per call by number of queued calls, functions and workers.
    Waiting,
    /// Measure latency while many clients have sent an incomplete request.
    Slow {
        /// Number of slow clients.
        #[arg(long, default_value_t = 10_000)]
        clients: usize,
    },
    /// Compare a gateway in a fleet with a standalone gateway: latency, memory and idle CPU.
    Fleet {
        /// Front ends in the fleet, including the measured one and the voter.
        #[arg(long, default_value_t = 20)]
        members: usize,
        /// Measurements of each gateway.
        #[arg(long, default_value_t = 5)]
        rounds: usize,
    },
    /// Put load on a gRPC server that is already running.
    Load {
        /// Address of the server.
        target: SocketAddr,
        /// Concurrent calls.
        #[arg(long, default_value_t = 256)]
        open: usize,
        /// Duration of the load, in seconds.
        #[arg(long, default_value_t = 1)]
        seconds: u64,
    },
    /// Run the pass-through proxy.
    Proxy {
        /// Addresses of the workers.
        workers: Vec<SocketAddr>,
    },
}
