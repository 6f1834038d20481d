//! The platform's protocol on loopback: what good and bad clients, workers and coordinators get.

mod configuration;
mod departures;
mod deploy;
mod descriptors;
mod faults;
mod hand;
mod links;
mod process;
mod settings;
mod shutdown;
mod stage;
mod together;
mod watch;

use rustix::process::{kill_process, Pid, Signal};
use stage::*;
use std::io::Write;
use std::process::{Command, Stdio};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

fn plain() -> Worker {
    Worker::start(serving(|_| None))
}

#[test]
fn a_call_is_served_with_the_workers_body_and_the_connection_goes_on() {
    let worker = plain();
    let front = Front::start(&Site::of(&[&worker]));
    let mut c = front.connect();
    for id in 1..=3 {
        c.send(&call(id).text());
        assert_eq!(c.answer(), Some((200, format!("body {id}"))));
    }
    let fires = worker.all("fire");
    assert_eq!(fires.len(), 3);
    assert_eq!(fires[0].words[1], "0000000000000001");
    let fields = &fires[0].words[2];
    assert!(
        fields.starts_with("sort=safe,asset=0000000000000007,patience="),
        "{fields}"
    );
    c.send("GET /alive HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(c.answer().map(|a| a.0), Some(200));
    assert_eq!(worker.all("provision").len(), 1);
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one table or one history, read from top to bottom"
)]
fn what_is_not_the_pages_form_goes_to_no_worker() {
    let worker = plain();
    let front = Front::start(&Site::of(&[&worker]));
    let good = call(1);
    let with = |name: &'static str, value: &str| {
        let mut h = good.headers();
        h.insert(name, value.to_string());
        good.text_with(&h, "")
    };
    let without = |name: &'static str| {
        let mut h = good.headers();
        h.remove(name);
        good.text_with(&h, "")
    };
    let mut bad = vec![
        "\u{16}\u{3}\u{1}noise\r\n\r\n".to_string(),
        "GET / HTTP/1.1\r\n\r\n".to_string(),
        good.text().replace("HTTP/1.1", "HTTP/1.0"),
        good.text().replace("/call", "/other"),
        good.text().replace("POST", "PUT"),
        good.text_with(&good.headers(), "Transfer-Encoding: chunked\r\n"),
        good.text_with(&good.headers(), "Content-Length: 6\r\n"),
        format!("POST / HTTP/1.1\r\nX: {}", "y".repeat(100_000)),
        with("Content-Length", "60000000"),
        format!("{}{}", good.text(), call(2).text()),
    ];
    for (name, values) in [
        (
            "Content-Length",
            &["-1", "+6", "6,6", "99999999999999999999", "0x6", "5"][..],
        ),
        ("X-Class", &["none", ""]),
        ("X-Request-Id", &["", "1", "zzzzzzzzzzzzzzzz"]),
        (
            "X-Timeout-Ms",
            &["0", "-5", "abc", "1e9", "99999999", "nan"],
        ),
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
        bad.extend(values.iter().map(|v| with(name, v)));
        bad.push(without(name));
    }
    for text in bad {
        let began = Instant::now();
        let mut c = front.connect();
        c.send(&text);
        let status = c.answer().map(|a| a.0);
        let name: String = text.chars().take(400).collect();
        assert!(
            status.is_some_and(|s| (400..600).contains(&s) && s != 503 && s != 429),
            "{status:?} to {name:?}"
        );
        assert!(
            c.ends_within(Duration::from_secs(3)),
            "still open: {name:?}"
        );
        assert!(began.elapsed() < Duration::from_secs(3));
    }
    assert_eq!(front.call(&call(9)).0, 200);
    assert_eq!(worker.all("fire").len(), 1, "only the good one");
}

