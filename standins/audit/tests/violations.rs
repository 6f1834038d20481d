//! Each rule on a recording that violates it and on a similar one that doesn't.

use prost::Message;
use std::collections::BTreeMap;
use tansy_audit::{
    audit, CallEnd, Effect, Entry, Event, Link, LoadBudget, Mark, Overload, Rules, SlowStart,
};
use tansy_inference::inference as pb;

fn rules() -> Rules {
    let functions = [
        ("read", Effect::Safe),
        ("book", Effect::Keyed(1_000_000)),
        ("post", Effect::Unsafe),
    ];
    Rules {
        functions: functions
            .iter()
            .map(|(name, effect)| (name.to_string(), (*effect, 2_000_000)))
            .collect(),
        list_read_delay: 100_000,
        drain_grace: 500_000,
        slow_start: SlowStart {
            initial_share: 0.25,
            window: 4_000_000,
            cores: 1.0,
        },
        overload: Overload {
            multiple: 2.0,
            window: 1_000_000,
        },
        load_budget: Some(LoadBudget {
            free: 1.0,
            per_call: 0.5,
            period: 1_000_000,
        }),
        connect_time: 100_000,
        clock_tolerance: 5_000,
    }
}

/// Builds a recording; entries get the current time `at`.
#[derive(Default)]
struct Recording {
    entries: Vec<Entry>,
    at: i64,
}

/// A literal HPACK header field without indexing.
fn header_field(name: &str, value: &str) -> Vec<u8> {
    let text = |t: &str| [&[t.len() as u8][..], t.as_bytes()].concat();
    [vec![0], text(name), text(value)].concat()
}

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    [
        &(payload.len() as u32).to_be_bytes()[1..],
        &[kind, flags],
        &stream.to_be_bytes(),
        payload,
    ]
    .concat()
}

fn message(body: &[u8]) -> Vec<u8> {
    [&[0][..], &(body.len() as u32).to_be_bytes(), body].concat()
}

impl Recording {
    fn write(&mut self, connection: u64, event: Event) {
        self.entries.push(Entry {
            at: self.at,
            connection,
            event,
        });
    }
    fn open(&mut self, connection: u64, link: Link) {
        self.write(connection, Event::Open(link));
        self.write(
            connection,
            Event::Bytes(true, b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec()),
        );
    }
    /// Bytes from the side that connected.
    fn client_bytes(&mut self, connection: u64, bytes: Vec<u8>) {
        self.write(connection, Event::Bytes(true, bytes));
    }
    /// Bytes to the side that connected.
    fn server_bytes(&mut self, connection: u64, bytes: Vec<u8>) {
        self.write(connection, Event::Bytes(false, bytes));
    }
    /// A unary request.
    fn request(&mut self, connection: u64, stream: u32, method: &str, body: &[u8]) {
        let block = header_field(
            ":path",
            &format!("/inference.GRPCInferenceService/{method}"),
        );
        self.client_bytes(connection, frame(1, 4, stream, &block));
        self.client_bytes(connection, frame(0, 1, stream, &message(body)));
    }
    fn infer(&mut self, connection: u64, stream: u32, function: &str, id: &str, work_ms: i64) {
        use pb::infer_parameter::ParameterChoice::Int64Param;
        let work = pb::InferParameter {
            parameter_choice: Some(Int64Param(work_ms)),
        };
        let request = pb::ModelInferRequest {
            model_name: function.into(),
            id: id.into(),
            parameters: BTreeMap::from([("work_ms".to_string(), work)]),
            ..Default::default()
        };
        self.request(connection, stream, "ModelInfer", &request.encode_to_vec());
    }
    fn status(&mut self, connection: u64, stream: u32, fields: &[(&str, &str)]) {
        let block: Vec<u8> = fields
            .iter()
            .flat_map(|(k, v)| header_field(k, v))
            .collect();
        self.server_bytes(connection, frame(1, 5, stream, &block));
    }
    fn load(&mut self, connection: u64, stream: u32) {
        let request = pb::RepositoryModelLoadRequest {
            model_name: "read".into(),
            ..Default::default()
        };
        self.request(
            connection,
            stream,
            "RepositoryModelLoad",
            &request.encode_to_vec(),
        );
    }
    /// A client's connection (1) and connections to two workers (2, 3), all of front end 0.
    fn start() -> Recording {
        let mut recording = Recording::default();
        recording.open(1, Link::Client { front: 0 });
        recording.open(
            2,
            Link::Worker {
                front: 0,
                worker: 0,
            },
        );
        recording.open(
            3,
            Link::Worker {
                front: 0,
                worker: 1,
            },
        );
        recording
    }
    /// The numbers of the violated rules.
    fn violated(&self) -> Vec<u8> {
        audit(&self.entries, &rules())
            .violations
            .iter()
            .map(|violation| violation.rule)
            .collect()
    }
}

