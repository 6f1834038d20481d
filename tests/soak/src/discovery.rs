//! A stand-in for the coordinator: it numbers the changes of the endpoint list as events, serves them to each process on a separate
//! listener, and can be slow, silent or cut off.

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

/// How the coordinator answers polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Polls are answered without a fault.
    Healthy,
    /// Polls are read and not answered.
    Silent,
    /// Replies are cut off in the middle, and the connection is closed.
    Truncated,
    /// Replies are delayed by this time.
    Delayed(Duration),
}

/// The endpoint list with its events, and the present mode of the coordinator.
pub struct Discovery {
    facts: Arc<Facts>,
    workers: Mutex<Vec<WorkerEntry>>,
    /// The changed entry of each event; event N is at position N - 1.
    events: Mutex<Vec<WorkerEntry>>,
    newest_event: watch::Sender<u64>,
    mode: watch::Sender<DiscoveryMode>,
}

/// The coordinator's listener for one process. It and its connections are closed when this value is dropped.
pub struct CoordinatorListener {
    /// The address of the listener.
    pub address: SocketAddr,
    task: AbortHandle,
}

impl Drop for CoordinatorListener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The process that a listener serves. Each process counts events from the list that it was started with, which has index 1.
#[derive(Clone, Copy)]
struct Subscriber {
    front_end: FrontEndIndex,
    process: u64,
    /// The last event in the list that the process was started with.
    known_event: u64,
}

impl Subscriber {
    /// The process's index for an event.
    fn index_of(&self, event: u64) -> u64 {
        event - self.known_event + 1
    }

    /// The event for an index of the process.
    fn event(&self, index: u64) -> u64 {
        self.known_event + index - 1
    }
}

impl Discovery {
    /// A coordinator with this endpoint list and no events.
    pub fn new(facts: Arc<Facts>, workers: Vec<WorkerEntry>) -> Arc<Discovery> {
        Arc::new(Discovery {
            facts,
            workers: Mutex::new(workers),
            events: Mutex::default(),
            newest_event: watch::channel(0).0,
            mode: watch::channel(DiscoveryMode::Healthy).0,
        })
    }

    /// The present endpoint list, and the number of the last event.
    pub fn snapshot(&self) -> (Vec<WorkerEntry>, u64) {
        let workers = self.workers.lock().expect("not poisoned");
        (workers.clone(), *self.newest_event.borrow())
    }

    /// Changes a worker's entry, as a new event.
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

    /// Sets how polls are answered from now on.
    pub fn set_mode(&self, mode: DiscoveryMode) {
        let answers = matches!(mode, DiscoveryMode::Healthy | DiscoveryMode::Delayed(_));
        self.facts.record(Fact::DiscoveryAvailability { answers });
        self.mode.send_replace(mode);
    }

    /// Opens a listener for a process that was started with the list as of `known_event`.
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

    /// Serves all connections of a listener. They are closed when this task is aborted.
    async fn accept(self: Arc<Self>, listener: TcpListener, subscriber: Subscriber) {
        let mut connections = JoinSet::new();
        while let Ok((socket, _)) = listener.accept().await {
            let discovery = self.clone();
            connections.spawn(async move { discovery.serve(socket, subscriber).await });
        }
    }

    /// Answers the polls on a connection until either side closes it.
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
            // The poll is answered at the next event, or after the time that it asked for.
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

    /// Sends a reply as the mode demands. Returns `None` if the connection has to be closed.
    async fn send_reply(
        &self,
        socket: &mut TcpStream,
        reply: &[u8],
        mode: DiscoveryMode,
    ) -> Option<()> {
        match mode {
            DiscoveryMode::Healthy => socket.write_all(reply).await.ok(),
            DiscoveryMode::Delayed(by) => {
                sleep(by).await;
                socket.write_all(reply).await.ok()
            }
            DiscoveryMode::Truncated => {
                socket.write_all(&reply[..reply.len() / 2]).await.ok()?;
                None
            }
            DiscoveryMode::Silent => {
                // The poll is never answered; its connection stays open until the mode changes.
                let mut mode = self.mode.subscribe();
                let _ = mode.wait_for(|mode| *mode != DiscoveryMode::Silent).await;
                None
            }
        }
    }

    /// The reply to a poll, and the number of the last event in it.
    fn reply(&self, acknowledged: u64, subscriber: Subscriber) -> (Vec<u8>, u64) {
        let events = self.events.lock().expect("not poisoned");
        let later = events.iter().enumerate().skip(acknowledged as usize);
        let updates: Vec<String> = later
            .map(|(position, worker)| {
                let index = subscriber.index_of(position as u64 + 1);
                let entry = worker.json();
                format!(r#"{{"index":{index},"endpoints":{{"full":false,"servers":[{entry}]}}}}"#)
            })
            .collect();
        let newest = events.len() as u64;
        let index = subscriber.index_of(newest);
        let body = format!(r#"{{"index":{index},"updates":[{}]}}"#, updates.join(","));
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        (text.into_bytes(), newest)
    }
}

/// The value of a numeric query parameter; `name` ends with `=`.
fn query_parameter(head: &str, name: &str) -> Option<u64> {
    let rest = head.split(name).nth(1)?;
    rest.split(['&', ' ']).next()?.parse().ok()
}

/// Reads up to and including the blank line that ends the head of an HTTP message.
pub async fn read_head(socket: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        text.push(socket.read_u8().await.ok()?);
    }
    String::from_utf8(text).ok()
}
