//! Requests that the front end answers without a worker: liveness, readiness, metadata and the repository index.

use crate::driver::Driver;
use crate::request_status::RequestStatus;
use prost::Message;
use tansy_dispatch::{Dispatcher, FunctionSpec};
use tansy_frames::grpc::Code;
use tansy_inference::inference as pb;

/// The server and platform name in metadata responses.
const PLATFORM: &str = "tansyrouter";

fn decode<M: Message + Default>(message: &[u8]) -> Result<M, RequestStatus> {
    M::decode(message).map_err(|error| {
        RequestStatus::new(Code::InvalidArgument, format!("malformed request: {error}"))
    })
}

/// The encoded response to a method of the service other than the inference methods.
pub(crate) fn answer(
    driver: &Driver,
    method: &str,
    message: &[u8],
) -> Result<Vec<u8>, RequestStatus> {
    driver.with_dispatcher(|dispatcher| {
        Ok(match method {
            "ServerLive" => pb::ServerLiveResponse { live: true }.encode_to_vec(),
            "ServerReady" => {
                let ready = dispatcher.is_ready();
                pb::ServerReadyResponse { ready }.encode_to_vec()
            }
            "ServerMetadata" => server_metadata().encode_to_vec(),
            "ModelReady" => {
                let request: pb::ModelReadyRequest = decode(message)?;
                let ready = dispatcher.is_ready() && driver.is_known(&request.name);
                pb::ModelReadyResponse { ready }.encode_to_vec()
            }
            "ModelMetadata" => model_metadata(dispatcher, &decode(message)?)?.encode_to_vec(),
            "RepositoryIndex" => repository_index(dispatcher, &decode(message)?).encode_to_vec(),
            "RepositoryModelLoad" | "RepositoryModelUnload" => {
                let reason = "what is loaded where is the front ends' to decide";
                return Err(RequestStatus::new(Code::PermissionDenied, reason));
            }
            _ => return Err(RequestStatus::new(Code::Unimplemented, "unknown method")),
        })
    })
}

fn server_metadata() -> pb::ServerMetadataResponse {
    pb::ServerMetadataResponse {
        name: PLATFORM.into(),
        version: env!("CARGO_PKG_VERSION").into(),
        extensions: vec!["model_repository".into()],
    }
}

fn model_metadata(
    dispatcher: &Dispatcher,
    request: &pb::ModelMetadataRequest,
) -> Result<pb::ModelMetadataResponse, RequestStatus> {
    let spec = dispatcher.function(&request.name).ok_or_else(|| {
        let message = format!("no function {:?} in the settings", request.name);
        RequestStatus::new(Code::NotFound, message)
    })?;
    Ok(pb::ModelMetadataResponse {
        name: spec.name.clone(),
        versions: spec.versions.clone(),
        platform: PLATFORM.into(),
        ..Default::default()
    })
}

fn repository_index(
    dispatcher: &Dispatcher,
    request: &pb::RepositoryIndexRequest,
) -> pb::RepositoryIndexResponse {
    let entry = |(spec, state): (&FunctionSpec, &str)| pb::repository_index_response::ModelIndex {
        name: spec.name.clone(),
        version: spec.versions.last().cloned().unwrap_or_default(),
        state: state.into(),
        reason: "as this front end believes".into(),
    };
    pb::RepositoryIndexResponse {
        models: dispatcher
            .function_states()
            .into_iter()
            .filter(|(_, state)| !request.ready || *state == "READY")
            .map(entry)
            .collect(),
    }
}
