//! The size and the settings of a fleet: the number of front ends of each kind, their names, and the settings text.

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use tansy_agreement::lease_tree::LeaseTopology;
use tansy_fleet_node::name_to_id;

/// Minimum number of hollow front ends in a process.
const MIN_HOLLOW_PER_PROCESS: usize = 4;
/// Maximum number of hollow front ends in a process; they share one thread.
const MAX_HOLLOW_PER_PROCESS: usize = 100;
/// Number of processes over which hollow front ends are distributed within these limits.
const TARGET_HOLLOW_PROCESSES: usize = 8;

/// The size of a fleet, and the parameters of its settings.
#[derive(Clone, Copy, Debug)]
pub struct FleetShape {
    /// Number of front ends.
    pub front_ends: usize,
    /// Real front ends, including the voters.
    pub real: usize,
    /// Front ends that keep the replicated log.
    pub voters: usize,
    /// The seed of all random choices.
    pub seed: u64,
    /// The session timeout `fleet.stay`, in seconds.
    pub session_seconds: u64,
    /// Functions in the settings.
    pub functions: usize,
}

impl FleetShape {
    /// Returns the number of hollow front ends.
    pub fn hollow(&self) -> usize {
        self.front_ends - self.real
    }

    /// Returns the number of hollow front ends in each process but the last, which may have fewer.
    pub fn hollow_per_process(&self) -> usize {
        self.hollow()
            .div_ceil(TARGET_HOLLOW_PROCESSES)
            .clamp(MIN_HOLLOW_PER_PROCESS, MAX_HOLLOW_PER_PROCESS)
    }

    /// Returns the number of processes of hollow front ends.
    pub fn hollow_processes(&self) -> usize {
        self.hollow().div_ceil(self.hollow_per_process())
    }

    /// Returns the index of the process that runs a hollow front end.
    pub(super) fn hollow_process_of(&self, front_end: usize) -> usize {
        (front_end - self.real) / self.hollow_per_process()
    }

    /// Whether a front end is a gateway in a process of its own.
    pub fn is_real(&self, front_end: u32) -> bool {
        (front_end as usize) < self.real
    }

    /// Returns the text of the settings, with the names and addresses of the voters.
    pub fn settings_text(&self, voters: &[(String, SocketAddr)]) -> String {
        let functions: String = (0..self.functions)
            .map(|index| function_setting(&settings_function(index)))
            .collect();
        let voters: Vec<String> = voters
            .iter()
            .map(|(name, address)| format!("{{name: \"{name}\", address: \"{address}\"}}"))
            .collect();
        format!(
            "classes: {{\n    c: {{aim: 60s, deadline: 120s}}\n    d: {{aim: 60s, deadline: 120s}}\n}}\n\
             tenants: t: {{quota_per_s: 1000}}\nfunctions: {{\n\
             {functions}}}\nfleet: {{name: \"scale\", stay: {}s, seats: [{}]}}\n",
            self.session_seconds,
            voters.join(", ")
        )
    }
}

/// Returns the name of a function in the settings.
pub fn settings_function(index: usize) -> String {
    format!("f{index:06}")
}

/// Returns the settings line that defines a function.
pub(super) fn function_setting(name: &str) -> String {
    format!("    {name}: {{class: \"c\", lanes: 8, memory: 100MB, load_time: 400ms}}\n")
}

/// Returns the names of the voters, of the other real front ends and of the hollow ones, in the order of their indices.
///
/// As far as the fleet has them, half of the real front ends that are not voters grant leases to others.
pub(super) fn front_end_names(shape: &FleetShape) -> Vec<String> {
    let mut rng = fastrand::Rng::with_seed(shape.seed);
    let names: Vec<String> = (0..shape.front_ends)
        .map(|index| format!("f{index}"))
        .collect();
    let grants = lease_granters(&names, 0);
    let (mut granters, mut others): (Vec<usize>, Vec<usize>) =
        (shape.voters..shape.front_ends).partition(|index| grants[*index]);
    rng.shuffle(&mut granters);
    rng.shuffle(&mut others);
    let mut order: Vec<usize> = (0..shape.voters).collect();
    while order.len() < shape.real {
        let preferred = if order.len().is_multiple_of(2) {
            [&mut granters, &mut others]
        } else {
            [&mut others, &mut granters]
        };
        order.extend(preferred.into_iter().find_map(Vec::pop));
    }
    let mut hollow = granters;
    hollow.extend(others);
    hollow.sort_unstable();
    order
        .into_iter()
        .chain(hollow)
        .map(|index| names[index].clone())
        .collect()
}

/// Returns for each of these front ends whether it grants leases to others when the one at index `leader` leads.
pub fn lease_granters(names: &[String], leader: usize) -> Vec<bool> {
    let ids: Vec<u64> = names.iter().map(|name| name_to_id(name)).collect();
    let topology = LeaseTopology::new(ids[leader], ids.iter().copied());
    let parents: BTreeSet<u64> = ids
        .iter()
        .filter_map(|id| topology.ancestor(*id, 0))
        .collect();
    ids.iter().map(|id| parents.contains(id)).collect()
}
