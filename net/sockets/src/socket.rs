//! A TCP socket on the loop, readable and writable at the same time.
//!
//! The loop library's own adapter holds one interest and one waker for a socket. A connection that waits to write and
//! to read at once would lose one of them, and two such ends that wait for each other would stand still for ever. Here
//! the socket is registered once, for both, by its edges; each direction remembers whether it is worth a system call.

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use socket2::{Domain, Protocol, Type};
use std::cell::{Cell, RefCell};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

#[derive(Default)]
struct Side {
    ready: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Side {
    fn rouse(&self) {
        self.ready.set(true);
        self.waker
            .borrow_mut()
            .take()
            .into_iter()
            .for_each(Waker::wake);
    }
    fn wait(&self, cx: &Context<'_>) {
        let mut waker = self.waker.borrow_mut();
        if !waker.as_ref().is_some_and(|w| w.will_wake(cx.waker())) {
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
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.ready.set(false),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                done => return Poll::Ready(done),
            }
        }
        self.wait(cx);
        Poll::Pending
    }
    /// Runs a system call whatever was told so far; "would block" is an error.
    fn now<T>(&self, mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
        loop {
            match call() {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    // What comes after this is told anew.
                    self.ready
                        .set(self.ready.get() && e.kind() != io::ErrorKind::WouldBlock);
                    return Err(e);
                }
                done => return done,
            }
        }
    }
}

#[derive(Default)]
struct Sides {
    read: Side,
    write: Side,
}

/// Descriptors that this process may hold.
pub fn descriptors() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.map_or(usize::MAX, |n| usize::try_from(n).unwrap_or(usize::MAX))
}

/// A TCP socket on the loop. It is closed when this is dropped.
pub struct Socket {
    socket: Rc<TcpStream>,
    sides: Rc<Sides>,
    handle: LoopHandle<'static, ()>,
    token: RegistrationToken,
}

impl Socket {
    /// Registers a socket; it is made non-blocking.
    pub fn new(handle: &LoopHandle<'static, ()>, socket: TcpStream) -> io::Result<Socket> {
        socket.set_nonblocking(true)?;
        let socket = Rc::new(socket);
        let sides = Rc::new(Sides::default());
        let told = sides.clone();
        let source = Generic::new(socket.clone(), Interest::BOTH, Mode::Edge);
        let token = handle.insert_source(source, move |readiness, _, ()| {
            // A hang-up or an error is read from either direction.
            if readiness.readable || readiness.error {
                told.read.rouse();
            }
            if readiness.writable || readiness.error {
                told.write.rouse();
            }
            Ok(PostAction::Continue)
        });
        let token = token.map_err(|e| io::Error::other(e.to_string()))?;
        Ok(Socket {
            socket,
            sides,
            handle: handle.clone(),
            token,
        })
    }

    /// The socket itself.
    pub fn get(&self) -> &TcpStream {
        &self.socket
    }
    /// Ready once the socket has been told writable: a connection stands, or has failed.
    pub fn poll_writable(&self, cx: &Context<'_>) -> Poll<()> {
        if self.sides.write.ready.get() {
            return Poll::Ready(());
        }
        self.sides.write.wait(cx);
        Poll::Pending
    }
    /// Reads; 0 bytes: the other side has ended.
    pub fn poll_read(&self, cx: &Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        self.sides.read.poll(cx, || (&*self.socket).read(buf))
    }
    /// Reads what the kernel holds at this moment, which the loop may not have told of yet; an error of the kind
    /// `WouldBlock`: nothing.
    pub fn read_now(&self, buf: &mut [u8]) -> io::Result<usize> {
        self.sides.read.now(|| (&*self.socket).read(buf))
    }
    /// Writes what the kernel takes.
    pub fn poll_write(&self, cx: &Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.sides.write.poll(cx, || (&*self.socket).write(buf))
    }
    /// Ends our side.
    pub fn shutdown(&self) -> io::Result<()> {
        match self.socket.shutdown(Shutdown::Write) {
            Err(e) if e.kind() == io::ErrorKind::NotConnected => Ok(()),
            done => done,
        }
    }
}

/// Between two tries of what may pass.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// A call that is interrupted is made again so often.
const INTERRUPTIONS: usize = 16;
/// EINPROGRESS; EALREADY and EISCONN of one that was interrupted and has gone on by itself.
const GOES_ON: [i32; 3] = [115, 114, 106];
/// EAGAIN, ENOMEM, ENFILE, EMFILE, EADDRNOTAVAIL, ENETDOWN, ENETUNREACH, ENOBUFS: this machine has no room for a socket, or no
/// network at the moment, whoever is at the other end.
const NO_ROOM: [i32; 8] = [11, 12, 23, 24, 99, 100, 101, 105];
/// EINTR and EADDRINUSE, which pass as well: an earlier process may still serve its last requests at the address.
const PASSES: [i32; 2] = [4, 98];
/// ENFILE and EMFILE.
const NO_DESCRIPTOR: [i32; 2] = [23, 24];

/// Whether an error says that this process or its machine has no room for another socket, or no network.
pub fn no_room(e: &io::Error) -> bool {
    e.raw_os_error().is_some_and(|code| NO_ROOM.contains(&code))
}

/// Whether an error says that there is no descriptor left.
pub fn no_descriptor(e: &io::Error) -> bool {
    e.raw_os_error()
        .is_some_and(|code| NO_DESCRIPTOR.contains(&code))
}

/// Whether an error at a start may pass by itself.
pub fn transient(e: &io::Error) -> bool {
    no_room(e) || e.raw_os_error().is_some_and(|code| PASSES.contains(&code))
}

/// Tries again what failed with an error that may pass, until it has done so for `within`; the first error is told with what it
/// was of.
pub fn retry<T>(
    within: Duration,
    what: &str,
    mut attempt: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let began = Instant::now();
    let mut told = false;
    loop {
        match attempt() {
            Err(e) if transient(&e) && began.elapsed() < within => {
                if !std::mem::replace(&mut told, true) {
                    tracing::warn!(error = %e, what, "a start is tried again");
                }
                std::thread::sleep(RETRY_PAUSE);
            }
            done => return done,
        }
    }
}

impl Socket {
    /// A socket that connects, or has failed to begin: [`Socket::poll_connected`] tells.
    pub fn connect(handle: &LoopHandle<'static, ()>, address: SocketAddr) -> io::Result<Socket> {
        let domain = if address.is_ipv6() {
            Domain::IPV6
        } else {
            Domain::IPV4
        };
        let socket = socket2::Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        let goes_on = |e: &io::Error| e.raw_os_error().is_some_and(|code| GOES_ON.contains(&code));
        let mut begun = socket.connect(&address.into());
        for _ in 0..INTERRUPTIONS {
            match &begun {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {
                    begun = socket.connect(&address.into())
                }
                _ => break,
            }
        }
        match begun {
            Err(e) if !goes_on(&e) => return Err(e),
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
