//! A TCP socket on the event loop that can be awaited for reading and writing at the same time.
//!
//! calloop's adapter has a single interest and waker per socket. A connection that waits to write and to read would
//! lose one of the two, and two such peers could deadlock. Here the socket is registered once for both directions,
//! edge-triggered, and each direction remembers whether it may be ready.

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use rustix::io::Errno;
use socket2::{Domain, Protocol, Type};
use std::cell::{Cell, RefCell};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

#[derive(Default)]
struct Direction {
    ready: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Direction {
    fn set_ready(&self) {
        self.ready.set(true);
        self.waker
            .borrow_mut()
            .take()
            .into_iter()
            .for_each(Waker::wake);
    }
    fn register_waker(&self, cx: &Context<'_>) {
        let mut waker = self.waker.borrow_mut();
        if !waker
            .as_ref()
            .is_some_and(|waker| waker.will_wake(cx.waker()))
        {
            *waker = Some(cx.waker().clone());
        }
    }
    /// Repeats a system call until it succeeds or would block.
    fn poll<T>(
        &self,
        cx: &Context<'_>,
        mut call: impl FnMut() -> io::Result<T>,
    ) -> Poll<io::Result<T>> {
        while self.ready.get() {
            match call() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.ready.set(false),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => return Poll::Ready(result),
            }
        }
        self.register_waker(cx);
        Poll::Pending
    }
    /// Makes a system call regardless of reported readiness. Returns a `WouldBlock` error if the socket is not ready.
    fn call_now<T>(&self, mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
        loop {
            match call() {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    // The next edge reports the direction as ready again.
                    self.ready
                        .set(self.ready.get() && error.kind() != io::ErrorKind::WouldBlock);
                    return Err(error);
                }
                result => return result,
            }
        }
    }
}

#[derive(Default)]
struct Directions {
    read: Direction,
    write: Direction,
}

/// The limit on open descriptors of this process.
pub fn descriptor_limit() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.map_or(usize::MAX, |count| {
        usize::try_from(count).unwrap_or(usize::MAX)
    })
}

/// A TCP socket on the event loop; closed when dropped.
pub struct Socket {
    socket: Rc<TcpStream>,
    directions: Rc<Directions>,
    handle: LoopHandle<'static, ()>,
    token: RegistrationToken,
}

impl Socket {
    /// Registers a socket and makes it non-blocking.
    pub fn new(handle: &LoopHandle<'static, ()>, socket: TcpStream) -> io::Result<Socket> {
        socket.set_nonblocking(true)?;
        let socket = Rc::new(socket);
        let directions = Rc::new(Directions::default());
        let reported = directions.clone();
        let source = Generic::new(socket.clone(), Interest::BOTH, Mode::Edge);
        let token = handle.insert_source(source, move |readiness, _, ()| {
            // Both directions observe a hang-up or an error by their next system call.
            if readiness.readable || readiness.error {
                reported.read.set_ready();
            }
            if readiness.writable || readiness.error {
                reported.write.set_ready();
            }
            Ok(PostAction::Continue)
        });
        let token = token.map_err(|e| io::Error::other(e.to_string()))?;
        Ok(Socket {
            socket,
            directions,
            handle: handle.clone(),
            token,
        })
    }

    /// The underlying socket.
    pub fn get(&self) -> &TcpStream {
        &self.socket
    }
    /// Ready once the socket is reported writable: it is connected, or connecting failed.
    pub fn poll_writable(&self, cx: &Context<'_>) -> Poll<()> {
        if self.directions.write.ready.get() {
            return Poll::Ready(());
        }
        self.directions.write.register_waker(cx);
        Poll::Pending
    }
    /// Reads available bytes; 0 means that the peer has shut down its side.
    pub fn poll_read(&self, cx: &Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        self.directions.read.poll(cx, || (&*self.socket).read(buf))
    }
    /// Reads bytes that the kernel holds, even if the event loop has not reported them. Returns a `WouldBlock` error
    /// if there are none.
    pub fn read_now(&self, buf: &mut [u8]) -> io::Result<usize> {
        self.directions.read.call_now(|| (&*self.socket).read(buf))
    }
    /// Writes as many bytes as the kernel accepts.
    pub fn poll_write(&self, cx: &Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.directions
            .write
            .poll(cx, || (&*self.socket).write(buf))
    }
    /// Shuts down the sending side.
    pub fn shutdown(&self) -> io::Result<()> {
        match self.socket.shutdown(Shutdown::Write) {
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(()),
            result => result,
        }
    }
}

