//! Compares direct calls, the gateway and the pass-through proxy, and measures the memory of calls open at the gateway.

use crate::arguments::Arguments;
use crate::error::{system_error, BenchError};
use crate::load::{self, Load};
use crate::process::MeasuredProcess;
use crate::programs;
use std::net::SocketAddr;
use std::time::Duration;

/// Duration of the warm-up load on each path.
const WARM_UP: Duration = Duration::from_secs(1);

/// Throughput and latency of a path.
struct PathCost {
    calls_per_second: f64,
    p50_micros: f64,
    p99_micros: f64,
}

/// Runs both measurements.
pub fn run(arguments: &Arguments) -> Result<(), BenchError> {
    compare_paths(arguments)?;
    measure_open_call_memory(arguments)
}

fn compare_paths(arguments: &Arguments) -> Result<(), BenchError> {
    let workers = programs::worker_pair(&[])?;
    let addresses = workers.each_ref().map(MeasuredProcess::address);
    let proxy = programs::proxy(&addresses)?;
    let gateway = programs::gateway(arguments, &addresses)?;
    print_header(arguments)?;
    let direct = measure_path(arguments, "direct to one worker", addresses[0], None)?;
    let through_gateway = measure_process(arguments, "through tansy-gateway", &gateway)?;
    let through_proxy = measure_process(arguments, "through the tonic pass-through", &proxy)?;
    print_comparison(arguments, &direct, &through_gateway, &through_proxy);
    Ok(())
}

fn print_header(arguments: &Arguments) -> Result<(), BenchError> {
    let cores = std::thread::available_parallelism()
        .map_err(system_error("reading the number of cores"))?;
    println!("cores: {cores}");
    println!(
        "| path | calls/s, {} open | CPU us a call | p50 us at {}/s | p99 us | failed |",
        arguments.open, arguments.rate
    );
    println!("|---|---|---|---|---|---|");
    Ok(())
}

fn measure_process(
    arguments: &Arguments,
    name: &str,
    process: &MeasuredProcess,
) -> Result<PathCost, BenchError> {
    measure_path(arguments, name, process.address(), Some(process))
}

/// Measures one path and prints its row. `process` is the intermediary on the path, if any.
fn measure_path(
    arguments: &Arguments,
    name: &str,
    target: SocketAddr,
    process: Option<&MeasuredProcess>,
) -> Result<PathCost, BenchError> {
    let closed = Load::closed(arguments.open, arguments.duration());
    load::run(target, closed.with_duration(WARM_UP))?;
    let cpu_before = process.map_or(0.0, MeasuredProcess::cpu_seconds);
    let saturated = load::run(target, closed)?;
    let cpu_seconds = process.map_or(0.0, MeasuredProcess::cpu_seconds) - cpu_before;
    let paced = load::run(target, Load::at_rate(arguments.rate, arguments.duration()))?;
    let cost = PathCost {
        calls_per_second: saturated.calls_per_second(),
        p50_micros: paced.latency_micros(0.5),
        p99_micros: paced.latency_micros(0.99),
    };
    println!(
        "| {name} | {:.0} | {:.1} | {:.0} | {:.0} | {} |",
        cost.calls_per_second,
        cpu_seconds * 1e6 / saturated.served.max(1) as f64,
        cost.p50_micros,
        cost.p99_micros,
        saturated.failed + paced.failed
    );
    Ok(cost)
}

fn print_comparison(
    arguments: &Arguments,
    direct: &PathCost,
    gateway: &PathCost,
    proxy: &PathCost,
) {
    println!(
        "gateway over tonic pass-through, calls/s: {:.2}",
        gateway.calls_per_second / proxy.calls_per_second.max(1.0)
    );
    println!(
        "added by the gateway at {}/s: p50 {:.0} us, p99 {:.0} us",
        arguments.rate,
        gateway.p50_micros - direct.p50_micros,
        gateway.p99_micros - direct.p99_micros
    );
    println!(
        "added by tonic: p50 {:.0} us, p99 {:.0} us",
        proxy.p50_micros - direct.p50_micros,
        proxy.p99_micros - direct.p99_micros
    );
}

fn measure_open_call_memory(arguments: &Arguments) -> Result<(), BenchError> {
    let workers = programs::worker_pair(&["--silent"])?;
    let addresses = workers.each_ref().map(MeasuredProcess::address);
    let gateway = programs::gateway(arguments, &addresses)?;
    let before = gateway.memory_mb();
    let after = load::hold_calls(gateway.address(), arguments.held, || gateway.memory_mb())?;
    println!(
        "memory: {before:.1} MB idle, {after:.1} MB with {} calls held: {:.1} KB a call",
        arguments.held,
        (after - before) * 1000.0 / arguments.held as f64
    );
    Ok(())
}