#[test]
fn silent_and_trickling_clients_are_closed_in_time_and_honest_idle_ones_are_not() {
    let worker = plain();
    let front = Front::start(&Site::of(&[&worker]));
    let mut honest = front.connect();
    honest.send(&call(1).text());
    assert_eq!(honest.answer().map(|a| a.0), Some(200));
    let idle = Instant::now();
    let ends = |mut c: Client, trickle: bool| {
        std::thread::spawn(move || {
            let began = Instant::now();
            let text = call(2).text();
            let mut sent = text.bytes();
            while trickle && began.elapsed() < Duration::from_secs(5) {
                // A byte now and then, never a whole request.
                if c.0.write_all(&[sent.next().unwrap_or(b'x')]).is_err() {
                    break;
                }
                c.0.set_read_timeout(Some(Duration::from_millis(50)))
                    .unwrap();
                let mut buffer = [0u8; 512];
                match std::io::Read::read(&mut c.0, &mut buffer) {
                    Ok(_) => break,
                    Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                    Err(_) => break,
                }
            }
            let ended = trickle || c.ends_within(Duration::from_secs(4));
            (ended, began.elapsed())
        })
    };
    let mut half = front.connect();
    half.send(&call(3).text()[..40]);
    let all = [
        ends(front.connect(), false),
        ends(front.connect(), true),
        ends(half, false),
    ];
    for one in all {
        let (ended, took) = one.join().unwrap();
        assert!(
            ended && took < Duration::from_secs(3),
            "{ended} after {took:?}"
        );
    }
    // A connection that has been answered may be idle for the page's four seconds.
    let left = Duration::from_secs(4).saturating_sub(idle.elapsed());
    assert!(!honest.ends_within(left));
    honest
        .0
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    honest.send(&call(4).text());
    assert_eq!(honest.answer().map(|a| a.0), Some(200));
}

#[test]
fn a_body_of_60_mb_gets_its_answer_while_it_is_still_being_sent() {
    let worker = plain();
    let front = Front::start(&Site::of(&[&worker]));
    let mut c = front.connect();
    let mut sender = c.0.try_clone().unwrap();
    let began = Instant::now();
    let sending = std::thread::spawn(move || {
        let mut h = call(1).headers();
        h.insert("Content-Length", "60000000".into());
        let _ = sender.write_all(
            Call {
                body: String::new(),
                ..call(1)
            }
            .text_with(&h, "")
            .as_bytes(),
        );
        let block = vec![b'x'; 1 << 20];
        for _ in 0..60 {
            if sender.write_all(&block).is_err() {
                return;
            }
        }
    });
    assert_eq!(c.answer().map(|a| a.0), Some(413));
    assert!(began.elapsed() < Duration::from_secs(3));
    sending.join().unwrap();
    assert_eq!(front.call(&call(2)).0, 200);
}

/// A worker that answers a call only when the test says so.
fn held() -> (Worker, std::sync::mpsc::Sender<()>) {
    let (go, wait) = std::sync::mpsc::channel::<()>();
    let worker = Worker::start(serving(move |c| {
        if c.words[1] == "0000000000000001" {
            let _ = wait.recv_timeout(Duration::from_secs(5));
        }
        None
    }));
    (worker, go)
}

#[test]
fn the_id_of_an_open_request_is_turned_away_and_the_open_one_is_served() {
    let (worker, go) = held();
    let front = Front::start(&Site::of(&[&worker]));
    let mut first = front.connect();
    first.send(&call(1).text());
    until("the first call is out", || worker.all("fire").len() == 1);
    let other = Call {
        body: "another".into(),
        ..call(1)
    };
    assert_eq!(front.call(&other).0, 409);
    go.send(()).unwrap();
    assert_eq!(first.answer(), Some((200, "body 1".into())));
    assert_eq!(worker.all("fire").len(), 1);
    // Once it is answered its id is free again.
    assert_eq!(front.call(&call(2)).0, 200);
    assert_eq!(front.stop().0, [0, 0, 0, 1]);
}

#[test]
fn a_client_that_leaves_or_sends_more_has_its_attempt_given_up() {
    for more in [false, true] {
        let worker = Worker::start(serving(|c| {
            (c.words[1].ends_with('1')).then(|| (Vec::new(), true))
        }));
        let front = Front::start(&Site::of(&[&worker]));
        let mut c = front.connect();
        c.send(&call(1).text());
        until("the call is out", || worker.all("fire").len() == 1);
        if more {
            c.send(&call(3).text());
            assert_eq!(c.answer().map(|a| a.0), Some(400));
        }
        drop(c);
        until("it is given up", || worker.all("never_mind").len() == 1);
        assert_eq!(worker.all("never_mind")[0].words[1], "0000000000000001");
        assert_eq!(front.call(&call(2)).0, 200);
        assert_eq!(
            worker.all("fire").len(),
            2,
            "what came beside an open call goes nowhere"
        );
    }
}

