//! Stand-in workers inside the gateway's process, for `--embedded`.

use std::io;
use std::net::SocketAddr;
use tansy_dispatch::{FunctionSpec, WorkerRecord, WorkerState};
use tansy_net_sockets::socket::listen;
use tansy_net_sockets::Spawner;
use tansy_settings::ConfiguredWorker;
use tansy_standin_worker::{Function, MissPolicy, Profile, Standin};

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
        load_time: spec.load_time.unwrap_or(100_000),
        default_work: 2_000,
    };
    Profile {
        name,
        functions: functions.iter().map(function).collect(),
        memory_mb: 4_000.0,
        idle_timeout: 10_000_000,
        max_concurrent_loads: 2,
        max_waiting_calls: 1000,
        miss_policy: MissPolicy::Load,
        cores: 4.0,
        slow_start_from: 1.0,
        slow_start_window: 1,
        overload_multiple: f64::MAX,
        overload_window: 1_000_000,
    }
}
