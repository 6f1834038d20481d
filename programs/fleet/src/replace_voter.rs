//! `replace-voter`: makes a front end a voter in the place of another.

use crate::arguments::wait_limit;
use crate::{FleetError, Session};
use std::net::SocketAddr;
use std::time::Instant;
use tansy_fleet_wire::pb;
use tansy_fleet_wire::pb::enter_request::Entry;

/// How far a replacement has come.
enum Progress {
    /// The new voter learns the log.
    Learning,
    /// The new voter votes, and so does the old one still.
    Joint,
    Done,
    Failed,
}

/// Asks for the replacement and waits for it so many seconds.
pub(crate) fn run(
    session: &mut Session,
    new: &str,
    replaced: &str,
    wait: f64,
) -> Result<(), FleetError> {
    let mut leader = session.leader()?;
    let request = pb::ReplaceVoter {
        new_voter: new.to_string(),
        replaced: replaced.to_string(),
    };
    session.client.enter(leader, Entry::ReplaceVoter(request))?;
    let end = Instant::now() + wait_limit(wait);
    let mut learning = true;
    while Instant::now() < end {
        leader = current_leader(session, leader);
        match progress(session, leader, new) {
            Some(Progress::Learning) => learning = true,
            Some(Progress::Joint) => learning = false,
            Some(Progress::Done) => {
                session
                    .output
                    .done(&format!("{new} is a voter, {replaced} is not any more"));
                return Ok(());
            }
            Some(Progress::Failed) => {
                return Err(FleetError::Abandoned(format!(
                    "{new} did not become a voter: was it started with --state?"
                )))
            }
            None => {}
        }
        session.pause();
    }
    if wait <= 0.0 {
        session
            .output
            .done(&format!("{new} is to become a voter instead of {replaced}"));
        return Ok(());
    }
    let state = if learning {
        "still receives the log"
    } else {
        "is a voter, and so is the other still"
    };
    Err(FleetError::TimedOut(format!(
        "{new} {state} after {wait} s: `seats` shows the voters"
    )))
}

/// The leader, or the last known one. A replaced leader hands over, after which another one has to be asked.
fn current_leader(session: &mut Session, last: SocketAddr) -> SocketAddr {
    session
        .leader()
        .or_else(|_| session.leader_known_by(last))
        .unwrap_or(last)
}

/// How far the replacement is, if the leader says so.
fn progress(session: &mut Session, leader: SocketAddr, new: &str) -> Option<Progress> {
    let status = session.client.status(leader).ok()?;
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

/// Where the front end of this name is reached.
fn address_of(status: &pb::StatusReply, name: &str) -> Option<String> {
    let id = tansy_fleet_node::name_to_id(name);
    status
        .other_members
        .iter()
        .chain(&status.process)
        .find(|process| process.id == id)
        .map(|process| process.address.clone())
}
