//! CPU time per call by number of queued calls: instances have one lane, and each answer takes 5 ms.

use crate::arguments::Arguments;
use crate::error::BenchError;
use crate::load::{self, Load, SERVED_CALLS};
use crate::process::MeasuredProcess;
use crate::programs;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time for the gateway to accept all calls.
const ACCEPT_PERIOD: Duration = Duration::from_secs(3);
/// Value of the workers' `--delay`, in milliseconds.
const ANSWER_MILLIS: &str = "5";

const FUNCTIONS: [usize; 3] = [1, 50, 1_000];
const WORKERS: [usize; 2] = [4, 400];
const OPEN_CALLS: [usize; 4] = [16, 256, 2_000, 20_000];

/// Prints throughput and CPU time per call for each number of functions, workers and open calls.
pub fn run(arguments: &Arguments) -> Result<(), BenchError> {
    println!("| functions | workers | open | calls/s | CPU us a call |");
    println!("|---|---|---|---|---|");
    for functions in FUNCTIONS {
        for count in WORKERS {
            let ports = count.to_string();
            let workers = programs::worker(&["--delay", ANSWER_MILLIS, "--ports", &ports])?;
            for open in OPEN_CALLS {
                let cost = measure(arguments, &workers, functions, open)?;
                println!(
                    "| {functions} | {count} | {open} | {:.0} | {:.1} |",
                    cost.calls_per_second, cost.cpu_micros_per_call
                );
            }
        }
    }
    Ok(())
}

struct WaitingCost {
    calls_per_second: f64,
    cpu_micros_per_call: f64,
}

fn measure(
    arguments: &Arguments,
    workers: &MeasuredProcess,
    functions: usize,
    open: usize,
) -> Result<WaitingCost, BenchError> {
    let gateway =
        programs::gateway_with_functions(arguments, &workers.all_addresses(), functions, 1)?;
    let duration = arguments.duration();
    let target = gateway.address();
    let load = Load {
        functions,
        ..Load::closed(open, ACCEPT_PERIOD + duration)
    };
    let clients = std::thread::spawn(move || load::run(target, load).map(drop));
    // Excludes the cost of accepting the initial calls.
    std::thread::sleep(ACCEPT_PERIOD);
    let cpu_before = gateway.cpu_seconds();
    let served_before = SERVED_CALLS.load(Ordering::Relaxed);
    std::thread::sleep(duration);
    let cpu_seconds = gateway.cpu_seconds() - cpu_before;
    let served = SERVED_CALLS.load(Ordering::Relaxed) - served_before;
    drop(gateway);
    clients.join().map_err(|_| BenchError::ClientThread)??;
    Ok(WaitingCost {
        calls_per_second: served as f64 / duration.as_secs_f64(),
        cpu_micros_per_call: cpu_seconds * 1e6 / served.max(1) as f64,
    })
}
