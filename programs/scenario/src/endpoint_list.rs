//! Endpoint lists: the files from which gateways read the addresses of the workers.

use crate::error::ScenarioError;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Instant;

/// A worker's entry in an endpoint list, without its name.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedWorker {
    /// Address where the gateway reaches the worker.
    pub address: SocketAddr,
    /// Zone of the worker.
    pub zone: &'static str,
    /// Whether the worker is draining; `None` leaves the state out of the entry.
    pub draining: Option<bool>,
    /// Incarnation of the worker, raised when another process takes its name; `None` leaves it out of the entry.
    pub incarnation: Option<u64>,
    /// When the worker started; `None` leaves its age out of the entry.
    pub started: Option<Instant>,
}

impl ListedWorker {
    /// An entry with nothing but the address and the zone.
    pub fn new(address: SocketAddr, zone: &'static str) -> ListedWorker {
        ListedWorker {
            address,
            zone,
            draining: None,
            incarnation: None,
            started: None,
        }
    }

    fn line(&self, index: usize) -> String {
        let mut line = format!(
            "    {{name: \"w{index}\", address: \"{}\", zone: \"{}\"",
            self.address, self.zone
        );
        if let Some(draining) = self.draining {
            let state = if draining { "draining" } else { "ready" };
            line += &format!(", state: \"{state}\"");
        }
        if let Some(incarnation) = self.incarnation {
            line += &format!(", incarnation: {incarnation}");
        }
        if let Some(started) = self.started {
            line += &format!(", started: {}us", started.elapsed().as_micros());
        }
        line + "}"
    }
}

/// The zone of a worker: `room-a` for the first half of the workers, `room-b` for the rest.
pub fn zone_by_half(worker: usize, workers: usize) -> &'static str {
    if worker < workers / 2 {
        "room-a"
    } else {
        "room-b"
    }
}

/// The path of a front end's endpoint list in the scenario's folder.
pub fn path(folder: &Path, front: usize) -> PathBuf {
    folder.join(format!("list-{front}.cue"))
}

/// Replaces a front end's endpoint list atomically, so that a reader never sees part of it.
///
/// # Errors
/// The files can't be written.
pub fn replace(folder: &Path, front: usize, workers: &[ListedWorker]) -> Result<(), ScenarioError> {
    let file = path(folder, front);
    let temporary = folder.join(format!("new-{front}"));
    std::fs::write(&temporary, text(workers)).map_err(ScenarioError::file(&temporary))?;
    std::fs::rename(&temporary, &file).map_err(ScenarioError::file(&file))
}

/// The text of an endpoint list.
pub fn text(workers: &[ListedWorker]) -> String {
    let lines: Vec<String> = workers
        .iter()
        .enumerate()
        .map(|(index, worker)| worker.line(index))
        .collect();
    format!("workers: [\n{}\n]\n", lines.join("\n"))
}
