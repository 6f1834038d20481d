//! Requests to front ends, several at a time.

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
use tansy_net_fleet::client::{ask, RequestError};
use tansy_net_grpc::link::{Limits, Link};
use tansy_net_sockets::interrupt::Uninterrupted;
use tansy_net_sockets::Spawner;

/// Time for an answer.
const WITHIN: Duration = Duration::from_secs(2);
/// Time for an entry to be held.
const ENTRY_WITHIN: Duration = Duration::from_secs(12);

/// By the place of whom was asked; none: no answer yet.
type Answers<T> = Rc<RefCell<Vec<Option<Result<T, RequestError>>>>>;

/// Asks front ends.
pub struct Client {
    event_loop: EventLoop<'static, ()>,
    spawner: Spawner,
    /// One to each front end, kept: a connection for each request would fill those who are asked again and again.
    links: HashMap<SocketAddr, Rc<Link>>,
}

impl Client {
    /// One with a loop of its own.
    pub fn new() -> io::Result<Client> {
        let event_loop = EventLoop::try_new().map_err(io::Error::other)?;
        let spawner = Spawner::new(event_loop.handle())?;
        Ok(Client {
            event_loop,
            spawner,
            links: HashMap::new(),
        })
    }

    /// The same to several; the answers in their order.
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

    /// To each its own; the answers in their order.
    fn each<T: Message + Default + 'static>(
        &mut self,
        to: &[(SocketAddr, Vec<u8>)],
        method: &'static str,
        within: Duration,
    ) -> Vec<Result<T, RequestError>> {
        let answers: Answers<T> = Rc::new(RefCell::new(to.iter().map(|_| None).collect()));
        for (n, (address, request)) in to.iter().enumerate() {
            let fresh = || Link::new(self.spawner.clone(), *address, Limits::default());
            let link = self.links.entry(*address).or_insert_with(fresh).clone();
            let (spawner, answers, request) =
                (self.spawner.clone(), answers.clone(), request.clone());
            let address = *address;
            self.spawner.spawn(async move {
                let answer = ask(&spawner, &link, method, &request, within).await;
                let read = answer.and_then(|bytes| {
                    let wrong = |e| {
                        RequestError::Unreachable(format!(
                            "{address}: an answer that can't be read: {e}"
                        ))
                    };
                    T::decode(bytes).map_err(wrong)
                });
                if let Some(place) = answers.borrow_mut().get_mut(n) {
                    *place = Some(read);
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
        let late = |n: usize| Err(RequestError::Unreachable(format!("{}: no answer", to[n].0)));
        let taken = std::mem::take(&mut *answers.borrow_mut());
        taken
            .into_iter()
            .enumerate()
            .map(|(n, a)| a.unwrap_or_else(|| late(n)))
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

    /// The status of several.
    pub fn statuses(&mut self, to: &[SocketAddr]) -> Vec<Result<pb::StatusReply, RequestError>> {
        self.all(
            to,
            "Status",
            &pb::StatusRequest { fleet: 0 }.encode_to_vec(),
            WITHIN,
        )
    }

    /// The status of one.
    pub fn status(&mut self, to: SocketAddr) -> Result<pb::StatusReply, RequestError> {
        self.status_within(to, WITHIN)
    }

    /// The versions that a seat remembers.
    pub fn history(&mut self, seat: SocketAddr) -> Result<pb::HistoryReply, RequestError> {
        self.one(
            seat,
            "History",
            &pb::HistoryRequest { fleet: 0 }.encode_to_vec(),
            WITHIN,
        )
    }

    /// An entry for the log.
    pub fn enter(
        &mut self,
        seat: SocketAddr,
        entry: pb::enter_request::Entry,
    ) -> Result<pb::EnterReply, RequestError> {
        self.enter_within(seat, entry, ENTRY_WITHIN)
    }

    /// The status of one, within this time.
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

    /// What several know of the last roll.
    pub fn rolls(
        &mut self,
        to: &[SocketAddr],
        within: Duration,
    ) -> Vec<Result<pb::RollReply, RequestError>> {
        self.all(
            to,
            "Roll",
            &pb::RollRequest { fleet: 0 }.encode_to_vec(),
            within,
        )
    }

    /// What several counted.
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

    /// An entry for the log, within this time.
    pub fn enter_within(
        &mut self,
        seat: SocketAddr,
        entry: pb::enter_request::Entry,
        within: Duration,
    ) -> Result<pb::EnterReply, RequestError> {
        let request = pb::EnterRequest {
            fleet: 0,
            entry: Some(entry),
        };
        self.one(seat, "Enter", &request.encode_to_vec(), within)
    }

    /// Entries for the log, asked for at once.
    pub fn enters(
        &mut self,
        seat: SocketAddr,
        entries: Vec<pb::enter_request::Entry>,
    ) -> Vec<Result<pb::EnterReply, RequestError>> {
        let request = |entry| {
            pb::EnterRequest {
                fleet: 0,
                entry: Some(entry),
            }
            .encode_to_vec()
        };
        let all: Vec<(SocketAddr, Vec<u8>)> =
            entries.into_iter().map(|e| (seat, request(e))).collect();
        self.each(&all, "Enter", ENTRY_WITHIN)
    }

    /// Functions that are agreed on one by one, and what became of a request for changes, as a seat knows them.
    pub fn functions(
        &mut self,
        seat: SocketAddr,
        asked: pb::FunctionsRequest,
    ) -> Result<pb::FunctionsReply, RequestError> {
        self.one(seat, "Functions", &asked.encode_to_vec(), WITHIN)
    }

    /// Sets this once the process is asked to end, by SIGTERM or SIGINT.
    pub fn on_end(&self, end: Arc<AtomicBool>) -> io::Result<()> {
        let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT])?;
        let told = move |_, _: &mut (), _: &mut ()| end.store(true, Ordering::Relaxed);
        let inserted = self
            .event_loop
            .handle()
            .insert_source(Uninterrupted(signals), told);
        inserted
            .map(|_| ())
            .map_err(|e| io::Error::other(e.to_string()))
    }

    /// Lets time pass.
    pub fn wait(&mut self, span: Duration) {
        let end = Instant::now() + span;
        while Instant::now() < end {
            let left = end.saturating_duration_since(Instant::now());
            if self.event_loop.dispatch(Some(left), &mut ()).is_err() {
                return;
            }
        }
    }
}
