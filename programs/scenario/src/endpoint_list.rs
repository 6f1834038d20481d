//! Endpoint lists: the files from which gateways read where the workers are.

use crate::error::ScenarioError;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Instant;

/// What an endpoint list says of a worker beyond its name.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedWorker {
    /// Where the gateway reaches it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: &'static str,
    /// It gets nothing new; none: the list does not say whether.
    pub draining: Option<bool>,
    /// Which process of its name it is; none: the list does not say.
    pub incarnation: Option<u64>,
    /// When it started, if lately.
    pub started: Option<Instant>,
}

impl ListedWorker {
    /// A worker that takes calls, of which the list says no more than where it is.
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

/// The zone of a worker where the first half of them is in one zone and the rest in the other.
pub fn zone_by_half(worker: usize, workers: usize) -> &'static str {
    if worker < workers / 2 {
        "room-a"
    } else {
        "room-b"
    }
}

/// The file of a front end's own list in the scenario's folder.
pub fn path(folder: &Path, front: usize) -> PathBuf {
    folder.join(format!("list-{front}.cue"))
}

/// Replaces a front end's own list at once: no reader meets half of it.
///
/// # Errors
/// The files can't be written.
pub fn replace(folder: &Path, front: usize, workers: &[ListedWorker]) -> Result<(), ScenarioError> {
    let file = path(folder, front);
    let fresh = folder.join(format!("new-{front}"));
    std::fs::write(&fresh, text(workers)).map_err(ScenarioError::file(&fresh))?;
    std::fs::rename(&fresh, &file).map_err(ScenarioError::file(&file))
}

/// The text of a list.
pub fn text(workers: &[ListedWorker]) -> String {
    let lines: Vec<String> = workers
        .iter()
        .enumerate()
        .map(|(index, worker)| worker.line(index))
        .collect();
    format!("workers: [\n{}\n]\n", lines.join("\n"))
}