const OK: &[(&str, &str)] = &[("grpc-status", "0")];
const REFUSED: &[(&str, &str)] = &[("grpc-status", "14")];

#[test]
fn a_served_call_violates_no_rule() {
    let mut recording = Recording::start();
    recording.infer(1, 1, "post", "a", 1);
    recording.infer(2, 1, "post", "a", 1);
    recording.at = 1000;
    recording.status(2, 1, OK);
    recording.status(1, 1, OK);
    let report = audit(&recording.entries, &rules());
    assert_eq!(
        (
            report.started,
            report.attempts,
            report.ends.get(&CallEnd::Served)
        ),
        (1, 1, Some(&1))
    );
    assert_eq!(report.violations, []);
}

#[test]
fn rule_1_final_answer_is_late_or_missing_or_followed_by_an_attempt() {
    for (late, violated) in [(1_900_000, vec![]), (2_100_000, vec![1])] {
        let mut recording = Recording::start();
        recording.infer(1, 1, "read", "a", 1);
        recording.at = late;
        recording.status(1, 1, OK);
        assert_eq!(recording.violated(), violated, "answered at {late}");
    }
    let mut never = Recording::start();
    never.infer(1, 1, "read", "a", 1);
    never.at = 3_000_000;
    never.write(0, Event::Mark(Mark::Started { worker: 5 }));
    assert_eq!(never.violated(), [1]);
    // A front end that closes its client's connection must still answer; a killed one need not.
    let mut dropped = Recording::start();
    dropped.infer(1, 1, "read", "a", 1);
    dropped.write(1, Event::Close(Some(false)));
    let mut killed = Recording {
        entries: dropped.entries.clone(),
        at: 0,
    };
    killed.write(0, Event::Mark(Mark::Killed { front: 0 }));
    for (recording, violated) in [(&mut dropped, vec![1]), (&mut killed, vec![])] {
        recording.at = 3_000_000;
        recording.write(0, Event::Mark(Mark::Started { worker: 5 }));
        assert_eq!(recording.violated(), violated);
    }
    let mut after = Recording::start();
    after.infer(1, 1, "read", "a", 1);
    after.status(1, 1, REFUSED);
    after.at = 50_000;
    after.infer(2, 1, "read", "a", 1);
    assert_eq!(after.violated(), [1]);
}

