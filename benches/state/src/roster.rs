//! The roster of front ends in the replicated log, and the leader's sessions with front ends.

use crate::measure::{ms, timed, Distribution, MemoryGrowth, OutputRecord};
use crate::membership::LEADER;
use crate::{inputs, Args, BenchError};
use serde_json::json;
use tansy_agreement::compatibility::Fields;
use tansy_agreement::lease::Member;
use tansy_agreement::log::{EntryRejection, Log, LogEntry, Revision, MAX_MEMBERS};
use tansy_agreement::session::{SessionRequest, SessionTable};

/// Number of timed checks of the session table.
const CHECKS: i64 = 200;
/// Number of front ends that restart and rejoin.
const REJOINS: usize = 200;

/// Measures joins to the roster, and the leader's session grants, checks and rejoins.
pub fn roster(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let growth = MemoryGrowth::begin();
    let log = add_joins(args, &growth, output)?;
    let (encoded_bytes, took) = timed(|| postcard::to_stdvec(&log).map_or(0, |bytes| bytes.len()));
    output.count("log_bytes", encoded_bytes);
    // The cost of a snapshot, which a voter makes after every 32 entries.
    output.figure("encode_ms", ms(took));
    let sessions_growth = MemoryGrowth::begin();
    let members: Vec<Member> = log.roster().map(|(member, _)| member).collect();
    let timing = inputs::session_timing();
    let mut sessions = SessionTable::new(timing, members.iter().copied(), 0);
    output.figure("register_mb", sessions_growth.mb());
    add_grants(&mut sessions, &members, output)?;
    add_checks(&sessions, output);
    add_rejoins(&mut sessions, &members, output);
    output.insert("peak_mb", json!(growth.peak_mb().round()));
    Ok(())
}

/// Adds all front ends to the roster, up to its limit, and returns the log.
fn add_joins(
    args: &Args,
    growth: &MemoryGrowth,
    output: &mut OutputRecord,
) -> Result<Log, BenchError> {
    let address = inputs::address(0, inputs::FLEET_PORT);
    let mut log = Log::new(Fields::new(), [(LEADER, address)]);
    let mut times = Distribution::default();
    let mut rejected = 0;
    for number in 0..args.front_ends {
        let entry = LogEntry::Join {
            member: inputs::member(number, args.seed),
            name: format!("front-end-{number}"),
            revision: Revision(1),
        };
        let (joined, took) = timed(|| log.apply(entry));
        times.add(took);
        match joined {
            Ok(_) => {}
            Err(EntryRejection::TooManyMembers) => rejected += 1,
            Err(rejection) => return Err(BenchError::failed("joining a front end", rejection)),
        }
    }
    output.figure("memory_mb", growth.mb());
    output.count("rostered", log.roster().count());
    output.count("not_rostered", rejected);
    output.count("most_front_ends", MAX_MEMBERS);
    if rejected > 0 {
        output.add_note(format!(
            "{}: {rejected} front ends are not on it",
            EntryRejection::TooManyMembers
        ));
    }
    output.insert("apply_us", times.us());
    Ok(log)
}

fn add_grants(
    sessions: &mut SessionTable,
    members: &[Member],
    output: &mut OutputRecord,
) -> Result<(), BenchError> {
    let mut times = Distribution::default();
    for (now, from) in (0..).zip(members) {
        let request = SessionRequest {
            from: *from,
            seq: 1,
            revision: Revision(1),
            supports_scopes: true,
        };
        let (granted, took) = timed(|| sessions.grant(now, request));
        times.add(took);
        if granted.is_none() {
            return Err(BenchError::failed(
                "granting a session",
                "a member of the roster was refused",
            ));
        }
    }
    output.insert("grant_us", times.us());
    Ok(())
}

/// Times the check of all sessions, which the leader runs every 50 ms.
fn add_checks(sessions: &SessionTable, output: &mut OutputRecord) {
    let mut times = Distribution::default();
    for now in 0..CHECKS {
        let (_, took) = timed(|| {
            let expired = sessions.expired(now).count();
            (expired, sessions.all_at_least(Revision(1)))
        });
        times.add(took);
    }
    output.insert("look_us", times.us());
}

fn add_rejoins(sessions: &mut SessionTable, members: &[Member], output: &mut OutputRecord) {
    let mut times = Distribution::default();
    for member in members.iter().take(REJOINS) {
        let restarted = Member {
            incarnation: 2,
            ..*member
        };
        let (_, took) = timed(|| sessions.on_join(1, restarted, Revision(1)));
        times.add(took);
    }
    output.insert("joined_us", times.us());
}
