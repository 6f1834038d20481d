//! Requests to front ends, several at a time, on an event loop of their own.

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
use tansy_net_sockets::interrupt::Uninterrupted;
use tansy_net_sockets::Spawner;

/// Time for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for an entry to be persisted by a majority.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(12);

/// Answers in the order of the requests; `None`: not yet.
type Answers<T> = Rc<RefCell<Vec<Option<Result<T, RequestError>>>>>;

/// A client of front ends.
pub struct Client {
    event_loop: EventLoop<'static, ()>,
    spawner: Spawner,
    /// One connection to each front end: one for each request would exhaust a front end that is polled.
    links: HashMap<SocketAddr, Rc<Link>>,
}

impl Client {
    /// A client with its own event loop.
    pub fn new() -> io::Result<Client> {
        let event_loop = EventLoop::try_new().map_err(io::Error::other)?;
        let spawner = Spawner::new(event_loop.handle())?;
        Ok(Client {
            event_loop,
            spawner,
            links: HashMap::new(),
        })
    }

    /// One request to several; the answers are in their order.
    fn all<T: Message + Default + 'static>(
        &mut self,
        to: &[SocketAddr],
        method: &'static str,
        request: &[u8],
        within: Duration,
    ) -> Vec<Result<T, RequestError>> {
        let all: Vec<(SocketAddr, Vec<u8>)> = to.iter().map(|at| (*at, request.to_vec())).collect();
        self.each(&all, method, within)
    }

    /// To each its own request; the answers are in their order.
    fn each<T: Message + Default + 'static>(
        &mut self,
        to: &[(SocketAddr, Vec<u8>)],
        method: &'static str,
        within: Duration,
    ) -> Vec<Result<T, RequestError>> {
        let answers: Answers<T> = Rc::new(RefCell::new(to.iter().map(|_| None).collect()));
        for (index, (address, request)) in to.iter().enumerate() {
            let fresh = || Link::new(self.spawner.clone(), *address, Limits::default());
            let link = self.links.entry(*address).or_insert_with(fresh).clone();
            let (spawner, answers, request) =
                (self.spawner.clone(), answers.clone(), request.clone());
            let address = *address;
            self.spawner.spawn(async move {
                let answer = send_request(&spawner, &link, method, &request, within).await;
                let read = answer.and_then(|bytes| {
                    let undecodable = |error| {
                        RequestError::Unreachable(format!(
                            "{address}: an answer that can't be read: {error}"
                        ))
                    };
                    T::decode(bytes).map_err(undecodable)
                });
                if let Some(slot) = answers.borrow_mut().get_mut(index) {
                    *slot = Some(read);
                }
            });
        }
        let end = Instant::now() + within + Duration::from_millis(300);
        while answers.borrow().iter().any(Option::is_none) && Instant::now() < end {
            if self
                .event_loop
                .dispatch(Some(Duration::from_millis(20)), &mut ())
                .is_err()
            {
                break;
            }
        }
        let late = |index: usize| {
            let address = to[index].0;
            Err(RequestError::Unreachable(format!("{address}: no answer")))
        };
        let taken = std::mem::take(&mut *answers.borrow_mut());
        taken
            .into_iter()
            .enumerate()
            .map(|(index, answer)| answer.unwrap_or_else(|| late(index)))
            .collect()
    }

    fn one<T: Message + Default + 'static>(
        &mut self,
        to: SocketAddr,
        method: &'static str,
        request: &[u8],
        within: Duration,
    ) -> Result<T, RequestError> {
        let answer = self.all(&[to], method, request, within).pop();
        answer.unwrap_or_else(|| Err(RequestError::Unreachable(format!("{to}: no answer"))))
    }

    /// The status of several front ends.
    pub fn statuses(&mut self, to: &[SocketAddr]) -> Vec<Result<pb::StatusReply, RequestError>> {
        self.all(
            to,
            "Status",
            &pb::StatusRequest { fleet: 0 }.encode_to_vec(),
            ANSWER_TIMEOUT,
        )
    }

    /// The status of one front end.
    pub fn status(&mut self, to: SocketAddr) -> Result<pb::StatusReply, RequestError> {
        self.status_within(to, ANSWER_TIMEOUT)
    }

    /// The versions of the settings that a voter remembers.
    pub fn history(&mut self, leader: SocketAddr) -> Result<pb::HistoryReply, RequestError> {
        self.one(
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

    /// The status of one front end, within this time.
    pub fn status_within(
        &mut self,
        to: SocketAddr,
        within: Duration,
    ) -> Result<pb::StatusReply, RequestError> {
        self.one(
            to,
            "Status",
            &pb::StatusRequest { fleet: 0 }.encode_to_vec(),
            within,
        )
    }

    /// What several front ends know of the last rollout.
    pub fn rollouts(
        &mut self,
        to: &[SocketAddr],
        within: Duration,
    ) -> Vec<Result<pb::RolloutReply, RequestError>> {
        self.all(
            to,
            "Roll",
            &pb::RolloutRequest { fleet: 0 }.encode_to_vec(),
            within,
        )
    }

    /// The counters of several front ends.
    pub fn counts(
        &mut self,
        to: &[SocketAddr],
        within: Duration,
    ) -> Vec<Result<pb::CountsReply, RequestError>> {
        self.all(
            to,
            "Counts",
            &pb::CountsRequest { fleet: 0 }.encode_to_vec(),
            within,
        )
    }

    /// Proposes a log entry to the leader, within this time.
    pub fn enter_within(
        &mut self,
        leader: SocketAddr,
        entry: pb::enter_request::Entry,
        within: Duration,
    ) -> Result<pb::EnterReply, RequestError> {
        let request = pb::EnterRequest {
            fleet: 0,
            entry: Some(entry),
        };
        self.one(leader, "Enter", &request.encode_to_vec(), within)
    }

    /// Proposes several log entries to the leader at once.
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
        let all: Vec<(SocketAddr, Vec<u8>)> = entries
            .into_iter()
            .map(|entry| (leader, request(entry)))
            .collect();
        self.each(&all, "Enter", ENTRY_TIMEOUT)
    }

    /// Functions that are agreed on one by one, and the result of a transaction on them, as a voter knows them.
    pub fn functions(
        &mut self,
        leader: SocketAddr,
        request: pb::FunctionsRequest,
    ) -> Result<pb::FunctionsReply, RequestError> {
        self.one(
            leader,
            "Functions",
            &request.encode_to_vec(),
            ANSWER_TIMEOUT,
        )
    }

    /// Sets this flag once the process is asked to end, by SIGTERM or SIGINT.
    pub fn on_termination(&self, end: Arc<AtomicBool>) -> io::Result<()> {
        let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT])?;
        let on_signal = move |_, _: &mut (), _: &mut ()| end.store(true, Ordering::Relaxed);
        let inserted = self
            .event_loop
            .handle()
            .insert_source(Uninterrupted(signals), on_signal);
        inserted
            .map(|_| ())
            .map_err(|error| io::Error::other(error.to_string()))
    }

    /// Runs the event loop for this time.
    pub fn wait(&mut self, span: Duration) {
        let end = Instant::now() + span;
        while Instant::now() < end {
            let remaining = end.saturating_duration_since(Instant::now());
            if self.event_loop.dispatch(Some(remaining), &mut ()).is_err() {
                return;
            }
        }
    }
}
