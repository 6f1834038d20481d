//! What is simulated: the fleet, its timing, what goes wrong, and a defect that the audit is to find.

use crate::fault::{Time, SECOND};
use crate::network::NetworkProfile;
use crate::scale::{ScaleScenario, Tier};
use serde::Serialize;
use tansy_agreement::lease::LeaseTiming;

/// A defect injected into a run to check that the audit detects it. `tansy-sim agree --plant` selects it by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, clap::ValueEnum)]
pub enum InjectedDefect {
    /// A lease runs from the arrival of its grant instead of from before its request was sent.
    #[serde(rename = "CountedFromAnswer")]
    #[value(name = "counted-from-answer")]
    LeaseFromGrantArrival,
    /// A version comes into force without the joint phase.
    #[serde(rename = "NoJoint")]
    #[value(name = "no-joint")]
    SkippedJointPhase,
    /// A voter sends messages that depend on records its disk has not persisted yet.
    #[serde(rename = "Unsynced")]
    #[value(name = "unsynced")]
    UnpersistedSends,
    /// Clock rates deviate by far more than the configured bound.
    #[serde(rename = "WildClock")]
    #[value(name = "wild-clock")]
    ClockBeyondBound,
    /// Changes of strict fields do not wait for the members on the roster.
    #[serde(rename = "NoRoster")]
    #[value(name = "no-roster")]
    IgnoredRoster,
    /// Changes of scopes come into force without waiting for the scopes' subscribers.
    #[serde(rename = "NoHolders")]
    #[value(name = "no-holders")]
    IgnoredSubscribers,
    /// A new leader treats every front end as having no subscriptions.
    #[serde(rename = "NoneHold")]
    #[value(name = "none-hold")]
    ForgottenSubscriptions,
    /// A reply older than the receiver's revision is accepted as current.
    #[serde(rename = "OldReply")]
    #[value(name = "old-reply")]
    OldReplyAsCurrent,
    /// Every unsubscription is repeated in all later messages, out of order.
    #[serde(rename = "LateDrop")]
    #[value(name = "late-drop")]
    RepeatedUnsubscribe,
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
    /// Faults are over by then; the run ends [`SimulationOptions::recovery_time`] later.
    pub faults_until: Time,
    /// Time in which all have to agree again.
    pub recovery_time: Time,
    /// Changes proposed.
    pub changes: usize,
    /// Front ends beside the voters that may become voters.
    pub spares: usize,
    /// How often one of the candidates is to replace a voter.
    pub replacements: usize,
    /// How messages travel.
    pub network: NetworkProfile,
    /// A defect.
    pub defect: Option<InjectedDefect>,
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
            recovery_time: 18 * SECOND,
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
    pub(crate) fn has_defect(&self, defect: InjectedDefect) -> bool {
        self.defect == Some(defect)
    }

    /// How many front ends have a disk: the voters, and those that may become voters.
    pub(crate) fn candidates(&self) -> usize {
        (self.voters + self.spares).min(self.front_ends)
    }
}
