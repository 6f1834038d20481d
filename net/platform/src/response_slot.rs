//! Where a call's final response is put for its client's task, and whether that client still waits for it.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tansy_net_sockets::socket::Socket;
use tansyrouter::Micros;

/// What arrived from a client while its call is open.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ClientInput {
    /// Nothing: it waits.
    Nothing,
    /// Bytes of a further request.
    MoreBytes,
    /// It closed or reset its connection.
    Closed,
}

/// A final response.
pub struct FinalResponse {
    /// The HTTP status.
    pub status: u16,
    /// Advice not to try again for so long, microseconds; 0: none.
    pub retry_after: Micros,
    /// The body.
    pub body: Vec<u8>,
}

/// The place of one call's response.
pub struct ResponseSlot {
    response: RefCell<Option<FinalResponse>>,
    waker: RefCell<Option<Waker>>,
    socket: Rc<Socket>,
    input: Cell<ClientInput>,
}

impl ResponseSlot {
    /// An empty slot for the client at the other end of `socket`.
    pub fn new(socket: Rc<Socket>) -> ResponseSlot {
        let (response, waker) = (RefCell::default(), RefCell::default());
        ResponseSlot {
            response,
            waker,
            socket,
            input: Cell::new(ClientInput::Nothing),
        }
    }

    fn wake(&self) {
        let waker = self.waker.borrow_mut().take();
        waker.into_iter().for_each(Waker::wake);
    }

    /// Records what a read brought.
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

    /// Whether the client waits for its response as far as this machine knows at this moment: its close may have
    /// arrived without the loop having reported it yet.
    pub fn is_client_waiting(&self) -> bool {
        self.input.get() == ClientInput::Nothing
            && self.record(self.socket.read_now(&mut [0u8; 256])) == ClientInput::Nothing
    }

    /// Puts the response in and wakes the client's task.
    pub fn complete(&self, response: FinalResponse) {
        *self.response.borrow_mut() = Some(response);
        self.wake();
    }

    /// Ready: the response, or what arrived from the client instead.
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