#[test]
fn silent_connections_make_room_and_memory_stays_flat() {
    let worker = plain();
    let site = Site {
        sockets: 64,
        ..Site::of(&[&worker])
    };
    let front = Front::start(&site);
    let silent: Vec<Client> = (0..100).map(|_| front.connect()).collect();
    for id in 0..300 {
        let ever_new = Call {
            function: id,
            ..call(id)
        };
        assert_eq!(
            front.call(&ever_new).0,
            200,
            "call {id} beside 100 silent connections"
        );
    }
    drop(silent);
    let (held, (functions, workers), clients) = front.stop();
    assert_eq!(&held[..3], [0, 0, 0]);
    assert!(
        functions <= 300 && workers == 1 && clients <= 24,
        "{functions} {workers} {clients}"
    );
}

#[test]
fn a_spoilt_answer_is_not_served_and_ends_all_that_is_open_on_its_connection() {
    let spoilt: [&[u8]; 4] = [
        b"noise\r\n",
        b"*4\r\n$3000000000\r\nxx",
        b"*4\r\n$16\r\nnot sixteen bytes long\r\n",
        b"*999\r\n",
    ];
    for bytes in spoilt {
        let worker = Worker::start(serving(move |c| match c.words[1].as_str() {
            "0000000000000001" => Some((bytes.to_vec(), true)),
            "0000000000000002" => Some((Vec::new(), true)),
            _ => None,
        }));
        let front = Front::start(&Site::of(&[&worker]));
        let mut waiting = front.connect();
        waiting.send(&call(2).once().text());
        until("one call is out", || worker.all("fire").len() == 1);
        assert_eq!(front.call(&call(1).once()).0, 502, "it may have run");
        assert_eq!(waiting.answer().map(|a| a.0), Some(502), "so may the other");
        until("the connection is spent", || {
            worker.ended.load(Ordering::SeqCst) > 0
        });
        assert_eq!(front.call(&call(3)).0, 200);
        let fires = worker.all("fire");
        assert_eq!(fires.len(), 3, "an unsafe call is sent once");
        assert_ne!(
            fires[2].on, fires[1].on,
            "a spent connection is of no further use"
        );
    }
}

#[test]
fn an_answer_that_stops_short_ends_its_connection() {
    let worker = Worker::start(serving(|c| {
        (c.words[1].ends_with('1')).then(|| (served(c)[..20].to_vec(), true))
    }));
    let front = Front::start(&Site::of(&[&worker]));
    let began = Instant::now();
    assert_eq!(front.call(&call(1).once()).0, 502);
    assert!(
        began.elapsed() < Duration::from_millis(1200),
        "not sat on until the deadline"
    );
    assert_eq!(front.call(&call(2)).0, 200);
}

#[test]
fn extra_copies_and_unknown_ids_are_let_go() {
    let worker = Worker::start(serving(|c| {
        let mut out = array(&["ffffffffffffffff", "200", "n=ready", "whose"]);
        out.extend(served(c));
        out.extend(served(c));
        Some((out, true))
    }));
    let front = Front::start(&Site::of(&[&worker]));
    for id in 1..=5 {
        assert_eq!(front.call(&call(id)), (200, format!("body {id}")));
    }
    assert!(worker
        .all("fire")
        .iter()
        .all(|c| c.on == worker.all("fire")[0].on));
}

#[test]
fn a_further_attempt_never_shares_a_connection_with_an_earlier_one() {
    let mut tries = 0;
    let worker = Worker::start(serving(move |c| {
        tries += 1;
        // Turned away, and a late copy of that behind it.
        let away = [
            array(&[&c.words[1], "503", "-", ""]),
            array(&[&c.words[1], "503", "-", ""]),
        ]
        .concat();
        (tries == 1).then_some((away, true))
    }));
    let front = Front::start(&Site::of(&[&worker]));
    assert_eq!(
        front.call(&call(1).once()),
        (200, "body 1".into()),
        "turned away never ran: it may go again"
    );
    let fires = worker.all("fire");
    assert_eq!(fires.len(), 2);
    assert_ne!(fires[0].on, fires[1].on);
}

