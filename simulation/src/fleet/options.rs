//! What is simulated: the fleet, its timing, what goes wrong, and a defect that the audit is to find.

use crate::fault::{Time, SECOND};
use crate::network::NetworkProfile;
use crate::scale::{ScaleScenario, Tier};
use serde::Serialize;
use tansy_agreement::lease::LeaseTiming;

/// A defect planted into a run, to see that the audit finds it. `tansy-sim agree --plant` takes them by their names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, clap::ValueEnum)]
pub enum PlantedDefect {
    /// A lease is counted from its grant's arrival, not from before it was requested.
    CountedFromAnswer,
    /// A version comes in force without the joint phase.
    NoJoint,
    /// A voter sends what its disk has not persisted yet.
    Unsynced,
    /// A clock's rate is off by far more than the bound.
    WildClock,
    /// Changes of strict fields do not wait for the members of the roster.
    NoRoster,
    /// Changes of scopes come in force without waiting for their subscribers.
    NoHolders,
    /// A leader that begins takes each front end for one without subscriptions.
    NoneHold,
    /// A reply older than its reader's revision is taken for one of that revision.
    OldReply,
    /// Scopes that were unsubscribed are unsubscribed again later, out of order.
    LateDrop,
}

/// What is simulated.
#[derive(Clone, Debug)]
pub struct SimulationOptions {
    /// Front ends, the voters among them.
    pub front_ends: usize,
    /// How many of them keep the log.
    pub voters: usize,
    /// Length of a lease and bound on clock rates.
    pub lease: LeaseTiming,
    /// Length of a session.
    pub session: Time,
    /// Faults are over by then; the run ends [`SimulationOptions::calm`] later.
    pub faults_until: Time,
    /// Time in which all have to agree again.
    pub calm: Time,
    /// Changes proposed.
    pub changes: usize,
    /// Front ends beside the voters that may become voters.
    pub spares: usize,
    /// How often one of the candidates is to replace a voter.
    pub replacements: usize,
    /// How messages travel.
    pub network: NetworkProfile,
    /// A defect.
    pub defect: Option<PlantedDefect>,
    /// Nothing goes wrong but that messages are late, lost or duplicated now and then.
    pub quiet: bool,
    /// How front ends come to know each other.
    pub tier: Tier,
    /// Functions that are changed by scope beside the versions; 0: none.
    pub scopes: usize,
    /// Instead of the faults, proposals and times above: this.
    pub scale: Option<ScaleScenario>,
}

impl SimulationOptions {
    /// A fleet of this size, with one voter and leases of 0.6 s.
    pub fn of(front_ends: usize) -> SimulationOptions {
        SimulationOptions {
            front_ends,
            voters: 1,
            lease: LeaseTiming {
                span: SECOND * 6 / 10,
                drift_ppm: 1_000,
            },
            session: 6 * SECOND,
            faults_until: 40 * SECOND,
            calm: 18 * SECOND,
            changes: 12,
            spares: 0,
            replacements: 0,
            network: NetworkProfile::default(),
            defect: None,
            quiet: false,
            tier: Tier::Whole,
            scopes: 0,
            scale: None,
        }
    }

    /// Whether this defect is planted.
    pub(crate) fn has_defect(&self, defect: PlantedDefect) -> bool {
        self.defect == Some(defect)
    }

    /// How many front ends have a disk: the voters, and those that may become voters.
    pub(crate) fn candidates(&self) -> usize {
        (self.voters + self.spares).min(self.front_ends)
    }
}
