//! The coordinator's numbered events to changes of the list of workers.
//!
//! A worker is its id and its address: a machine that comes under the id of another, or under its address, is another
//! worker, and nothing that is open to the one is the other's. Its name for the ledger is its id alone: addresses differ
//! from front end to front end, and every one has to give a worker the same number. One that comes elsewhere under the
//! same id is therefore first told gone, then told as started just now.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tansy_dispatch::WorkerRecord;

/// A reply of the coordinator, and `known` of the configuration.
#[derive(Clone, Debug, Deserialize)]
pub struct Updates {
    /// The last event's number.
    pub index: u64,
    /// The events.
    #[serde(default)]
    pub updates: Vec<Event>,
}

/// One event.
#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    /// Its number.
    pub index: u64,
    /// What it says of workers; events of other kinds have none.
    #[serde(default)]
    pub endpoints: Option<Endpoints>,
}

/// What an event says of workers.
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

/// One change for the ledger.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Its line in the list.
    pub listed: WorkerRecord,
    /// Where it is.
    pub address: SocketAddr,
}

/// The list as far as it was told.
#[derive(Debug, Default)]
pub struct List {
    zones: Vec<String>,
    kinds: Vec<String>,
    index: u64,
    held: BTreeMap<String, SocketAddr>,
}

const READY: u8 = 0;
const DRAINING: u8 = 1;
const GONE: u8 = 2;

impl List {
    /// A list of nothing; zones and kinds are named as in the settings.
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> List {
        List {
            zones,
            kinds,
            ..List::default()
        }
    }
    /// The last event held.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Workers held: told, and not gone.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Takes a reply; gives the changes of each event later than those held, in order, and whether it is the whole list.
    /// `unix_ms`: the Unix clock now.
    pub fn take(&mut self, updates: &Updates, unix_ms: f64) -> Vec<(bool, Vec<Change>)> {
        let mut out = Vec::new();
        for event in &updates.updates {
            if event.index <= self.index {
                continue;
            }
            self.index = event.index;
            if let Some(e) = &event.endpoints {
                let moved: Vec<Change> = e.servers.iter().filter_map(|s| self.moved(s)).collect();
                let changes = self.event(e, &moved, unix_ms);
                out.extend((!moved.is_empty()).then_some((false, moved)));
                out.push((e.full, changes));
            }
        }
        // Numbers without events: there is nothing to tell up to there.
        self.index = self.index.max(updates.index);
        out
    }

    /// The end of the worker that stood under this one's id at another address.
    fn moved(&self, s: &Server) -> Option<Change> {
        let before = *self.held.get(&s.id)?;
        s.addr.filter(|a| *a != before)?;
        Some(self.change(s, before, GONE, None))
    }

    fn event(&mut self, e: &Endpoints, moved: &[Change], unix_ms: f64) -> Vec<Change> {
        let mut changes = Vec::new();
        for s in &e.servers {
            let Some(address) = s.addr.or(self.held.get(&s.id).copied()) else {
                continue;
            };
            let state = match s.state.as_str() {
                "Ready" => READY,
                "Terminating" => DRAINING,
                _ => GONE,
            };
            let told =
                (s.started_ms > 0.0).then(|| ((unix_ms - s.started_ms) * 1e3).max(0.0) as i64);
            let age = told.or(moved.iter().any(|m| m.listed.name == s.id).then_some(0));
            changes.push(self.change(s, address, state, age));
            if state == GONE {
                self.held.remove(&s.id);
            } else {
                self.held.insert(s.id.clone(), address);
            }
        }
        if e.full {
            self.held
                .retain(|id, _| e.servers.iter().any(|s| s.id == *id));
        }
        changes
    }

    fn change(&self, s: &Server, address: SocketAddr, state: u8, age: Option<i64>) -> Change {
        let place =
            |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(0);
        let listed = WorkerRecord {
            name: s.id.clone(),
            kind: place(&self.kinds, &s.kind),
            cell: s.cell,
            zone: place(&self.zones, &s.zone),
            state,
            age,
            relative_size: s.weight,
        };
        Change { listed, address }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn updates(text: &str) -> Updates {
        serde_json::from_str(text).unwrap()
    }
    fn names(changes: &[(bool, Vec<Change>)]) -> Vec<(String, u8)> {
        let all = changes.iter().flat_map(|c| &c.1);
        all.map(|c| (c.listed.name.clone(), c.listed.state))
            .collect()
    }

    const FIRST: &str = r#"{"index":1,"updates":[{"index":1,"endpoints":{"version":1,"full":true,"servers":[
        {"id":"s-a","addr":"127.0.0.2:1","zone":"east","kind":"big","cell":2,"state":"Ready","weight":4,"started_ms":0},
        {"id":"s-b","addr":"127.0.0.3:1","zone":"west","kind":"std","cell":2,"state":"Ready","weight":2,"started_ms":1500}
        ]}}]}"#;

    #[test]
    fn events_are_taken_once_and_in_order() {
        let mut list = List::new(
            vec!["west".into(), "east".into()],
            vec!["std".into(), "big".into()],
        );
        let got = list.take(&updates(FIRST), 2000.0);
        assert!(got[0].0);
        let a = &got[0].1[0].listed;
        assert_eq!(
            (a.zone, a.kind, a.cell, a.age, a.relative_size),
            (1, 1, 2, None, 4.0)
        );
        assert_eq!(got[0].1[1].listed.age, Some(500_000));
        assert!(
            list.take(&updates(FIRST), 2000.0).is_empty(),
            "an event held already"
        );
        let drains = r#"{"index":2,"updates":[{"index":2,"endpoints":{"servers":[{"id":"s-a","state":"Terminating"}]}}]}"#;
        let got = list.take(&updates(drains), 2000.0);
        assert_eq!(names(&got), [("s-a".to_string(), DRAINING)]);
        assert_eq!(list.index(), 2);
        assert!(list
            .take(&updates(r#"{"index":7,"updates":[]}"#), 0.0)
            .is_empty());
        assert_eq!(list.index(), 7);
    }

    #[test]
    fn another_address_is_another_worker() {
        let mut list = List::new(vec![], vec![]);
        list.take(&updates(FIRST), 0.0);
        let moved = r#"{"index":2,"updates":[{"index":2,"endpoints":{"servers":[
            {"id":"s-a","addr":"127.0.0.9:1","state":"Ready"},
            {"id":"s-c","addr":"127.0.0.2:1","state":"Ready"}]}}]}"#;
        let got = list.take(&updates(moved), 0.0);
        assert_eq!(
            names(&got),
            [("s-a", GONE), ("s-a", READY), ("s-c", READY)].map(|(n, s)| (n.to_string(), s))
        );
        assert_eq!(got.len(), 2, "the end comes first, by itself");
        assert_eq!(
            (got[0].1[0].address.to_string(), got[1].1[0].listed.age),
            ("127.0.0.2:1".into(), Some(0))
        );
    }

    #[test]
    fn a_worker_has_the_same_name_at_every_front_end() {
        let elsewhere = FIRST.replace("127.0.0.", "127.9.0.");
        let all = [FIRST, &elsewhere]
            .map(|text| names(&List::new(vec![], vec![]).take(&updates(text), 0.0)));
        assert_eq!(all[0], all[1]);
    }
}
