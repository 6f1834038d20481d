//! A TCP socket on the loop, readable and writable at the same time.
//!
//! The loop library's own adapter holds one interest and one waker for a socket. A connection that waits to write and
//! to read at once would lose one of them, and two such ends that wait for each other would stand still for ever. Here
//! the socket is registered once, for both, by its edges; each direction remembers whether it may be ready.

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
            .is_some_and(|known| known.will_wake(cx.waker()))
        {
            *waker = Some(cx.waker().clone());
        }
    }
    /// Runs a system call while the socket may be ready.
    fn poll<T>(
        &self,
        cx: &Context<'_>,
        mut call: impl FnMut() -> io::Result<T>,
    ) -> Poll<io::Result<T>> {
        while self.ready.get() {
            match call() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.ready.set(false),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                done => return Poll::Ready(done),
            }
        }
        self.register_waker(cx);
        Poll::Pending
    }
    /// Runs a system call whatever was reported so far; "would block" is an error.
    fn call_now<T>(&self, mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
        loop {
            match call() {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    // What comes after this is reported anew.
                    self.ready
                        .set(self.ready.get() && error.kind() != io::ErrorKind::WouldBlock);
                    return Err(error);
                }
                done => return done,
            }
        }
    }
}

#[derive(Default)]
struct Directions {
    read: Direction,
    write: Direction,
}

/// Descriptors that this process may have open.
pub fn descriptor_limit() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.map_or(usize::MAX, |count| {
        usize::try_from(count).unwrap_or(usize::MAX)
    })
}

/// A TCP socket on the loop. It is closed when this is dropped.
pub struct Socket {
    socket: Rc<TcpStream>,
    directions: Rc<Directions>,
    handle: LoopHandle<'static, ()>,
    token: RegistrationToken,
}

impl Socket {
    /// Registers a socket; it is made non-blocking.
    pub fn new(handle: &LoopHandle<'static, ()>, socket: TcpStream) -> io::Result<Socket> {
        socket.set_nonblocking(true)?;
        let socket = Rc::new(socket);
        let directions = Rc::new(Directions::default());
        let reported = directions.clone();
        let source = Generic::new(socket.clone(), Interest::BOTH, Mode::Edge);
        let token = handle.insert_source(source, move |readiness, _, ()| {
            // A hang-up or an error is read from either direction.
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

    /// The socket itself.
    pub fn get(&self) -> &TcpStream {
        &self.socket
    }
    /// Ready once the socket is reported writable: a connection stands, or has failed.
    pub fn poll_writable(&self, cx: &Context<'_>) -> Poll<()> {
        if self.directions.write.ready.get() {
            return Poll::Ready(());
        }
        self.directions.write.register_waker(cx);
        Poll::Pending
    }
    /// Reads; 0 bytes: the other side has ended.
    pub fn poll_read(&self, cx: &Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        self.directions.read.poll(cx, || (&*self.socket).read(buf))
    }
    /// Reads what the kernel holds at this moment, which the loop may not have reported yet; an error of the kind
    /// `WouldBlock`: nothing.
    pub fn read_now(&self, buf: &mut [u8]) -> io::Result<usize> {
        self.directions.read.call_now(|| (&*self.socket).read(buf))
    }
    /// Writes what the kernel takes.
    pub fn poll_write(&self, cx: &Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.directions
            .write
            .poll(cx, || (&*self.socket).write(buf))
    }
    /// Ends our side.
    pub fn shutdown(&self) -> io::Result<()> {
        match self.socket.shutdown(Shutdown::Write) {
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(()),
            done => done,
        }
    }
}

/// Between two tries of what may pass.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// A call that is interrupted is made again so often.
const INTERRUPTIONS: usize = 16;
/// A connection is being made; the last two come of a call that was interrupted, and whose work went on by itself.
const CONNECTING: [Errno; 3] = [Errno::INPROGRESS, Errno::ALREADY, Errno::ISCONN];
/// This machine has no resources for a socket, or no network at the moment, whoever is at the other end.
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
/// What passes as well: an earlier process may still serve its last requests at the address.
const TRANSIENT: [Errno; 2] = [Errno::INTR, Errno::ADDRINUSE];
/// No descriptor is left, for the system or for this process.
const OUT_OF_DESCRIPTORS: [Errno; 2] = [Errno::NFILE, Errno::MFILE];

fn is_one_of(error: &io::Error, known: &[Errno]) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| known.contains(&errno))
}

/// Whether an error says that this process or its machine has no resources for another socket, or no network.
pub fn is_out_of_resources(error: &io::Error) -> bool {
    is_one_of(error, &OUT_OF_RESOURCES)
}

/// Whether an error says that there is no descriptor left.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    is_one_of(error, &OUT_OF_DESCRIPTORS)
}

/// Whether an error at a start may pass by itself.
pub fn is_transient(error: &io::Error) -> bool {
    is_out_of_resources(error) || is_one_of(error, &TRANSIENT)
}

/// Tries again what failed with an error that may pass, until it has done so for `within`. The first error is logged, with
/// what it was of (`subject`).
pub fn retry<T>(
    within: Duration,
    subject: &str,
    mut attempt: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let began = Instant::now();
    let mut logged = false;
    loop {
        match attempt() {
            Err(error) if is_transient(&error) && began.elapsed() < within => {
                if !std::mem::replace(&mut logged, true) {
                    tracing::warn!(%error, what = subject, "a start is tried again");
                }
                std::thread::sleep(RETRY_PAUSE);
            }
            done => return done,
        }
    }
}

impl Socket {
    /// A socket that connects, or has failed to begin: see [`Socket::poll_connected`].
    pub fn connect(handle: &LoopHandle<'static, ()>, address: SocketAddr) -> io::Result<Socket> {
        let domain = if address.is_ipv6() {
            Domain::IPV6
        } else {
            Domain::IPV4
        };
        let socket = socket2::Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        let mut begun = socket.connect(&address.into());
        for _ in 0..INTERRUPTIONS {
            match &begun {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {
                    begun = socket.connect(&address.into())
                }
                _ => break,
            }
        }
        match begun {
            Err(error) if !is_one_of(&error, &CONNECTING) => return Err(error),
            _ => {}
        }
        Socket::new(handle, TcpStream::from(socket))
    }
    /// Ready once a connection that was begun stands, or has failed.
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

/// A listening socket; `shared` lets several processes take connections from one port.
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
    socket.listen(4096)?;
    Ok(socket.into())
}
