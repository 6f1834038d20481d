//! A decision while calls wait: an event in, commands out, by calls waiting, functions and workers.
//!
//! Prints a table of microseconds an event. Calls come and are answered one for one, every 70 us of the dispatcher's clock,
//! so that its regular work is in the figure; workers have too few lanes for what waits.

#![allow(missing_docs)]

mod run;

use run::Run;
use std::time::{Duration, Instant};

/// Time of one point.
const SPAN: Duration = Duration::from_millis(1500);

fn main() {
    let points: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|a| a.parse().ok())
        .collect();
    let waiting = if points.is_empty() {
        vec![16, 256, 2_000, 20_000]
    } else {
        points
    };
    println!(
        "| functions | workers | {} |",
        waiting
            .iter()
            .map(|n| format!("{n} open"))
            .collect::<Vec<_>>()
            .join(" | ")
    );
    println!("|---|---|{}", "---|".repeat(waiting.len()));
    for functions in [1, 50, 1_000] {
        for workers in [4, 400] {
            let mut row = format!("| {functions} | {workers} |");
            for open in &waiting {
                let mut run = Run::new(functions, workers, 1, 100);
                for _ in 0..*open {
                    run.call();
                }
                let settle = Instant::now();
                while settle.elapsed() < SPAN / 3 {
                    run.turn(0);
                }
                let (steps, began) = (run.steps, Instant::now());
                while began.elapsed() < SPAN {
                    run.turn(0);
                }
                let each = began.elapsed().as_secs_f64() * 1e6 / (run.steps - steps) as f64;
                row += &format!(" {each:.2} |");
            }
            println!("{row}");
        }
    }
}
