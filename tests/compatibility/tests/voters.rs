//! Stored state of voters: earlier versions' files are read, and the present version stores the same bytes.
//!
//! `fixtures/voter-1.redb` is the file of an initial voter, `voter-4.redb` that of a voter that replaced voter 3 and received the log as a
//! snapshot. `voter-*.txt` have the writes that are in those files. `examples/record.rs` wrote all of them, for the fleet in
//! `src/voters.rs`.

use std::path::PathBuf;
use tansy_agreement::compatibility::Value;
use tansy_agreement::lease::Member;
use tansy_agreement::log::{ChangePhase, Log, LogEntry, Revision, Version};
use tansy_agreement::scope::{ScopePhase, ScopeRecord, TransactionResult};
use tansy_canary::Verdict;
use tansy_compatibility_tests::voters::{self, Fleet};
use tansy_compatibility_tests::{fixture, voters::address};
use tansy_consensus::{PersistentState, Replica};
use tansy_rollout::{Crash, RolloutChange, RolloutPhase};
use tansy_storage::voter_log::LogStorage;

/// The content of a voter's file. Opens a copy, because opening a file writes to it.
fn stored(voter: u64, test: &str) -> PersistentState {
    let copy = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}-{voter}.redb"));
    std::fs::copy(fixture::path(&format!("voter-{voter}.redb")), &copy).expect("a copy");
    let (_, recovered) = LogStorage::open(&copy).expect("a valid file");
    PersistentState {
        snapshot: recovered.snapshot,
        records: recovered.records,
    }
}

/// The log of a voter up to the last entry that its file records as committed.
fn log(voter: u64, saved: &PersistentState) -> Log {
    let mut replica = Replica::new(voters::config(voter, 2), saved, 0).expect("valid records");
    let mut effects = Vec::new();
    replica.tick(0, &mut effects);
    replica.log().expect("a log").clone()
}

/// The log after the first `entries` entries, computed without stored state.
fn expected(entries: usize) -> Log {
    let voters = (1..=3).map(|voter| (voter, address(voter)));
    let mut log = Log::new(voters::initial_fields(), voters);
    for entry in voters::entries().into_iter().take(entries) {
        let text = format!("{entry:?}");
        log.apply(entry).unwrap_or_else(|e| panic!("{text}: {e}"));
    }
    log
}

/// Number of entries at the end of each file that no record marks as committed.
const UNCOMMITTED_ENTRIES: usize = 1;

#[test]
fn the_writes_in_a_voter_file_are_read() {
    for voter in [1, 4] {
        let mut expected = PersistentState::default();
        for (kind, bytes) in fixture::messages(&format!("voter-{voter}.txt")) {
            match kind.as_str() {
                "record" => expected.records.push(bytes),
                _ => {
                    expected.snapshot = Some(bytes);
                    expected.records.clear();
                }
            }
        }
        assert_eq!(stored(voter, "holds"), expected, "voter {voter}");
    }
}

#[test]
fn the_log_of_a_file_is_that_of_its_entries() {
    let entries = voters::entries().len();
    for voter in [1, 4] {
        let log = log(voter, &stored(voter, "whole"));
        assert_eq!(
            log,
            expected(entries - UNCOMMITTED_ENTRIES),
            "voter {voter}"
        );
    }
}

#[test]
fn versions_roster_and_voters_of_a_file_are_as_recorded() {
    for voter in [1, 4] {
        let log = log(voter, &stored(voter, "versions"));
        let state = log.state();
        let attempts =
            |fields: &tansy_agreement::compatibility::Fields| fields["worker.max_attempts"].clone();
        assert_eq!(
            (state.revision, state.versions_revision),
            (Revision(20), Revision(20))
        );
        assert_eq!(
            (state.in_force.version, state.in_force.id),
            (Version(2), 21)
        );
        assert_eq!(state.in_force.fields, voters::with_attempts(4));
        assert_eq!(state.in_force.reason, "more attempts");
        let (next, phase) = state.next.as_ref().expect("a pending change");
        assert_eq!((next.version, *phase), (Version(5), ChangePhase::Joint));
        assert_eq!(attempts(&next.fields), Value::Int(8));
        assert_eq!(state.canary, None);
        let history: Vec<(u64, &str)> = log
            .history()
            .map(|s| (s.version.0, s.reason.as_str()))
            .collect();
        let expected = [
            (1, "the first"),
            (2, "more attempts"),
            (3, "given up while told"),
            (4, "given up while joint"),
            (5, "under way"),
        ];
        assert_eq!(history, expected);
        let member = |id| Member { id, incarnation: 1 };
        let roster: Vec<_> = log.roster().collect();
        assert_eq!(
            roster,
            [(member(11), "front-1"), (member(u64::MAX), "front-3")]
        );
        let voters = [1, 2, 4].map(|n| (n, address(n)));
        assert_eq!(
            (log.voters(), log.voter_replacement()),
            (&voters.into(), None)
        );
    }
}

