//! Helpers for end-to-end tests: a gateway on one thread, stand-in workers on another, scripted peers that speak HTTP/2 frame by frame,
//! and an unmodified gRPC client.
//!
//! - [`gateway`]: a gateway on a separate thread, and its account.
//! - [`worker_list`]: the gateway's worker list file.
//! - [`scoped_fleet`]: a fleet of two gateways that agrees on functions one by one.
//! - [`workers`]: stand-in workers on a separate thread.
//! - [`messages`]: requests, and accessors for responses.
//! - [`peer`]: scripted clients and workers.

pub mod gateway;
pub mod messages;
pub mod peer;
pub mod scoped_fleet;
pub mod worker_list;
pub mod workers;

pub use gateway::{Account, FleetMember, GatewayThread};
pub use messages::{id, is_last, parameter, request, retry_pushback};
use std::time::{Duration, Instant};
pub use worker_list::ListedWorker;
pub use workers::Workers;

/// The generated messages and client of the inference service.
#[allow(missing_docs, dead_code, clippy::all)]
pub mod pb {
    tonic::include_proto!("inference");
}

/// The gRPC client.
pub type Client =
    pb::grpc_inference_service_client::GrpcInferenceServiceClient<tonic::transport::Channel>;

/// The settings of most tests: the function `echo` is safe to repeat, `keyed` is keyed, and `post` must not run twice.
pub const SETTINGS: &str = r#"
classes: {
    safe:   {aim: 2s, deadline: 3s, late_worth: 0.5}
    keyed:  {aim: 2s, deadline: 3s, effect: "keyed", window: 30s}
    unsafe: {aim: 2s, deadline: 3s, effect: "unsafe"}
}
functions: {
    echo:  {class: "safe", lanes: 64, memory: 100MB, load_time: 5ms}
    keyed: {class: "keyed", lanes: 64, memory: 100MB, load_time: 5ms}
    post:  {class: "unsafe", lanes: 64, memory: 100MB, load_time: 5ms}
}
"#;

/// Starts `workers` stand-in workers, and a gateway with [`SETTINGS`] that lists them.
pub fn start(workers: usize) -> (GatewayThread, Workers) {
    let workers = Workers::start(workers);
    (GatewayThread::start(SETTINGS, &workers.listed()), workers)
}

/// [`SETTINGS`] without the functions other than `echo`.
pub fn settings_of_echo() -> String {
    let lines = SETTINGS.lines();
    let lines = lines.filter(|line| !line.contains("    keyed: {c") && !line.contains("    post:"));
    lines.collect::<Vec<_>>().join("\n")
}

/// Waits until a condition is true, and panics with its description after 10 s.
pub fn wait_until(condition: &str, mut is_true: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(10);
    while !is_true() {
        assert!(Instant::now() < end, "not within 10 s: {condition}");
        std::thread::yield_now();
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Runs a test's client on the current thread, and panics after 20 s.
pub fn run<T>(test: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        tokio::time::timeout(Duration::from_secs(20), test)
            .await
            .expect("the client ends within 20 s")
    })
}
