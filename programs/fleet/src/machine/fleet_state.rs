//! What a supervisor or controller knows of the fleet, and the controller's next step.

use super::ANSWER_TIMEOUT;
use crate::client::Client;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;
use tansy_fleet_wire::pb::enter_request::Entry;
use tansy_fleet_wire::{decode_counters, decode_rollout, encode_rollout_entry, pb};
use tansy_rollout::{
    FrontEndObservation, Rollout, RolloutChange, RolloutController, RolloutEntry, Time,
};

/// What is known of the fleet.
#[derive(Default)]
pub(super) struct FleetState {
    /// When the leader was asked last of those times that it answered.
    pub(super) asked: Time,
    pub(super) rollout: Option<Rollout>,
    /// The last answer came from the leader: nothing later was agreed on.
    pub(super) fresh: bool,
    /// The label and path of the program that all are to run, by the log.
    pub(super) program: Option<(String, String)>,
    pub(super) leader: Option<SocketAddr>,
    /// Where each front end is reached.
    known: BTreeSet<SocketAddr>,
}

/// Microseconds since the start of the program.
pub(super) fn micros(began: Instant) -> Time {
    Time::try_from(began.elapsed().as_micros()).unwrap_or(Time::MAX)
}

impl FleetState {
    /// Asks these and all known front ends for the state of the rollout, and one for the front ends that there are.
    pub(super) fn refresh(&mut self, client: &mut Client, at: &[SocketAddr], began: Instant) {
        let asked = micros(began);
        let addresses: BTreeSet<SocketAddr> = at.iter().chain(&self.known).copied().collect();
        let addresses: Vec<SocketAddr> = addresses.into_iter().collect();
        let answers = client.rollouts(&addresses, ANSWER_TIMEOUT);
        self.fresh = false;
        for (address, answer) in addresses.iter().zip(answers) {
            if let Ok(reply) = answer {
                self.on_reply(*address, reply);
            }
        }
        if self.fresh {
            self.asked = asked;
        }
        let first = self.leader.or(at.first().copied());
        let status = first.map(|address| client.status_within(address, ANSWER_TIMEOUT));
        if let Some(Ok(status)) = status {
            self.known = status
                .other_members
                .iter()
                .chain(&status.process)
                .filter_map(|process| process.address.parse().ok())
                .collect();
        }
    }

    /// Takes over a front end's state of the rollout, unless that is older than what is known.
    fn on_reply(&mut self, address: SocketAddr, reply: pb::RolloutReply) {
        let Ok(rollout) = decode_rollout(&reply.rollout) else {
            tracing::error!(%address, "a rollout that this program can't read: finish the update of `tansy-fleet`");
            return;
        };
        let is_later = self.rollout.is_none() || {
            let position = |rollout: &Option<Rollout>| {
                rollout
                    .as_ref()
                    .map_or((0, 0), |rollout| (rollout.id, rollout.revision))
            };
            let known = position(&self.rollout);
            let answered = position(&rollout);
            answered.0 != known.0 || answered >= known
        };
        if reply.is_leader {
            self.fresh = true;
            self.leader = Some(address);
        }
        if reply.is_leader || (!self.fresh && is_later && rollout.is_some()) {
            self.rollout = rollout;
            self.program = (!reply.label.is_empty()).then_some((reply.label, reply.path));
        }
    }

    /// Enters the controller's next entry, if it has one.
    pub(super) fn control(
        &self,
        client: &mut Client,
        controller: &mut RolloutController,
        began: Instant,
    ) {
        let (Some(rollout), Some(leader)) = (&self.rollout, self.leader) else {
            return;
        };
        if !self.fresh {
            return;
        }
        let front_ends = match rollout.has_ended() {
            true => Vec::new(),
            false => self.observe(client, rollout),
        };
        let Some(entry) = controller.poll(micros(began), rollout, &front_ends) else {
            return;
        };
        let is_heartbeat = matches!(entry, RolloutEntry::Heartbeat { .. });
        let message = Entry::Rollout(encode_rollout_entry(&entry, None));
        match client.enter_within(leader, message, ANSWER_TIMEOUT) {
            Ok(_) if is_heartbeat => {}
            Ok(_) => tracing::info!(?entry, "an entry of the rollout"),
            Err(error) => {
                tracing::info!(?entry, %error, "an entry of the rollout was rejected");
            }
        }
    }

    fn observe(&self, client: &mut Client, rollout: &Rollout) -> Vec<FrontEndObservation> {
        let addresses: Vec<SocketAddr> = self.known.iter().copied().collect();
        let is_new = |counts: &pb::CountsReply| match &rollout.change {
            RolloutChange::Program { label, .. } => counts.label == *label,
            RolloutChange::Settings => counts.acts_on_canary,
        };
        sample(client, &addresses, is_new)
            .into_iter()
            .map(|(front_end, _)| front_end)
            .collect()
    }
}

/// Samples of those front ends that answer, and whether each is a voter.
pub(crate) fn sample(
    client: &mut Client,
    addresses: &[SocketAddr],
    is_new: impl Fn(&pb::CountsReply) -> bool,
) -> Vec<(FrontEndObservation, bool)> {
    client
        .counts(addresses, ANSWER_TIMEOUT)
        .into_iter()
        .filter_map(|answer| {
            let counts = answer.ok()?;
            let new = is_new(&counts);
            let is_voter = counts.is_voter;
            let front_end = decode_counters(counts, new).ok()?;
            Some((front_end, is_voter))
        })
        .collect()
}
