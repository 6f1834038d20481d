//! Unary and streamed calls that are served, and the status of those that are not.

use std::time::{Duration, Instant};
use tansy_path_tests::{id, is_last, pb, request, run, start, Client};
use tokio_stream::StreamExt;
use tonic::Code;

#[test]
fn a_unary_call_returns_its_tensors_and_its_id() {
    let (gateway, _workers) = start(2);
    run(async {
        let mut client = gateway.client().await;
        let reply = client.model_infer(request("echo", "mine", &[])).await;
        let reply = reply.unwrap().into_inner();
        assert_eq!(
            (reply.model_name.as_str(), reply.id.as_str()),
            ("echo", "mine")
        );
        let output = &reply.outputs[0];
        assert_eq!(
            (
                output.name.as_str(),
                output.datatype.as_str(),
                &output.shape[..]
            ),
            ("x", "FP32", &[1, 3][..])
        );
        assert_eq!(
            output.contents.as_ref().unwrap().fp32_contents,
            [1.0, 2.0, 3.0]
        );
    });
    let account = gateway.account();
    account.check();
    assert_eq!((account.get("taken"), account.get("served")), (1, 1));
}

/// Checks that clients may not load or unload functions.
async fn check_loads_are_denied(client: &mut Client) {
    let load = pb::RepositoryModelLoadRequest {
        model_name: "echo".into(),
        ..Default::default()
    };
    assert_eq!(
        client.repository_model_load(load).await.unwrap_err().code(),
        Code::PermissionDenied
    );
    let unload = pb::RepositoryModelUnloadRequest {
        model_name: "echo".into(),
        ..Default::default()
    };
    assert_eq!(
        client
            .repository_model_unload(unload)
            .await
            .unwrap_err()
            .code(),
        Code::PermissionDenied
    );
}

async fn is_model_ready(client: &mut Client, name: &str) -> bool {
    let request = pb::ModelReadyRequest {
        name: name.into(),
        version: String::new(),
    };
    let reply = client.model_ready(request).await;
    reply.unwrap().into_inner().ready
}

/// The names and states of all functions.
async fn repository_index(client: &mut Client) -> Vec<(String, String)> {
    let request = pb::RepositoryIndexRequest::default();
    let index = client.repository_index(request).await;
    let models = index.unwrap().into_inner().models.into_iter();
    models.map(|model| (model.name, model.state)).collect()
}

#[test]
fn unserved_requests_have_their_own_status_and_reach_no_worker() {
    let (gateway, workers) = start(1);
    run(async {
        let mut client = gateway.client().await;
        let unknown = client.model_infer(request("nothing", "1", &[])).await;
        let unknown = unknown.unwrap_err();
        assert_eq!(unknown.code(), Code::NotFound, "{unknown:?}");
        check_loads_are_denied(&mut client).await;
        let ready = client.server_ready(pb::ServerReadyRequest {}).await;
        assert!(ready.unwrap().into_inner().ready);
        assert!(is_model_ready(&mut client, "echo").await);
        assert!(!is_model_ready(&mut client, "nothing").await);
        assert_eq!(
            repository_index(&mut client).await,
            ["echo", "keyed", "post"].map(|name| (name.into(), "UNAVAILABLE".into()))
        );
    });
    gateway.account().check();
    assert_eq!(gateway.account().get("unknown"), 1);
    assert_eq!(workers.ran(), [0]);
}

/// The parts of a streamed message that the tests compare.
#[derive(Debug)]
struct ReceivedMessage {
    id: String,
    error: String,
    is_last: bool,
    outputs: usize,
}

impl From<pb::ModelStreamInferResponse> for ReceivedMessage {
    fn from(message: pb::ModelStreamInferResponse) -> ReceivedMessage {
        let response = message.infer_response.as_ref();
        ReceivedMessage {
            id: id(&message).into(),
            is_last: is_last(&message),
            outputs: response.map_or(0, |response| response.outputs.len()),
            error: message.error_message,
        }
    }
}

/// A call whose last message has no output, only the flag that it is the last.
fn request_with_empty_last_message() -> pb::ModelInferRequest {
    let mut request = request("echo", "empty", &[("pieces", 2)]);
    let flag = pb::infer_parameter::ParameterChoice::BoolParam(true);
    request.parameters.insert(
        "triton_enable_empty_final_response".into(),
        tansy_path_tests::parameter(flag),
    );
    request
}

