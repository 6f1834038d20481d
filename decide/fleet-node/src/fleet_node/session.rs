//! This front end's own session: when it asks for one, and whom.

use super::{FleetNode, RETRY_INTERVAL};
use crate::command::Command;
use crate::message::MessageBody;
use std::net::SocketAddr;
use tansy_agreement::lease::Time;
use tansy_agreement::log::Revision;
use tansy_agreement::session::SessionGrant;

/// A session is renewed after this part of its span ...
const RENEWAL_FRACTION: Time = 4;
/// ... and at least so often: the leader wants to know who is active, at little cost.
const MAX_RENEWAL_INTERVAL: Time = 30_000_000;
/// The same while a change of strict fields waits for the revision that the request states, in case one is lost.
pub(super) const AWAITED_RENEWAL_INTERVAL: Time = 1_000_000;
/// Unanswered requests after which voters other than the leader are asked, too.
const REQUESTS_BEFORE_OTHER_VOTERS: usize = 3;

impl FleetNode {
    /// Asks for a session, and states the revision that this front end has reached.
    pub(super) fn request_session(&mut self, now: Time, commands: &mut Vec<Command>) {
        let known = self.lease_node.known_state();
        let revision = known.map_or(Revision(0), |state| state.revision);
        self.next_session_request = now + self.session_request_interval(now);
        // Without a state there is nothing that a session would be needed for.
        if revision == Revision(0) {
            return;
        }
        self.reported_revision = revision;
        let request = self.session.request(now, revision);
        let name = self.config.name.clone();
        if let Some(controller) = self.controller.as_mut().filter(|_| self.is_leader) {
            // The leader is on the roster as any other: the next leader has to wait for it.
            if let Some(grant) = controller.grant_session(now, request, name) {
                self.accept_session(now, grant);
            }
            return;
        }
        self.unanswered_requests += 1;
        let to = self
            .other_voter_to_ask()
            .unwrap_or_else(|| self.leader_address());
        let digest = self.drains.digest();
        commands.push(Command::Send {
            to,
            body: MessageBody::SessionRequest(request, name, digest),
        });
    }

    /// Takes a session. While the last one was expired, nobody waited for this front end.
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
        (self.config.session.span / RENEWAL_FRACTION).min(longest)
    }

    /// A voter to ask in place of a leader that does not answer: any voter may know the new leader by now. Only every other
    /// request goes there, since all voters that are known here may have been replaced.
    fn other_voter_to_ask(&self) -> Option<SocketAddr> {
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
