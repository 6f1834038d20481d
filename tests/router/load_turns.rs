//! Whose loads come first while callers name functions that no worker can load.

use crate::harness::{settings_with, Harness, MS};
use std::collections::{BTreeMap, BTreeSet};
use tansyrouter::*;

const WORKERS: u64 = 3;
/// Clients that call a function of their own each, which workers can load.
const USUAL_CLIENTS: u64 = 60;
const USUAL_TIMEOUT: Micros = 1_250 * MS;
/// Pause of a usual client after an answer.
const USUAL_PAUSE: Micros = 100 * MS;
/// Clients that call ever new functions that no worker can load, again as soon as they are answered.
const UNKNOWN_CLIENTS: u64 = 4;
/// The first of these clients and of the functions that they call.
const FIRST_UNKNOWN: u64 = 1_000;
/// The times that their calls state: most urgent, and as long as can be.
const UNKNOWN_TIMEOUTS: [Micros; 2] = [5 * MS, 2_500 * MS];
/// How long a load takes that succeeds; others fail at once.
const LOAD_TIME: Micros = 30 * MS;
const SERVICE_TIME: Micros = 20 * MS;
/// When the first usual calls arrive.
const USUAL_START: Micros = SECOND;
const STEP: Micros = MS;
const DURATION: Micros = 6 * SECOND;

/// Something that a worker reports later.
enum Report {
    Loaded(WorkerId, u64),
    NotLoaded(WorkerId, u64),
    Served(RequestId, u32, WorkerId),
    Missed(RequestId, u32, WorkerId),
}

/// Clients of unknown functions are there first.
fn first_call(client: u64) -> Time {
    if client < FIRST_UNKNOWN {
        Time(USUAL_START)
    } else {
        Time(0)
    }
}

/// Clients and workers around a router.
struct Simulation {
    harness: Harness,
    unknown_timeout: Micros,
    next_request: u64,
    /// The client of each open request.
    open: BTreeMap<RequestId, u64>,
    attempts: BTreeMap<RequestId, u32>,
    /// When each client sends its next call; none while a call is open.
    next_calls: BTreeMap<u64, Time>,
    reports: BTreeMap<(Time, u64), Report>,
    next_report: u64,
    /// The functions that each worker has loaded.
    loaded: BTreeSet<(WorkerId, u64)>,
    served: u64,
    refused: u64,
}

impl Simulation {
    /// Starts with these clients; those from [`FIRST_UNKNOWN`] call unknown functions, with this timeout.
    fn new(clients: impl Iterator<Item = u64>, unknown_timeout: Micros) -> Simulation {
        let mut harness = Harness::new(Settings {
            miss_policy: MissPolicy::Miss,
            ..settings_with(Effect::Safe)
        });
        harness.set_ready_workers(WORKERS);
        Simulation {
            harness,
            unknown_timeout,
            next_request: 0,
            open: BTreeMap::new(),
            attempts: BTreeMap::new(),
            next_calls: clients.map(|client| (client, first_call(client))).collect(),
            loaded: BTreeSet::new(),
            reports: BTreeMap::new(),
            next_report: 0,
            served: 0,
            refused: 0,
        }
    }

    /// Runs for [`DURATION`] and returns how many usual calls were served and refused.
    fn run(mut self) -> (u64, u64) {
        while self.harness.now < Time(DURATION) {
            self.harness.now = self.harness.now.plus(STEP);
            let actions = self.harness.handle(Event::Timer { token: 0 });
            self.perform(actions);
            self.deliver_reports();
            self.send_calls();
        }
        (self.served, self.refused)
    }

    fn send_calls(&mut self) {
        let now = self.harness.now;
        let due = self.next_calls.iter().filter(|(_, at)| **at <= now);
        let due: Vec<u64> = due.map(|(client, _)| *client).collect();
        for client in due {
            self.next_calls.remove(&client);
            self.next_request += 1;
            let (function, budget) = if client < FIRST_UNKNOWN {
                (client, USUAL_TIMEOUT)
            } else {
                (FIRST_UNKNOWN + self.next_request, self.unknown_timeout)
            };
            self.open.insert(RequestId(self.next_request), client);
            let actions = self.harness.arrive(self.next_request, function, 0, budget);
            self.perform(actions);
        }
    }

    fn deliver_reports(&mut self) {
        while let Some(entry) = self.reports.first_entry() {
            if entry.key().0 > self.harness.now {
                return;
            }
            let actions = match entry.remove() {
                Report::Missed(request, attempt, worker) => {
                    self.harness
                        .end_attempt(request.0, attempt, worker, Outcome::NotLoaded)
                }
                Report::Loaded(worker, function) => {
                    self.loaded.insert((worker, function));
                    self.harness.end_load(worker, function, Outcome::Served)
                }
                Report::NotLoaded(worker, function) => {
                    self.harness.end_load(worker, function, Outcome::Error)
                }
                Report::Served(request, attempt, worker) => {
                    self.answer(request, true);
                    self.harness
                        .end_attempt(request.0, attempt, worker, Outcome::Served)
                }
            };
            self.perform(actions);
        }
    }

    fn report(&mut self, after: Micros, report: Report) {
        self.next_report += 1;
        let at = self.harness.now.plus(after);
        self.reports.insert((at, self.next_report), report);
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Load {
                    worker, function, ..
                } if function.0 < FIRST_UNKNOWN => {
                    self.report(LOAD_TIME, Report::Loaded(worker, function.0));
                }
                Action::Load {
                    worker, function, ..
                } => self.report(0, Report::NotLoaded(worker, function.0)),
                Action::Send {
                    request, worker, ..
                } => {
                    let attempts = self.attempts.entry(request).or_default();
                    let attempt = *attempts;
                    *attempts += 1;
                    let function = self.open.get(&request).copied().unwrap_or_default();
                    if self.loaded.contains(&(worker, function)) {
                        self.report(SERVICE_TIME, Report::Served(request, attempt, worker));
                    } else {
                        self.report(0, Report::Missed(request, attempt, worker));
                    }
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    self.answer(request, false);
                }
                _ => {}
            }
        }
    }

    fn answer(&mut self, request: RequestId, served: bool) {
        let Some(client) = self.open.remove(&request) else {
            return;
        };
        let mut pause = 0;
        if client < FIRST_UNKNOWN {
            pause = USUAL_PAUSE;
            self.served += u64::from(served);
            self.refused += u64::from(!served);
        }
        self.next_calls.insert(client, self.harness.now.plus(pause));
    }
}

// Guards against refused calls of functions that workers could load: each arrival of an unknown function took the next turn
// to load, and urgent or old calls of unknown functions came before the others.
#[test]
fn functions_that_cannot_be_loaded_do_not_take_the_turns_of_others() {
    let usual = 0..USUAL_CLIENTS;
    let unknown = FIRST_UNKNOWN..FIRST_UNKNOWN + UNKNOWN_CLIENTS;
    let (quiet_served, quiet_refused) = Simulation::new(usual.clone(), 0).run();
    assert_eq!(quiet_refused, 0, "{quiet_served} served in quiet");
    for timeout in UNKNOWN_TIMEOUTS {
        let clients = usual.clone().chain(unknown.clone());
        let (served, refused) = Simulation::new(clients, timeout).run();
        assert!(
            refused == 0 && served * 10 >= quiet_served * 9,
            "{served} served and {refused} refused beside calls of unknown functions with {timeout} us; \
             {quiet_served} served in quiet"
        );
    }
}
