//! This front end's own session: when it is requested, and from which voter.

use super::{FleetNode, RETRY_INTERVAL};
use crate::command::Command;
use crate::message::MessageBody;
use std::net::SocketAddr;
use tansy_agreement::lease::Time;
use tansy_agreement::log::Revision;
use tansy_agreement::session::SessionGrant;

/// Renewals per span of a session.
const RENEWALS_PER_SPAN: Time = 4;
/// Longest time between two renewals, so that the leader knows which front ends are active.
const MAX_RENEWAL_INTERVAL: Time = 30_000_000;
/// Longest time between two renewals while a strict change waits for the revision that they report, since a request may
/// be lost.
pub(super) const AWAITED_RENEWAL_INTERVAL: Time = 1_000_000;
/// Unanswered requests after which other voters are asked as well as the leader.
const REQUESTS_BEFORE_OTHER_VOTERS: usize = 3;

impl FleetNode {
    /// Requests a session and reports the revision that this front end has reached.
    pub(super) fn request_session(&mut self, now: Time, commands: &mut Vec<Command>) {
        let known = self.lease_node.known_state();
        let revision = known.map_or(Revision(0), |state| state.revision);
        self.next_session_request = now + self.session_request_interval(now);
        // A session is of no use before the first state is known.
        if revision == Revision(0) {
            return;
        }
        self.reported_revision = revision;
        let request = self.session.request(now, revision);
        let name = self.config.name.clone();
        if let Some(controller) = self.controller.as_mut().filter(|_| self.is_leader) {
            // The leader needs a session like any member, so that the next leader waits for it.
            if let Some(grant) = controller.grant_session(now, request, name) {
                self.accept_session(now, grant);
            }
            return;
        }
        self.unanswered_requests += 1;
        let to = self
            .fallback_voter()
            .unwrap_or_else(|| self.leader_address());
        let digest = self.drains.digest();
        commands.push(Command::Send {
            to,
            body: MessageBody::SessionRequest(request, name, digest),
        });
    }

    /// Accepts a session. If the previous one had expired, changes may not have waited for this front end, so that its
    /// subscriptions are no longer valid.
    pub(super) fn accept_session(&mut self, now: Time, grant: SessionGrant) {
        self.unanswered_requests = 0;
        if self.session.remaining(now) == 0 {
            self.subscriptions.on_session_expired(now);
        }
        self.session.on_grant(grant);
    }

    fn session_request_interval(&self, now: Time) -> Time {
        if self.session.remaining(now) == 0 || self.unanswered_requests > 0 {
            return RETRY_INTERVAL;
        }
        let known = self.lease_node.known_state();
        let is_awaited = known.is_some_and(|state| self.has_strict_change(state))
            || self.subscriptions.delays_change(&self.config.schema);
        let longest = if is_awaited {
            AWAITED_RENEWAL_INTERVAL
        } else {
            MAX_RENEWAL_INTERVAL
        };
        (self.config.session.span / RENEWALS_PER_SPAN).min(longest)
    }

    /// A voter to ask instead of a leader that does not answer, since any voter may know the new leader. Only every other
    /// request goes to one, because all the voters known here may have been replaced.
    fn fallback_voter(&self) -> Option<SocketAddr> {
        let attempt = self
            .unanswered_requests
            .checked_sub(REQUESTS_BEFORE_OTHER_VOTERS)?;
        if attempt % 2 == 0 {
            return None;
        }
        let voters = self.voters();
        let position = attempt / 2 % voters.len().max(1);
        voters.get(position).map(|voter| voter.1)
    }
}