#[test]
fn calls_of_one_stream_are_interleaved_and_each_ends_once() {
    let (gateway, _workers) = start(2);
    run(async {
        let mut client = gateway.client().await;
        let calls = vec![
            request("echo", "slow", &[("pieces", 4), ("work_ms", 900)]),
            request("echo", "fast", &[("pieces", 3)]),
            request("nothing", "unknown", &[]),
            request_with_empty_last_message(),
        ];
        let reply = client.model_stream_infer(tokio_stream::iter(calls)).await;
        let mut messages = reply.unwrap().into_inner();
        let mut received: Vec<ReceivedMessage> = Vec::new();
        while let Some(message) = messages.next().await {
            received.push(message.unwrap().into());
        }
        let of = |id: &str| received.iter().filter(|p| p.id == id).collect::<Vec<_>>();
        for (name, count) in [("slow", 4), ("fast", 3), ("unknown", 1), ("empty", 3)] {
            let all = of(name);
            assert_eq!(all.len(), count, "{name}: {received:?}");
            let ends: Vec<bool> = all.iter().map(|message| message.is_last).collect();
            assert!(
                ends[count - 1] && !ends[..count - 1].contains(&true),
                "{name}: {received:?}"
            );
        }
        assert!(of("unknown")[0].error.starts_with("failed:"));
        assert_eq!(of("empty")[2].outputs, 0, "the empty last message");
        // The slow call's last message comes after the fast call has ended: messages are forwarded as they arrive.
        let at = |id: &str, index: usize| {
            let messages = &mut received.iter();
            messages
                .position(|message| std::ptr::eq(message, of(id)[index]))
                .unwrap()
        };
        assert!(at("fast", 2) < at("slow", 3), "{received:?}");
    });
    let account = gateway.account();
    account.check();
    assert_eq!(
        (
            account.get("taken"),
            account.get("served"),
            account.get("unknown")
        ),
        (3, 3, 1)
    );
}

#[test]
fn two_thousand_calls_started_at_once_on_one_connection_are_all_served() {
    let (gateway, _workers) = start(3);
    run(async {
        let client = gateway.client().await;
        let calls = (0..2000).map(|number: usize| {
            let mut client = client.clone();
            let mut call = tonic::Request::new(request("echo", &number.to_string(), &[]));
            // Long enough for a slow machine.
            call.set_timeout(Duration::from_secs(60));
            async move { client.model_infer(call).await.map(|r| r.into_inner().id) }
        });
        let mut tasks = tokio::task::JoinSet::new();
        calls.for_each(|call| drop(tasks.spawn(call)));
        let mut ids: Vec<usize> = Vec::new();
        while let Some(done) = tasks.join_next().await {
            ids.push(done.unwrap().unwrap().parse().unwrap());
        }
        ids.sort();
        assert_eq!(ids, (0..2000).collect::<Vec<_>>());
    });
    let account = gateway.account();
    account.check();
    assert_eq!((account.get("taken"), account.get("served")), (2000, 2000));
}

#[test]
fn a_call_timeout_is_kept_at_both_ends_of_its_range() {
    let (gateway, workers) = start(1);
    run(async {
        let mut client = gateway.client().await;
        let timed = |text: &'static str, work: i64| {
            let mut call = tonic::Request::new(request("echo", "t", &[("work_ms", work)]));
            call.metadata_mut()
                .insert("grpc-timeout", text.parse().unwrap());
            let mut client = client.clone();
            async move { client.model_infer(call).await }
        };
        let none = timed("1n", 0).await.unwrap_err();
        assert!(
            matches!(
                none.code(),
                Code::Unavailable | Code::Cancelled | Code::DeadlineExceeded
            ),
            "{none:?}"
        );
        assert_eq!(
            workers.ran(),
            [0],
            "a call without time left reached the worker"
        );
        assert_eq!(timed("99999999H", 0).await.unwrap().into_inner().id, "t");
        let started = Instant::now();
        let late = timed("200m", 1000).await.unwrap_err();
        assert!(
            started.elapsed().as_millis() < 200,
            "refused only after the client's timeout: {:?}",
            started.elapsed()
        );
        assert_eq!(
            late.code(),
            Code::Unavailable,
            "the refusal of a safe call: {late:?}"
        );
        let bad = timed("1 s", 0).await.unwrap_err();
        assert_eq!(bad.code(), Code::InvalidArgument, "{bad:?}");
        let _ = client.server_live(pb::ServerLiveRequest {}).await.unwrap();
    });
    gateway.account().check();
}
