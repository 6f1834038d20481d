//! Runs the adapter on transcripts, valid and malformed.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_tansyrouter-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(input.as_bytes())
        .unwrap();
    child.wait_with_output().unwrap()
}

fn start(end: u32, seed: u32) -> String {
    let conf = r#"{"me":0,"siblings":1,"unknown_key":[1],"classes":[{"name":"a","aim_s":0.75,"deadline_s":5,
        "effect":"read_like","late_worth":0.3}],"discovery":"pushed","policy_limits":{"cancel":true,
        "max_attempts":6},"rules":{"cold_from":0.2,"fall_multiple":2,"fall_s":2,"warm_up_s":10,
        "drain_grace_s":1},"specifics":{"idle_life_s":9,"load_wait_s":10,"orders":true,
        "when_absent":"miss"},"tick_s":0.002}"#
        .replace('\n', "");
    let list = r#""mode":1,"epoch":1,"entries":[{"worker":"10.0.0.1:80","health":1,"share":1},{"worker":"10.0.0.2:80","health":1,"dc":1,"share":1.5}]"#;
    format!(
        "{{\"kind\":\"Up\",\"end\":{end},\"salt\":{seed},\"conf\":{conf}}}\n{{\"kind\":\"Targets\",\"end\":{end},{list}}}\n"
    )
}

fn batch(seq: u32, at: f64, events: &str) -> String {
    format!(
        "{{\"kind\":\"Clock\",\"moment_s\":{at},\"seq\":{seq}}}\n{events}{{\"kind\":\"Commit\"}}\n"
    )
}

fn call(end: u32, req: u64) -> String {
    format!("{{\"kind\":\"Arrival\",\"end\":{end},\"req\":{req},\"width\":2,\"ram_mb\":300,\"callee\":\"0000007c55d20a01\",\"time_budget_s\":2.5,\"new_field\":1}}\n")
}

fn load_ended(end: u32, worker: &str) -> String {
    format!("{{\"kind\":\"LoadDone\",\"end\":{end},\"worker\":\"{worker}\",\"callee\":\"0000007c55d20a01\",\"result\":\"served\",\"latency_s\":0.5,\"number\":1}}\n")
}

/// Returns the commands for one front end, without its number and the acknowledgements.
fn commands_for(out: &Output, end: u32) -> Vec<String> {
    let text = String::from_utf8(out.stdout.clone()).unwrap();
    let own = format!("\"end\":{end},");
    text.lines()
        .filter(|line| line.contains(&own))
        .map(|line| line.replace(&own, ""))
        .collect()
}

#[test]
fn a_call_waits_for_its_load_and_is_sent() {
    let first = batch(1, 5.0, &start(3, 7)) + &batch(2, 5.5, &call(3, 42));
    let out = run_adapter(&first);
    assert!(out.status.success());
    let load_request = commands_for(&out, 3)
        .into_iter()
        .find(|line| line.contains("StartCopy"))
        .expect("a load request");
    let worker = if load_request.contains("10.0.0.1:80") {
        "10.0.0.1:80"
    } else {
        "10.0.0.2:80"
    };
    let out = run_adapter(&(first + &batch(3, 6.0, &load_ended(3, worker))));
    let text = String::from_utf8(out.stdout).unwrap();
    let send = format!("{{\"kind\":\"HandOff\",\"end\":3,\"req\":42,\"worker\":\"{worker}\"}}");
    assert!(text.lines().any(|line| line == send), "{text}");
    assert_eq!(
        text.lines().filter(|line| line.contains("\"Ok\"")).count(),
        3
    );
    assert_eq!(text.lines().last(), Some("{\"kind\":\"Ok\",\"seq\":3}"));
}

#[test]
fn empty_input_and_empty_batches_succeed() {
    assert!(run_adapter("").status.success());
    let out = run_adapter(&batch(1, 1.0, ""));
    assert!(out.status.success());
    assert_eq!(out.stdout, b"{\"kind\":\"Ok\",\"seq\":1}\n");
}

