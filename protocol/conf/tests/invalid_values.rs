//! Tests that an invalid value is reported with its key, the value and what is allowed, and that unknown keys are ignored.

use tansy_conf::{router_settings, InstanceSettings};

const VALID: &str = r#"{"siblings":3,"unheard_of":{"x":[1]},"classes":[{"name":"call","aim_s":1,"deadline_s":2,
    "effect":"idempotency_key","group":"zone","repeat_window_s":3}],
    "policy_limits":{"max_attempts":2,"connect_timeout_s":0.25,"keepalive_s":30},
    "rules":{"cold_from":0.3,"fall_multiple":4,"fall_s":3,"warm_up_s":5},"specifics":{"idle_life_s":10}}"#;

fn read(text: &str) -> Result<(), String> {
    let settings: InstanceSettings = serde_json::from_str(text).map_err(|e| e.to_string())?;
    router_settings(&settings)
        .map(|_| ())
        .map_err(|e| e.to_string())
}

#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn each_invalid_value_is_reported_with_its_key() {
    assert_eq!(read(VALID), Ok(()));
    for (valid, invalid, expected) in [
        (
            r#""aim_s":1"#,
            r#""aim_s":0"#,
            "classes[0].aim_s: 0; want a number above 0",
        ),
        (
            r#""deadline_s":2"#,
            r#""deadline_s":-2"#,
            "classes[0].deadline_s: -2; want a number above 0",
        ),
        (
            r#""deadline_s":2"#,
            r#""deadline_s":1e300"#,
            "classes[0].deadline_s: 1",
        ),
        (
            r#""name":"call""#,
            r#""name":"""#,
            r#"classes[0].name: ""; want a name"#,
        ),
        (
            r#""effect":"idempotency_key""#,
            r#""effect":"maybe""#,
            r#"effect: "maybe"; want read_like"#,
        ),
        (
            r#""group":"zone""#,
            r#""group":"street""#,
            r#"classes[0].group: "street"; want all, zone or cell"#,
        ),
        (
            r#""repeat_window_s":3"#,
            r#""repeat_window_s":-1"#,
            "classes[0].repeat_window_s: -1; want",
        ),
        (
            r#""siblings":3"#,
            r#""siblings":0"#,
            "siblings: 0; want 1 at least",
        ),
        (
            r#""max_attempts":2"#,
            r#""max_attempts":0"#,
            "policy_limits.max_attempts: 0; want 1 at least",
        ),
        (
            r#""max_attempts":2"#,
            r#""multiplex":0"#,
            "policy_limits.multiplex: 0; want 1 at least",
        ),
        (
            r#""keepalive_s":30"#,
            r#""keepalive_s":-30"#,
            "policy_limits.keepalive_s: -30; want",
        ),
        (r#""fall_s":3"#, r#""fall_s":-3"#, "rules.fall_s: -3; want"),
        (
            r#""idle_life_s":10"#,
            r#""idle_life_s":1e18"#,
            "specifics.idle_life_s: 1",
        ),
        (r#""aim_s":1,"#, "", "missing field `aim_s`"),
    ] {
        let text = VALID.replace(valid, invalid);
        assert_ne!(text, VALID, "{valid}");
        let error = read(&text).expect_err(invalid);
        assert!(error.contains(expected), "{invalid}: {error}");
    }
    let duplicate = VALID.replace(
        r#"{"name":"call""#,
        r#"{"name":"a","aim_s":1,"deadline_s":1,"effect":"read_like"},{"name":"a""#,
    );
    assert!(read(&duplicate)
        .unwrap_err()
        .contains("classes[1].name: \"a\"; want a name of its own"));
}
