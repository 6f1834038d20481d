//! Reads worker lists.

use crate::record::{address, index_of, RecordReader};
use crate::types::ConfiguredWorker;
use crate::value::Node;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use tansy_dispatch::{WorkerRecord, WorkerState};
use tansy_syntax::Diagnostic;

/// Reads a worker list. A worker without a zone is in `home_zone`.
pub(crate) fn worker_list(
    node: &Node,
    zones: &[String],
    home_zone: usize,
    errors: &mut Vec<Diagnostic>,
) -> Option<Vec<ConfiguredWorker>> {
    let root = RecordReader::new(node)?;
    let mut workers: Vec<ConfiguredWorker> = Vec::new();
    let mut names = BTreeSet::new();
    for (index, item) in root.list("workers")?.iter().enumerate() {
        let record = RecordReader::new(item)?;
        let path = |field: &str| format!("workers[{index}].{field}");
        let name = record.text("name")?;
        if !names.insert(name) {
            let problem = format!("another worker is named {name:?}");
            let help = "expected a unique name for each worker";
            errors.push(record.error("name", &path("name"), problem, help));
        }
        let address = address(record, "address", &path("address"), errors);
        let zone = index_of(record, "zone", &path("zone"), zones, home_zone, errors);
        if let (Some(address), Some(zone)) = (address, zone) {
            workers.push(worker(record, name, address, zone)?);
        }
    }
    Some(workers)
}

fn worker(
    record: RecordReader<'_>,
    name: &str,
    address: SocketAddr,
    zone: usize,
) -> Option<ConfiguredWorker> {
    let worker = WorkerRecord {
        name: name.to_string(),
        kind: usize::try_from(record.int("kind")?).ok()?,
        cell: u64::try_from(record.int("cell")?).ok()?,
        zone,
        state: match record.text("state")? {
            "ready" => WorkerState::Ready,
            "draining" => WorkerState::Draining,
            _ => WorkerState::Gone,
        },
        age: record.int("started"),
        relative_size: record.number("share")?,
    };
    Some(ConfiguredWorker {
        record: worker,
        address,
        incarnation: u64::try_from(record.int("incarnation")?).ok()?,
    })
}
