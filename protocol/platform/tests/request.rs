//! Tests that a client's request is accepted in the protocol's exact form only.

use tansy_dispatch::FunctionShape;
use tansy_platform::{CallRequest, RequestError, RequestSchema};

fn schema() -> RequestSchema {
    let conf = r#"{"classes":[{"name":"call","deadline_s":2.5,"aim_s":1,"effect":"read_like"},
        {"name":"once","deadline_s":2.5,"aim_s":1,"effect":"idempotency_key","repeat_window_s":5}],
        "specifics":{"kind_memory_mb":[4000],"load_wait_s":10}}"#;
    RequestSchema::new(&serde_json::from_str(conf).unwrap())
}

const VALID: [(&str, &str); 4] = [
    ("x-class", "call"),
    ("x-request-id", "9b1f03aa5c7e2d41"),
    ("x-timeout-ms", "1500"),
    ("x-extras", "memory_mb:512;lanes:2"),
];

fn read(
    target: &str,
    change: Option<(&str, Option<&'static str>)>,
) -> Result<CallRequest, RequestError> {
    schema().read("POST", target, |name| match change {
        Some((changed, value)) if changed == name => value,
        _ => VALID.iter().find(|g| g.0 == name).map(|g| g.1),
    })
}

#[test]
fn a_valid_request_is_accepted() {
    let request = read("/ops/7f3a9c21e0b4d655/call", None).unwrap();
    assert_eq!(request.budget, 1_500_000);
    assert_eq!(
        request.shape,
        FunctionShape {
            lanes: 2,
            memory_mb: 512.0,
            load_time: None
        }
    );
    assert_eq!(
        (request.class, request.function.as_str()),
        (0, "7f3a9c21e0b4d655")
    );
}

#[test]
fn a_keyed_class_requires_an_idempotency_key_and_forwards_it_unchanged() {
    let schema = schema();
    let read = |class: &'static str, key: Option<&'static str>| {
        let header = |name: &str| match name {
            "x-class" => Some(class),
            "idempotency-key" => key,
            _ => VALID.iter().find(|g| g.0 == name).map(|g| g.1),
        };
        schema.read("POST", "/ops/7f3a9c21e0b4d655/call", header)
    };
    let request = read("once", Some("045fa587-5B_")).unwrap();
    assert_eq!(
        request.fields("once", 70),
        "sort=once,asset=7f3a9c21e0b4d655,patience=70,op=045fa587-5B_"
    );
    assert_eq!(
        read("call", Some("045f")).unwrap().fields("call", 1),
        "sort=call,asset=7f3a9c21e0b4d655,patience=1"
    );
    let long: &'static str = Box::leak("x".repeat(129).into_boxed_str());
    for key in [
        None,
        Some(""),
        Some("a,patience=9"),
        Some("a b"),
        Some("\u{e9}"),
        Some(long),
    ] {
        assert!(read("once", key).is_err(), "{key:?}");
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "tables of cases")]
fn invalid_requests_are_rejected() {
    let path = "/ops/7f3a9c21e0b4d655/call";
    for target in [
        "/",
        "/ops",
        "/ops/7f3a/call",
        "/ops/7f3a9c21e0b4d65z/call",
        "/ops/7f3a9c21e0b4d655",
        "*",
        "/ops/7f3a9c21e0b4d655/call/",
        "/ops/7f3a9c21e0b4d655/call?x",
        "//ops/7f3a9c21e0b4d655/call",
    ] {
        assert_eq!(read(target, None).unwrap_err().status(), 404, "{target}");
    }
    let invalid: &[(&str, &[&str])] = &[
        ("x-class", &["", "Call", "other", "call "]),
        (
            "x-request-id",
            &[
                "",
                "9b1f",
                "9b1f03aa5c7e2d4g",
                "9b1f03aa5c7e2d411",
                "9B1F03AA5C7E2D41",
            ],
        ),
        (
            "x-timeout-ms",
            &[
                "",
                "0",
                "-1",
                "nan",
                "inf",
                "1e3",
                "abc",
                "2502",
                "99999999999999999999",
                "+5",
            ],
        ),
        (
            "x-extras",
            &[
                "",
                "memory_mb:512",
                "lanes:2",
                "memory_mb:512;lanes:0",
                "memory_mb:-1;lanes:2",
                "memory_mb:512;lanes:2.5",
                "memory_mb:1e3;lanes:2",
                "memory_mb:5000;lanes:2",
                "memory_mb:x;lanes:2",
                "memory_mb:512;lanes:2;lanes:2",
                "memory_mb:512;lanes:2;x:1",
                "memory_mb:512;lanes:900000",
            ],
        ),
    ];
    for (name, values) in invalid {
        for value in *values {
            assert!(
                read(path, Some((name, Some(value)))).is_err(),
                "{name}: {value}"
            );
        }
        assert!(read(path, Some((name, None))).is_err(), "without {name}");
    }
    assert_eq!(
        schema().read("PUT", path, |_| None).unwrap_err().status(),
        405
    );
}
