//! `tansy-sim size --json` prints its arguments under the names used in recorded runs.

use std::process::Command;

#[test]
fn json_output_contains_the_arguments_under_their_recorded_names() {
    let output = Command::new(env!("CARGO_BIN_EXE_tansy-sim"))
        .args(
            "size --front-ends 3 --tier hollow --seats 9 --seconds 5 --stay 20 --lease 700"
                .split(' '),
        )
        .args("--away-hour 1 --cut-regions 1 --cut-seconds 2 --regions 2 --evenly".split(' '))
        .args(
            "--by-scope 4 --held 0.5 --held-by-dead 0.25 --zone 2 --zone-seconds 3 --json"
                .split(' '),
        )
        .output()
        .expect("the program starts");
    let text = String::from_utf8(output.stdout).expect("valid UTF-8");
    let line: serde_json::Value = serde_json::from_str(&text).expect("one line of JSON");
    let expected = serde_json::json!({
        "tool": "virtual",
        "command": "tansy-sim size --front-ends 3 --tier hollow --seats 3 --seeds 1 --from 1 --seconds 5 --regions 2 \
                    --changes-hour 0 --strict-every 4 --burst 0 --away-hour 1 --dead 0 --cut-regions 1 --cut-seconds 2 \
                    --stay 20 --lease 700 --functions 0 --by-scope 4 --evenly --held 0.5 --held-by-dead 0.25 --zone 2 \
                    --zone-seconds 3 --json",
        "tier": "hollow",
        "front_ends": 3,
        "seats": 3,
        "regions": 2,
        "seconds": 5,
        "changes_hour": 0.0,
        "strict_every": 4,
        "burst": 0,
        "away_hour": 1.0,
        "dead": 0,
        "cut_regions": 1,
        "cut_seconds": 2,
        "stay_seconds": 20,
        "lease_ms": 700,
        "functions": 0,
        "by_scope": 4,
        "evenly": 1,
        "held": 0.5,
        "held_by_dead": 0.25,
        "rack": 0,
        "zone": 2,
        "zone_seconds": 3,
        "with_root": 0,
        "rolling": 0,
        "rolling_seconds": 0,
    });
    for (name, value) in expected.as_object().expect("an object") {
        assert_eq!(&line[name], value, "{name}");
    }
}
