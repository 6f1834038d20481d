//! Discrete-event simulation of a fleet of front ends in virtual time.
//!
//! The crates under `decide/` run unmodified; the network, disks, clocks and their faults are simulated. A run is
//! deterministic: its result depends only on the seed, not on the machine or the number of threads.

pub mod cli;
pub mod fault;
pub mod fleet;
pub mod message_size;
pub mod network;
pub mod plot;
pub mod rollout;
pub mod scale;
mod scopes;

/// Simulates the seeds `from..from + seeds` on `threads` threads. The results are in no particular order.
fn run_seeds<T: Send>(
    from: u64,
    seeds: u64,
    threads: usize,
    simulate: impl Fn(u64) -> T + Sync,
) -> Vec<T> {
    let next = std::sync::atomic::AtomicU64::new(0);
    let work = || {
        let mut results = Vec::new();
        loop {
            let offset = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            if offset >= seeds {
                return results;
            }
            results.push(simulate(from + offset));
        }
    };
    std::thread::scope(|scope| {
        let spawned: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(work)).collect();
        spawned
            .into_iter()
            .flat_map(|thread| thread.join().unwrap_or_default())
            .collect()
    })
}
