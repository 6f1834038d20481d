//! Observes which front-end processes run, and which front ends accept connections.

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

/// A front end that does not accept a connection within this time counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of a zone's front ends that may be unreachable at the same time.
const MAX_UNREACHABLE: usize = 1;

/// Collects observations and violations.
pub(super) struct Observer {
    options: ScenarioOptions,
    /// Label of the new program.
    new_program: String,
    /// Front-end processes of the last observation, by process id.
    processes: BTreeMap<u32, SupervisedProcess>,
    /// Sum over all observations of the share of front ends that ran the new program.
    exposed_share_sum: f64,
    observation_count: f64,
    /// Minimum share of a zone's front ends that accepted connections.
    pub min_capacity: f64,
    /// Texts of the violations.
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

    /// Makes one observation.
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
        // Crashing front ends reduce the capacity by themselves.
        if self.options.defect != InjectedDefect::Crash {
            for zone in 0..ZONES.len() {
                self.check_capacity(zone, &accepting);
            }
        }
        Ok(())
    }

    /// Checks that no two running processes have the same name.
    fn check_unique_names(&mut self, running: &[SupervisedProcess]) {
        let mut names = BTreeSet::new();
        for process in running {
            if !names.insert(process.name.as_str()) {
                let violation =
                    format!("two processes named {} run at the same time", process.name);
                self.violations.push(violation);
            }
        }
    }

    /// Marks processes with the crash defect that have exited, so that the audit expects no answers from them.
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
            .filter(|previous| !running.iter().any(|process| process.pid == previous.pid))
            .filter(|previous| previous.program == self.new_program);
        for process in ended {
            if let Ok(front) = process.name.trim_start_matches('f').parse::<usize>() {
                cluster.proxy.mark(Mark::Killed { front })?;
            }
        }
        Ok(())
    }

    /// Tries to connect to each front end; returns whether it accepted.
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
                "{unreachable} front ends of zone {} accepted no connections at the same time",
                ZONES[zone]
            ));
        }
    }
}
