//! Configurations of the front ends under test.

use super::network::unused_address;
use super::worker::Worker;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use tansy_test_support::platform_configuration::{
    worker_list, PlatformConfiguration, WorkerEntry, WorkerState,
};

/// The listen address of front ends on a free port.
pub const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A configuration with the given workers.
pub fn configuration_for(workers: &[&Worker]) -> PlatformConfiguration {
    let addresses: Vec<SocketAddr> = workers.iter().map(|worker| worker.address).collect();
    configuration_at(&addresses)
}

/// A configuration with workers at the given addresses. Its coordinator's address is unused, so that the endpoint list does not
/// change.
pub fn configuration_at(workers: &[SocketAddr]) -> PlatformConfiguration {
    let entry = |(number, address): (usize, &SocketAddr)| WorkerEntry {
        id: format!("s-{number}"),
        address: *address,
        state: WorkerState::Ready,
        started_ms: 0,
    };
    PlatformConfiguration {
        index: 0,
        front_ends: 1,
        seed: 0x8c1f_30d2_7a5b_e964,
        memory_mb: 32,
        sockets: 256,
        coordinator: unused_address(),
        workers: workers.iter().enumerate().map(entry).collect(),
        connect_timeout_s: 0.25,
        keepalive_s: 30.0,
        multiplex: 32,
        repeat_window_s: "1.0".to_string(),
    }
}

/// The configuration's workers in the form of the endpoint list, all of them in the given state.
pub fn workers_in_state(configuration: &PlatformConfiguration, state: WorkerState) -> String {
    let changed = |worker: &WorkerEntry| WorkerEntry {
        state,
        ..worker.clone()
    };
    let workers: Vec<WorkerEntry> = configuration.workers.iter().map(changed).collect();
    worker_list(&workers)
}

/// Writes the configuration of a front end that listens at `listen` to a new file.
pub fn write_configuration(configuration: &PlatformConfiguration, listen: SocketAddr) -> PathBuf {
    write_text(&configuration.text(listen))
}

/// Writes a text to a new file.
pub fn write_text(text: &str) -> PathBuf {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let name = format!("tansy-platform-{}-{number}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).unwrap();
    path
}
