//! Guards against changes of the JSON lines between a measurement and its processes of hollow front ends, which recorded traces contain.

use serde::de::DeserializeOwned;
use serde::Serialize;
use tansy_scale::hollow::protocol::{HollowCommand, HollowEvent};

/// Decodes each line, and checks that encoding it again gives the same line.
fn assert_unchanged<T: DeserializeOwned + Serialize>(lines: &[&str]) {
    for line in lines {
        let decoded: T = serde_json::from_str(line).unwrap_or_else(|e| panic!("{e}: {line}"));
        let encoded = serde_json::to_string(&decoded).expect("the message can be encoded");
        assert_eq!(encoded, *line);
    }
}

#[test]
fn commands_keep_their_json_form() {
    assert_unchanged::<HollowCommand>(&[
        r#"{"Begin":{"settings":"/tmp/scale.cue","net":7,"first":3,"each":4}}"#,
        r#"{"Mesh":["127.0.0.1:4000","127.0.0.1:4001"]}"#,
        r#"{"Start":[[3,"f3"],[4,"f4"]]}"#,
        r#"{"Kill":3}"#,
        r#"{"Call":{"functions":40,"seed":7}}"#,
        r#"{"Watch":{"id":9,"functions":[["s000001",{"class":{"Text":"c"},"lanes":{"Int":8}}]]}}"#,
        r#"{"Unwatch":9}"#,
        r#""Count""#,
    ]);
}

#[test]
fn events_keep_their_json_form() {
    assert_unchanged::<HollowEvent>(&[
        r#"{"Ready":"127.0.0.1:4000"}"#,
        r#"{"Acts":{"place":3,"since":10,"at":20}}"#,
        r#"{"Force":{"version":2,"at":30}}"#,
        r#"{"Watching":{"id":9,"holders":[1,0]}}"#,
        r#"{"Acted":{"id":9,"nth":1,"at":40}}"#,
        r#"{"Broken":{"place":3,"function":"s000001"}}"#,
        concat!(
            r#"{"Counted":{"alive":3,"least_view":1,"most_view":2,"without_lease":1,"without_stay":2,"holds":4,"calls":5,"#,
            r#""taken":6,"taken_bytes":7,"sent":8,"sent_bytes":9,"dropped":10,"cpu_s":0.5}}"#
        ),
        r#"{"Failed":"reason"}"#,
    ]);
}