#[test]
fn functions_of_a_file_are_as_recorded() {
    for voter in [1, 4] {
        let log = log(voter, &stored(voter, "functions"));
        let scoped = |revision, fields, phase| ScopeRecord {
            revision: Revision(revision),
            fields,
            phase,
        };
        let reverting = ScopePhase::Reverting {
            since: Revision(14),
        };
        let settling = ScopePhase::Settling {
            since: Revision(15),
        };
        let joint = ScopePhase::Joint {
            next: Some(voters::function("fast", 3)),
            since: Revision(16),
        };
        let catalog = log.catalog();
        let (chat, sound) = (voters::function("fast", 1), voters::function("slow", 2));
        let all = [
            ("chat".to_string(), scoped(12, Some(chat), reverting)),
            ("image".to_string(), scoped(15, None, settling)),
            ("sound".to_string(), scoped(12, Some(sound), joint)),
        ];
        assert_eq!(catalog.all(), &all.into(), "voter {voter}");
        assert_eq!(catalog.scopes_since(), Some(Revision(11)));
        let result = |id, revision, (joint, in_force, reverted)| TransactionResult {
            id,
            revision: Revision(revision),
            joint,
            in_force,
            reverted,
        };
        for expected in [
            result(31, 11, (0, 2, 0)),
            result(32, 11, (0, 1, 0)),
            result(33, 13, (0, 1, 1)),
            result(34, 16, (1, 0, 0)),
        ] {
            assert_eq!(catalog.transaction_result(expected.id), Some(&expected));
        }
    }
}

#[test]
fn the_rollout_of_a_file_is_as_recorded() {
    for voter in [1, 4] {
        let log = log(voter, &stored(voter, "rollout"));
        let rollout = log.rollout().expect("a rollout");
        let change = RolloutChange::Program {
            label: "0123abcd".into(),
            path: "/opt/tansy/0123abcd".into(),
        };
        assert_eq!((rollout.id, &rollout.change), (42, &change));
        assert_eq!((rollout.phase, rollout.stage), (RolloutPhase::Changing, 1));
        assert_eq!(
            (rollout.revision, rollout.fence, rollout.heartbeat),
            (10, 1, 7)
        );
        assert_eq!((rollout.paused, rollout.analyses), (false, 1));
        assert_eq!(rollout.changed, ["front-1".to_string()].into());
        assert_eq!(rollout.released, ["front-2".to_string()].into());
        let crash = Crash {
            name: "front-2".into(),
            process: 7,
            kind: "signal 6".into(),
            consecutive: 2,
        };
        assert_eq!(rollout.crashes, [crash]);
        let verdicts: Vec<_> = rollout
            .observations
            .iter()
            .map(|s| (s.stage, &s.verdict))
            .collect();
        assert_eq!(verdicts, [(0, &Some(Verdict::Pass)), (1, &None)]);
        assert_eq!(log.program(), None);
    }
}

#[test]
fn voters_continue_from_their_files() {
    // Two of three voters are a majority.
    let files = [1, 4].map(|voter| (voter, stored(voter, "go-on")));
    let mut fleet = Fleet::new(&files.into(), 2);
    fleet.commit(LogEntry::Abandon {
        version: Version(5),
    });
    let mut expected = expected(voters::entries().len());
    let applied = expected.apply(LogEntry::Abandon {
        version: Version(5),
    });
    applied.expect("a pending change");
    for voter in [1, 4] {
        assert_eq!(fleet.voter(voter).log(), Some(&expected), "voter {voter}");
    }
}

#[test]
fn the_same_fleet_stores_the_same_bytes() {
    let fleet = voters::recorded();
    for voter in [1, 4] {
        let mut written = Vec::new();
        for (record, snapshot) in fleet.writes(voter) {
            written.push(format!("record {}", fixture::hex(record)));
            written.extend(
                snapshot
                    .iter()
                    .map(|s| format!("whole {}", fixture::hex(s))),
            );
        }
        let recorded = fixture::text(&format!("voter-{voter}.txt"));
        let recorded: Vec<&str> = recorded.lines().skip(1).collect();
        assert_eq!(written, recorded, "voter {voter}");
    }
}
