//! The methods of the fleet service: messages from peers and requests from operators.

mod entries;
mod queries;
mod status;

use crate::transport::FleetTransport;
use bytes::Bytes;
use h2::server::SendResponse;
use h2::RecvStream;
use http::Request;
use prost::Message;
use std::fmt::Display;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;
use tansy_agreement::lease::{Member, Time};
use tansy_fleet_node::FleetNode;
use tansy_fleet_wire::{encode_member, pb, DecodeError, MAX_MESSAGE_BYTES, SERVICE};
use tansy_frames::grpc::Code;
use tansy_net_grpc::server::{
    respond_trailers_only, respond_unary, status_trailers, RequestHandler, RequestMessages,
};
use tansy_net_sockets::within;
use thiserror::Error;

/// Time within which a request must arrive in full.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// The status with which a request is rejected.
#[derive(Debug, Error)]
#[error("{reason}")]
struct Rejection {
    code: Code,
    reason: String,
}

impl Rejection {
    fn new(code: Code, reason: impl Into<String>) -> Rejection {
        let reason = reason.into();
        Rejection { code, reason }
    }

    /// Rejects an invalid request.
    fn invalid(reason: impl Display) -> Rejection {
        Rejection::new(Code::InvalidArgument, reason.to_string())
    }

    /// Rejects a request that only voters can serve.
    fn not_a_voter(node: &FleetNode) -> Rejection {
        let reason = format!(
            "this front end is not a voter and has no log: ask {}",
            node.leader_address()
        );
        Rejection::new(Code::FailedPrecondition, reason)
    }
}

/// An encoded reply.
type Reply = Result<Vec<u8>, Rejection>;

/// The request handler of a node; `fleet` is the hash of the fleet's name.
pub(crate) fn handler(transport: Rc<FleetTransport>, fleet: u64) -> RequestHandler {
    Rc::new(move |request, respond| {
        let transport = transport.clone();
        let spawner = transport.spawner.clone();
        spawner.spawn(async move { serve(&transport, fleet, request, respond).await });
    })
}

async fn serve(
    transport: &Rc<FleetTransport>,
    fleet: u64,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let (parts, body) = request.into_parts();
    let method = parts.uri.path().strip_prefix(SERVICE).unwrap_or("");
    let mut messages = RequestMessages::new(body, MAX_MESSAGE_BYTES);
    let mut first = None;
    let message = poll_fn(|cx| messages.poll_unary(&mut first, cx));
    let message = within(transport.spawner.sleep(REQUEST_TIMEOUT), message).await;
    let Some(Ok(Some(message))) = message else {
        let status = status_trailers(Code::InvalidArgument, "no complete message was received");
        return respond_trailers_only(&mut respond, status);
    };
    match call(transport, fleet, method, &message).await {
        Ok(bytes) => respond_unary(respond, &bytes, status_trailers(Code::Ok, "")),
        Err(rejection) => {
            let status = status_trailers(rejection.code, &rejection.reason);
            respond_trailers_only(&mut respond, status);
        }
    }
}

async fn call(transport: &Rc<FleetTransport>, fleet: u64, method: &str, message: &[u8]) -> Reply {
    match method {
        "Tell" => accept_message(transport, message),
        "Status" => status::status(transport, fleet, message),
        "Enter" => entries::enter(transport, fleet, message).await,
        "History" => queries::history(transport, fleet, message),
        "Counts" => queries::counts(transport, fleet, message),
        "Roll" => queries::rollout(transport, fleet, message),
        "Functions" => queries::functions(transport, fleet, message),
        _ => Err(Rejection::new(
            Code::Unimplemented,
            format!("the fleet service has no method {method:?}"),
        )),
    }
}

fn accept_message(transport: &Rc<FleetTransport>, bytes: &[u8]) -> Reply {
    match transport.receive_message(bytes) {
        Ok(()) => Ok(pb::Accepted {}.encode_to_vec()),
        Err(error) => {
            let code = match error {
                DecodeError::UnknownFormat(_) | DecodeError::OtherFleet => Code::FailedPrecondition,
                DecodeError::Malformed(_) | DecodeError::MissingPart(_) => Code::InvalidArgument,
            };
            Err(Rejection::new(code, error.to_string()))
        }
    }
}

fn decode<M: Message + Default>(bytes: &[u8]) -> Result<M, Rejection> {
    M::decode(bytes).map_err(Rejection::invalid)
}

/// Rejects a request for another fleet. Operators may omit the fleet (0).
fn check_fleet(transport: &FleetTransport, requested: u64, fleet: u64) -> Result<(), Rejection> {
    if requested == 0 || requested == fleet {
        return Ok(());
    }
    let reason = format!("this front end belongs to the fleet {:?}", transport.fleet);
    Err(Rejection::new(Code::FailedPrecondition, reason))
}

/// Functions with a change in progress, each with the subscribers that have not acknowledged it.
fn changing_functions(node: &FleetNode, now: Time) -> Vec<pb::BlockedFunction> {
    let roster: Vec<(Member, &str)> = match node.log() {
        Some(log) => log.roster().collect(),
        None => Vec::new(),
    };
    let rostered = |behind: Member| {
        let entry = roster.iter().find(|(member, _)| *member == behind);
        pb::RosterEntry {
            member: Some(encode_member(behind)),
            name: entry.map_or("", |(_, name)| name).to_string(),
        }
    };
    let waiting = |(name, behind): (String, Vec<Member>)| pb::BlockedFunction {
        name,
        subscribers_behind: behind.into_iter().map(rostered).collect(),
    };
    let blockers = node.change_blockers(now);
    let scopes = blockers.map(|blockers| blockers.scopes).unwrap_or_default();
    scopes.into_iter().map(waiting).collect()
}
