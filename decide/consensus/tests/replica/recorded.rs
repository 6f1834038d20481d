//! State and entries that earlier versions wrote can be read.

use crate::cluster::{address, Cluster};
use tansy_agreement::compatibility::Value;
use tansy_agreement::lease::Member;
use tansy_agreement::log::{LogEntry, Revision, Version};
use tansy_consensus::{PersistentState, Replica};

/// Reads the recorded state of a replica of the first supported format. `RECORD=1` records it again, which is correct only
/// together with a new format.
#[test]
fn state_of_an_earlier_version_is_read() {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recorded/seat-0.bin");
    let state = |replica: &Replica| {
        format!(
            "{:?} {:?}",
            replica.log().map(|log| log.state()),
            replica.log().map(|log| log.voters())
        )
    };
    if std::env::var_os("RECORD").is_some() {
        let mut cluster = Cluster::with_voters(4, 3, 11);
        cluster.run(3.0);
        for number in 0..20 {
            cluster.propose(number);
            cluster.run(0.1);
        }
        let leader = cluster.leader().expect("a leader");
        let entry = LogEntry::BeginVoterReplacement {
            new: 4,
            address: address(4),
            replaced: 3,
        };
        cluster.call(leader, |replica, _, effects| {
            replica.propose(entry, effects);
        });
        cluster.run(2.0);
        let saved = &cluster.disks[0].saved;
        let text = state(cluster.replicas[0].as_ref().expect("the replica runs"));
        let bytes =
            postcard::to_stdvec(&(&saved.snapshot, &saved.records, &text)).expect("plain data");
        std::fs::create_dir_all(path.parent().expect("a folder")).expect("a folder");
        std::fs::write(&path, bytes).expect("the file is written");
    }
    let bytes = std::fs::read(&path).expect("the recorded file exists");
    let (snapshot, records, recorded_state): (Option<Vec<u8>>, Vec<Vec<u8>>, String) =
        postcard::from_bytes(&bytes).expect("the recorded file is valid");
    let mut cluster = Cluster::with_voters(4, 3, 12);
    (0..3).for_each(|index| {
        cluster.disks[index].saved = PersistentState {
            snapshot: snapshot.clone(),
            records: records.clone(),
        };
        cluster.start(index);
    });
    cluster.run(6.0);
    assert_eq!(
        state(cluster.replicas[0].as_ref().expect("the replica runs")),
        with_current_names(&recorded_state),
        "the recovered state equals the recorded one"
    );
}

/// Replaces the names in the recorded `Debug` text of a state by the current names of its types and fields. All values are
/// still compared.
fn with_current_names(recorded: &str) -> String {
    let names = [
        ("State {", "FleetState {"),
        ("step: Step(", "revision: Revision("),
        ("force: Settings {", "in_force: VersionedSettings {"),
        ("(Settings {", "(VersionedSettings {"),
        ("why: ", "reason: "),
        ("trial: ", "canary: "),
    ];
    names
        .iter()
        .fold(recorded.to_string(), |text, (then, now)| {
            text.replace(then, now)
        })
}

/// Entries as versions without scopes wrote them.
#[test]
fn entries_that_an_earlier_version_wrote_are_read() {
    let member = Member {
        id: 5,
        incarnation: 6,
    };
    let text = |t: &str| t.to_string();
    let all: [(&[u8], LogEntry); 9] = [
        (&[0, 1, 2, 1, 1, b'a', 1, 8, 1, b'w'], {
            let fields = [(text("a"), Value::Int(4))].into();
            LogEntry::Propose {
                id: 1,
                base: Version(2),
                fields,
                reason: text("w"),
            }
        }),
        (&[1, 7], LogEntry::Advance { from: Revision(7) }),
        (
            &[2, 3],
            LogEntry::Abandon {
                version: Version(3),
            },
        ),
        (
            &[3, 5, 6, 1, b'n', 9],
            LogEntry::Join {
                member,
                name: text("n"),
                revision: Revision(9),
            },
        ),
        (&[4, 5, 6], LogEntry::Leave { member }),
        (
            &[5, 8, 0, 10, 0, 0, 1, 216, 54, 9],
            LogEntry::BeginVoterReplacement {
                new: 8,
                address: address(1),
                replaced: 9,
            },
        ),
        (
            &[6, 8, 9],
            LogEntry::EnterJointConsensus {
                new: 8,
                replaced: 9,
            },
        ),
        (&[7, 8], LogEntry::CompleteVoterReplacement { new: 8 }),
        (&[8, 8], LogEntry::CancelVoterReplacement { new: 8 }),
    ];
    for (bytes, entry) in all {
        assert_eq!(postcard::from_bytes::<LogEntry>(bytes), Ok(entry.clone()));
        assert_eq!(
            postcard::to_stdvec(&entry).as_deref(),
            Ok(bytes),
            "{entry:?}"
        );
    }
}
