//! Serves one client connection: its requests are answered one after another.

use super::capacity::free_connection;
use super::connection::{ClientConnection, ClientRequest, Incoming};
use super::rejection::Rejection;
use super::table::{Phase, RequestRoom};
use crate::driver::Driver;
use crate::reasons::CloseReason;
use crate::response_slot::{ClientInput, FinalResponse, ResponseSlot};
use std::future::poll_fn;
use std::rc::Rc;
use tansy_http1::Message;
use tansy_platform::CallRequest;

/// The status of a served call.
const SERVED: u16 = 200;

/// Serves a connection until it ends, and returns why it ended.
pub async fn run_session(driver: Rc<Driver>, connection: ClientConnection) -> CloseReason {
    let mut reader = ClientConnection::reader();
    let mut is_first = true;
    let parse = |message: &Message<'_>| parse_request(&driver, message);
    loop {
        let incoming = connection
            .next_request(&mut reader, std::mem::take(&mut is_first), &parse)
            .await;
        connection.set_phase(Phase::Busy);
        let (request, keep_alive) = match incoming {
            Incoming::Request {
                request,
                keep_alive,
            } => (request, keep_alive),
            Incoming::Ended(reason) => return reason,
            Incoming::Invalid(rejection) => return connection.reject(rejection).await,
        };
        let was_evicted = connection.table().cancel_eviction(connection.entry());
        if was_evicted && connection.table().is_over_capacity() {
            free_connection(&driver, connection.table());
        }
        let response = match request {
            ClientRequest::Alive => FinalResponse {
                status: 200,
                retry_after: 0,
                body: Vec::new(),
            },
            ClientRequest::Call(call, body) => {
                match respond_to_call(&driver, &connection, call, body).await {
                    Ok(response) => {
                        if response.status == SERVED {
                            connection.entry().set_served();
                        }
                        response
                    }
                    Err(ClientInput::Nothing | ClientInput::Closed) => {
                        return CloseReason::ClientLeft
                    }
                    Err(ClientInput::MoreBytes) => {
                        return connection.reject(Rejection::PipelinedWhileOpen).await
                    }
                }
            }
        };
        let is_ending = connection.table().is_closed() || connection.entry().is_evicted();
        let keep_alive = keep_alive && !is_ending;
        if !connection.write_response(response, keep_alive).await {
            return CloseReason::WriteTimedOut;
        }
        if !keep_alive {
            connection.linger().await;
            return if connection.entry().is_evicted() {
                CloseReason::Evicted
            } else {
                CloseReason::LastResponse
            };
        }
        connection.set_phase(Phase::Idle);
    }
}

/// Has the dispatcher answer a call. The error is the input received from the client before the response.
async fn respond_to_call(
    driver: &Rc<Driver>,
    connection: &ClientConnection,
    request: CallRequest,
    body: Vec<u8>,
) -> Result<FinalResponse, ClientInput> {
    let (table, entry) = (connection.table().clone(), connection.entry().clone());
    let close = Box::new(move || table.evict(&entry));
    let slot = Rc::new(ResponseSlot::new(connection.socket().clone(), close));
    let room = connection.table().request_room();
    let has_connection = room != RequestRoom::Exhausted;
    let arrived = connection.arrived();
    let call = driver.accept_call(request, body, arrived, &slot, has_connection);
    if room == RequestRoom::Excess {
        driver.shed_waiting_call(false);
    }
    let response = poll_fn(|cx| slot.poll(cx)).await;
    if response.is_err() {
        driver.on_client_left(call);
    }
    driver.on_client_closing(call);
    response
}

/// Parses a message as a request, and rejects it if a request with the same id is open.
fn parse_request(driver: &Driver, message: &Message<'_>) -> Result<ClientRequest, Rejection> {
    if message.method == "GET" && message.target == "/alive" {
        return if message.body.is_empty() {
            Ok(ClientRequest::Alive)
        } else {
            Err(Rejection::UnexpectedBody)
        };
    }
    let schema = &driver.limits.request_schema;
    let request = schema.read(message.method, message.target, |name| {
        message.single_header(name)
    })?;
    if driver.is_request_open(&request.id) {
        return Err(Rejection::DuplicateId);
    }
    Ok(ClientRequest::Call(request, message.body.to_vec()))
}
