//! Converts the coordinator's numbered events to changes of the worker list.
//!
//! A worker is identified by its id and its address. The dispatcher knows it by its id alone, because front ends may see
//! different addresses but must give the worker the same number. A worker whose address changes is therefore first
//! reported gone, then reported as just started, so that no open connection or request is attributed to the new machine.
//!
//! What a reply or a change does not state is never made up: an absent list of events or of workers changes nothing, and
//! an absent property of a worker keeps its last value.

use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use tansy_dispatch::names::name_hash;
use tansy_dispatch::{WorkerRecord, WorkerState};

/// A reply of the coordinator; also the form of `known` in the configuration.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointUpdates {
    /// The number of the last event.
    pub index: u64,
    /// The events, by increasing number. If absent, the reply states nothing.
    #[serde(default)]
    pub updates: Option<Vec<EndpointEvent>>,
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
    /// The changed workers, or all of them. If absent, none has changed.
    #[serde(default)]
    pub servers: Option<Vec<Server>>,
}

/// The state of a worker. Its last known properties apply where they are absent.
#[derive(Clone, Debug, Deserialize)]
pub struct Server {
    /// The id.
    pub id: String,
    /// The address.
    #[serde(default)]
    pub addr: Option<SocketAddr>,
    /// The name of the zone.
    #[serde(default)]
    pub zone: Option<String>,
    /// The name of the machine kind.
    #[serde(default)]
    pub kind: Option<String>,
    /// The cell.
    #[serde(default)]
    pub cell: Option<u64>,
    /// `Ready`, `Terminating` or `Gone`.
    pub state: String,
    /// The size relative to other workers.
    #[serde(default)]
    pub weight: Option<f64>,
    /// The start time in Unix milliseconds, if recent; otherwise 0.
    #[serde(default)]
    pub started_ms: Option<f64>,
}

/// A change of a worker, for the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointChange {
    /// The worker's entry in the list.
    pub endpoint: WorkerRecord,
    /// The worker's address.
    pub address: SocketAddr,
}

/// The properties of a listed worker.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Properties {
    address: SocketAddr,
    kind: usize,
    cell: u64,
    zone: usize,
    relative_size: f64,
    /// The stated start time in Unix milliseconds; 0 if it is not recent or was never stated.
    started_ms: f64,
}

impl Properties {
    /// The time since the stated start, microseconds; `None` if the start is not recent.
    fn age(&self, unix_ms: f64) -> Option<i64> {
        (self.started_ms > 0.0).then(|| ((unix_ms - self.started_ms) * 1e3).max(0.0) as i64)
    }
}

/// The size of a worker whose size was never stated.
const USUAL_SIZE: f64 = 1.0;

/// The worker list, as of the last event applied.
#[derive(Debug, Default)]
pub struct EndpointList {
    zones: Vec<String>,
    kinds: Vec<String>,
    index: u64,
    /// The workers that are not gone.
    workers: BTreeMap<String, Properties>,
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
        let Some(events) = &updates.updates else {
            return all;
        };
        for event in events {
            if event.index <= self.index {
                continue;
            }
            self.index = event.index;
            let endpoints = event.endpoints.as_ref();
            let listed = endpoints.and_then(|endpoints| {
                let servers = endpoints.servers.as_deref()?;
                Some((endpoints.full, servers))
            });
            if let Some((full, servers)) = listed {
                let moved: Vec<EndpointChange> = servers
                    .iter()
                    .filter_map(|server| self.moved(server))
                    .collect();
                let changes = self.apply_event(full, servers, &moved, unix_ms);
                all.extend((!moved.is_empty()).then_some((false, moved)));
                all.push((full, changes));
            }
        }
        // No further events exist up to the number of the reply.
        self.index = self.index.max(updates.index);
        all
    }

    /// If the worker's address changed: the change that reports it gone at the previous address.
    fn moved(&self, server: &Server) -> Option<EndpointChange> {
        let previous = *self.workers.get(&server.id)?;
        server.addr.filter(|address| *address != previous.address)?;
        Some(change(&server.id, previous, WorkerState::Gone, None))
    }

    fn apply_event(
        &mut self,
        full: bool,
        servers: &[Server],
        moved: &[EndpointChange],
        unix_ms: f64,
    ) -> Vec<EndpointChange> {
        let mut changes = Vec::new();
        for server in servers {
            let Some(properties) = self.properties(server) else {
                continue;
            };
            let state = match server.state.as_str() {
                "Ready" => WorkerState::Ready,
                "Terminating" => WorkerState::Draining,
                _ => WorkerState::Gone,
            };
            let has_moved = moved.iter().any(|change| change.endpoint.name == server.id);
            let age = properties.age(unix_ms).or(has_moved.then_some(0));
            changes.push(change(&server.id, properties, state, age));
            if state == WorkerState::Gone {
                self.workers.remove(&server.id);
            } else {
                self.workers.insert(server.id.clone(), properties);
            }
        }
        if full {
            let listed: BTreeSet<&str> = servers.iter().map(|server| server.id.as_str()).collect();
            self.workers.retain(|id, _| listed.contains(id.as_str()));
        }
        changes
    }

    /// The properties of a worker: those stated, else the last known ones. `None` if its address was never stated.
    fn properties(&self, server: &Server) -> Option<Properties> {
        let known = self.workers.get(&server.id);
        let kind = server.kind.as_deref();
        let zone = server.zone.as_deref();
        let address = server.addr.or(known.map(|known| known.address))?;
        // The start of the previous machine says nothing about a machine at another address.
        let same_machine = known.filter(|known| known.address == address);
        Some(Properties {
            address,
            kind: kind
                .map(|kind| index_of(&self.kinds, kind))
                .or(known.map(|known| known.kind))
                .unwrap_or(0),
            cell: server.cell.or(known.map(|known| known.cell)).unwrap_or(0),
            zone: zone
                .map(|zone| index_of(&self.zones, zone))
                .or(known.map(|known| known.zone))
                .unwrap_or(0),
            relative_size: server
                .weight
                .or(known.map(|known| known.relative_size))
                .unwrap_or(USUAL_SIZE),
            started_ms: server
                .started_ms
                .or(same_machine.map(|known| known.started_ms))
                .unwrap_or(0.0),
        })
    }
}

fn change(
    name: &str,
    properties: Properties,
    state: WorkerState,
    age: Option<i64>,
) -> EndpointChange {
    let endpoint = WorkerRecord {
        name: name.to_string(),
        kind: properties.kind,
        cell: properties.cell,
        zone: properties.zone,
        state,
        age,
        relative_size: properties.relative_size,
    };
    EndpointChange {
        endpoint,
        address: properties.address,
    }
}

/// The index of a name in the settings. A name that the settings do not state has an index of its own beyond theirs:
/// workers of an unknown zone are not in the zone of others.
fn index_of(names: &[String], name: &str) -> usize {
    let index = names.iter().position(|known| known == name);
    index.unwrap_or_else(|| names.len() + (name_hash(name) >> 16) as usize)
}
