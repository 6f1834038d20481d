//! Stand-in workers inside the gateway's process, for `--embedded`.

use std::io;
use std::net::SocketAddr;
use tansy_dispatch::{FunctionSpec, WorkerRecord, WorkerState};
use tansy_net_sockets::socket::listen;
use tansy_net_sockets::Spawner;
use tansy_settings::ConfiguredWorker;
use tansy_standin_worker::{Function, Profile, Standin, WhenAbsent};

/// Number of workers that are started.
const WORKERS: usize = 4;

/// Starts the workers; each of them serves all functions.
pub(crate) fn start_workers(
    spawner: &Spawner,
    functions: &[FunctionSpec],
) -> io::Result<Vec<ConfiguredWorker>> {
    (0..WORKERS)
        .map(|index| start_worker(spawner, index, functions))
        .collect()
}

fn start_worker(
    spawner: &Spawner,
    index: usize,
    functions: &[FunctionSpec],
) -> io::Result<ConfiguredWorker> {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0)), false)?;
    let name = format!("embedded-{index}");
    let profile = profile(name.clone(), functions);
    let worker = Standin::start(spawner.clone(), listener, profile, true)?;
    Ok(ConfiguredWorker {
        record: WorkerRecord {
            name,
            kind: 0,
            cell: 0,
            zone: 0,
            state: WorkerState::Ready,
            age: None,
            relative_size: 1.0,
        },
        address: worker.address(),
        incarnation: 0,
    })
}

fn profile(name: String, functions: &[FunctionSpec]) -> Profile {
    let function = |spec: &FunctionSpec| Function {
        name: spec.name.clone(),
        memory_mb: spec.memory_mb,
        lanes: spec.lanes,
        load: spec.load_time.unwrap_or(100_000),
        work: 2_000,
    };
    Profile {
        name,
        functions: functions.iter().map(function).collect(),
        memory_mb: 4_000.0,
        idle_life: 10_000_000,
        loads: 2,
        queue: 1000,
        when_absent: WhenAbsent::Load,
        cores: 4.0,
        cold_from: 1.0,
        warm_up: 1,
        fall_multiple: f64::MAX,
        fall_after: 1_000_000,
    }
}
