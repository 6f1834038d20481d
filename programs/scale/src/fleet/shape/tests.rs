//! Guards against changes of names and settings, which would make recorded runs unrepeatable.

use super::{front_end_names, FleetShape};

const SHAPE: FleetShape = FleetShape {
    front_ends: 40,
    real: 6,
    voters: 3,
    seed: 9,
    session_seconds: 7,
    functions: 2,
};

#[test]
fn a_seed_gives_the_same_names_in_every_release() {
    let names = front_end_names(&SHAPE);
    assert_eq!(names[..6], ["f0", "f1", "f2", "f30", "f31", "f14"]);
    // Hollow front ends have the remaining names, in order.
    let mut hollow: Vec<String> = (3..40).map(|index| format!("f{index}")).collect();
    hollow.retain(|name| !names[..6].contains(name));
    assert_eq!(names[6..], hollow);
}

#[test]
fn settings_contain_the_voters_and_all_functions() {
    let voters = [
        ("f0".into(), ([127, 0, 0, 1], 4000).into()),
        ("f1".into(), ([127, 0, 0, 2], 4001).into()),
    ];
    let expected = r#"classes: {
    c: {aim: 60s, deadline: 120s}
    d: {aim: 60s, deadline: 120s}
}
tenants: t: {quota_per_s: 1000}
functions: {
    f000000: {class: "c", lanes: 8, memory: 100MB, load_time: 400ms}
    f000001: {class: "c", lanes: 8, memory: 100MB, load_time: 400ms}
}
fleet: {name: "scale", stay: 7s, seats: [{name: "f0", address: "127.0.0.1:4000"}, {name: "f1", address: "127.0.0.2:4001"}]}
"#;
    assert_eq!(SHAPE.settings_text(&voters), expected);
}
