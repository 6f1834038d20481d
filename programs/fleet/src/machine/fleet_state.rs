//! The fleet's state as known by a supervisor or rollout controller.

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

/// The last known state of the fleet.
#[derive(Default)]
pub(super) struct FleetState {
    /// When the last request was made that the leader answered.
    pub(super) requested_at: Time,
    pub(super) rollout: Option<Rollout>,
    /// Whether the state is from the leader's answer to the last request.
    pub(super) is_current: bool,
    /// Label and path of the program that the replicated log has all front ends run.
    pub(super) program: Option<(String, String)>,
    pub(super) leader: Option<SocketAddr>,
    /// Fleet addresses of the front ends.
    front_ends: BTreeSet<SocketAddr>,
}

/// Microseconds since the program was started.
pub(super) fn elapsed_micros(started_at: Instant) -> Time {
    Time::try_from(started_at.elapsed().as_micros()).unwrap_or(Time::MAX)
}

impl FleetState {
    /// Asks all front ends for the state of the rollout, and one of them for the list of front ends. `configured`: front ends that are
    /// asked in addition to the known ones.
    pub(super) fn refresh(
        &mut self,
        client: &mut Client,
        configured: &[SocketAddr],
        started_at: Instant,
    ) {
        let requested_at = elapsed_micros(started_at);
        let addresses: BTreeSet<SocketAddr> =
            configured.iter().chain(&self.front_ends).copied().collect();
        let addresses: Vec<SocketAddr> = addresses.into_iter().collect();
        let answers = client.rollouts(&addresses, ANSWER_TIMEOUT);
        self.is_current = false;
        for (address, answer) in addresses.iter().zip(answers) {
            if let Ok(reply) = answer {
                self.on_reply(*address, reply);
            }
        }
        if self.is_current {
            self.requested_at = requested_at;
        }
        let first = self.leader.or(configured.first().copied());
        let status = first.map(|address| client.status_within(address, ANSWER_TIMEOUT));
        if let Some(Ok(status)) = status {
            self.front_ends = status
                .other_members
                .iter()
                .chain(&status.process)
                .filter_map(|process| process.address.parse().ok())
                .collect();
        }
    }

    /// Takes over the state of the rollout from a front end's answer, unless a later one is known.
    fn on_reply(&mut self, address: SocketAddr, reply: pb::RolloutReply) {
        let Ok(rollout) = decode_rollout(&reply.rollout) else {
            tracing::error!(%address, "cannot decode the rollout; this version of `tansy-fleet` may be too old");
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
            self.is_current = true;
            self.leader = Some(address);
        }
        if reply.is_leader || (!self.is_current && is_later && rollout.is_some()) {
            self.rollout = rollout;
            self.program = (!reply.label.is_empty()).then_some((reply.label, reply.path));
        }
    }

    /// Proposes the controller's next entry, if it has one.
    pub(super) fn control(
        &self,
        client: &mut Client,
        controller: &mut RolloutController,
        started_at: Instant,
    ) {
        let (Some(rollout), Some(leader)) = (&self.rollout, self.leader) else {
            return;
        };
        if !self.is_current {
            return;
        }
        let front_ends = match rollout.has_ended() {
            true => Vec::new(),
            false => self.observe(client, rollout),
        };
        let Some(entry) = controller.poll(elapsed_micros(started_at), rollout, &front_ends) else {
            return;
        };
        let is_heartbeat = matches!(entry, RolloutEntry::Heartbeat { .. });
        let message = Entry::Rollout(encode_rollout_entry(&entry, None));
        match client.enter_within(leader, message, ANSWER_TIMEOUT) {
            Ok(_) if is_heartbeat => {}
            Ok(_) => tracing::info!(?entry, "rollout entry applied"),
            Err(error) => {
                tracing::info!(?entry, %error, "rollout entry not applied");
            }
        }
    }

    fn observe(&self, client: &mut Client, rollout: &Rollout) -> Vec<FrontEndObservation> {
        let addresses: Vec<SocketAddr> = self.front_ends.iter().copied().collect();
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

/// Samples the front ends that answer, and tells whether each is a voter.
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