#[test]
fn malformed_input_ends_the_session_with_its_line_number() {
    let valid = batch(1, 5.0, &start(0, 1));
    let line = valid.lines().count() + 2;
    for (malformed, expected_text) in [
        ("not json\n", "expected"),
        ("{\"kind\":\"Dropped\",\"end\":0}\n", "missing field `req`"),
        (
            "{\"kind\":\"Dropped\",\"end\":0,\"req\":\"x\"}\n",
            "invalid type",
        ),
        ("{\"kind\":\"Nonsense\",\"end\":0}\n", "unknown variant"),
        (
            "{\"kind\":\"Dropped\",\"end\":9,\"req\":1}\n",
            "front end 9 is not running",
        ),
        (
            "{\"kind\":\"Arrival\",\"end\":0,\"req\":1,\"callee\":\"xyz\",\"time_budget_s\":1}\n",
            "not 16 hex digits",
        ),
    ] {
        let out = run_adapter(&(valid.clone() + &batch(2, 6.0, malformed)));
        let error_text = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success(), "{malformed}");
        assert!(
            error_text.contains(expected_text) && error_text.contains(&format!("line {line}:")),
            "{malformed} gave {error_text}"
        );
        let text = String::from_utf8(out.stdout).unwrap();
        assert!(
            text.lines().all(|line| line.starts_with("{\"kind\":")),
            "standard output contains only commands"
        );
    }
}

#[test]
fn an_unfinished_batch_is_an_error() {
    let out = run_adapter("{\"kind\":\"Clock\",\"moment_s\":1,\"seq\":4}\n");
    assert!(!out.status.success());
    assert!(String::from_utf8(out.stderr)
        .unwrap()
        .contains("inside batch 4"));
}

#[test]
fn front_ends_act_the_same_in_one_process_and_in_several() {
    let events = |ends: &[u32]| {
        let all = |f: &dyn Fn(u32) -> String| ends.iter().map(|e| f(*e)).collect::<String>();
        let mut text = batch(1, 5.0, &all(&|end| start(end, 7 + end)));
        for i in 0..40u32 {
            let at = 5.0 + i as f64 * 0.02;
            text += &batch(
                2 + 2 * i,
                at,
                &all(&|end| call(end, (100 * end + i) as u64)),
            );
            let worker = if i % 3 == 0 {
                "10.0.0.1:80"
            } else {
                "10.0.0.2:80"
            };
            text += &batch(3 + 2 * i, at + 0.01, &all(&|end| load_ended(end, worker)));
        }
        text + &batch(
            90,
            9.9,
            &all(&|e| format!("{{\"kind\":\"Timer\",\"end\":{e},\"nonce\":\"0\"}}\n")),
        )
    };
    let together = run_adapter(&events(&[1, 2, 3]));
    for end in 1..=3 {
        let alone = commands_for(&run_adapter(&events(&[end])), end);
        assert!(alone.len() > 20);
        assert_eq!(commands_for(&together, end), alone);
    }
}

/// The names of workers that have left are removed. Outcomes may still name such a worker, and it may return.
#[test]
fn a_removed_worker_may_be_named_in_late_outcomes_and_may_return() {
    let change = |health: u8| {
        format!("{{\"kind\":\"Targets\",\"end\":3,\"mode\":4,\"epoch\":2,\"entries\":[{{\"worker\":\"10.0.0.1:80\",\"health\":{health},\"share\":1}},{{\"worker\":\"10.0.0.2:80\",\"health\":{health},\"share\":1}}]}}\n")
    };
    let lost = |worker: &str| {
        load_ended(3, worker)
            .replace("served", "connection_lost")
            .replace("\"number\":1", "\"number\":0")
    };
    let late = lost("10.0.0.1:80") + &lost("10.0.0.2:80");
    let start = batch(1, 5.0, &start(3, 7)) + &batch(2, 5.5, &(call(3, 42) + &change(2)));
    let out = run_adapter(&(start.clone() + &batch(3, 6.0, &(late.clone() + &call(3, 43)))));
    assert!(out.status.success());
    let load_requests = |out: &Output| {
        commands_for(out, 3)
            .iter()
            .filter(|line| line.contains("StartCopy"))
            .count()
    };
    assert_eq!(
        load_requests(&out),
        1,
        "the load request sent before the list change still names its worker"
    );
    let out =
        run_adapter(&(start + &batch(3, 6.0, &late) + &batch(4, 8.0, &(change(1) + &call(3, 44)))));
    assert!(out.status.success());
    let all = commands_for(&out, 3);
    assert!(
        all.iter().all(|l| !l.contains("\"worker\":\"\"")),
        "{all:?}"
    );
    assert!(load_requests(&out) >= 2, "{all:?}");
}
