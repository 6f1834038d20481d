//! Calls that must not run twice, whose first attempt fails in every way.

use crate::{settings_without_control, worker_with_faulty_start};
use std::time::Duration;
use tansy_path_tests::peer::{self, Http2Connection};
use tansy_path_tests::{request, run, GatewayThread, ListedWorker};
use tonic::Code;

/// The code of an unsafe call whose first attempt ended so, and how often a worker got it.
fn unsafe_call(script: impl Fn(&mut Http2Connection, u32) + Send + 'static) -> (Code, usize) {
    let worker = worker_with_faulty_start(1, move |wire, streams| script(wire, streams[0]));
    let gateway = GatewayThread::start(
        &settings_without_control(),
        &[ListedWorker::ready("w", worker.address)],
    );
    let code = run(async {
        let mut client = gateway.client().await;
        client
            .model_infer(request("post", "u", &[]))
            .await
            .map_or_else(|s| s.code(), |_| Code::Ok)
    });
    gateway.account().check();
    (code, worker.reports.try_iter().count())
}

/// Answers that say that the call did not run.
fn check_calls_known_not_to_have_run() {
    let refused = unsafe_call(|wire, stream| {
        wire.reset(stream, 7);
        std::thread::sleep(Duration::from_millis(50));
    });
    assert_eq!(refused, (Code::Ok, 2), "REFUSED_STREAM");
    let promised = unsafe_call(|wire, stream| {
        wire.headers(stream);
        wire.trailers(
            stream,
            &[("grpc-status", "14"), ("tansy-never-ran", "turned-away")],
        );
        std::thread::sleep(Duration::from_millis(50));
    });
    assert_eq!(promised, (Code::Ok, 2), "the worker's promise");
    let below = unsafe_call(|wire, _| wire.goaway(0));
    assert_eq!(below, (Code::Ok, 2), "GOAWAY below");
}

/// Connections that end, and streams that are reset, while the call may run.
fn check_calls_that_were_cut() {
    assert_eq!(
        unsafe_call(|wire, stream| wire.goaway(stream)),
        (Code::Aborted, 1),
        "GOAWAY at our stream, then the end"
    );
    assert_eq!(
        unsafe_call(|_, _| {}),
        (Code::Aborted, 1),
        "cut before headers"
    );
    assert_eq!(
        unsafe_call(|wire, stream| wire.headers(stream)),
        (Code::Aborted, 1),
        "cut after headers"
    );
    let message = unsafe_call(|wire, stream| {
        wire.headers(stream);
        wire.message(stream, b"\x0a\x04echo");
    });
    assert_eq!(
        message,
        (Code::Aborted, 1),
        "cut between message and trailers"
    );
    for code in [0, 1, 2, 8, 11] {
        assert_eq!(
            unsafe_call(move |wire, stream| wire.reset(stream, code)),
            (Code::Internal, 1),
            "RST with {code}"
        );
    }
}

/// Statuses that prove nothing, and the function's own.
fn check_calls_that_may_have_run() {
    let after = unsafe_call(|wire, stream| {
        wire.headers(stream);
        wire.reset(stream, 7);
    });
    assert_eq!(
        after,
        (Code::Internal, 1),
        "REFUSED_STREAM after headers proves nothing"
    );
    let status = unsafe_call(|wire, stream| {
        wire.headers(stream);
        wire.trailers(stream, &[("grpc-status", "14")]);
    });
    assert_eq!(
        status,
        (Code::Internal, 1),
        "UNAVAILABLE without the promise"
    );
    let own = unsafe_call(|wire, stream| {
        wire.headers(stream);
        wire.trailers(stream, &[("grpc-status", "9"), ("grpc-message", "no")]);
    });
    assert_eq!(
        own,
        (Code::FailedPrecondition, 1),
        "the function's own verdict"
    );
}

/// Answers that no worker should give.
fn check_invalid_answers() {
    let twice = unsafe_call(|wire, stream| {
        wire.headers(stream);
        wire.message(stream, b"\x0a\x04echo");
        wire.message(stream, b"\x0a\x04echo");
        wire.trailers(stream, &[("grpc-status", "0")]);
        std::thread::sleep(Duration::from_millis(50));
    });
    assert_eq!(twice, (Code::Internal, 1), "a worker that answers twice");
    let bare = unsafe_call(|wire, stream| {
        wire.headers(stream);
        wire.send(
            peer::kind::DATA,
            1,
            stream,
            b"\x00\x00\x00\x00\x06\x0a\x04echo",
        );
        std::thread::sleep(Duration::from_millis(50));
    });
    assert_eq!(bare, (Code::Internal, 1), "no trailers");
    let corrupt = unsafe_call(|wire, stream| {
        wire.headers(stream);
        wire.send(peer::kind::DATA, 0, stream, b"\x07\x00\x00\x00\x00");
        std::thread::sleep(Duration::from_millis(50));
    });
    assert_eq!(corrupt, (Code::Internal, 1), "a frame that is no message");
    let empty = unsafe_call(|wire, stream| {
        wire.headers(stream);
        wire.trailers(stream, &[("grpc-status", "0")]);
        std::thread::sleep(Duration::from_millis(50));
    });
    assert_eq!(empty, (Code::Internal, 1), "OK without an answer");
}

#[test]
fn an_unsafe_call_is_sent_again_only_if_it_is_known_not_to_have_run() {
    check_calls_known_not_to_have_run();
    check_calls_that_were_cut();
    check_calls_that_may_have_run();
    check_invalid_answers();
}
