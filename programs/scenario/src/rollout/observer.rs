//! What is observed from outside while the scenario runs: which processes run, and which front ends accept connections.

use super::cluster::Cluster;
use super::options::ScenarioOptions;
use super::{zone_of, ZONES};
use crate::defect::InjectedDefect;
use crate::error::ScenarioError;
use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpStream;
use std::time::Duration;
use tansy_audit::Mark;
use tansy_fleet::processes::SupervisedProcess;

/// A front end that accepts no connection within this time is unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Front ends of a zone that may be unreachable at once.
const MAX_UNREACHABLE: usize = 1;

/// The observations so far.
pub(super) struct Observer {
    options: ScenarioOptions,
    /// The name of the new program's file, as processes show it.
    new_program: String,
    /// Front ends' processes that were running, by their ids.
    processes: BTreeMap<u32, SupervisedProcess>,
    /// Sum of the shares of front ends that ran the new program, and their number.
    exposed_share_sum: f64,
    observation_count: f64,
    /// Least share of a zone's front ends that accepted connections.
    pub min_capacity: f64,
    /// What must not be, in words.
    pub violations: Vec<String>,
}

impl Observer {
    pub fn new(options: &ScenarioOptions, new_program: String) -> Observer {
        Observer {
            options: options.clone(),
            new_program,
            processes: BTreeMap::new(),
            exposed_share_sum: 0.0,
            observation_count: 0.0,
            min_capacity: 1.0,
            violations: Vec::new(),
        }
    }

    /// Average share of the front ends that ran the new program.
    pub fn exposed_share(&self) -> f64 {
        self.exposed_share_sum / self.observation_count.max(1.0)
    }

    /// Observes once.
    pub fn observe(&mut self, cluster: &Cluster) -> Result<(), ScenarioError> {
        let running = cluster.processes();
        self.check_unique_names(&running);
        self.mark_crashes(cluster, &running)?;
        let accepting = self.accepting(cluster);
        let on_new = running
            .iter()
            .filter(|process| process.program == self.new_program);
        self.exposed_share_sum += on_new.count() as f64 / self.options.front_ends as f64;
        self.observation_count += 1.0;
        self.processes = running
            .into_iter()
            .map(|process| (process.pid, process))
            .collect();
        // One that crashes takes its share of the capacity with it.
        if self.options.defect != InjectedDefect::Crash {
            for zone in 0..ZONES.len() {
                self.check_capacity(zone, &accepting);
            }
        }
        Ok(())
    }

    /// No two processes may have one name.
    fn check_unique_names(&mut self, running: &[SupervisedProcess]) {
        let mut names = BTreeSet::new();
        for process in running {
            if !names.insert(process.name.as_str()) {
                let violation = format!("two processes under {}", process.name);
                self.violations.push(violation);
            }
        }
    }

    /// One that ends in the middle of its calls answers none of them; only those with the defect do.
    fn mark_crashes(
        &self,
        cluster: &Cluster,
        running: &[SupervisedProcess],
    ) -> Result<(), ScenarioError> {
        if self.options.defect != InjectedDefect::Crash {
            return Ok(());
        }
        let ended = self
            .processes
            .values()
            .filter(|known| !running.iter().any(|process| process.pid == known.pid))
            .filter(|known| known.program == self.new_program);
        for process in ended {
            if let Ok(front) = process.name.trim_start_matches('f').parse::<usize>() {
                cluster.proxy.mark(Mark::Killed { front })?;
            }
        }
        Ok(())
    }

    /// Whether each front end accepts connections.
    fn accepting(&self, cluster: &Cluster) -> Vec<bool> {
        let accepts = |front: usize| {
            let address = cluster.grpc_address(front);
            TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).is_ok()
        };
        (0..self.options.front_ends).map(accepts).collect()
    }

    fn check_capacity(&mut self, zone: usize, accepting: &[bool]) {
        let zone_front_ends: Vec<bool> = (0..accepting.len())
            .filter(|front| zone_of(*front) == zone)
            .map(|front| accepting[front])
            .collect();
        let unreachable = zone_front_ends.iter().filter(|accepts| !**accepts).count();
        let capacity = 1.0 - unreachable as f64 / zone_front_ends.len() as f64;
        self.min_capacity = self.min_capacity.min(capacity);
        if unreachable > MAX_UNREACHABLE {
            self.violations.push(format!(
                "{unreachable} front ends of zone {} took no connections at once",
                ZONES[zone]
            ));
        }
    }
}
