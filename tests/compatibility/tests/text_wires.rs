//! Wire formats whose bytes are written out here: RESP, gRPC frames and headers, and the platform's settings, calls, answers and endpoint
//! list. The expected values are those of the version that recorded the first fixtures.

use tansy_compatibility_tests::fixture;
use tansy_compatibility_tests::steps::trailers;
use tansy_dispatch::{
    AttemptOutcome, CacheStatus, FunctionShape, NeverRan, ResponseStage, WorkerRecord, WorkerState,
};
use tansy_frames::grpc;
use tansy_platform::config::Config;
use tansy_platform::{CallRequest, RequestSchema, WorkerReply};
use tansy_platform::{EndpointChange, EndpointList, EndpointUpdates};

#[test]
fn arrays_of_resp_are_written_and_read_as_before() {
    let (strings, bytes): ([&[u8]; 3], &[u8]) = (
        [b"CALL", b"", &[0, 13, 10, 255]],
        b"*3\r\n$4\r\nCALL\r\n$0\r\n\r\n$4\r\n\x00\r\n\xff\r\n",
    );
    let mut written = Vec::new();
    tansy_resp::write_array(&mut written, &strings);
    assert_eq!(written, bytes);
    let limits = tansy_resp::Limits {
        string: 64,
        strings: 4,
    };
    let mut reader = tansy_resp::Reader::new(limits);
    reader.push_bytes(bytes);
    assert_eq!(reader.next_array(), Ok(Some(strings.to_vec())));
    assert!(!reader.has_partial());
}

#[test]
fn frames_of_grpc_are_written_and_read_as_before() {
    let bytes = b"\x00\x00\x00\x01\x02";
    let message = [7; 258];
    let framed = [bytes.as_slice(), &message].concat();
    assert_eq!(grpc::frame(&message), framed);
    let mut assembler = grpc::Assembler::new(258);
    assembler.push(&framed);
    let read = assembler
        .next_message()
        .expect("a message")
        .expect("a complete message");
    assert_eq!(read.as_ref(), message);
    assert!(assembler.is_empty());
    assert_eq!(grpc::Code::parse(b"14"), grpc::Code::Unavailable);
    assert_eq!(grpc::Code::parse(b"17"), grpc::Code::Unknown);
    assert_eq!(grpc::Code::ResourceExhausted.number(), 8);
    assert_eq!(grpc::parse_timeout(b"250m"), Some(250_000));
    assert_eq!(grpc::format_timeout(100_000_000), "100000m");
    assert_eq!(grpc::encode_message("é 1%\n"), "%C3%A9 1%25%0A");
}

#[test]
fn names_on_the_wire_of_inference_are_as_before() {
    use tansy_inference::names;
    let all = [
        (names::SERVICE_PREFIX, "/inference.GRPCInferenceService/"),
        (names::CACHE_STATUS, "tansy-instance"),
        (names::CONCURRENT_CALLS, "tansy-crowd"),
        (names::NEVER_RAN, "tansy-never-ran"),
        (names::INSTANCE_COUNT, "tansy-instances"),
        (names::LOAD_REPORT, "endpoint-load-metrics-bin"),
        (names::RETRY_PUSHBACK, "grpc-retry-pushback-ms"),
        (names::FINAL_RESPONSE, "triton_final_response"),
        (
            names::EMPTY_FINAL_RESPONSE,
            "triton_enable_empty_final_response",
        ),
        (names::RETRY_AFTER, "retry_after_ms"),
        (names::TIMEOUT, "timeout"),
        (names::LOAD_INSTANCES, "instances"),
        (names::RESPONSE_MESSAGES, "pieces"),
        (names::WORK_MS, "work_ms"),
    ];
    for (present, before) in all {
        assert_eq!(present, before);
    }
    assert_eq!(tansy_fleet_wire::SERVICE, "/tansy.fleet.Fleet/");
}

fn config() -> Config {
    Config::read(&fixture::text("platform.json")).expect("valid settings")
}

