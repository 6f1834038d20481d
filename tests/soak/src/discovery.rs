//! The coordinator: numbered events, served to each process on a listener of its own, with the faults of a real one.

use crate::error::SoakError;
use crate::facts::{Fact, Facts, FrontEndIndex, WorkerId};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tansy_test_support::platform_configuration::{WorkerEntry, WorkerState};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout};

/// How the coordinator behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// It answers.
    Plain,
    /// It takes polls and says nothing.
    Silent,
    /// It breaks off in the middle of a reply.
    Cut,
    /// Each reply comes so much later.
    Slow(Duration),
}

/// The list of workers, and how the coordinator behaves.
pub struct Discovery {
    facts: Arc<Facts>,
    workers: Mutex<Vec<WorkerEntry>>,
    /// The entry that each event changed.
    events: Mutex<Vec<WorkerEntry>>,
    newest_event: watch::Sender<u64>,
    mode: watch::Sender<DiscoveryMode>,
}

/// The coordinator of one process; it closes when this value is dropped.
pub struct CoordinatorListener {
    /// Where it listens.
    pub address: SocketAddr,
    task: AbortHandle,
}

impl Drop for CoordinatorListener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The process that a coordinator serves.
#[derive(Clone, Copy)]
struct Subscriber {
    front_end: FrontEndIndex,
    process: u64,
    /// The last event in the list that it was started with, which is its own first event.
    known_event: u64,
}

impl Subscriber {
    /// The number that it gives to an event.
    fn own_number(&self, event: u64) -> u64 {
        event - self.known_event + 1
    }

    /// The event that it gives this number.
    fn event(&self, own_number: u64) -> u64 {
        self.known_event + own_number - 1
    }
}

impl Discovery {
    /// With the first list.
    pub fn new(facts: Arc<Facts>, workers: Vec<WorkerEntry>) -> Arc<Discovery> {
        Arc::new(Discovery {
            facts,
            workers: Mutex::new(workers),
            events: Mutex::default(),
            newest_event: watch::channel(0).0,
            mode: watch::channel(DiscoveryMode::Plain).0,
        })
    }

    /// The workers as they stand, and the number of the last event.
    pub fn snapshot(&self) -> (Vec<WorkerEntry>, u64) {
        let workers = self.workers.lock().expect("not poisoned");
        (workers.clone(), *self.newest_event.borrow())
    }

    /// Changes a worker's entry.
    pub fn change_worker(&self, worker: WorkerId, state: WorkerState, started_ms: u64) {
        let mut workers = self.workers.lock().expect("not poisoned");
        let entry = &mut workers[worker];
        entry.state = state;
        entry.started_ms = started_ms;
        let mut events = self.events.lock().expect("not poisoned");
        events.push(entry.clone());
        let event = events.len() as u64;
        self.facts.record(Fact::WorkerStateChanged {
            event,
            worker,
            ready: state == WorkerState::Ready,
        });
        self.newest_event.send_replace(event);
    }

    /// Sets how it behaves from now on.
    pub fn set_mode(&self, mode: DiscoveryMode) {
        let answers = matches!(mode, DiscoveryMode::Plain | DiscoveryMode::Slow(_));
        self.facts.record(Fact::DiscoveryAvailability { answers });
        self.mode.send_replace(mode);
    }

    /// A coordinator for a process that was started with the list as of `known_event`.
    pub async fn listen(
        self: &Arc<Self>,
        front_end: FrontEndIndex,
        process: u64,
        known_event: u64,
    ) -> Result<CoordinatorListener, SoakError> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any).await;
        let listener = listener.map_err(SoakError::listen("a coordinator", any))?;
        let address = listener.local_addr();
        let address = address.map_err(SoakError::listen("a coordinator", any))?;
        let subscriber = Subscriber {
            front_end,
            process,
            known_event,
        };
        let task = tokio::spawn(self.clone().accept(listener, subscriber));
        Ok(CoordinatorListener {
            address,
            task: task.abort_handle(),
        })
    }

    /// Serves all connections of one listener; they end with it.
    async fn accept(self: Arc<Self>, listener: TcpListener, subscriber: Subscriber) {
        let mut connections = JoinSet::new();
        while let Ok((socket, _)) = listener.accept().await {
            let discovery = self.clone();
            connections.spawn(async move { discovery.serve(socket, subscriber).await });
        }
    }

    /// Answers the polls of one connection until either side ends it.
    async fn serve(&self, mut socket: TcpStream, subscriber: Subscriber) -> Option<()> {
        let Subscriber {
            front_end, process, ..
        } = subscriber;
        let mut newest_event = self.newest_event.subscribe();
        loop {
            let head = read_head(&mut socket).await?;
            let acknowledged = subscriber.event(query_parameter(&head, "follow=")?);
            self.facts.record(Fact::PollReceived {
                front_end,
                process,
                event: acknowledged,
            });
            let wait = Duration::from_millis(query_parameter(&head, "wait_ms=")?);
            // Ends early with an event, or after the time that was asked for.
            let _ = timeout(wait, newest_event.wait_for(|newest| *newest > acknowledged)).await;
            let (reply, event) = self.reply(acknowledged, subscriber);
            let mode = *self.mode.borrow();
            self.facts.record(Fact::PollReplyStarted {
                front_end,
                process,
                event,
            });
            self.send_reply(&mut socket, &reply, mode).await?;
        }
    }

    /// Sends a reply as the mode has it; none: the connection ends.
    async fn send_reply(
        &self,
        socket: &mut TcpStream,
        reply: &[u8],
        mode: DiscoveryMode,
    ) -> Option<()> {
        match mode {
            DiscoveryMode::Plain => socket.write_all(reply).await.ok(),
            DiscoveryMode::Slow(by) => {
                sleep(by).await;
                socket.write_all(reply).await.ok()
            }
            DiscoveryMode::Cut => {
                socket.write_all(&reply[..reply.len() / 2]).await.ok()?;
                None
            }
            DiscoveryMode::Silent => {
                // The poll is never answered; its connection stays open for as long as that lasts.
                let mut mode = self.mode.subscribe();
                let _ = mode.wait_for(|mode| *mode != DiscoveryMode::Silent).await;
                None
            }
        }
    }

    /// The reply to a poll, and the last event in it.
    fn reply(&self, acknowledged: u64, subscriber: Subscriber) -> (Vec<u8>, u64) {
        let events = self.events.lock().expect("not poisoned");
        let later = events.iter().enumerate().skip(acknowledged as usize);
        let updates: Vec<String> = later
            .map(|(position, worker)| {
                let index = subscriber.own_number(position as u64 + 1);
                let entry = worker.json();
                format!(r#"{{"index":{index},"endpoints":{{"full":false,"servers":[{entry}]}}}}"#)
            })
            .collect();
        let newest = events.len() as u64;
        let index = subscriber.own_number(newest);
        let body = format!(r#"{{"index":{index},"updates":[{}]}}"#, updates.join(","));
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        (text.into_bytes(), newest)
    }
}

/// A numeric parameter in the target of a request; `name` ends with `=`.
fn query_parameter(head: &str, name: &str) -> Option<u64> {
    let rest = head.split(name).nth(1)?;
    rest.split(['&', ' ']).next()?.parse().ok()
}

/// Reads up to the end of a message's head.
pub async fn read_head(socket: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        text.push(socket.read_u8().await.ok()?);
    }
    String::from_utf8(text).ok()
}
