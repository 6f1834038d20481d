//! Hands the final response of a call to its client's task, and detects whether the client is still waiting.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tansy_net_sockets::socket::Socket;
use tansyrouter::Micros;

/// Input received from a client while its call is open.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ClientInput {
    /// No input: the client is waiting for its response.
    Nothing,
    /// Bytes of another request.
    MoreBytes,
    /// The client closed or reset the connection.
    Closed,
}

/// The final response to a call.
pub struct FinalResponse {
    /// The HTTP status.
    pub status: u16,
    /// Delay that the client is asked to observe before a retry, microseconds; 0 if none.
    pub retry_after: Micros,
    /// The response body.
    pub body: Vec<u8>,
}

/// Holds the response of one call until the client's task takes it.
pub struct ResponseSlot {
    response: RefCell<Option<FinalResponse>>,
    waker: RefCell<Option<Waker>>,
    socket: Rc<Socket>,
    input: Cell<ClientInput>,
    /// Has the client's connection end after the response.
    close: Box<dyn Fn()>,
}

impl ResponseSlot {
    /// Creates an empty slot for the client connected by `socket`. `close` has the connection end after the response.
    pub fn new(socket: Rc<Socket>, close: Box<dyn Fn()>) -> ResponseSlot {
        let (response, waker) = (RefCell::default(), RefCell::default());
        ResponseSlot {
            response,
            waker,
            socket,
            input: Cell::new(ClientInput::Nothing),
            close,
        }
    }

    /// Has the client's connection end once the response has been written.
    pub fn close_after_response(&self) {
        (self.close)();
    }

    fn wake(&self) {
        let waker = self.waker.borrow_mut().take();
        waker.into_iter().for_each(Waker::wake);
    }

    /// Records the result of a read.
    fn record(&self, read: io::Result<usize>) -> ClientInput {
        let input = match read {
            Ok(count) if count > 0 => ClientInput::MoreBytes,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => ClientInput::Nothing,
            _ => ClientInput::Closed,
        };
        if input != ClientInput::Nothing {
            self.input.set(input);
            self.wake();
        }
        input
    }

    /// Whether the client is still waiting. Reads the socket directly, since the event loop may not have reported a
    /// close yet.
    pub fn is_client_waiting(&self) -> bool {
        self.input.get() == ClientInput::Nothing
            && self.record(self.socket.read_now(&mut [0u8; 256])) == ClientInput::Nothing
    }

    /// Stores the response and wakes the client's task.
    pub fn complete(&self, response: FinalResponse) {
        *self.response.borrow_mut() = Some(response);
        self.wake();
    }

    /// Resolves to the response, or to the input received from the client instead.
    pub fn poll(&self, cx: &Context<'_>) -> Poll<Result<FinalResponse, ClientInput>> {
        if let Some(response) = self.response.borrow_mut().take() {
            return Poll::Ready(Ok(response));
        }
        if self.input.get() == ClientInput::Nothing {
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            let read = std::task::ready!(self.socket.poll_read(cx, &mut [0u8; 256]));
            self.record(read);
        }
        Poll::Ready(Err(self.input.get()))
    }
}
