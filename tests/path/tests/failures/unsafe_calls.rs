//! Unsafe calls whose first attempt fails: only those that can't have run are sent again.

use crate::{settings_without_control, worker_with_faulty_start};
use std::time::Duration;
use tansy_path_tests::peer::{self, Http2Connection};
use tansy_path_tests::{request, run, GatewayThread, ListedWorker};
use tonic::Code;

/// Makes an unsafe call whose first attempt ends as `script` does. Returns its status code and its number of attempts.
fn unsafe_call(script: impl Fn(&mut Http2Connection, u32) + Send + 'static) -> (Code, usize) {
    let worker =
        worker_with_faulty_start(1, move |connection, streams| script(connection, streams[0]));
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

/// Checks answers that prove that the call did not run.
fn check_calls_known_not_to_have_run() {
    let refused = unsafe_call(|connection, stream| {
        connection.reset(stream, 7);
        std::thread::sleep(Duration::from_millis(50));
    });
    assert_eq!(refused, (Code::Ok, 2), "REFUSED_STREAM");
    let promised = unsafe_call(|connection, stream| {
        connection.headers(stream);
        connection.trailers(
            stream,
            &[("grpc-status", "14"), ("tansy-never-ran", "turned-away")],
        );
        std::thread::sleep(Duration::from_millis(50));
    });
    assert_eq!(promised, (Code::Ok, 2), "the worker's tansy-never-ran");
    let below = unsafe_call(|connection, _| connection.goaway(0));
    assert_eq!(below, (Code::Ok, 2), "GOAWAY below");
}

/// Checks connections that end, and streams that are reset, while the call may be running.
fn check_interrupted_calls() {
    assert_eq!(
        unsafe_call(|connection, stream| connection.goaway(stream)),
        (Code::Aborted, 1),
        "GOAWAY at the call's stream, then a close"
    );
    assert_eq!(
        unsafe_call(|_, _| {}),
        (Code::Aborted, 1),
        "cut before headers"
    );
    assert_eq!(
        unsafe_call(|connection, stream| connection.headers(stream)),
        (Code::Aborted, 1),
        "cut after headers"
    );
    let message = unsafe_call(|connection, stream| {
        connection.headers(stream);
        connection.message(stream, b"\x0a\x04echo");
    });
    assert_eq!(
        message,
        (Code::Aborted, 1),
        "cut between message and trailers"
    );
    for code in [0, 1, 2, 8, 11] {
        assert_eq!(
            unsafe_call(move |connection, stream| connection.reset(stream, code)),
            (Code::Internal, 1),
            "RST with {code}"
        );
    }
}

/// Checks statuses that don't prove that the call did not run, and a status of the function itself.
fn check_calls_that_may_have_run() {
    let after = unsafe_call(|connection, stream| {
        connection.headers(stream);
        connection.reset(stream, 7);
    });
    assert_eq!(
        after,
        (Code::Internal, 1),
        "REFUSED_STREAM after headers proves nothing"
    );
    let status = unsafe_call(|connection, stream| {
        connection.headers(stream);
        connection.trailers(stream, &[("grpc-status", "14")]);
    });
    assert_eq!(
        status,
        (Code::Internal, 1),
        "UNAVAILABLE without tansy-never-ran"
    );
    let own = unsafe_call(|connection, stream| {
        connection.headers(stream);
        connection.trailers(stream, &[("grpc-status", "9"), ("grpc-message", "no")]);
    });
    assert_eq!(
        own,
        (Code::FailedPrecondition, 1),
        "a status of the function itself"
    );
}

/// Checks answers that violate the protocol.
fn check_invalid_answers() {
    let twice = unsafe_call(|connection, stream| {
        connection.headers(stream);
        connection.message(stream, b"\x0a\x04echo");
        connection.message(stream, b"\x0a\x04echo");
        connection.trailers(stream, &[("grpc-status", "0")]);
        std::thread::sleep(Duration::from_millis(50));
    });
    assert_eq!(twice, (Code::Internal, 1), "a worker that answers twice");
    let bare = unsafe_call(|connection, stream| {
        connection.headers(stream);
        connection.send(
            peer::kind::DATA,
            1,
            stream,
            b"\x00\x00\x00\x00\x06\x0a\x04echo",
        );
        std::thread::sleep(Duration::from_millis(50));
    });
    assert_eq!(bare, (Code::Internal, 1), "no trailers");
    let corrupt = unsafe_call(|connection, stream| {
        connection.headers(stream);
        connection.send(peer::kind::DATA, 0, stream, b"\x07\x00\x00\x00\x00");
        std::thread::sleep(Duration::from_millis(50));
    });
    assert_eq!(corrupt, (Code::Internal, 1), "a frame that is no message");
    let empty = unsafe_call(|connection, stream| {
        connection.headers(stream);
        connection.trailers(stream, &[("grpc-status", "0")]);
        std::thread::sleep(Duration::from_millis(50));
    });
    assert_eq!(empty, (Code::Internal, 1), "OK without an answer");
}

#[test]
fn an_unsafe_call_is_sent_again_only_if_it_is_known_not_to_have_run() {
    check_calls_known_not_to_have_run();
    check_interrupted_calls();
    check_calls_that_may_have_run();
    check_invalid_answers();
}
