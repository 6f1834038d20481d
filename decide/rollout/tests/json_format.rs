//! The JSON text of rollouts and their log entries is stored and sent to other nodes: renames in the code must not change it.

mod support;

use support::{program, target};
use tansy_rollout::{InconclusivePolicy, Rollout, RolloutEntry, RolloutPhase, RolloutPlan};

/// Entries of every variant but `Abort`, in declaration order.
const ENTRIES: [&str; 16] = [
    r#"{"Begin":{"id":7,"what":{"program":{"label":"d1","path":"/bin/x"}},"plan":{"stages":[[{"name":"f0","zone":"a","seat":true}],[{"name":"f1","zone":"b","seat":false}]],"at_once":2,"least":61,"longest":1801,"ready":62,"slice":6,"spend":0.02,"error":0.03,"matters":0.04,"accept":0.05,"warm_up":11,"memory":1025,"undecided":"back"},"why":"a test"}}"#,
    r#"{"Begin":{"id":8,"what":"settings","plan":{"stages":[],"at_once":1,"least":60,"longest":1800,"ready":60,"slice":5,"spend":0.01,"error":0.01,"matters":0.01,"accept":0.03,"warm_up":10,"memory":1024,"undecided":"hold"},"why":""}}"#,
    r#"{"Steer":{"fence":1,"who":"s0"}}"#,
    r#"{"Beat":{"fence":1,"seen":null}}"#,
    r#"{"Beat":{"fence":1,"seen":{"stage":1,"stood":30,"measured":[{"what":"service","old":0.25,"new":0.5,"loss":0.125,"half":0.0625,"lately":0.75,"slices":9}],"verdict":{"open":{"needs":"more","slices":3}}}}}"#,
    r#"{"Beat":{"fence":1,"seen":{"stage":0,"stood":1,"measured":[],"verdict":{"worse":{"why":"slow"}}}}}"#,
    r#"{"Beat":{"fence":1,"seen":{"stage":0,"stood":1,"measured":[],"verdict":{"held":{"slices":4}}}}}"#,
    r#"{"Beat":{"fence":1,"seen":{"stage":0,"stood":1,"measured":[],"verdict":"fine"}}}"#,
    r#"{"Let":{"at":3,"fence":1,"name":"f0"}}"#,
    r#"{"Moved":{"at":4,"fence":1,"name":"f0"}}"#,
    r#"{"Judge":{"at":5,"fence":1}}"#,
    r#"{"Pass":{"at":6,"fence":1,"why":"fine"}}"#,
    r#"{"Worse":{"at":6,"fence":1,"why":"slow"}}"#,
    r#"{"Fell":{"name":"f0","process":12,"sort":"signal 6","again":2}}"#,
    r#"{"Pause":{"id":7,"why":"a look"}}"#,
    r#"{"Resume":{"id":7}}"#,
];

const ABORT: &str = r#"{"Abort":{"id":7,"why":"no"}}"#;

const ROLLOUT: &str = r#"{"id":7,"at":6,"what":{"program":{"label":"d1","path":"/bin/x"}},"plan":{"stages":[[{"name":"f0","zone":"a","seat":true}]],"at_once":1,"least":60,"longest":1800,"ready":60,"slice":5,"spend":0.01,"error":0.01,"matters":0.01,"accept":0.03,"warm_up":10,"memory":1024,"undecided":"pass"},"phase":"judging","stage":0,"paused":false,"fence":1,"steerer":"s0","beat":1,"moving":[],"moved":["f0"],"judged":1,"fallen":[{"name":"f0","process":12,"sort":"signal 6","again":2}],"why":"a test","steps":["begun: a test","s0 steers","stage 1 stands","f0 ended by itself: signal 6"],"seen":[{"stage":0,"stood":30,"measured":[{"what":"service","old":0.25,"new":0.5,"loss":0.125,"half":0.0625,"lately":0.75,"slices":9}],"verdict":null}]}"#;

#[test]
fn log_entries_keep_their_json_text() {
    for text in ENTRIES.into_iter().chain([ABORT]) {
        let entry: RolloutEntry = serde_json::from_str(text).expect(text);
        assert_eq!(
            serde_json::to_string(&entry).expect("the value can be encoded"),
            text
        );
    }
}

#[test]
fn a_rollout_keeps_its_json_text() {
    let decoded: Rollout = serde_json::from_str(ROLLOUT).expect("the text is a rollout");
    assert_eq!(
        serde_json::to_string(&decoded).expect("the value can be encoded"),
        ROLLOUT
    );
    assert_eq!(decoded, rollout_from_entries());
}

#[test]
fn phases_keep_their_json_text() {
    let all = [
        (RolloutPhase::Changing, r#""moving""#),
        (RolloutPhase::Analysing, r#""judging""#),
        (RolloutPhase::RollingBack, r#""back""#),
        (RolloutPhase::Completed, r#""done""#),
        (RolloutPhase::RolledBack, r#""stopped""#),
    ];
    for (phase, text) in all {
        assert_eq!(
            serde_json::to_string(&phase).expect("the value can be encoded"),
            text
        );
    }
}

/// Builds the rollout of [`ROLLOUT`] by applying entries.
fn rollout_from_entries() -> Rollout {
    let plan = RolloutPlan {
        stages: vec![vec![target("f0", "a", true)]],
        inconclusive: InconclusivePolicy::Pass,
        ..RolloutPlan::default()
    };
    let mut rollout = Rollout::begin(7, program("d1", "/bin/x"), plan, "a test".into())
        .expect("the plan is valid");
    let entries = [
        r#"{"Steer":{"fence":1,"who":"s0"}}"#,
        r#"{"Let":{"at":2,"fence":1,"name":"f0"}}"#,
        r#"{"Moved":{"at":3,"fence":1,"name":"f0"}}"#,
        r#"{"Judge":{"at":4,"fence":1}}"#,
        r#"{"Fell":{"name":"f0","process":12,"sort":"signal 6","again":2}}"#,
        r#"{"Beat":{"fence":1,"seen":{"stage":0,"stood":30,"measured":[{"what":"service","old":0.25,"new":0.5,"loss":0.125,"half":0.0625,"lately":0.75,"slices":9}],"verdict":null}}}"#,
    ];
    for text in entries {
        let entry = serde_json::from_str(text).expect(text);
        rollout.apply(entry).expect(text);
    }
    rollout
}