#[test]
fn a_refused_connect_never_ran_and_a_cut_one_may_have() {
    let front = Front::start(&Site::at(&[nobody()]));
    let refused = Call {
        timeout_ms: 600,
        ..call(1)
    }
    .once();
    assert_eq!(front.call(&refused).0, 503, "trying again is harmless");
    let worker = Worker::start(serving(|_| Some((Vec::new(), false))));
    let front = Front::start(&Site::of(&[&worker]));
    assert_eq!(front.call(&call(2).once()).0, 502, "it may have run");
    assert_eq!(worker.all("fire").len(), 1);
}

#[test]
fn idle_connections_to_workers_are_closed_before_the_worker_would() {
    let worker = plain();
    let front = Front::start(&Site {
        keepalive_s: 0.6,
        ..Site::of(&[&worker])
    });
    assert_eq!(front.call(&call(1)).0, 200);
    let began = Instant::now();
    until("both are closed", || {
        worker.ended.load(Ordering::SeqCst) == 2
    });
    assert!(
        began.elapsed() < Duration::from_millis(600),
        "{:?}",
        began.elapsed()
    );
    assert_eq!(front.call(&call(2)).0, 200);
}

#[test]
fn a_poll_that_breaks_or_stalls_is_asked_again_from_the_last_whole_event() {
    let (worker, coordinator) = (plain(), Coordinator::start());
    let site = Site {
        coordinator: coordinator.address,
        ..Site::of(&[&worker])
    };
    let front = Front::start(&site);
    let (target, mut socket) = coordinator.next();
    assert!(
        target.starts_with("/v2/stream?follow=1&wait_ms="),
        "{target}"
    );
    // Broken off in the middle of an event.
    let gone = format!(
        r#"{{"index":2,"updates":[{{"index":2,"endpoints":{{"full":false,"servers":[{}]}}}}]}}"#,
        site.servers("Gone")
    );
    let whole = reply(&gone);
    socket.write_all(&whole[..whole.len() - 5]).unwrap();
    socket.shutdown(std::net::Shutdown::Both).unwrap();
    let (target, mut stalled) = coordinator.next();
    assert!(target.contains("follow=1&"), "{target}");
    // Half an event, and then nothing.
    stalled.write_all(&whole[..whole.len() / 2]).unwrap();
    let (target, mut socket) = coordinator.next();
    assert!(target.contains("follow=1&"), "{target}");
    assert_eq!(front.call(&call(1)).0, 200, "half an event says nothing");
    socket.write_all(&whole).unwrap();
    let (target, _socket) = coordinator.next();
    assert!(target.contains("follow=2&"), "{target}");
    let fires = worker.all("fire").len();
    assert_eq!(
        front
            .call(&Call {
                timeout_ms: 300,
                ..call(2)
            })
            .0,
        503,
        "the only worker is gone"
    );
    assert_eq!(worker.all("fire").len(), fires);
}

