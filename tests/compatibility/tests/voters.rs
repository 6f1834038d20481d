//! What a voter stored is read, and is what the same fleet stores today.
//!
//! `fixtures/voter-1.redb` is the file of a voter that was there from the beginning, `voter-4.redb` that of one that took the
//! place of voter 3 and learnt the log as a whole. `voter-*.txt` are the writes that went into them. `examples/record.rs`
//! wrote them, of the fleet in `src/voters.rs`.

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

/// What a voter's file holds; a copy is opened, as opening writes to it.
fn stored(voter: u64, test: &str) -> PersistentState {
    let copy = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}-{voter}.redb"));
    std::fs::copy(fixture::path(&format!("voter-{voter}.redb")), &copy).expect("a copy");
    let (_, recovered) = LogStorage::open(&copy).expect("a file of an earlier program");
    PersistentState {
        snapshot: recovered.snapshot,
        records: recovered.records,
    }
}

/// Its log, as far as the file says that it is agreed on.
fn log(voter: u64, saved: &PersistentState) -> Log {
    let mut replica =
        Replica::new(voters::setup(voter, 2), saved, 0).expect("records of an earlier program");
    let mut effects = Vec::new();
    replica.tick(0, &mut effects);
    replica.log().expect("it was begun").clone()
}

/// The log that the entries make, without anything that is stored.
fn expected(entries: usize) -> Log {
    let voters = (1..=3).map(|voter| (voter, address(voter)));
    let mut log = Log::new(voters::first_fields(), voters);
    for entry in voters::entries().into_iter().take(entries) {
        let text = format!("{entry:?}");
        log.apply(entry).unwrap_or_else(|e| panic!("{text}: {e}"));
    }
    log
}

/// Entries that the last record of a file does not say to be agreed on: the last one, and for voter 4 what it says is told
/// with the next.
const BEHIND: usize = 1;

#[test]
fn a_file_holds_the_writes_that_went_into_it() {
    for voter in [1, 4] {
        let mut expected = PersistentState::default();
        for (sort, bytes) in fixture::messages(&format!("voter-{voter}.txt")) {
            match sort.as_str() {
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
fn the_log_of_a_file_is_the_one_that_its_entries_make() {
    let entries = voters::entries().len();
    for voter in [1, 4] {
        let log = log(voter, &stored(voter, "whole"));
        assert_eq!(log, expected(entries - BEHIND), "voter {voter}");
    }
}

#[test]
fn versions_roster_and_voters_of_a_file_are_as_they_were() {
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
        let (next, phase) = state.next.as_ref().expect("a change under way");
        assert_eq!((next.version, *phase), (Version(5), ChangePhase::Joint));
        assert_eq!(attempts(&next.fields), Value::Int(8));
        assert_eq!(state.canary, None);
        let history: Vec<(u64, &str)> = log
            .history()
            .map(|s| (s.version.0, s.reason.as_str()))
            .collect();
        let before = [
            (1, "the first"),
            (2, "more attempts"),
            (3, "given up while told"),
            (4, "given up while joint"),
            (5, "under way"),
        ];
        assert_eq!(history, before);
        let member = |id| Member { id, incarnation: 1 };
        let roster: Vec<_> = log.roster().collect();
        assert_eq!(
            roster,
            [(member(11), "front-1"), (member(u64::MAX), "front-3")]
        );
        let keepers = [1, 2, 4].map(|n| (n, address(n)));
        assert_eq!(
            (log.voters(), log.voter_replacement()),
            (&keepers.into(), None)
        );
    }
}

#[test]
fn functions_of_a_file_are_as_they_were() {
    for voter in [1, 4] {
        let log = log(voter, &stored(voter, "functions"));
        let scoped = |revision, fields, phase| ScopeRecord {
            revision: Revision(revision),
            fields,
            phase,
        };
        let back = ScopePhase::Reverting {
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
            ("chat".to_string(), scoped(12, Some(chat), back)),
            ("image".to_string(), scoped(15, None, settling)),
            ("sound".to_string(), scoped(12, Some(sound), joint)),
        ];
        assert_eq!(catalog.all(), &all.into(), "voter {voter}");
        assert_eq!(catalog.scopes_since(), Some(Revision(11)));
        let request = |id, step, (joint, force, back)| TransactionResult {
            id,
            revision: Revision(step),
            joint,
            in_force: force,
            reverted: back,
        };
        for expected in [
            request(31, 11, (0, 2, 0)),
            request(32, 11, (0, 1, 0)),
            request(33, 13, (0, 1, 1)),
            request(34, 16, (1, 0, 0)),
        ] {
            assert_eq!(catalog.transaction_result(expected.id), Some(&expected));
        }
    }
}

#[test]
fn the_rollout_of_a_file_stands_where_it_stood() {
    for voter in [1, 4] {
        let log = log(voter, &stored(voter, "rollout"));
        let rollout = log.rollout().expect("a rollout");
        let what = RolloutChange::Program {
            label: "0123abcd".into(),
            path: "/opt/tansy/0123abcd".into(),
        };
        assert_eq!((rollout.id, &rollout.change), (42, &what));
        assert_eq!((rollout.phase, rollout.stage), (RolloutPhase::Changing, 1));
        assert_eq!(
            (rollout.revision, rollout.fence, rollout.heartbeat),
            (10, 1, 7)
        );
        assert_eq!((rollout.paused, rollout.analyses), (false, 1));
        assert_eq!(rollout.changed, ["front-1".to_string()].into());
        assert_eq!(rollout.released, ["front-2".to_string()].into());
        let fallen = Crash {
            name: "front-2".into(),
            process: 7,
            kind: "signal 6".into(),
            consecutive: 2,
        };
        assert_eq!(rollout.crashes, [fallen]);
        let seen: Vec<_> = rollout
            .observations
            .iter()
            .map(|s| (s.stage, &s.verdict))
            .collect();
        assert_eq!(seen, [(0, &Some(Verdict::Pass)), (1, &None)]);
        assert_eq!(log.program(), None);
    }
}

#[test]
fn voters_go_on_from_their_files() {
    // Two of three: enough for a leader.
    let files = [1, 4].map(|voter| (voter, stored(voter, "go-on")));
    let mut fleet = Fleet::new(&files.into(), 2);
    fleet.agree(LogEntry::Abandon {
        version: Version(5),
    });
    let mut expected = expected(voters::entries().len());
    let back = expected.apply(LogEntry::Abandon {
        version: Version(5),
    });
    back.expect("it is under way");
    for voter in [1, 4] {
        assert_eq!(fleet.voter(voter).log(), Some(&expected), "voter {voter}");
    }
}

#[test]
fn the_same_fleet_stores_the_same_bytes() {
    let fleet = voters::recorded();
    for voter in [1, 4] {
        let mut written = Vec::new();
        for (record, whole) in fleet.writes(voter) {
            written.push(format!("record {}", fixture::hex(record)));
            written.extend(whole.iter().map(|w| format!("whole {}", fixture::hex(w))));
        }
        let recorded = fixture::text(&format!("voter-{voter}.txt"));
        let recorded: Vec<&str> = recorded.lines().skip(1).collect();
        assert_eq!(written, recorded, "voter {voter}");
    }
}