/// Every key of the platform's settings file has a different value, so that a swap of two keys is found.
#[test]
fn the_platforms_settings_are_read_as_before() {
    let config = config();
    assert_eq!(config.name, "front-1");
    assert_eq!(config.listen, ([127, 0, 0, 1], 4001).into());
    assert_eq!(config.coordinator, ([127, 0, 0, 1], 4222).into());
    assert_eq!(config.seed(), 0xab);
    let limits = config.limits;
    assert_eq!(
        (limits.cores, limits.memory_mb, limits.sockets),
        (2.0, 512.0, 1024)
    );
    assert_eq!(limits.memory_bytes(), Some(512_000_000));
    let settings = &config.settings;
    assert_eq!(settings.zones, ["west", "east"]);
    assert_eq!(settings.machine_types, ["std", "big"]);
    let names: Vec<&str> = settings.classes.iter().map(|c| c.name.as_str()).collect();
    assert_eq!(names, ["call", "once", "cell", "send"]);
    assert_eq!(settings.tenants[0].name, "t");
    assert_eq!(settings.policy_limits.keepalive_s, 6.0);
    assert_eq!(settings.policy_limits.multiplex, Some(10));
    assert_eq!(settings.telemetry.fields, ["depth", "x0"]);
    // The decision module's settings are compared by their debug output, because not all their types implement `PartialEq`.
    let read = tansy_conf::router_settings(settings).expect("valid settings");
    assert_eq!(
        format!("{read:#?}"),
        format!("{:#?}", expected_router_settings())
    );
}

/// The classes of `fixtures/platform.json`.
fn expected_classes() -> Vec<tansyrouter::Class> {
    use tansyrouter::{Class, DedupGroup, Effect};
    let class = |deadline, effect| Class {
        latency_objective: 1_000_000,
        objective_per_work: 0.0,
        deadline,
        effect,
        priority_weight: 1.0,
        late_weight: 0.0,
        streamed: false,
    };
    let keyed = |group, window| Effect::Keyed { group, window };
    vec![
        Class {
            latency_objective: 1_500_000,
            objective_per_work: 0.5,
            priority_weight: 2.0,
            late_weight: 0.25,
            streamed: true,
            ..class(2_500_000, Effect::Safe)
        },
        class(3_000_000, keyed(DedupGroup::Zone, 5_000_000)),
        class(3_000_000, keyed(DedupGroup::Cell, 0)),
        class(4_000_000, Effect::Unsafe),
    ]
}

/// The decision module's settings of `fixtures/platform.json`.
fn expected_router_settings() -> tansyrouter::Settings {
    use tansyrouter::{LoadBudget, MissPolicy, Reports, Settings, Tenant};
    Settings {
        front_end_index: 1,
        front_ends: 3,
        zone: 2,
        classes: expected_classes(),
        tenants: vec![Tenant {
            quota_per_s: 40.0,
            fraction: 0.75,
        }],
        over_quota_weight: 0.125,
        weight_by_work: true,
        list_pushed: false,
        max_list_poll_interval: 11_000_000,
        may_cancel: true,
        may_probe: true,
        may_load: true,
        may_hedge: true,
        max_attempts: 7,
        max_open_requests: 900,
        max_retry_after: 8_000_000,
        connect_timeout: 500_000,
        miss_policy: MissPolicy::Miss,
        memory_limit: None,
        idle_timeout: 15_000_000,
        load_timeout: 18_000_000,
        load_budget: Some(LoadBudget {
            free: 16.0,
            arrival_share: 0.06,
            period: 17_000_000,
        }),
        reports_warm: true,
        reports_concurrency: true,
        reports: Reports::Pulled,
        kind_memory_mb: vec![4000.0, 8000.0],
        cross_zone_price: 0.01,
        fetch_price: 0.02,
        idle_price: 0.07,
        probe_price: 0.03,
        slow_start_from: 0.05,
        slow_start_window: 14_000_000,
        overload_multiple: 1.5,
        overload_window: 13_000_000,
        drain_grace: 12_000_000,
        answer_slack: 40_000,
        tick: 1_000,
    }
}

