//! Any bytes in the places where the platform's protocol is read: no panic, nothing kept that was not told, and whole
//! messages read the same however they are cut.

use std::collections::BTreeSet;
use tansy_platform::{parse_reply, Config, EndpointList, EndpointUpdates, RequestSchema};

const GOOD: &str = r#"{"name":"n","listen":"127.0.0.1:1","seed":"1","limits":{"sockets":64},"coordinator":"127.0.0.1:2",
    "known":{"index":1,"updates":[]},"settings":{"classes":[{"name":"call","aim_s":1,"deadline_s":2,
    "effect":"idempotency_key"}]}}"#;

/// A text with some bytes changed, left out or said twice.
fn spoil(rng: &mut fastrand::Rng, text: &str) -> Vec<u8> {
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
fn configurations_and_their_settings() {
    let mut rng = fastrand::Rng::with_seed(5);
    for _ in 0..20_000 {
        let text = String::from_utf8_lossy(&spoil(&mut rng, GOOD)).into_owned();
        if let Ok(config) = Config::read(&text) {
            // What is read can be made settings of.
            let _ = tansy_conf::router_settings(&config.settings);
            let _ = (RequestSchema::new(&config.settings), config.seed());
        }
    }
}

#[test]
fn answers_of_workers() {
    let mut rng = fastrand::Rng::with_seed(6);
    for _ in 0..50_000 {
        let fields = spoil(
            &mut rng,
            "n=ready,peers_in=3,replicas=2,l=inflight:7;util:0.61",
        );
        let word = spoil(&mut rng, "200");
        let got = parse_reply(&word, &fields, rng.bool());
        assert!(
            got.trailers.never_ran.is_none() || [&b"404"[..], b"503", b"504"].contains(&&word[..])
        );
    }
}

#[test]
fn requests_of_clients() {
    let mut rng = fastrand::Rng::with_seed(7);
    let config = Config::read(GOOD).expect("good");
    let schema = RequestSchema::new(&config.settings);
    let good = [
        ("x-class", "call"),
        ("x-request-id", "9b1f03aa5c7e2d41"),
        ("x-timeout-ms", "1500"),
        ("x-extras", "memory_mb:512;lanes:2"),
        ("idempotency-key", "045fa587"),
    ];
    let mut taken = 0;
    for _ in 0..50_000 {
        let odd = rng.usize(..good.len());
        let value = String::from_utf8_lossy(&spoil(&mut rng, good[odd].1)).into_owned();
        let header = |name: &str| {
            let index = good.iter().position(|header| header.0 == name)?;
            Some(if index == odd {
                value.as_str()
            } else {
                good[index].1
            })
        };
        if let Ok(request) = schema.read("POST", "/ops/7f3a9c21e0b4d655/call", header) {
            taken += 1;
            let fields = request.fields(schema.class(request.class), 1);
            // One field more than was meant would be another's.
            assert_eq!(fields.split(',').count(), 4, "{fields}");
            assert!(
                fields.split(',').all(|f| f.split('=').count() == 2),
                "{fields}"
            );
        }
    }
    assert!(taken > 1000, "{taken}");
}

#[test]
fn lists_hold_what_was_told_last_and_no_more() {
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
                "an event counts once, in its order"
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
