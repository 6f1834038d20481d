//! Tests with random valid settings: every call is answered before its deadline, with the names that the settings define. A front
//! end does not start with an invalid configuration.

use crate::harness::manual::{readable, ManualFrontEnd, ManualWorker};
use crate::harness::*;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// A randomly generated class.
#[derive(Clone, Debug)]
struct RandomClass {
    name: String,
    /// Whether calls of the class have an idempotency key.
    keyed: bool,
    deadline_ms: u64,
}

/// A randomly generated configuration.
struct RandomSettings {
    text: String,
    classes: Vec<RandomClass>,
    max_attempts: u64,
}

/// Generates a name.
fn random_name(rng: &mut fastrand::Rng) -> String {
    (0..rng.usize(1..12))
        .map(|_| *rng.choice(b"abcxyz-_.0189").unwrap_or(&b'x') as char)
        .collect()
}

/// Generates the configuration of a front end with one worker.
fn random_settings(rng: &mut fastrand::Rng, listen: &str, worker: &ManualWorker) -> RandomSettings {
    let zones: Vec<String> = (0..rng.usize(0..4))
        .map(|_| format!("\"{}\"", random_name(rng)))
        .collect();
    let (class_texts, classes): (Vec<String>, Vec<_>) = (0..rng.usize(1..6))
        .map(|number| random_class(rng, number))
        .unzip();
    let siblings = *rng.choice(&[1usize, 2, 30, 300]).unwrap_or(&1);
    let attempts = rng.u64(1..6);
    let text = format!(
        r#"{{"name":"n","listen":"{listen}","seed":"{:x}","limits":{{"sockets":{}}},"coordinator":"{}",
        "known":{{"index":1,"updates":[{{"index":1,"endpoints":{{"full":true,"servers":[
        {{"id":"w","addr":"{}","zone":"?","kind":"?","cell":7,"state":"Ready","weight":{},"started_ms":0}}]}}}}]}},
        "settings":{{"me":{},"siblings":{siblings},"zones":[{}],"machine_types":[],"classes":[{}],
        "tenants":[{{"name":"{}","fraction":0.4,"quota_per_s":3}}],
        {},
        {},"tick_s":{}}}}}"#,
        rng.u64(..),
        rng.usize(20..2000),
        unused_address(),
        worker.address,
        rng.f64() * 10.0,
        rng.usize(0..siblings),
        zones.join(","),
        class_texts.join(","),
        random_name(rng),
        random_limits_and_rules(rng, attempts),
        random_specifics(rng),
        rng.f64() * 0.01,
    );
    RandomSettings {
        text,
        classes,
        max_attempts: attempts,
    }
}

/// Generates a class. Returns its text and the values that the test needs.
fn random_class(rng: &mut fastrand::Rng, number: usize) -> (String, RandomClass) {
    let name = format!("{}{number}", random_name(rng));
    let deadline_ms = rng.u64(200..900);
    let effect = *rng
        .choice(&["read_like", "idempotency_key", "non_idempotent"])
        .unwrap_or(&"read_like");
    let text = format!(
        r#"{{"name":"{name}","aim_s":{},"deadline_s":{},"effect":"{effect}","group":"{}","repeat_window_s":{},
            "late_worth":{},"gain":{},"aim_stretch":{}}}"#,
        deadline_ms as f64 / rng.f64().mul_add(4000.0, 900.0),
        deadline_ms as f64 / 1000.0,
        rng.choice(&["", "all", "zone", "cell"]).unwrap_or(&""),
        rng.f64() * 2.0,
        rng.f64(),
        rng.f64() * 9.0,
        if rng.bool() { 0.0 } else { rng.f64() * 3.0 },
    );
    let class = RandomClass {
        name,
        keyed: effect == "idempotency_key",
        deadline_ms,
    };
    (text, class)
}

/// Generates the fields `policy_limits`, `prices` and `rules`.
fn random_limits_and_rules(rng: &mut fastrand::Rng, attempts: u64) -> String {
    format!(
        r#""policy_limits":{{"cancel":{},"connect_timeout_s":{},"keepalive_s":{},"max_attempts":{attempts},"multiplex":{},
        "retry_after":{},"max_retry_after_s":{}}},
        "prices":{{"cross_zone":{},"origin":{},"probe":{}}},
        "rules":{{"answer_slack_s":0.05,"drain_grace_s":{},"cold_from":{},"fall_multiple":{},"fall_s":{},"warm_up_s":{}}}"#,
        rng.bool(),
        0.02 + rng.f64(),
        rng.f64() * 40.0,
        rng.usize(1..64),
        rng.bool(),
        rng.f64(),
        rng.f64(),
        rng.f64(),
        rng.f64(),
        rng.f64(),
        rng.f64(),
        1.0 + rng.f64() * 6.0,
        rng.f64() * 5.0,
        rng.f64() * 20.0,
    )
}

/// Generates the field `specifics`.
fn random_specifics(rng: &mut fastrand::Rng) -> String {
    format!(
        r#""specifics":{{"idle_life_s":{},"kind_memory_mb":[],"load_wait_s":{},"orders":true,"says_warm":{},"tells_crowd":{},
        "load_free":{},"load_part":{},"load_period_s":{},"when_absent":"{}"}}"#,
        rng.f64() * 20.0,
        rng.f64() * 10.0,
        rng.bool(),
        rng.bool(),
        rng.usize(0..9),
        rng.f64(),
        if rng.bool() { 0.0 } else { rng.f64() * 5.0 },
        rng.choice(&["miss", "load"]).unwrap_or(&"miss"),
    )
}

