//! A blocking client of front ends, with concurrent requests on its own event loop.

use calloop::signals::{Signal, Signals};
use calloop::EventLoop;
use prost::Message;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tansy_fleet_wire::pb;
use tansy_net_fleet::client::{send_request, RequestError};
use tansy_net_grpc::link::{Limits, Link};
use tansy_net_sockets::interrupt::IgnoreInterrupts;
use tansy_net_sockets::Spawner;

/// Timeout of a request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a proposed entry, which a majority of the voters has to persist.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(12);

/// Time after a request's timeout during which its result is still awaited.
const TIMEOUT_SLACK: Duration = Duration::from_millis(300);
/// Maximum time in the event loop before the answers are checked.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Answers in the order of the requests; `None` for one that has not arrived.
type Answers<T> = Rc<RefCell<Vec<Option<Result<T, RequestError>>>>>;

/// A blocking client of front ends.
pub struct Client {
    event_loop: EventLoop<'static, ()>,
    spawner: Spawner,
    /// One connection to each front end, since a connection for each request would exhaust the ports when polling.
    links: HashMap<SocketAddr, Rc<Link>>,
}

impl Client {
    /// Creates a client with its own event loop.
    pub fn new() -> io::Result<Client> {
        let event_loop = EventLoop::try_new().map_err(io::Error::other)?;
        let spawner = Spawner::new(event_loop.handle())?;
        Ok(Client {
            event_loop,
            spawner,
            links: HashMap::new(),
        })
    }

