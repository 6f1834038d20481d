//! The coordinator: numbered events, told to each process on a listener of its own, with the troubles of a real one.

use crate::facts::{Fact, Facts, Place, WorkerId};
use crate::site::Server;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// How the coordinator behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It answers.
    Plain,
    /// It takes polls and says nothing.
    Silent,
    /// It breaks off in the middle of a reply.
    Cut,
    /// Each reply comes so much later.
    Slow(Duration),
}

/// The list of workers and how it is told.
pub struct Discovery {
    facts: Arc<Facts>,
    servers: Mutex<Vec<Server>>,
    /// The servers that each event changed.
    events: Mutex<Vec<Server>>,
    newest: watch::Sender<u64>,
    mode: watch::Sender<Mode>,
}

/// The coordinator of one process.
pub struct Feed {
    /// Where it is.
    pub address: SocketAddr,
    task: AbortHandle,
}

impl Drop for Feed {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Discovery {
    /// With the first list.
    pub fn new(facts: Arc<Facts>, servers: Vec<Server>) -> Arc<Discovery> {
        Arc::new(Discovery {
            facts,
            servers: Mutex::new(servers),
            events: Mutex::default(),
            newest: watch::channel(0).0,
            mode: watch::channel(Mode::Plain).0,
        })
    }

    /// The servers as they stand, and the number of the last event.
    pub fn known(&self) -> (Vec<Server>, u64) {
        let servers = self.servers.lock().expect("not poisoned");
        (servers.clone(), *self.newest.borrow())
    }

    /// Changes a server's line.
    pub fn change(&self, worker: WorkerId, state: &'static str, started_ms: u64) {
        let mut servers = self.servers.lock().expect("not poisoned");
        let server = &mut servers[worker];
        server.state = state;
        server.started_ms = started_ms;
        let mut events = self.events.lock().expect("not poisoned");
        events.push(server.clone());
        let event = events.len() as u64;
        self.facts.note(Fact::Listed {
            event,
            worker,
            ready: state == "Ready",
        });
        self.newest.send_replace(event);
    }

    /// Behaves so from now on.
    pub fn behave(&self, mode: Mode) {
        let answers = matches!(mode, Mode::Plain | Mode::Slow(_));
        self.facts.note(Fact::Discovery { answers });
        self.mode.send_replace(mode);
    }

    /// A coordinator for a process that knows all events up to `known`.
    pub async fn feed(
        self: &Arc<Self>,
        place: Place,
        process: u64,
        known: u64,
    ) -> std::io::Result<Feed> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let discovery = self.clone();
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((socket, _)) = listener.accept().await {
                let discovery = discovery.clone();
                connections
                    .spawn(async move { discovery.serve(socket, place, process, known).await });
            }
        });
        Ok(Feed {
            address,
            task: task.abort_handle(),
        })
    }

    async fn serve(
        &self,
        mut socket: TcpStream,
        place: Place,
        process: u64,
        known: u64,
    ) -> Option<()> {
        let mut newest = self.newest.subscribe();
        loop {
            let head = head(&mut socket).await?;
            let query = |name: &str| -> Option<u64> {
                head.split(name)
                    .nth(1)?
                    .split(['&', ' '])
                    .next()?
                    .parse()
                    .ok()
            };
            // The first event of a process is the whole list in its configuration.
            let held = known + query("follow=")? - 1;
            self.facts.note(Fact::Polled {
                place,
                process,
                event: held,
            });
            let wait = Duration::from_millis(query("wait_ms=")?);
            // Ends early with an event, or after the time that was asked for.
            let _ = tokio::time::timeout(wait, newest.wait_for(|n| *n > held)).await;
            let (reply, event) = self.reply(held, known);
            let mode = *self.mode.borrow();
            self.facts.note(Fact::Notified {
                place,
                process,
                event,
            });
            match mode {
                Mode::Plain => socket.write_all(&reply).await.ok()?,
                Mode::Slow(by) => {
                    tokio::time::sleep(by).await;
                    socket.write_all(&reply).await.ok()?;
                }
                Mode::Cut => {
                    socket.write_all(&reply[..reply.len() / 2]).await.ok()?;
                    return None;
                }
                Mode::Silent => {
                    // The poll is never answered; its connection stays open for as long as that lasts.
                    let _ = self.mode.subscribe().wait_for(|m| *m != Mode::Silent).await;
                    return None;
                }
            }
        }
    }

    /// The reply to a poll, and the last event that it tells.
    fn reply(&self, held: u64, known: u64) -> (Vec<u8>, u64) {
        let events = self.events.lock().expect("not poisoned");
        let number = |event: u64| event - known + 1;
        let later = events.iter().enumerate().skip(held as usize);
        let lines: Vec<String> = later
            .map(|(at, server)| {
                let index = number(at as u64 + 1);
                let line = server.line();
                format!(r#"{{"index":{index},"endpoints":{{"full":false,"servers":[{line}]}}}}"#)
            })
            .collect();
        let index = number(events.len() as u64);
        let body = format!(r#"{{"index":{index},"updates":[{}]}}"#, lines.join(","));
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        (text.into_bytes(), events.len() as u64)
    }
}

/// Reads up to the end of a message's head.
pub async fn head(socket: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        text.push(socket.read_u8().await.ok()?);
    }
    String::from_utf8(text).ok()
}
