//! Converts the coordinator's numbered events to changes of the worker list.
//!
//! A worker is identified by its id and its address. The dispatcher knows it by its id alone, because front ends may see
//! different addresses but must give the worker the same number. A worker whose address changes is therefore first
//! reported gone, then reported as just started, so that no open connection or request is attributed to the new machine.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tansy_dispatch::{WorkerRecord, WorkerState};

/// A reply of the coordinator; also the form of `known` in the configuration.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointUpdates {
    /// The number of the last event.
    pub index: u64,
    /// The events, by increasing number.
    #[serde(default)]
    pub updates: Vec<EndpointEvent>,
}

/// An event of the coordinator.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointEvent {
    /// The number of the event.
    pub index: u64,
    /// Changes of workers; absent in events of other kinds.
    #[serde(default)]
    pub endpoints: Option<Endpoints>,
}

/// Changes of workers.
#[derive(Clone, Debug, Deserialize)]
pub struct Endpoints {
    /// Whether `servers` is the full list.
    #[serde(default)]
    pub full: bool,
    /// The changed workers, or all of them.
    #[serde(default)]
    pub servers: Vec<Server>,
}

/// The state of a worker.
#[derive(Clone, Debug, Deserialize)]
pub struct Server {
    /// The id.
    pub id: String,
    /// The address; if absent, the last known one applies.
    #[serde(default)]
    pub addr: Option<SocketAddr>,
    /// The name of the zone.
    #[serde(default)]
    pub zone: String,
    /// The name of the machine kind.
    #[serde(default)]
    pub kind: String,
    /// The cell.
    #[serde(default)]
    pub cell: u64,
    /// `Ready`, `Terminating` or `Gone`.
    pub state: String,
    /// The size relative to other workers.
    #[serde(default = "one")]
    pub weight: f64,
    /// The start time in Unix milliseconds, if recent; otherwise 0.
    #[serde(default)]
    pub started_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// A change of a worker, for the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointChange {
    /// The worker's entry in the list.
    pub endpoint: WorkerRecord,
    /// The worker's address.
    pub address: SocketAddr,
}

/// The worker list, as of the last event applied.
#[derive(Debug, Default)]
pub struct EndpointList {
    zones: Vec<String>,
    kinds: Vec<String>,
    index: u64,
    /// The workers that are not gone.
    workers: BTreeMap<String, SocketAddr>,
}

impl EndpointList {
    /// Creates an empty list. `zones` and `kinds` are the names in the settings, by index.
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> EndpointList {
        EndpointList {
            zones,
            kinds,
            ..EndpointList::default()
        }
    }
    /// The number of the last event applied.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// The number of workers that are not gone.
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Applies a reply. Returns the changes of each event that was not applied before, in order, each with a flag that is set
    /// if the changes are the full list. `unix_ms` is the current Unix time.
    pub fn apply(
        &mut self,
        updates: &EndpointUpdates,
        unix_ms: f64,
    ) -> Vec<(bool, Vec<EndpointChange>)> {
        let mut all = Vec::new();
        for event in &updates.updates {
            if event.index <= self.index {
                continue;
            }
            self.index = event.index;
            if let Some(endpoints) = &event.endpoints {
                let moved: Vec<EndpointChange> = endpoints
                    .servers
                    .iter()
                    .filter_map(|server| self.moved(server))
                    .collect();
                let changes = self.apply_event(endpoints, &moved, unix_ms);
                all.extend((!moved.is_empty()).then_some((false, moved)));
                all.push((endpoints.full, changes));
            }
        }
        // No further events exist up to the number of the reply.
        self.index = self.index.max(updates.index);
        all
    }

    /// If the worker's address changed: the change that reports it gone at the previous address.
    fn moved(&self, server: &Server) -> Option<EndpointChange> {
        let previous = *self.workers.get(&server.id)?;
        server.addr.filter(|address| *address != previous)?;
        Some(self.change(server, previous, WorkerState::Gone, None))
    }

    fn apply_event(
        &mut self,
        endpoints: &Endpoints,
        moved: &[EndpointChange],
        unix_ms: f64,
    ) -> Vec<EndpointChange> {
        let mut changes = Vec::new();
        for server in &endpoints.servers {
            let Some(address) = server.addr.or(self.workers.get(&server.id).copied()) else {
                continue;
            };
            let state = match server.state.as_str() {
                "Ready" => WorkerState::Ready,
                "Terminating" => WorkerState::Draining,
                _ => WorkerState::Gone,
            };
            let stated = (server.started_ms > 0.0)
                .then(|| ((unix_ms - server.started_ms) * 1e3).max(0.0) as i64);
            let has_moved = moved.iter().any(|change| change.endpoint.name == server.id);
            let age = stated.or(has_moved.then_some(0));
            changes.push(self.change(server, address, state, age));
            if state == WorkerState::Gone {
                self.workers.remove(&server.id);
            } else {
                self.workers.insert(server.id.clone(), address);
            }
        }
        if endpoints.full {
            self.workers
                .retain(|id, _| endpoints.servers.iter().any(|server| server.id == *id));
        }
        changes
    }

    fn change(
        &self,
        server: &Server,
        address: SocketAddr,
        state: WorkerState,
        age: Option<i64>,
    ) -> EndpointChange {
        let index_of = |names: &[String], name: &str| {
            let index = names.iter().position(|known| known == name);
            index.unwrap_or(0)
        };
        let endpoint = WorkerRecord {
            name: server.id.clone(),
            kind: index_of(&self.kinds, &server.kind),
            cell: server.cell,
            zone: index_of(&self.zones, &server.zone),
            state,
            age,
            relative_size: server.weight,
        };
        EndpointChange { endpoint, address }
    }
}
