//! Malformed, oversized, slow and idle clients: each affects only its own call or connection.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use tansy_path_tests::peer::{self, kind};
use tansy_path_tests::{request, run, GatewayThread, Workers, SETTINGS};

const INFER: &str = "/inference.GRPCInferenceService/ModelInfer";

fn start(settings: &str) -> (GatewayThread, Workers) {
    let workers = Workers::start(1);
    (GatewayThread::start(settings, &workers.listed()), workers)
}

fn check_still_serves(gateway: &GatewayThread) {
    run(async {
        let mut client = gateway.client().await;
        assert_eq!(
            client
                .model_infer(request("echo", "ok", &[]))
                .await
                .unwrap()
                .into_inner()
                .id,
            "ok"
        );
    });
    gateway.account().check();
}

/// Reads until the other side closes the connection; panics if a read takes longer than 10 s.
fn wait_until_closed(socket: &mut TcpStream) {
    socket
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let mut buffer = [0; 4096];
    loop {
        match socket.read(&mut buffer) {
            Ok(0) => return,
            Ok(_) => {}
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => return,
            Err(error) => panic!("the connection stays open: {error}"),
        }
    }
}

#[test]
fn garbage_closes_only_its_own_connection() {
    let (gateway, _workers) = start(SETTINGS);
    for garbage in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        &[0xff; 4096],
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff\xff\xff\xff\xff\xff\xff",
    ] {
        let mut socket = TcpStream::connect(gateway.grpc).unwrap();
        socket.write_all(garbage).unwrap();
        wait_until_closed(&mut socket);
    }
    check_still_serves(&gateway);
}

#[test]
fn an_incomplete_preface_times_out() {
    let (gateway, _workers) = start(&format!("{SETTINGS}\nfront: preface: 100ms\n"));
    let mut socket = TcpStream::connect(gateway.grpc).unwrap();
    socket.write_all(b"PRI * HTTP").unwrap();
    let started = Instant::now();
    wait_until_closed(&mut socket);
    assert!(started.elapsed() < Duration::from_secs(5));
    check_still_serves(&gateway);
}

#[test]
fn a_huge_header_is_refused_and_the_connection_goes_on() {
    let (gateway, workers) = start(SETTINGS);
    let mut connection = peer::client(gateway.grpc);
    // 250 fields with values of 120 bytes: over 30 KB in CONTINUATION frames, where 16 KiB are allowed.
    let value = "v".repeat(120);
    let more: Vec<(String, String)> = (0..250)
        .map(|n| (format!("x-{n}"), value.clone()))
        .collect();
    let more: Vec<(&str, &str)> = more.iter().map(|(k, v)| (k.as_str(), v.as_str())).collect();
    let block = peer::request_block(INFER, &more);
    let chunks: Vec<&[u8]> = block.chunks(16_000).collect();
    for (number, chunk) in chunks.iter().enumerate() {
        let end = if number + 1 == chunks.len() { 4 } else { 0 };
        connection.send(if number == 0 { kind::HEADERS } else { 9 }, end, 1, chunk);
    }
    // The answer is an HTTP error, a reset or the end of the connection; the call never runs.
    let mut answered = false;
    while let Some(frame) = connection.frame() {
        if frame.stream == 1 || frame.kind == kind::GOAWAY {
            answered = true;
            break;
        }
    }
    assert!(answered);
    assert_eq!(workers.ran(), [0]);
    check_still_serves(&gateway);
}

#[test]
fn a_message_of_a_hundred_megabytes_is_refused_before_it_is_buffered() {
    let (gateway, workers) = start(SETTINGS);
    run(async {
        let mut client = gateway.client().await.max_encoding_message_size(usize::MAX);
        let mut big = request("echo", "big", &[]);
        big.raw_input_contents = vec![vec![0u8; 100 << 20]];
        let refused = client.model_infer(big).await.unwrap_err();
        assert_eq!(
            refused.code(),
            tonic::Code::ResourceExhausted,
            "{refused:?}"
        );
        assert!(
            refused.message().contains("over the limit of 4194304"),
            "{refused:?}"
        );
    });
    assert_eq!(workers.ran(), [0]);
    check_still_serves(&gateway);
}

#[test]
fn a_malformed_message_is_an_invalid_argument_and_reaches_no_worker() {
    let (gateway, workers) = start(SETTINGS);
    let mut connection = peer::client(gateway.grpc);
    connection.send(kind::HEADERS, 4, 1, &peer::request_block(INFER, &[]));
    // Field 5 with a length beyond the end of the message.
    connection.send(kind::DATA, 1, 1, b"\x00\x00\x00\x00\x03\x2a\x7f\x00");
    loop {
        let frame = connection.frame().expect("an answer");
        if frame.kind == kind::HEADERS {
            assert_eq!((frame.stream, frame.flags & 1), (1, 1), "trailers only");
            break;
        }
    }
    assert_eq!(workers.ran(), [0]);
    check_still_serves(&gateway);
    assert_eq!(gateway.account().get("taken"), 1);
}

#[test]
fn a_client_that_does_not_read_slows_only_its_own_call() {
    let (gateway, workers) = start(SETTINGS);
    let mut connection = peer::client(gateway.grpc);
    connection.send(
        kind::HEADERS,
        4,
        1,
        &peer::request_block("/inference.GRPCInferenceService/ModelStreamInfer", &[]),
    );
    // A ModelInferRequest for echo with pieces = 100000 and a raw input of 30,000 bytes: 3 GB of responses in total.
    let raw = vec![7u8; 30_000];
    let length = [0xb0u8, 0xea, 0x01];
    let message = [
        &b"\x0a\x04echo\x22\x0e\x0a\x06pieces\x12\x04\x10\xa0\x8d\x06"[..],
        b"\x3a",
        &length,
        &raw,
    ]
    .concat();
    let head = [&[0u8][..], &(message.len() as u32).to_be_bytes()].concat();
    let all = [head, message].concat();
    for part in all.chunks(16_000) {
        connection.send(kind::DATA, 0, 1, part);
    }
    // While this client reads nothing, other calls are served.
    tansy_path_tests::wait_until("the call runs", || workers.ran()[0] > 0);
    run(async {
        let mut client = gateway.client().await;
        for _ in 0..40 {
            client
                .model_infer(request("echo", "other", &[("work_ms", 10)]))
                .await
                .unwrap();
        }
    });
    let pieces = gateway.last_account().get("pieces");
    assert!(
        pieces < 200,
        "{pieces} responses of 30 KB are buffered for a client that reads none"
    );
    drop(connection);
    let account = gateway.account();
    account.check();
    assert_eq!(
        (
            account.get("served"),
            account.get("departed") + account.get("failed")
        ),
        (40, 1)
    );
}

#[test]
fn calls_are_served_beside_ten_thousand_idle_connections() {
    // This process has both ends of each connection, so that each takes two descriptors.
    let allowed = rlimit::increase_nofile_limit(30_000).unwrap_or(1024);
    let count = 10_000.min(allowed.saturating_sub(200) / 2) as usize;
    let (gateway, _workers) = start(SETTINGS);
    let idle: Vec<peer::Http2Connection> = (0..count).map(|_| peer::client(gateway.grpc)).collect();
    check_still_serves(&gateway);
    assert_eq!(idle.len(), count);
    assert!(count >= 400, "only {allowed} descriptors allowed");
}
