//! What a fleet is made of: how many front ends of each kind, their names, and the settings.

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use tansy_agreement::lease_tree::LeaseTopology;
use tansy_fleet_node::name_to_id;

/// Hollow front ends of one process, at least: one thread runs them all.
const MIN_HOLLOW_PER_PROCESS: usize = 4;
/// Hollow front ends of one process, at most.
const MAX_HOLLOW_PER_PROCESS: usize = 100;
/// Processes over which hollow front ends are spread between these bounds.
const TARGET_HOLLOW_PROCESSES: usize = 8;

/// What a fleet is made of.
#[derive(Clone, Copy, Debug)]
pub struct FleetShape {
    /// Front ends in all.
    pub front_ends: usize,
    /// Of them real, the voters among them.
    pub real: usize,
    /// Front ends that keep the replicated log.
    pub voters: usize,
    /// The seed of all random choices.
    pub seed: u64,
    /// The session timeout `fleet.stay`, in seconds.
    pub session_seconds: u64,
    /// Functions of the settings.
    pub functions: usize,
}

impl FleetShape {
    /// Hollow front ends in all.
    pub fn hollow(&self) -> usize {
        self.front_ends - self.real
    }

    /// Hollow front ends of one process.
    pub fn hollow_per_process(&self) -> usize {
        self.hollow()
            .div_ceil(TARGET_HOLLOW_PROCESSES)
            .clamp(MIN_HOLLOW_PER_PROCESS, MAX_HOLLOW_PER_PROCESS)
    }

    /// Processes of hollow front ends.
    pub fn hollow_processes(&self) -> usize {
        self.hollow().div_ceil(self.hollow_per_process())
    }

    /// The process of a hollow front end.
    pub(super) fn hollow_process_of(&self, front_end: usize) -> usize {
        (front_end - self.real) / self.hollow_per_process()
    }

    /// Whether a front end is a gateway in a process of its own.
    pub fn is_real(&self, front_end: u32) -> bool {
        (front_end as usize) < self.real
    }

    /// The text of the settings, with the voters' names and addresses.
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

/// The name of a function of the settings.
pub fn settings_function(index: usize) -> String {
    format!("f{index:06}")
}

/// The line that sets a function.
pub(super) fn function_setting(name: &str) -> String {
    format!("    {name}: {{class: \"c\", lanes: 8, memory: 100MB, load_time: 400ms}}\n")
}

/// Names by index: the voters', those of other real front ends, half of them such that grant leases, then the hollow ones'.
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

/// Which of these front ends grant leases to others, where the one at this index leads.
pub fn lease_granters(names: &[String], leader: usize) -> Vec<bool> {
    let ids: Vec<u64> = names.iter().map(|name| name_to_id(name)).collect();
    let topology = LeaseTopology::new(ids[leader], ids.iter().copied());
    let parents: BTreeSet<u64> = ids
        .iter()
        .filter_map(|id| topology.ancestor(*id, 0))
        .collect();
    ids.iter().map(|id| parents.contains(id)).collect()
}