/// Pause between retries of a transient failure.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Maximum number of retries of an interrupted `connect`.
const MAX_CONNECT_RETRIES: usize = 16;
/// The connection is being established. After an interrupted `connect`, a repeated call returns one of the last two.
const CONNECT_IN_PROGRESS: [Errno; 3] = [Errno::INPROGRESS, Errno::ALREADY, Errno::ISCONN];
/// This machine lacks resources or network access, independently of the peer.
const OUT_OF_RESOURCES: [Errno; 8] = [
    Errno::AGAIN,
    Errno::NOMEM,
    Errno::NFILE,
    Errno::MFILE,
    Errno::ADDRNOTAVAIL,
    Errno::NETDOWN,
    Errno::NETUNREACH,
    Errno::NOBUFS,
];
/// Also transient at startup: a previous process may still be serving its last requests on the address.
const TRANSIENT: [Errno; 2] = [Errno::INTR, Errno::ADDRINUSE];
/// The process or the system has no descriptor left.
const OUT_OF_DESCRIPTORS: [Errno; 2] = [Errno::NFILE, Errno::MFILE];

fn is_one_of(error: &io::Error, errnos: &[Errno]) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| errnos.contains(&errno))
}

/// Whether an error means that this machine lacks the resources for a socket or has no network.
pub fn is_out_of_resources(error: &io::Error) -> bool {
    is_one_of(error, &OUT_OF_RESOURCES)
}

/// Whether an error means that no descriptor is left.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    is_one_of(error, &OUT_OF_DESCRIPTORS)
}

/// Whether an error at startup may go away by itself.
pub fn is_transient(error: &io::Error) -> bool {
    is_out_of_resources(error) || is_one_of(error, &TRANSIENT)
}

/// Retries an operation that fails with a transient error, for at most `within`. Logs the first error with the
/// `subject` of the operation.
pub fn retry<T>(
    within: Duration,
    subject: &str,
    mut attempt: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let started_at = Instant::now();
    let mut logged = false;
    loop {
        match attempt() {
            Err(error) if is_transient(&error) && started_at.elapsed() < within => {
                if !std::mem::replace(&mut logged, true) {
                    tracing::warn!(%error, operation = subject, "transient error; retrying");
                }
                std::thread::sleep(RETRY_PAUSE);
            }
            result => return result,
        }
    }
}

impl Socket {
    /// Starts connecting to an address; [`Socket::poll_connected`] reports the result.
    pub fn connect(handle: &LoopHandle<'static, ()>, address: SocketAddr) -> io::Result<Socket> {
        let domain = if address.is_ipv6() {
            Domain::IPV6
        } else {
            Domain::IPV4
        };
        let socket = socket2::Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        let mut result = socket.connect(&address.into());
        for _ in 0..MAX_CONNECT_RETRIES {
            match &result {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {
                    result = socket.connect(&address.into())
                }
                _ => break,
            }
        }
        match result {
            Err(error) if !is_one_of(&error, &CONNECT_IN_PROGRESS) => return Err(error),
            _ => {}
        }
        Socket::new(handle, TcpStream::from(socket))
    }
    /// Ready once the connection is established or has failed.
    pub fn poll_connected(&self, cx: &Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(self.poll_writable(cx));
        Poll::Ready(self.get().take_error().and_then(|e| e.map_or(Ok(()), Err)))
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.handle.remove(self.token);
    }
}

/// Creates a listening socket. With `shared`, several processes can accept connections on the same port.
pub fn listen(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let domain = if address.is_ipv6() {
        Domain::IPV6
    } else {
        Domain::IPV4
    };
    let socket = socket2::Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    if shared {
        socket.set_reuse_port(true)?;
    }
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(crate::accept_queue::BACKLOG)?;
    Ok(socket.into())
}
