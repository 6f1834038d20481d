//! A fleet of front ends in virtual time.
//!
//! The packages under `decide/` run here as they run in a front end; the network, the disks, the clocks and what goes wrong
//! with them are simulated. A run depends on its seed alone: same seed, same result, on any machine and with any number
//! of threads.

pub mod cli;
pub mod fault;
pub mod fleet;
pub mod message_size;
pub mod network;
pub mod plot;
pub mod rollout;
pub mod scale;
mod scopes;

/// Simulates seeds `from` to `from + seeds` on so many threads. The order of what comes back is that of the threads.
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
