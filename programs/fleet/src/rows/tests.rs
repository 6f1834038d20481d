//! The JSON format of results is an interface: renames in the code must not change it.

use super::{FieldChangeRow, FleetStatus, FrontEndStatus, VersionRow};
use std::collections::BTreeMap;

#[test]
fn a_fleet_status_keeps_its_json_text() {
    let mut front_end = FrontEndStatus::unreachable("1.2.3.4:5".into(), "no answer".into());
    front_end.next = Some((3, "joint".into()));
    let status = FleetStatus {
        fleet: "north".into(),
        leader: "1.2.3.4:5".into(),
        front_ends: vec![front_end],
        away: vec!["f2".into()],
        conflicting: vec!["all calls".into()],
        waits_for: vec!["f3".into()],
        waits_for_leases: true,
        changing: BTreeMap::from([("a".to_string(), vec!["f3".to_string()])]),
    };
    let text = r#"{"fleet":"north","seat":"1.2.3.4:5","fronts":[{"name":"?","address":"1.2.3.4:5","error":"no answer","seat":false,"step":0,"version":0,"next":[3,"joint"],"lease_ms":0,"stay_s":0,"sees":0,"holds":0}],"away":["f2"],"contested":["all calls"],"waits_for":["f3"],"waits_for_leases":true,"changing":{"a":["f3"]}}"#;
    assert_eq!(
        serde_json::to_string(&status).expect("the value can be encoded"),
        text
    );
}

#[test]
fn versions_and_their_differences_keep_their_json_text() {
    let change = FieldChangeRow {
        field: "classes.pay.window".into(),
        old: Some("30s".into()),
        new: None,
        compatibility: "joint",
        calls: "all calls".into(),
        at_start: false,
    };
    let text = r#"{"field":"classes.pay.window","old":"30s","new":null,"kind":"joint","calls":"all calls","at_start":false}"#;
    assert_eq!(
        serde_json::to_string(&change).expect("the value can be encoded"),
        text
    );
    let version = VersionRow {
        version: 2,
        state: "in force",
        reason: "shorter".into(),
        id: 7,
        fields: 4,
    };
    let text = r#"{"version":2,"is":"in force","why":"shorter","id":7,"fields":4}"#;
    assert_eq!(
        serde_json::to_string(&version).expect("the value can be encoded"),
        text
    );
}