    /// Sends one request to several front ends. The answers are in the order of `to`.
    fn ask_all<T: Message + Default + 'static>(
        &mut self,
        to: &[SocketAddr],
        method: &'static str,
        request: &[u8],
        timeout: Duration,
    ) -> Vec<Result<T, RequestError>> {
        let requests: Vec<(SocketAddr, Vec<u8>)> = to
            .iter()
            .map(|address| (*address, request.to_vec()))
            .collect();
        self.ask_each(&requests, method, timeout)
    }

    /// Sends each request to its front end. The answers are in the order of `requests`.
    fn ask_each<T: Message + Default + 'static>(
        &mut self,
        requests: &[(SocketAddr, Vec<u8>)],
        method: &'static str,
        timeout: Duration,
    ) -> Vec<Result<T, RequestError>> {
        let answers: Answers<T> = Rc::new(RefCell::new(requests.iter().map(|_| None).collect()));
        for (index, (address, request)) in requests.iter().enumerate() {
            let new_link = || Link::new(self.spawner.clone(), *address, Limits::default());
            let link = self.links.entry(*address).or_insert_with(new_link).clone();
            let (spawner, answers, request) =
                (self.spawner.clone(), answers.clone(), request.clone());
            let address = *address;
            self.spawner.spawn(async move {
                let answer = send_request(&spawner, &link, method, &request, timeout).await;
                let decoded = answer.and_then(|bytes| {
                    let undecodable = |error| {
                        RequestError::Unreachable(format!(
                            "{address}: cannot decode the answer: {error}"
                        ))
                    };
                    T::decode(bytes).map_err(undecodable)
                });
                if let Some(slot) = answers.borrow_mut().get_mut(index) {
                    *slot = Some(decoded);
                }
            });
        }
        let deadline = Instant::now() + timeout + TIMEOUT_SLACK;
        while answers.borrow().iter().any(Option::is_none) && Instant::now() < deadline {
            if self
                .event_loop
                .dispatch(Some(DISPATCH_INTERVAL), &mut ())
                .is_err()
            {
                break;
            }
        }
        let no_answer = |index: usize| {
            let address = requests[index].0;
            Err(RequestError::Unreachable(format!("{address}: no answer")))
        };
        let answers = std::mem::take(&mut *answers.borrow_mut());
        answers
            .into_iter()
            .enumerate()
            .map(|(index, answer)| answer.unwrap_or_else(|| no_answer(index)))
            .collect()
    }

    /// Sends a request to one front end.
    fn ask_one<T: Message + Default + 'static>(
        &mut self,
        to: SocketAddr,
        method: &'static str,
        request: &[u8],
        timeout: Duration,
    ) -> Result<T, RequestError> {
        let answer = self.ask_all(&[to], method, request, timeout).pop();
        answer.unwrap_or_else(|| Err(RequestError::Unreachable(format!("{to}: no answer"))))
    }

    /// Returns the status of several front ends.
    pub fn statuses(&mut self, to: &[SocketAddr]) -> Vec<Result<pb::StatusReply, RequestError>> {
        self.ask_all(
            to,
            "Status",
            &pb::StatusRequest { fleet: 0 }.encode_to_vec(),
            ANSWER_TIMEOUT,
        )
    }

    /// Returns the status of one front end.
    pub fn status(&mut self, to: SocketAddr) -> Result<pb::StatusReply, RequestError> {
        self.status_within(to, ANSWER_TIMEOUT)
    }

    /// Returns the settings versions that the leader keeps.
    pub fn history(&mut self, leader: SocketAddr) -> Result<pb::HistoryReply, RequestError> {
        self.ask_one(
            leader,
            "History",
            &pb::HistoryRequest { fleet: 0 }.encode_to_vec(),
            ANSWER_TIMEOUT,
        )
    }

    /// Proposes a log entry to the leader.
    pub fn enter(
        &mut self,
        leader: SocketAddr,
        entry: pb::enter_request::Entry,
    ) -> Result<pb::EnterReply, RequestError> {
        self.enter_within(leader, entry, ENTRY_TIMEOUT)
    }

    /// Like [`Client::status`], with this timeout.
    pub fn status_within(
        &mut self,
        to: SocketAddr,
        timeout: Duration,
    ) -> Result<pb::StatusReply, RequestError> {
        self.ask_one(
            to,
            "Status",
            &pb::StatusRequest { fleet: 0 }.encode_to_vec(),
            timeout,
        )
    }

    /// Returns the last rollout as known by several front ends.
    pub fn rollouts(
        &mut self,
        to: &[SocketAddr],
        timeout: Duration,
    ) -> Vec<Result<pb::RolloutReply, RequestError>> {
        self.ask_all(
            to,
            "Roll",
            &pb::RolloutRequest { fleet: 0 }.encode_to_vec(),
            timeout,
        )
    }

    /// Returns the counters of several front ends.
    pub fn counts(
        &mut self,
        to: &[SocketAddr],
        timeout: Duration,
    ) -> Vec<Result<pb::CountsReply, RequestError>> {
        self.ask_all(
            to,
            "Counts",
            &pb::CountsRequest { fleet: 0 }.encode_to_vec(),
            timeout,
        )
    }

    /// Like [`Client::enter`], with this timeout.
    pub fn enter_within(
        &mut self,
        leader: SocketAddr,
        entry: pb::enter_request::Entry,
        timeout: Duration,
    ) -> Result<pb::EnterReply, RequestError> {
        let request = pb::EnterRequest {
            fleet: 0,
            entry: Some(entry),
        };
        self.ask_one(leader, "Enter", &request.encode_to_vec(), timeout)
    }

    /// Proposes several log entries to the leader concurrently.
    pub fn enter_all(
        &mut self,
        leader: SocketAddr,
        entries: Vec<pb::enter_request::Entry>,
    ) -> Vec<Result<pb::EnterReply, RequestError>> {
        let request = |entry| {
            pb::EnterRequest {
                fleet: 0,
                entry: Some(entry),
            }
            .encode_to_vec()
        };
        let requests: Vec<(SocketAddr, Vec<u8>)> = entries
            .into_iter()
            .map(|entry| (leader, request(entry)))
            .collect();
        self.ask_each(&requests, "Enter", ENTRY_TIMEOUT)
    }

    /// Returns functions that are defined by scope, and the result of a transaction on them, as known by the leader.
    pub fn functions(
        &mut self,
        leader: SocketAddr,
        request: pb::FunctionsRequest,
    ) -> Result<pb::FunctionsReply, RequestError> {
        self.ask_one(
            leader,
            "Functions",
            &request.encode_to_vec(),
            ANSWER_TIMEOUT,
        )
    }

    /// Sets this flag when the process receives SIGTERM or SIGINT.
    pub fn on_termination(&self, terminated: Arc<AtomicBool>) -> io::Result<()> {
        let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT])?;
        let on_signal = move |_, _: &mut (), _: &mut ()| terminated.store(true, Ordering::Relaxed);
        let inserted = self
            .event_loop
            .handle()
            .insert_source(IgnoreInterrupts(signals), on_signal);
        inserted
            .map(|_| ())
            .map_err(|error| io::Error::other(error.to_string()))
    }

    /// Runs the event loop for this time.
    pub fn wait(&mut self, duration: Duration) {
        let deadline = Instant::now() + duration;
        while Instant::now() < deadline {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if self.event_loop.dispatch(Some(remaining), &mut ()).is_err() {
                return;
            }
        }
    }
}
