//! The scenario of a run at scale, and how its front ends discover each other.

use crate::fault::{Time, SECOND};
use crate::network::NetworkProfile;
use serde::Serialize;

/// How front ends discover each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum Tier {
    /// Each front end discovers the others by gossip.
    #[default]
    Whole,
    /// All front ends share one member directory; gossip is not simulated.
    Hollow,
}

/// The network within a region. Messages use reliable connections, so that none are lost or duplicated.
pub const REGION_NETWORK: NetworkProfile = NetworkProfile {
    min_transit: SECOND / 5000,
    max_transit: SECOND * 3 / 1000,
    loss: 0.0,
    duplication: 0.0,
};

/// The events in a fleet once all front ends have joined.
#[derive(Clone, Debug)]
pub struct ScaleScenario {
    /// Duration of the measurement.
    pub measured_span: Time,
    /// Number of regions; front ends, of which the voters are the first, are assigned to them round-robin.
    pub regions: usize,
    /// Changes requested per hour.
    pub changes_per_hour: f64,
    /// One change in this many is of a strict field; 0 for none.
    pub strict_every: usize,
    /// Number of further changes requested at the same moment.
    pub burst: usize,
    /// Processes that crash per hour and restart after 2 to 10 s.
    pub restarts_per_hour: f64,
    /// Number of front ends that crash permanently when the measurement begins.
    pub permanent_crashes: usize,
    /// Number of regions isolated from all others; the last ones.
    pub partitioned_regions: usize,
    /// Duration of the partition, which begins at a fifth of the measurement.
    pub partition_span: Time,
    /// Number of functions in the settings, with two fields each.
    pub functions: usize,
    /// Number of functions changed individually by scope; 0 to change versions instead.
    pub scoped_functions: usize,
    /// Spaces the changes evenly instead of drawing their times uniformly.
    pub even_steps: bool,
    /// Share of the scope changes that affect a function for which a uniformly drawn front end receives requests.
    pub requested_share: f64,
    /// Share of the scope changes that affect a function for which a permanently crashed front end received requests.
    pub requested_by_dead_share: f64,
    /// Number of front ends in one rack, all of which crash permanently at a fifth of the measurement.
    pub rack_size: usize,
    /// Number of zones, one of which crashes at a fifth of the measurement; 0 for none.
    pub zones: usize,
    /// Time until the front ends of the crashed zone restart.
    pub zone_downtime: Time,
    /// Whether the rack or zone contains the leader; otherwise it contains no voters.
    pub with_leader: bool,
    /// Number of batches of a rolling restart that begins at a fifth of the measurement; each batch waits until the previous
    /// one has joined again. 0 for none.
    pub rolling_batches: usize,
    /// Downtime of each batch of the rolling restart.
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
            permanent_crashes: 0,
            partitioned_regions: 0,
            partition_span: 0,
            functions: 0,
            scoped_functions: 0,
            even_steps: false,
            requested_share: 0.0,
            requested_by_dead_share: 0.0,
            rack_size: 0,
            zones: 0,
            zone_downtime: 0,
            with_leader: false,
            rolling_batches: 0,
            rolling_downtime: 0,
        }
    }
}