#[test]
fn a_new_configuration_moves_the_poll_and_a_bad_one_changes_nothing() {
    let (worker, old, new) = (plain(), Coordinator::start(), Coordinator::start());
    let mut site = Site {
        coordinator: old.address,
        ..Site::of(&[&worker])
    };
    let front = Front::start(&site);
    let (_, mut socket) = old.next();
    socket
        .write_all(&reply(r#"{"index":5,"updates":[]}"#))
        .unwrap();
    let (target, _held) = old.next();
    assert!(target.contains("follow=5&"), "{target}");
    site.coordinator = new.address;
    let text = site.text("127.0.0.1:0");
    std::fs::write(&front.path, &text[..text.len() / 2]).unwrap();
    front.reload();
    assert_eq!(front.call(&call(1)).0, 200);
    assert!(new.asked.try_recv().is_err(), "half a file");
    std::fs::write(&front.path, &text).unwrap();
    front.reload();
    let (target, _socket) = new.next();
    assert!(target.contains("follow=5&"), "the numbers go on: {target}");
    assert_eq!(front.call(&call(2)).0, 200);
}

#[test]
fn sigterm_serves_through_the_window_and_ends_well() {
    let worker = Worker::start(serving(|_| None));
    let reserved = process::reserve();
    let port = reserved.address();
    let path = Site::of(&[&worker]).file(&port.to_string());
    let mut child = Command::new(env!("CARGO_BIN_EXE_tansy-gateway"))
        .arg("--platform")
        .env("EDGE_CONFIG", &path)
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    until("it listens", || std::net::TcpStream::connect(port).is_ok());
    // The platform signals no front end that has not answered this.
    let mut alive = Client::to(port);
    alive.send("GET /alive HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(alive.answer().map(|a| a.0), Some(200));
    let pid = Pid::from_child(&child);
    kill_process(pid, Signal::HUP).unwrap();
    let mut open = Client::to(port);
    open.send(&call(1).text());
    assert_eq!(
        open.answer().map(|a| a.0),
        Some(200),
        "a configuration read again ends nothing"
    );
    let told = Instant::now();
    kill_process(pid, Signal::TERM).unwrap();
    let mut id = 2;
    while told.elapsed() < Duration::from_millis(600) {
        open.send(&call(id).text());
        assert_eq!(
            open.answer().map(|a| a.0),
            Some(200),
            "on an open connection"
        );
        let mut new = Client::to(port);
        new.send(&call(id + 1).text());
        assert_eq!(new.answer().map(|a| a.0), Some(200), "on a new one");
        id += 2;
    }
    assert_eq!(child.wait().unwrap().code(), Some(0));
    assert!(
        told.elapsed() < Duration::from_secs(3),
        "{:?}",
        told.elapsed()
    );
    std::fs::remove_file(path).unwrap();
}

#[test]
fn a_connection_gone_silent_takes_nothing_new_and_a_late_answer_is_nobodys() {
    for late in [false, true] {
        let worker = Worker::start(Box::new(move |c| match c.word() {
            // The first connection that brings a call never answers one, but may once it is given up.
            "fire" if c.words[1].ends_with('1') => (Vec::new(), true),
            "never_mind" if late => (array(&[&c.words[1], "200", "n=ready", "late"]), true),
            "fire" => (served(c), true),
            "provision" => (array(&[&c.words[1], "200", "replicas=1", ""]), true),
            _ => (Vec::new(), true),
        }));
        let front = Front::start(&Site::of(&[&worker]));
        let silent = Call {
            timeout_ms: 300,
            ..call(1)
        }
        .once();
        assert_eq!(
            front.call(&silent).0,
            504,
            "its time is up, and it may have run"
        );
        until("it is given up", || worker.all("never_mind").len() == 1);
        for id in 2..6 {
            let (status, body) = front.call(&call(id));
            assert_eq!((status, body), (200, format!("body {id}")));
        }
        let fires = worker.all("fire");
        assert!(
            fires[1..].iter().all(|c| c.on != fires[0].on),
            "sent on a connection that was silent: {fires:?}"
        );
    }
}

#[test]
fn without_descriptors_accepting_rests_and_serving_goes_on() {
    let worker = plain();
    let reserved = process::reserve();
    let port = reserved.address();
    let path = Site::of(&[&worker]).file(&port.to_string());
    let mut child = Command::new("sh")
        .args([
            "-c",
            "ulimit -n 32; exec \"$0\" --platform",
            env!("CARGO_BIN_EXE_tansy-gateway"),
        ])
        .env("EDGE_CONFIG", &path)
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    until("it listens", || std::net::TcpStream::connect(port).is_ok());
    let mut open = Client::to(port);
    open.send(&call(1).text());
    assert_eq!(open.answer().map(|a| a.0), Some(200));
    // Far more than there are descriptors for; they say nothing, and give way or are closed in time.
    let silent: Vec<Client> = (0..60).map(|_| Client::to(port)).collect();
    open.send(&call(2).text());
    assert_eq!(
        open.answer().map(|a| a.0),
        Some(200),
        "on a connection that stands"
    );
    let mut new = Client::to(port);
    new.send(&call(3).text());
    assert_eq!(
        new.answer().map(|a| a.0),
        Some(200),
        "on a new one, behind them all"
    );
    drop(silent);
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap();
    let after = stat.rsplit(')').next().unwrap_or("");
    let ticks: u64 = after
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|t| t.parse::<u64>().ok())
        .sum();
    assert!(
        ticks < 60,
        "{ticks} hundredths of a second of CPU: it spins"
    );
    kill_process(Pid::from_child(&child), Signal::TERM).unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(0));
    std::fs::remove_file(path).unwrap();
}