#[test]
fn rule_2_retries_only_of_calls_that_are_safe_to_repeat() {
    let retry = |function: &str, first: &dyn Fn(&mut Recording), gap: i64| {
        let mut recording = Recording::start();
        recording.infer(1, 1, function, "a", 1);
        recording.infer(2, 1, function, "a", 1);
        recording.at += 1000;
        first(&mut recording);
        recording.at += gap;
        recording.infer(3, 1, function, "a", 1);
        recording.at += 1000;
        recording.status(3, 1, OK);
        recording.status(1, 1, OK);
        recording.violated()
    };
    let reset = |code: u32| {
        move |recording: &mut Recording| {
            recording.server_bytes(2, frame(3, 0, 1, &code.to_be_bytes()))
        }
    };
    let cut = |recording: &mut Recording| recording.write(2, Event::Close(Some(false)));
    let goaway = |last: u32| {
        move |recording: &mut Recording| {
            recording.server_bytes(
                2,
                frame(7, 0, 0, &[last.to_be_bytes(), 0u32.to_be_bytes()].concat()),
            )
        }
    };
    let never_ran = |recording: &mut Recording| {
        recording.status(
            2,
            1,
            &[("grpc-status", "14"), ("tansy-never-ran", "not-loaded")],
        )
    };
    assert_eq!(retry("post", &reset(7), 1000), [0u8; 0]);
    assert_eq!(retry("post", &goaway(0), 1000), [0u8; 0]);
    assert_eq!(retry("post", &never_ran, 1000), [0u8; 0]);
    assert_eq!(retry("post", &reset(2), 1000), [2]);
    assert_eq!(retry("post", &cut, 1000), [2]);
    assert_eq!(retry("read", &cut, 1000), [0u8; 0]);
    assert_eq!(retry("book", &cut, 1000), [0u8; 0]);
    assert_eq!(retry("book", &cut, 1_200_000), [2]);
    // A refusal allows the client to retry, so an unsafe call that may have run must not be refused.
    let mut refused = Recording::start();
    refused.infer(1, 1, "post", "a", 1);
    refused.infer(2, 1, "post", "a", 1);
    cut(&mut refused);
    refused.status(1, 1, REFUSED);
    assert_eq!(refused.violated(), [2]);
}

#[test]
fn rule_0_two_attempts_open_at_once() {
    let mut recording = Recording::start();
    recording.infer(1, 1, "read", "a", 1);
    recording.infer(2, 1, "read", "a", 1);
    recording.at = 20_000;
    recording.infer(3, 1, "read", "a", 1);
    recording.at = 40_000;
    recording.status(2, 1, OK);
    recording.status(3, 1, OK);
    recording.status(1, 1, OK);
    assert_eq!(recording.violated(), [0]);
}

#[test]
fn rule_3_no_requests_to_a_draining_worker_after_the_grace_period() {
    for (at, violated) in [(590_000, vec![]), (620_000, vec![3, 3])] {
        let mut recording = Recording::start();
        recording.infer(1, 1, "read", "a", 1);
        recording.write(
            0,
            Event::Mark(Mark::Draining {
                front: 0,
                worker: 0,
            }),
        );
        recording.at = at;
        recording.infer(2, 1, "read", "a", 1);
        recording.load(2, 3);
        recording.status(1, 1, OK);
        assert_eq!(recording.violated(), violated, "at {at}");
    }
}

#[test]
fn rule_4_overload_of_a_cold_worker_by_several_front_ends() {
    // 1.2 s into its slow start the worker has a capacity of 0.25 + 0.75 x 0.3 = 0.475 cores; it fails above twice that, 0.95 s
    // of work per second.
    for (each, violated) in [(440, vec![]), (490, vec![4])] {
        let mut recording = Recording::start();
        recording.open(4, Link::Client { front: 1 });
        recording.open(
            5,
            Link::Worker {
                front: 1,
                worker: 0,
            },
        );
        recording.write(0, Event::Mark(Mark::Started { worker: 0 }));
        recording.at = 1_200_000;
        for (client, worker, id) in [(1, 2, "a"), (4, 5, "b")] {
            recording.infer(client, 1, "read", id, each);
            recording.infer(worker, 1, "read", id, each);
            recording.status(worker, 1, OK);
            recording.status(client, 1, OK);
        }
        assert_eq!(recording.violated(), violated, "{each} ms from each");
    }
}

#[test]
fn rule_5_load_requests_exceed_the_budget_for_accepted_calls() {
    for (requests, violated) in [(2, vec![]), (3, vec![5])] {
        let mut recording = Recording::start();
        for call in 0..2 {
            recording.infer(1, 1 + 2 * call, "read", &format!("call-{call}"), 1);
            recording.status(1, 1 + 2 * call, OK);
        }
        (0..requests).for_each(|request| recording.load(2, 1 + 2 * request));
        assert_eq!(
            recording.violated(),
            violated,
            "{requests} load requests for 2 calls, 1 free"
        );
    }
}