/// A call that a client has sent and that is not answered yet.
struct OpenCall {
    client: Client,
    id: u64,
    class: RandomClass,
}

/// Sends a call of one of the classes.
fn send_call(
    rng: &mut fastrand::Rng,
    settings: &RandomSettings,
    front_end: &ManualFrontEnd,
    id: u64,
) -> OpenCall {
    let class = rng.choice(&settings.classes).expect("a class").clone();
    let key = if class.keyed {
        format!("Idempotency-Key: {id:x}\r\n")
    } else {
        String::new()
    };
    let call = Call {
        timeout_ms: class.deadline_ms,
        function: id % 3,
        ..call(id)
    };
    let mut headers = call.headers();
    headers.insert("X-Class", class.name.clone());
    let mut client = Client::to(front_end.platform.address());
    client.send(&call.text_with(&headers, &key));
    OpenCall { client, id, class }
}

/// Waits for the answer to a call, which must arrive before the deadline, and returns its status. Depending on `irregular`, the
/// worker rejects all attempts, does not know the function, fails, or serves the calls.
fn answer_in_time(
    front_end: &mut ManualFrontEnd,
    worker: &mut ManualWorker,
    open: &mut OpenCall,
    irregular: usize,
    round: usize,
) -> u16 {
    open.client.socket.set_nonblocking(true).unwrap();
    let began = Instant::now();
    front_end.until("an answer", |_| {
        while let Some(command) = worker.next_command("fire") {
            match irregular {
                0 => worker.answer(&command, "503", "-"),
                1 => worker.answer(&command, "404", "-"),
                2 => worker.answer(&command, "500", "-"),
                _ => worker.serve(&command),
            }
        }
        readable(&open.client.socket)
    });
    let waited = began.elapsed();
    let status = front_end.answer(&mut open.client);
    assert!(
        [200, 502, 503, 504].contains(&status),
        "round {round}: {status}"
    );
    let deadline = open.class.deadline_ms;
    assert!(
        waited < Duration::from_millis(deadline + 60),
        "round {round}: {waited:?} of {deadline}"
    );
    status
}

/// Checks that the attempts of a call name its class, and that there are no more of them than the settings allow.
fn assert_attempts(worker: &ManualWorker, open: &OpenCall, attempts: u64, round: usize) {
    let sort = format!("sort={},", open.class.name);
    let id = format!("{:016x}", open.id);
    let calls = worker
        .log
        .iter()
        .filter(|command| command.name() == "fire" && command.id() == id);
    let calls: Vec<_> = calls.collect();
    assert!(
        calls
            .iter()
            .all(|command| command.words[2].starts_with(&sort)),
        "round {round}: {calls:?}"
    );
    assert!(calls.len() as u64 <= attempts, "round {round}: {calls:?}");
}

#[test]
fn calls_are_answered_in_time_with_random_settings() {
    let mut rng = fastrand::Rng::with_seed(33);
    let mut served = 0;
    for round in 0..60 {
        let mut worker = ManualWorker::start();
        let settings = random_settings(&mut rng, "127.0.0.1:0", &worker);
        let mut front_end = ManualFrontEnd::with_text(&settings.text);
        let mut open: Vec<OpenCall> = (0..6)
            .map(|id| send_call(&mut rng, &settings, &front_end, id))
            .collect();
        let irregular = rng.usize(0..5);
        for call in &mut open {
            let status = answer_in_time(&mut front_end, &mut worker, call, irregular, round);
            served += u32::from(status == 200);
            assert_attempts(&worker, call, settings.max_attempts, round);
        }
    }
    assert!(served > 100, "only {served} of 360 calls were served");
}

#[test]
fn an_invalid_configuration_ends_the_start_with_one_line() {
    let worker = Worker::plain();
    let text = configuration_for(&[&worker]).text(ANY_PORT);
    for (valid, invalid, message) in [
        (
            r#""siblings":1"#,
            r#""siblings":0"#,
            "settings.siblings: 0; want 1 at least",
        ),
        (
            r#""fall_s":3"#,
            r#""fall_s":-3"#,
            "settings.rules.fall_s: -3; want a number from 0",
        ),
        (
            r#""coordinator":""#,
            r#""coordinator":"nowhere "#,
            "coordinator: \"nowhere 127.0.0.1:",
        ),
        (r#""sockets""#, r#""plugs""#, "missing field `sockets`"),
        (r#"{"name""#, "", "line 1 column"),
    ] {
        let path = std::env::temp_dir().join(format!("tansy-absurd-{}.json", std::process::id()));
        let changed = text.replacen(valid, invalid, 1);
        assert_ne!(changed, text, "{valid}");
        std::fs::write(&path, changed).unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_tansy-gateway"))
            .arg("--platform")
            .env("EDGE_CONFIG", &path)
            .stdout(Stdio::null())
            .output()
            .unwrap();
        std::fs::remove_file(&path).unwrap();
        let line = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{line}");
        assert!(
            line.lines().count() == 1 && line.contains(message),
            "{invalid}: {line}"
        );
    }
}