#[test]
fn the_platforms_list_is_read_as_before() {
    let change = |name: &str, host: u8, (kind, cell, zone, state, age, share)| EndpointChange {
        endpoint: WorkerRecord {
            name: name.into(),
            kind,
            cell,
            zone,
            state,
            age,
            relative_size: share,
        },
        address: ([127, 0, 0, host], 1).into(),
    };
    let config = config();
    let mut list = EndpointList::new(config.settings.zones, config.settings.machine_types);
    let full_list = vec![
        change("s-a", 2, (1, 2, 1, WorkerState::Ready, None, 4.0)),
        change("s-b", 3, (0, 3, 0, WorkerState::Ready, Some(500_000), 1.0)),
        change("s-c", 4, (0, 0, 0, WorkerState::Draining, None, 1.0)),
    ];
    assert_eq!(list.apply(&config.known, 2000.0), [(true, full_list)]);
    let later = r#"{"index":9,"updates":[{"index":2,"endpoints":{"servers":[{"id":"s-a","state":"Gone"}]}},{"index":3}]}"#;
    let later: EndpointUpdates = serde_json::from_str(later).expect("a reply of the coordinator");
    // What the change does not state is as last stated.
    let gone = vec![change("s-a", 2, (1, 2, 1, WorkerState::Gone, None, 4.0))];
    assert_eq!(list.apply(&later, 2000.0), [(false, gone)]);
    assert_eq!((list.index(), list.worker_count()), (9, 2));
}

#[test]
fn calls_of_the_platform_are_read_and_written_as_before() {
    let schema = RequestSchema::new(&config().settings);
    let header = |name: &str| match name {
        "x-class" => Some("once"),
        "x-request-id" => Some("9b1f03aa5c7e2d41"),
        "x-timeout-ms" => Some("1500.5"),
        "x-extras" => Some("memory_mb:512;lanes:2;load_ms:70"),
        "idempotency-key" => Some("045fa587-5B_"),
        _ => None,
    };
    let request = schema.read("POST", "/ops/7f3a9c21e0b4d655/call", header);
    let expected = CallRequest {
        id: *b"9b1f03aa5c7e2d41",
        function: "7f3a9c21e0b4d655".into(),
        class: 1,
        budget: 1_500_500,
        shape: FunctionShape {
            lanes: 2,
            memory_mb: 512.0,
            load_time: Some(70_000),
        },
        key: Some("045fa587-5B_".into()),
    };
    assert_eq!(
        expected.fields("once", 70),
        "sort=once,asset=7f3a9c21e0b4d655,patience=70,op=045fa587-5B_"
    );
    assert_eq!(request, Ok(expected));
}

#[test]
fn answers_of_workers_are_read_as_before() {
    let report = "queue:1;inflight:2;util:0.5;x0:0.25;x1:3;latency_ms:4;qps:5;eps:6";
    let fields = format!("n=ready,peers_in=3,replicas=2,l={report}");
    let expected = |code, stage, never_ran, cache_status| WorkerReply {
        outcome: AttemptOutcome::Status { code, stage },
        trailers: trailers(cache_status, never_ran),
    };
    let read = |status: &str, fields: &str| {
        let strings: [&[u8]; 4] = [b"tag", status.as_bytes(), fields.as_bytes(), b"body"];
        let answer = tansy_platform::parse_answer(&strings, true).expect("an answer");
        assert_eq!((answer.tag, answer.body), (&b"tag"[..], &b"body"[..]));
        answer.reply
    };
    for (status, code, stage, never_ran) in [
        ("200", 0, ResponseStage::Last, None),
        ("404", 14, ResponseStage::Headers, Some(NeverRan::NotLoaded)),
        (
            "503",
            14,
            ResponseStage::Headers,
            Some(NeverRan::TurnedAway),
        ),
        ("504", 14, ResponseStage::Headers, Some(NeverRan::Expired)),
        ("500", 13, ResponseStage::Headers, None),
    ] {
        let expected = expected(code, stage, never_ran, CacheStatus::Warm);
        assert_eq!(read(status, &fields), expected, "{status}");
    }
    for (word, cache_status) in [
        ("ready", CacheStatus::Warm),
        ("loaded", CacheStatus::StartedLoad),
        ("queued", CacheStatus::AwaitedLoad),
        ("no_image", CacheStatus::LoadFailed),
        ("other", CacheStatus::Unreported),
    ] {
        let fields = fields.replace("n=ready", &format!("n={word}"));
        let expected = expected(0, ResponseStage::Last, None, cache_status);
        assert_eq!(read("200", &fields), expected, "{word}");
    }
}
