//! Tests the parsers with corrupted input: they never panic, and the worker list holds exactly what the events state.

use std::collections::BTreeSet;
use tansy_platform::{parse_answer, Config, EndpointList, EndpointUpdates, RequestSchema};

const VALID: &str = r#"{"name":"n","listen":"127.0.0.1:1","seed":"1","limits":{"sockets":64},"coordinator":"127.0.0.1:2",
    "known":{"index":1,"updates":[]},"settings":{"classes":[{"name":"call","aim_s":1,"deadline_s":2,
    "effect":"idempotency_key"}]}}"#;

/// A text with some bytes changed, removed or duplicated.
fn corrupt(rng: &mut fastrand::Rng, text: &str) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    for _ in 0..rng.usize(1..6) {
        let at = rng
            .usize(..bytes.len().max(1))
            .min(bytes.len().saturating_sub(1));
        match rng.usize(0..3) {
            0 => bytes[at] = rng.u8(..),
            1 if bytes.len() > 1 => drop(bytes.remove(at)),
            _ => bytes.insert(at, bytes[at]),
        }
    }
    bytes
}

#[test]
fn corrupted_configurations_never_panic() {
    let mut rng = fastrand::Rng::with_seed(5);
    for _ in 0..20_000 {
        let text = String::from_utf8_lossy(&corrupt(&mut rng, VALID)).into_owned();
        if let Ok(config) = Config::read(&text) {
            // Converting an accepted configuration must not panic either.
            let _ = tansy_conf::router_settings(&config.settings);
            let _ = (RequestSchema::new(&config.settings), config.seed());
        }
    }
}

#[test]
fn corrupted_replies_guarantee_nothing_unless_their_status_word_does() {
    let mut rng = fastrand::Rng::with_seed(6);
    for _ in 0..50_000 {
        let fields = corrupt(
            &mut rng,
            "n=ready,peers_in=3,replicas=2,l=inflight:7;util:0.61",
        );
        let word = corrupt(&mut rng, "200");
        let strings: [&[u8]; 4] = [b"9b1f03aa5c7e2d41", &word, &fields, b"body"];
        // What cannot be read guarantees nothing.
        let read = parse_answer(&strings, rng.bool());
        let never_ran = read.ok().and_then(|answer| answer.reply.trailers.never_ran);
        assert!(never_ran.is_none() || [&b"404"[..], b"503", b"504"].contains(&&word[..]));
    }
}

#[test]
fn corrupted_requests_never_inject_fields() {
    let mut rng = fastrand::Rng::with_seed(7);
    let config = Config::read(VALID).expect("a valid configuration");
    let schema = RequestSchema::new(&config.settings);
    let valid = [
        ("x-class", "call"),
        ("x-request-id", "9b1f03aa5c7e2d41"),
        ("x-timeout-ms", "1500"),
        ("x-extras", "memory_mb:512;lanes:2"),
        ("idempotency-key", "045fa587"),
    ];
    let mut accepted = 0;
    for _ in 0..50_000 {
        let corrupted = rng.usize(..valid.len());
        let value = String::from_utf8_lossy(&corrupt(&mut rng, valid[corrupted].1)).into_owned();
        let header = |name: &str| {
            let index = valid.iter().position(|header| header.0 == name)?;
            Some(if index == corrupted {
                value.as_str()
            } else {
                valid[index].1
            })
        };
        if let Ok(request) = schema.read("POST", "/ops/7f3a9c21e0b4d655/call", header) {
            accepted += 1;
            let fields = request.fields(schema.class(request.class), 1);
            // A header value must not add a field.
            assert_eq!(fields.split(',').count(), 4, "{fields}");
            assert!(
                fields.split(',').all(|f| f.split('=').count() == 2),
                "{fields}"
            );
        }
    }
    assert!(accepted > 1000, "{accepted}");
}

#[test]
fn the_list_holds_exactly_the_workers_of_the_events() {
    let mut rng = fastrand::Rng::with_seed(8);
    for _ in 0..200 {
        let mut list = EndpointList::new(vec!["a".into()], vec![]);
        let mut ready = BTreeSet::new();
        let mut last = 0;
        for _ in 0..60 {
            let index = rng.u64(0..90);
            let full = rng.usize(0..8) == 0;
            let entries: Vec<(u64, &str)> = (0..rng.usize(0..4))
                .map(|_| {
                    (
                        rng.u64(0..9),
                        *rng.choice(&["Ready", "Terminating", "Gone", "?"])
                            .expect("one"),
                    )
                })
                .collect();
            let servers: Vec<String> = entries
                .iter()
                .map(|(id, state)| {
                    format!(
                        r#"{{"id":"w{id}","addr":"127.0.0.1:{}","state":"{state}"}}"#,
                        100 + id
                    )
                })
                .collect();
            let text = format!(
                r#"{{"index":{},"updates":[{{"index":{index},"endpoints":{{"full":{full},"servers":[{}]}}}}]}}"#,
                rng.u64(0..90),
                servers.join(",")
            );
            let Ok(updates) = serde_json::from_str::<EndpointUpdates>(&text) else {
                panic!("{text}")
            };
            let changes = list.apply(&updates, 0.0);
            assert_eq!(
                !changes.is_empty(),
                index > last,
                "an event is applied once, in order"
            );
            if index > last {
                if full {
                    ready.clear();
                }
                entries.iter().for_each(|(id, state)| {
                    if matches!(*state, "Ready" | "Terminating") {
                        ready.insert(format!("w{id}"));
                    } else {
                        ready.remove(&format!("w{id}"));
                    }
                });
            }
            last = last.max(index).max(updates.index);
            assert_eq!((list.index(), list.worker_count()), (last, ready.len()));
        }
    }
}
