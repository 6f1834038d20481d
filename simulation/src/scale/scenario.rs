//! What befalls a fleet at its size, and how its front ends come to know each other.

use crate::fault::{Time, SECOND};
use crate::network::NetworkProfile;
use serde::Serialize;

/// How front ends come to know each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum Tier {
    /// Each finds the others itself, by gossip.
    #[default]
    Whole,
    /// All are given one directory of who is there.
    Hollow,
}

/// How messages travel inside a region: over connections, so that none is lost or duplicated.
pub const REGION_NETWORK: NetworkProfile = NetworkProfile {
    min_transit: SECOND / 5000,
    max_transit: SECOND * 3 / 1000,
    loss: 0.0,
    duplication: 0.0,
};

/// What befalls a fleet once all act.
#[derive(Clone, Debug)]
pub struct ScaleScenario {
    /// Time that is counted.
    pub measured_span: Time,
    /// Regions, in which the front ends are placed in turn; the voters are the first front ends.
    pub regions: usize,
    /// Changes asked for in an hour.
    pub changes_per_hour: f64,
    /// One of so many is of a strict field; 0: none.
    pub strict_every: usize,
    /// Changes asked for at one moment beside these.
    pub burst: usize,
    /// Processes that end without notice in an hour, and are back after 2 to 10 s.
    pub restarts_per_hour: f64,
    /// Front ends that end without notice at the beginning, and for good.
    pub dead: usize,
    /// Regions that are partitioned from all others; the last ones.
    pub partitioned_regions: usize,
    /// For so long, from a fifth of the time that is counted.
    pub partition_span: Time,
    /// Fields beside the few, two of each function.
    pub functions: usize,
    /// Changes are of single functions, of so many, by scope; 0: of versions.
    pub by_scope: usize,
    /// Changes come one after the other in even steps, and not at uniformly drawn times.
    pub even_steps: bool,
    /// Share of the changes by scope that go to functions which a uniformly drawn front end gets requests for.
    pub requested_share: f64,
    /// The same of functions which one of those that ended for good got requests for.
    pub requested_by_dead_share: f64,
    /// Front ends of one rack, which end at once and for good, at a fifth of the time that is counted.
    pub rack: usize,
    /// Of so many zones one ends at once then; 0: none.
    pub zone: usize,
    /// After this time the zone's front ends are back.
    pub zone_downtime: Time,
    /// The rack or the zone is that of the leader; else one without voters.
    pub with_leader: bool,
    /// Rolling restart from then on: the fleet in so many parts, each once the one before acts; 0: none.
    pub rolling: usize,
    /// A part that is restarted is away for so long.
    pub rolling_downtime: Time,
}

impl Default for ScaleScenario {
    fn default() -> ScaleScenario {
        ScaleScenario {
            measured_span: 60 * SECOND,
            regions: 1,
            changes_per_hour: 0.0,
            strict_every: 4,
            burst: 0,
            restarts_per_hour: 0.0,
            dead: 0,
            partitioned_regions: 0,
            partition_span: 0,
            functions: 0,
            by_scope: 0,
            even_steps: false,
            requested_share: 0.0,
            requested_by_dead_share: 0.0,
            rack: 0,
            zone: 0,
            zone_downtime: 0,
            with_leader: false,
            rolling: 0,
            rolling_downtime: 0,
        }
    }
}
