//! The options of a simulated fleet: size, timing, faults and an injected defect.

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

/// The options of a simulated fleet.
#[derive(Clone, Debug)]
pub struct SimulationOptions {
    /// Number of front ends, voters included.
    pub front_ends: usize,
    /// Number of voters, which keep the replicated log.
    pub voters: usize,
    /// Lease duration and bound on clock drift.
    pub lease: LeaseTiming,
    /// Session duration.
    pub session: Time,
    /// The time by which all faults have ended; the run ends [`SimulationOptions::recovery_time`] later.
    pub faults_until: Time,
    /// Time after the last fault within which all processes must agree again.
    pub recovery_time: Time,
    /// Number of proposed versions.
    pub changes: usize,
    /// Number of further front ends that may become voters.
    pub spares: usize,
    /// Number of requested voter replacements.
    pub replacements: usize,
    /// Transit times and loss of messages.
    pub network: NetworkProfile,
    /// An injected defect, if any.
    pub defect: Option<InjectedDefect>,
    /// Disables all faults except the message delays, loss and duplication of the network profile.
    pub quiet: bool,
    /// How front ends discover each other.
    pub tier: Tier,
    /// Number of functions whose settings are changed by scope, in addition to the versions.
    pub scopes: usize,
    /// A scenario of a large fleet, which replaces the faults, proposals and times above.
    pub scale: Option<ScaleScenario>,
}

impl SimulationOptions {
    /// The default options for a fleet of this size: one voter and leases of 0.6 s.
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

    /// Whether this defect is injected.
    pub(crate) fn has_defect(&self, defect: InjectedDefect) -> bool {
        self.defect == Some(defect)
    }

    /// Number of processes with a disk: the voters and those that may become voters.
    pub(crate) fn candidates(&self) -> usize {
        (self.voters + self.spares).min(self.front_ends)
    }
}
