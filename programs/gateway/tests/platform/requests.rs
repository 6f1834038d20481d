//! Tests of client requests: valid calls are served, and invalid ones are not sent to any worker.

use crate::harness::*;
use std::io::Write;
use std::time::{Duration, Instant};

#[test]
fn calls_are_answered_with_the_workers_body_on_a_persistent_connection() {
    let worker = Worker::plain();
    let front_end = FrontEnd::start(&configuration_for(&[&worker]));
    let mut client = front_end.connect();
    for id in 1..=3 {
        client.send(&call(id).text());
        assert_eq!(client.answer(), Some((200, format!("body {id}"))));
    }
    let calls = worker.commands("fire");
    assert_eq!(calls.len(), 3);
    assert_eq!(calls[0].words[1], "0000000000000001");
    let fields = &calls[0].words[2];
    assert!(
        fields.starts_with("sort=safe,asset=0000000000000007,patience="),
        "{fields}"
    );
    client.send("GET /alive HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(client.answer_status(), Some(200));
    assert_eq!(worker.commands("provision").len(), 1);
}

const INVALID_TIMEOUTS: [&str; 6] = ["0", "-5", "abc", "1e9", "99999999", "nan"];

/// Requests that violate the platform's protocol, each in one way.
fn malformed_requests() -> Vec<String> {
    let valid = call(1);
    let text = valid.text();
    let with = |name: &'static str, value: &str| {
        let mut headers = valid.headers();
        headers.insert(name, value.to_string());
        valid.text_with(&headers, "")
    };
    let without = |name: &'static str| {
        let mut headers = valid.headers();
        headers.remove(name);
        valid.text_with(&headers, "")
    };
    let mut malformed = vec![
        "\u{16}\u{3}\u{1}noise\r\n\r\n".to_string(),
        "GET / HTTP/1.1\r\n\r\n".to_string(),
        text.replace("HTTP/1.1", "HTTP/1.0"),
        text.replace("/call", "/other"),
        text.replace("POST", "PUT"),
        valid.text_with(&valid.headers(), "Transfer-Encoding: chunked\r\n"),
        valid.text_with(&valid.headers(), "Content-Length: 6\r\n"),
        format!("POST / HTTP/1.1\r\nX: {}", "y".repeat(100_000)),
        with("Content-Length", "60000000"),
        format!("{text}{}", call(2).text()),
    ];
    for (name, values) in [
        (
            "Content-Length",
            &["-1", "+6", "6,6", "99999999999999999999", "0x6", "5"][..],
        ),
        ("X-Class", &["none", ""]),
        ("X-Request-Id", &["", "1", "zzzzzzzzzzzzzzzz"]),
        ("X-Timeout-Ms", &INVALID_TIMEOUTS),
        (
            "X-Extras",
            &[
                "memory_mb:300",
                "memory_mb:-1;lanes:1",
                "memory_mb:1e9;lanes:1",
                "lanes:x;memory_mb:1",
                "-",
            ],
        ),
    ] {
        malformed.extend(values.iter().map(|value| with(name, value)));
        malformed.push(without(name));
    }
    malformed
}

#[test]
fn malformed_requests_are_sent_to_no_worker() {
    let worker = Worker::plain();
    let front_end = FrontEnd::start(&configuration_for(&[&worker]));
    for text in malformed_requests() {
        let began = Instant::now();
        let mut client = front_end.connect();
        client.send(&text);
        let status = client.answer_status();
        let name: String = text.chars().take(400).collect();
        assert!(
            status.is_some_and(|s| (400..600).contains(&s) && s != 503 && s != 429),
            "{status:?} to {name:?}"
        );
        assert!(
            client.ends_within(Duration::from_secs(3)),
            "still open: {name:?}"
        );
        assert!(began.elapsed() < Duration::from_secs(3));
    }
    assert_eq!(front_end.call(&call(9)).0, 200);
    assert_eq!(
        worker.commands("fire").len(),
        1,
        "only the valid call is sent"
    );
}

#[test]
fn a_body_of_60_mb_is_answered_while_it_is_still_being_sent() {
    let worker = Worker::plain();
    let front_end = FrontEnd::start(&configuration_for(&[&worker]));
    let mut client = front_end.connect();
    let mut sender = client.socket.try_clone().unwrap();
    let began = Instant::now();
    let sending = std::thread::spawn(move || {
        let mut headers = call(1).headers();
        headers.insert("Content-Length", "60000000".into());
        let _ = sender.write_all(
            Call {
                body: String::new(),
                ..call(1)
            }
            .text_with(&headers, "")
            .as_bytes(),
        );
        let block = vec![b'x'; 1 << 20];
        for _ in 0..60 {
            if sender.write_all(&block).is_err() {
                return;
            }
        }
    });
    assert_eq!(client.answer_status(), Some(413));
    assert!(began.elapsed() < Duration::from_secs(3));
    sending.join().unwrap();
    assert_eq!(front_end.call(&call(2)).0, 200);
}

#[test]
fn a_second_call_with_the_id_of_an_open_call_is_rejected() {
    let (worker, release) = worker_with_delayed_answers(&['1']);
    let front_end = FrontEnd::start(&configuration_for(&[&worker]));
    let mut first = front_end.connect();
    first.send(&call(1).text());
    until("the worker has the first call", || {
        worker.commands("fire").len() == 1
    });
    let other = Call {
        body: "another".into(),
        ..call(1)
    };
    assert_eq!(front_end.call(&other).0, 409);
    release.send(()).unwrap();
    assert_eq!(first.answer(), Some((200, "body 1".into())));
    assert_eq!(worker.commands("fire").len(), 1);
    // No id stays in use after its call is answered.
    assert_eq!(front_end.call(&call(2)).0, 200);
    assert_eq!(front_end.stop().driver, [0, 0, 0, 1]);
}

#[test]
fn the_attempt_of_a_client_that_disconnects_or_pipelines_is_cancelled() {
    for more in [false, true] {
        let worker = Worker::start(serving(|command| {
            (command.id().ends_with('1')).then(|| (Vec::new(), true))
        }));
        let front_end = FrontEnd::start(&configuration_for(&[&worker]));
        let mut client = front_end.connect();
        client.send(&call(1).text());
        until("the worker has the call", || {
            worker.commands("fire").len() == 1
        });
        if more {
            client.send(&call(3).text());
            assert_eq!(client.answer_status(), Some(400));
        }
        drop(client);
        until("the attempt is cancelled", || {
            worker.commands("never_mind").len() == 1
        });
        assert_eq!(
            worker.commands("never_mind")[0].words[1],
            "0000000000000001"
        );
        assert_eq!(front_end.call(&call(2)).0, 200);
        assert_eq!(
            worker.commands("fire").len(),
            2,
            "a request that was pipelined behind an open call is not sent"
        );
    }
}
