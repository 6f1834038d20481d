//! The JSON of every command, including those that the router sends rarely.

use super::Command;

const FRONT_END: u64 = 3;

fn to_json(command: Command<'_>) -> String {
    serde_json::to_string(&command).expect("commands serialize")
}

#[test]
fn request_commands_serialize_as_on_the_wire() {
    let send = |abandon_at_s| Command::Send {
        front_end: FRONT_END,
        request: 42,
        worker: "w:1",
        abandon_at_s,
    };
    let reject = |retry_after_s| Command::Reject {
        front_end: FRONT_END,
        request: 42,
        retry_after_s,
    };
    let fail = Command::Fail {
        front_end: FRONT_END,
        request: 42,
    };
    let cancel = Command::Cancel {
        front_end: FRONT_END,
        request: 42,
        attempt: 1,
    };
    let cases = [
        (
            send(None),
            r#"{"kind":"HandOff","end":3,"req":42,"worker":"w:1"}"#,
        ),
        (
            send(Some(1.5)),
            r#"{"kind":"HandOff","end":3,"req":42,"worker":"w:1","cut_at_s":1.5}"#,
        ),
        (reject(None), r#"{"kind":"Deny","end":3,"req":42}"#),
        (
            reject(Some(0.25)),
            r#"{"kind":"Deny","end":3,"req":42,"stay_away_s":0.25}"#,
        ),
        (fail, r#"{"kind":"GiveUp","end":3,"req":42}"#),
        (cancel, r#"{"kind":"Revoke","end":3,"req":42,"hop":1}"#),
    ];
    for (command, expected) in cases {
        assert_eq!(to_json(command), expected);
    }
}

#[test]
fn worker_and_function_commands_serialize_as_on_the_wire() {
    let function = "0000007c55d20a01";
    let probe = Command::Probe {
        front_end: FRONT_END,
        worker: "w:1",
    };
    let load = Command::Load {
        front_end: FRONT_END,
        function: function.into(),
        instances: 2,
        worker: "w:1",
    };
    let unload = Command::Unload {
        front_end: FRONT_END,
        function: function.into(),
        worker: "w:1",
    };
    let cases = [
        (probe, r#"{"kind":"AskLoad","end":3,"worker":"w:1"}"#),
        (
            load,
            r#"{"kind":"StartCopy","end":3,"callee":"0000007c55d20a01","number":2,"worker":"w:1"}"#,
        ),
        (
            unload,
            r#"{"kind":"LetCool","end":3,"callee":"0000007c55d20a01","worker":"w:1"}"#,
        ),
    ];
    for (command, expected) in cases {
        assert_eq!(to_json(command), expected);
    }
}

#[test]
fn timer_and_list_commands_serialize_as_on_the_wire() {
    let front_end = FRONT_END;
    let timer = Command::SetTimer {
        front_end,
        due_at_s: 6.5,
        token: "7".into(),
    };
    let subscribe = Command::Subscribe {
        front_end,
        enabled: true,
    };
    let cases = [
        (
            timer,
            r#"{"kind":"After","end":3,"alarm_time_s":6.5,"nonce":"7"}"#,
        ),
        (subscribe, r#"{"kind":"Listen","end":3,"want":true}"#),
        (
            Command::FetchList { front_end },
            r#"{"kind":"Reload","end":3}"#,
        ),
        (
            Command::Acknowledge { sequence: 9 },
            r#"{"kind":"Ok","seq":9}"#,
        ),
    ];
    for (command, expected) in cases {
        assert_eq!(to_json(command), expected);
    }
}
