//! `replace-voter`: replaces a voter by another front end.

use crate::arguments::wait_limit;
use crate::{CommandContext, FleetError};
use std::net::SocketAddr;
use std::time::Instant;
use tansy_fleet_wire::pb;
use tansy_fleet_wire::pb::enter_request::Entry;

/// Progress of a replacement.
enum Progress {
    /// The new voter receives the log and does not vote yet.
    Learning,
    /// Joint consensus: both the new and the old voter vote.
    Joint,
    Done,
    Failed,
}

/// Requests the replacement and waits until it is done, for at most `wait` seconds.
pub(crate) fn run(
    context: &mut CommandContext,
    new: &str,
    replaced: &str,
    wait: f64,
) -> Result<(), FleetError> {
    let mut leader = context.leader()?;
    let request = pb::ReplaceVoter {
        new_voter: new.to_string(),
        replaced: replaced.to_string(),
    };
    context.client.enter(leader, Entry::ReplaceVoter(request))?;
    let deadline = Instant::now() + wait_limit(wait);
    let mut learning = true;
    while Instant::now() < deadline {
        leader = current_leader(context, leader);
        match progress(context, leader, new) {
            Some(Progress::Learning) => learning = true,
            Some(Progress::Joint) => learning = false,
            Some(Progress::Done) => {
                context
                    .output
                    .done(&format!("{new} has replaced {replaced} as a voter"));
                return Ok(());
            }
            Some(Progress::Failed) => {
                return Err(FleetError::Abandoned(format!(
                    "{new} did not become a voter; check that it was started with --state"
                )))
            }
            None => {}
        }
        context.wait_for_next_poll();
    }
    if wait <= 0.0 {
        context
            .output
            .done(&format!("{new} will replace {replaced} as a voter"));
        return Ok(());
    }
    let state = if learning {
        "is still receiving the log"
    } else {
        "votes, but the replaced voter still does too"
    };
    Err(FleetError::TimedOut(format!(
        "{new} {state} after {wait} s; `seats` shows the voters"
    )))
}

/// The current leader, or the last known one. It changes during the replacement if the replaced voter is the leader.
fn current_leader(context: &mut CommandContext, last: SocketAddr) -> SocketAddr {
    context
        .leader()
        .or_else(|_| context.leader_known_by(last))
        .unwrap_or(last)
}

/// The progress of the replacement, if the leader answers.
fn progress(context: &mut CommandContext, leader: SocketAddr, new: &str) -> Option<Progress> {
    let status = context.client.status(leader).ok()?;
    if !status.is_leader {
        return None;
    }
    Some(match &status.voter_replacement {
        Some(replacement) if replacement.is_voting => Progress::Joint,
        Some(_) => Progress::Learning,
        None if is_voter(&status, new) => Progress::Done,
        None => Progress::Failed,
    })
}

fn is_voter(status: &pb::StatusReply, name: &str) -> bool {
    let address = address_of(status, name);
    status
        .voter_addresses
        .iter()
        .any(|voter| Some(voter) == address.as_ref())
}

/// The fleet address of the front end with this name.
fn address_of(status: &pb::StatusReply, name: &str) -> Option<String> {
    let id = tansy_fleet_node::name_to_id(name);
    status
        .other_members
        .iter()
        .chain(&status.process)
        .find(|process| process.id == id)
        .map(|process| process.address.clone())
}
