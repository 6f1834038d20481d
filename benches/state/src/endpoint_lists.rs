//! Worker lists: as a settings file, in the dispatcher, and in the platform's replies.

use crate::inputs::{self, worker_name, worker_record};
use crate::measure::{ms, timed, Distribution, MemoryGrowth, OutputRecord};
use crate::{Args, BenchError};
use std::fmt::Write;
use std::net::SocketAddr;
use tansy_dispatch::{Command, Dispatcher, Input};
use tansy_platform::{EndpointList, EndpointUpdates};
use tansyrouter::{Micros, Time};

/// Port of all workers.
const WORKER_PORT: u16 = 8001;
/// Number of timer ticks measured after the updates of the list.
const TICKS: usize = 200;
/// Virtual time between two timer ticks.
const TICK_INTERVAL: Micros = 20_000;

/// The address of a worker.
pub(crate) fn worker_address(number: usize) -> SocketAddr {
    inputs::address(number, WORKER_PORT)
}

/// A random incarnation of a worker: microseconds since 1970, between 2023 and 2030.
pub(crate) fn incarnation(rng: &mut fastrand::Rng) -> u64 {
    rng.u64(1_700_000_000_000_000..1_900_000_000_000_000)
}

/// The text of a settings file with a list of workers.
fn list_file(workers: usize, seed: u64) -> String {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut text = String::from("workers: [\n");
    for number in 0..workers {
        let (name, address) = (worker_name(number), worker_address(number));
        let cell = inputs::worker_cell(number);
        let incarnation = incarnation(&mut rng);
        let _ = writeln!(
            text,
            "    {{name: \"{name}\", address: \"{address}\", cell: {cell}, incarnation: {incarnation}}},"
        );
    }
    text + "]\n"
}

/// Measures reading a worker list file as the gateway does.
pub fn endpoint_list_file(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let text = list_file(args.instances, args.seed);
    let zones = ["local".to_string()];
    let growth = MemoryGrowth::begin();
    let (read, took) = timed(|| tansy_settings::parse_workers("workers.cue", &text, &zones, 0));
    let workers = read.map_err(|e| BenchError::failed("the worker list", e))?;
    output.count("file_bytes", text.len());
    output.figure("read_ms", ms(took));
    output.figure("memory_mb", growth.mb());
    output.figure("peak_mb", growth.peak_mb());
    output.count("lines", workers.len());
    let listed = args.instances.max(1) as f64;
    output.figure("line_bytes", text.len() as f64 / listed);
    output.figure("peak_line_bytes", growth.peak_mb() * 1e6 / listed);
    Ok(())
}

/// A full worker list without the worker `skipped`.
fn list_without(workers: usize, skipped: Option<usize>) -> Input {
    let workers = (0..workers).filter(|number| Some(*number) != skipped);
    Input::Workers {
        full: true,
        workers: workers.map(worker_record).collect(),
    }
}

/// Measures updates of the worker list in the dispatcher and the decision module.
pub fn endpoint_list_update(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let names = inputs::function_names(args.functions, args.seed);
    let config = inputs::config(&names, args.front_ends, args.seed);
    let mut dispatcher = Dispatcher::new(config, Time(0))
        .map_err(|e| BenchError::failed("the dispatcher's settings", e))?;
    let mut commands = Vec::new();
    let removed = args.seed as usize % args.instances.max(1);
    let updates = [
        ("first_ms", list_without(args.instances, None)),
        ("again_ms", list_without(args.instances, None)),
        ("one_gone_ms", list_without(args.instances, Some(removed))),
    ];
    let growth = MemoryGrowth::begin();
    for (now, (figure, update)) in (0..).zip(updates) {
        let (_, took) = timed(|| dispatcher.step(Time(now), update, &mut commands));
        output.figure(figure, ms(took));
    }
    let addition = Input::Workers {
        full: false,
        workers: vec![worker_record(removed)],
    };
    let (_, took) = timed(|| dispatcher.step(Time(4), addition, &mut commands));
    output.figure("one_comes_ms", ms(took));
    let tick_times = tick(&mut dispatcher, &mut commands);
    output.insert("tick_us", tick_times.us());
    output.count("ready", dispatcher.ready_workers());
    output.figure("memory_mb", growth.mb());
    output.figure("peak_mb", growth.peak_mb());
    let listed = args.instances.max(1) as f64;
    output.figure("instance_bytes", growth.mb() * 1e6 / listed);
    Ok(())
}

fn tick(dispatcher: &mut Dispatcher, commands: &mut Vec<Command>) -> Distribution {
    let mut times = Distribution::default();
    let mut now = 0;
    for _ in 0..TICKS {
        now += TICK_INTERVAL;
        let (_, took) = timed(|| dispatcher.step(Time(now), Input::Tick, commands));
        times.add(took);
    }
    times
}

/// The platform coordinator's reply with the full list.
fn platform_reply(workers: usize) -> String {
    let mut text =
        String::from(r#"{"index":1,"updates":[{"index":1,"endpoints":{"full":true,"servers":["#);
    for number in 0..workers {
        let separator = if number > 0 { "," } else { "" };
        let (name, address) = (worker_name(number), worker_address(number));
        let _ = write!(
            text,
            r#"{separator}{{"id":"{name}","addr":"{address}","zone":"local","state":"Ready"}}"#
        );
    }
    text.push_str("]}}]}");
    text
}

/// Measures reading and applying the list as sent by the platform's coordinator.
pub fn platform_list(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let text = platform_reply(args.instances);
    let growth = MemoryGrowth::begin();
    let (read, took) = timed(|| serde_json::from_str::<EndpointUpdates>(&text));
    output.figure("read_ms", ms(took));
    let updates = read.map_err(|e| BenchError::failed("the coordinator's reply", e))?;
    let mut list = EndpointList::new(vec!["local".into()], Vec::new());
    let (changes, took) = timed(|| list.apply(&updates, 0.0));
    output.figure("take_ms", ms(took));
    output.count("file_bytes", text.len());
    let entries = changes.iter().map(|(_, entries)| entries.len()).sum();
    output.count("lines", entries);
    output.figure("memory_mb", growth.mb());
    output.figure("peak_mb", growth.peak_mb());
    Ok(())
}
