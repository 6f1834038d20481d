//! The coordinator's numbered events to changes of the list of workers.
//!
//! A worker is its id and its address: a machine that comes under the id of another, or under its address, is another
//! worker, and nothing that is open to the one is the other's. Its name for the dispatcher is its id alone: addresses
//! differ from front end to front end, and every one has to give a worker the same number. One that comes elsewhere under
//! the same id is therefore first reported gone, then reported as started just now.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tansy_dispatch::{WorkerRecord, WorkerState};

/// A reply of the coordinator, and `known` of the configuration.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointUpdates {
    /// The last event's number.
    pub index: u64,
    /// The events.
    #[serde(default)]
    pub updates: Vec<EndpointEvent>,
}

/// One event.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointEvent {
    /// Its number.
    pub index: u64,
    /// Changes of workers; events of other kinds have none.
    #[serde(default)]
    pub endpoints: Option<Endpoints>,
}

/// Changes of workers.
#[derive(Clone, Debug, Deserialize)]
pub struct Endpoints {
    /// It carries the whole list.
    #[serde(default)]
    pub full: bool,
    /// The workers.
    #[serde(default)]
    pub servers: Vec<Server>,
}

/// One worker.
#[derive(Clone, Debug, Deserialize)]
pub struct Server {
    /// Its id.
    pub id: String,
    /// Its address; may be left out for one that is gone.
    #[serde(default)]
    pub addr: Option<SocketAddr>,
    /// Its zone, by name.
    #[serde(default)]
    pub zone: String,
    /// Its kind of machine, by name.
    #[serde(default)]
    pub kind: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u64,
    /// `Ready`, `Terminating` or `Gone`.
    pub state: String,
    /// A figure to compare its size with others'.
    #[serde(default = "one")]
    pub weight: f64,
    /// Unix millisecond of a late start; 0: long ago.
    #[serde(default)]
    pub started_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// One change for the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointChange {
    /// The worker's entry in the list.
    pub endpoint: WorkerRecord,
    /// Where it is.
    pub address: SocketAddr,
}

/// The list as far as its events have come.
#[derive(Debug, Default)]
pub struct EndpointList {
    zones: Vec<String>,
    kinds: Vec<String>,
    index: u64,
    /// The workers that are not gone.
    workers: BTreeMap<String, SocketAddr>,
}

impl EndpointList {
    /// An empty list; zones and kinds are named as in the settings.
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> EndpointList {
        EndpointList {
            zones,
            kinds,
            ..EndpointList::default()
        }
    }
    /// The number of the last event taken.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Workers that are not gone.
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Takes a reply; the changes of each event later than those taken before, in order, each with whether it is the whole
    /// list. `unix_ms`: the Unix clock now.
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
        // Numbers without events: there are none up to there.
        self.index = self.index.max(updates.index);
        all
    }

    /// The end of the worker that stood under this one's id at another address.
    fn moved(&self, server: &Server) -> Option<EndpointChange> {
        let before = *self.workers.get(&server.id)?;
        server.addr.filter(|address| *address != before)?;
        Some(self.change(server, before, WorkerState::Gone, None))
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
