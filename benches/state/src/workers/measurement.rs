//! The benchmark: load on each worker in a steady fleet, cold starts of all front ends, and the effect of silent workers.

use super::{ControlRequestKind, WorkerCounters, WorkerSimulation, SITES};
use crate::inputs;
use crate::measure::{rounded, OutputRecord};
use crate::{Args, BenchError};
use serde_json::json;
use tansyrouter::{Micros, SECOND};

/// Time until the fleet is steady: longer than idle timeouts of connections and the window of rate estimates.
const WARM_UP: Micros = 20 * SECOND;
/// Time for which the steady fleet is measured.
const MEASURED_PERIOD: Micros = 10 * SECOND;
/// Time for which the fleet is then measured with silent workers.
const SILENT_PERIOD: Micros = 10 * SECOND;
/// One in this many workers becomes silent.
const WORKERS_PER_SILENT: usize = 20;

fn seconds(duration: Micros) -> f64 {
    duration as f64 / 1e6
}

fn share(part: u64, total: u64) -> f64 {
    part as f64 / total.max(1) as f64
}

/// Measures connections, control requests and cold starts in a steady fleet, then probes and unserved calls with silent
/// workers.
pub(crate) fn worker_load(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let mut simulation = WorkerSimulation::new(args)?;
    simulation.run(WARM_UP);
    simulation.start_measurement();
    simulation.run(MEASURED_PERIOD);
    output.count("workers", simulation.workers.len());
    output.count("miss", usize::from(args.miss));
    output.figure("steady_s", seconds(WARM_UP));
    output.figure("measured_s", seconds(MEASURED_PERIOD));
    let shares = simulation.popularity.shares();
    output.figure("seldom", inputs::rarely_called_share(&shares));
    add_connections(&mut simulation, output);
    add_worker_rates(&simulation, output);
    add_calls(&simulation, output);
    add_cold_starts(&simulation, output);
    simulation.silence(WORKERS_PER_SILENT);
    simulation.start_measurement();
    simulation.run(SILENT_PERIOD);
    add_silent_workers(&simulation, output);
    Ok(())
}

fn add_connections(simulation: &mut WorkerSimulation, output: &mut OutputRecord) {
    let now = simulation.queue.now();
    let names = ["connections"]
        .into_iter()
        .chain(SITES.map(|site| site.output_name));
    for (name, pool) in names.zip(&mut simulation.connections) {
        let usage = pool.usage(now);
        output.insert(
            name,
            json!({
                "mean": rounded(usage.mean),
                "most": usage.max,
                "opened_s": rounded(usage.opened_per_s),
            }),
        );
    }
}

/// Adds the mean and the maximum over workers of a count per second.
fn add_rate(
    name: &str,
    counts: impl Iterator<Item = u64> + Clone,
    duration: Micros,
    output: &mut OutputRecord,
) {
    let workers = counts.clone().count().max(1) as f64;
    let max = counts.clone().max().unwrap_or(0) as f64;
    let mean = counts.sum::<u64>() as f64 / workers;
    output.insert(
        name,
        json!({"mean": rounded(mean / seconds(duration)), "most": rounded(max / seconds(duration))}),
    );
}

fn add_worker_rates(simulation: &WorkerSimulation, output: &mut OutputRecord) {
    let counters: Vec<WorkerCounters> = simulation.workers.iter().map(|w| w.counters).collect();
    let mut add = |name: &str, count: &dyn Fn(&WorkerCounters) -> u64| {
        add_rate(name, counters.iter().map(count), MEASURED_PERIOD, output);
    };
    let of_kind = |kind: ControlRequestKind| {
        move |counters: &WorkerCounters| counters.control_requests[kind as usize]
    };
    add("calls_s", &|counters| counters.attempts);
    add("load_orders_s", &of_kind(ControlRequestKind::Load));
    add("asks_s", &of_kind(ControlRequestKind::Query));
    add("unloads_s", &of_kind(ControlRequestKind::Unload));
    add("probes_s", &of_kind(ControlRequestKind::Probe));
    add("orders_s", &|counters| {
        counters.control_requests.iter().sum()
    });
    add("loads_s", &|counters| counters.loads);
    let loads: u64 = counters.iter().map(|counters| counters.loads).sum();
    output.figure("fleet_loads_s", loads as f64 / seconds(MEASURED_PERIOD));
}

fn add_calls(simulation: &WorkerSimulation, output: &mut OutputRecord) {
    let calls = &simulation.calls;
    output.count("calls", calls.total as usize);
    output.count("unserved", calls.unserved as usize);
    output.figure("known_own", share(calls.known_to_front_end, calls.total));
    output.figure("known_any", share(calls.known_to_fleet, calls.total));
    output.insert("decide_us", simulation.decision_time.us());
}

fn add_cold_starts(simulation: &WorkerSimulation, output: &mut OutputRecord) {
    let cold_starts = &simulation.cold_starts;
    output.figure(
        "cold_share",
        share(cold_starts.calls, simulation.calls.total),
    );
    output.count("cold_calls", cold_starts.calls as usize);
    output.count("cold_served", cold_starts.total.count() as usize);
    output.count(
        "cold_ordered",
        cold_starts.load_request_wait.count() as usize,
    );
    output.count("cold_unserved", cold_starts.unserved as usize);
    output.insert("order_wait_ms", cold_starts.load_request_wait.ms());
    output.insert("send_wait_ms", cold_starts.send_wait.ms());
    output.insert("ours_ms", cold_starts.front_end_share.ms());
    output.insert("cold_ms", cold_starts.total.ms());
}

fn add_silent_workers(simulation: &WorkerSimulation, output: &mut OutputRecord) {
    let silent = simulation.workers.iter().filter(|worker| worker.silent);
    output.count("silent", silent.clone().count());
    let probes =
        silent.map(|worker| worker.counters.control_requests[ControlRequestKind::Probe as usize]);
    add_rate("silent_probes_s", probes, SILENT_PERIOD, output);
    let calls = &simulation.calls;
    output.figure("silent_unserved", share(calls.unserved, calls.total));
}
