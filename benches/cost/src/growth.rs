//! CPU time per call and memory of the gateway as the number of served calls grows.

use crate::arguments::Arguments;
use crate::error::{system_error, BenchError};
use crate::load::median;
use crate::process::MeasuredProcess;
use crate::programs;

/// Calls before the first row. Each further row is printed when the number of calls has doubled.
const FIRST_ROW_CALLS: u64 = 20_000;

/// Runs load in intervals of one second, and prints the medians since the previous row.
pub fn run(arguments: &Arguments, calls: u64) -> Result<(), BenchError> {
    let workers = programs::worker_pair(&[])?;
    let addresses = workers.each_ref().map(MeasuredProcess::address);
    let gateway = programs::gateway(arguments, &addresses)?;
    println!("| calls done | calls/s | CPU us a call | memory MB |");
    println!("|---|---|---|---|");
    let (mut done, mut next_row) = (0u64, FIRST_ROW_CALLS);
    let (mut rates, mut costs) = (Vec::new(), Vec::new());
    while done < calls {
        let cpu_before = gateway.cpu_seconds();
        let served = run_load_process(&gateway, arguments.open)?;
        done += served;
        rates.push(served as f64);
        costs.push((gateway.cpu_seconds() - cpu_before) * 1e6 / served.max(1) as f64);
        if done >= next_row || done >= calls {
            println!(
                "| {done} | {:.0} | {:.1} | {:.1} |",
                median(std::mem::take(&mut rates)),
                median(std::mem::take(&mut costs)),
                gateway.memory_mb()
            );
            next_row = done * 2;
        }
    }
    Ok(())
}

/// Puts load on the gateway for one second and returns the calls served. A separate process sends the load, so that its
/// connections are closed afterwards.
fn run_load_process(gateway: &MeasuredProcess, open: usize) -> Result<u64, BenchError> {
    let output = programs::own_command("load")?
        .args([&gateway.address().to_string(), "--open", &open.to_string()])
        .output()
        .map_err(system_error("running the load process"))?;
    let output = String::from_utf8_lossy(&output.stdout).into_owned();
    output
        .split_whitespace()
        .next()
        .and_then(|calls_per_second| calls_per_second.parse().ok())
        .ok_or(BenchError::LoadOutput { output })
}
