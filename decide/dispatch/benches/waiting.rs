//! Cost of an input while calls wait for a worker, by number of open calls, functions and workers.
//!
//! Prints a table in microseconds per input. Every 70 us of simulated time one call arrives and one is answered, so the
//! periodic work of the dispatcher is included. Workers have too few lanes for the open calls.

#![allow(missing_docs)]

mod workload;

use std::time::{Duration, Instant};
use workload::Workload;

/// Measuring time of one cell of the table.
const MEASURE_TIME: Duration = Duration::from_millis(1500);

fn main() {
    let arguments: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|a| a.parse().ok())
        .collect();
    let open_calls = if arguments.is_empty() {
        vec![16, 256, 2_000, 20_000]
    } else {
        arguments
    };
    println!(
        "| functions | workers | {} |",
        open_calls
            .iter()
            .map(|n| format!("{n} open"))
            .collect::<Vec<_>>()
            .join(" | ")
    );
    println!("|---|---|{}", "---|".repeat(open_calls.len()));
    for functions in [1, 50, 1_000] {
        for workers in [4, 400] {
            let mut row = format!("| {functions} | {workers} |");
            for open in &open_calls {
                let mut workload = Workload::new(functions, workers, 1, 100);
                for _ in 0..*open {
                    workload.call();
                }
                let warm_up_started = Instant::now();
                while warm_up_started.elapsed() < MEASURE_TIME / 3 {
                    workload.call_and_answer(0);
                }
                let (steps_before, started) = (workload.steps, Instant::now());
                while started.elapsed() < MEASURE_TIME {
                    workload.call_and_answer(0);
                }
                let micros_per_input =
                    started.elapsed().as_secs_f64() * 1e6 / (workload.steps - steps_before) as f64;
                row += &format!(" {micros_per_input:.2} |");
            }
            println!("{row}");
        }
    }
}
