//! Discrete event simulation of routers, workers and calls.

#[path = "actions.rs"]
mod actions;
#[path = "events.rs"]
mod events;
#[path = "incidents.rs"]
mod incidents;

use crate::scenario::{
    InjectedDefect, Scenario, CALL_TIMEOUT, CORES, FUNCTIONS, IDLE_TIMEOUT, MEAN_WORK,
    NETWORK_DELAY, OVERLOAD_WINDOW, WORKERS_START_AT,
};
use crate::workers::{AcceptedAttempt, Attempt, FrontEndId, Worker};
use events::SimulatedEvent;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use tansyrouter::*;

struct FrontEnd {
    router: Router,
    incarnation: u32,
    /// When its timer is due.
    timer: Option<Time>,
}

/// A call that has not been answered.
struct OpenCall {
    function: u64,
    class: usize,
    work: Micros,
    attempts: u32,
}

/// The arrival of a call at a starting worker.
pub struct CallArrival {
    /// When it arrived.
    pub at: Time,
    /// Its weight, in calls of mean work.
    pub weight: f64,
}

/// State of a simulation.
pub struct Simulation {
    /// The scenario.
    pub scenario: Scenario,
    /// Calls that reached each starting worker.
    pub arrivals_at_starting_workers: BTreeMap<u64, Vec<CallArrival>>,
    /// Number of calls that were served.
    pub served: u64,
    /// Number of calls that were refused or failed.
    pub unserved: u64,
    rng: fastrand::Rng,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: HashMap<u64, SimulatedEvent>,
    serial: u64,
    front_ends: Vec<FrontEnd>,
    workers: BTreeMap<u64, Worker>,
    calls: HashMap<(FrontEndId, RequestId), OpenCall>,
    last_request: u64,
    /// Traffic of each front end, in proportion to that of the others.
    traffic: Vec<f64>,
}

impl Simulation {
    /// Runs a scenario until the slow start of its workers ends.
    pub fn run(scenario: Scenario, seed: u64) -> Simulation {
        let mut simulation = Simulation::new(scenario, seed);
        let end = Time(WORKERS_START_AT + scenario.slow_start_window);
        while let Some(Reverse((at, serial))) = simulation.queue.pop() {
            if at > end {
                break;
            }
            simulation.now = simulation.now.max(at);
            if let Some(event) = simulation.events.remove(&serial) {
                simulation.step(event);
            }
        }
        simulation
    }

    fn new(scenario: Scenario, seed: u64) -> Simulation {
        let is_large = |index: usize| scenario.uneven_traffic && index % 5 == 0;
        let traffic = |index| if is_large(index) { 4.0 } else { 1.0 };
        let worker = |id| (id, Worker::default());
        let mut simulation = Simulation {
            scenario,
            arrivals_at_starting_workers: BTreeMap::new(),
            served: 0,
            unserved: 0,
            rng: fastrand::Rng::with_seed(seed),
            now: Time(0),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            serial: 0,
            front_ends: Vec::new(),
            workers: (0..scenario.workers as u64).map(worker).collect(),
            calls: HashMap::new(),
            last_request: 0,
            traffic: (0..scenario.front_ends).map(traffic).collect(),
        };
        for index in 0..scenario.front_ends {
            let router = simulation.new_router(index, false);
            simulation.front_ends.push(FrontEnd {
                router,
                incarnation: 0,
                timer: None,
            });
            simulation.handle(index, simulation.full_list());
        }
        simulation.schedule(Time(0), SimulatedEvent::Arrival);
        simulation.schedule(Time(WORKERS_START_AT), SimulatedEvent::WorkersStart);
        simulation
    }

    fn new_router(&mut self, index: usize, is_restart: bool) -> Router {
        let scenario = &self.scenario;
        let class = |work: Micros| Class {
            latency_objective: 6 * work,
            objective_per_work: 0.0,
            deadline: CALL_TIMEOUT,
            effect: Effect::Safe,
            priority_weight: 1.0,
            late_weight: 0.1,
            streamed: false,
        };
        let alone = is_restart && scenario.defect == Some(InjectedDefect::AssumesToBeAlone);
        let doubled = scenario.defect == Some(InjectedDefect::DoubledMultiple);
        let settings = Settings {
            front_end_index: if alone { 0 } else { index },
            front_ends: if alone { 1 } else { scenario.front_ends },
            classes: if scenario.two_classes {
                vec![class(MEAN_WORK / 2), class(2 * MEAN_WORK)]
            } else {
                vec![class(MEAN_WORK)]
            },
            may_load: true,
            miss_policy: MissPolicy::Miss,
            idle_timeout: IDLE_TIMEOUT,
            reports_concurrency: true,
            reports: Reports::Attached,
            slow_start_from: scenario.slow_start_from,
            slow_start_window: scenario.slow_start_window,
            overload_multiple: scenario.overload_multiple * if doubled { 2.0 } else { 1.0 },
            overload_window: OVERLOAD_WINDOW,
            drain_grace: SECOND / 4,
            ..Settings::default()
        };
        Router::new(settings, self.rng.u64(..), self.now).expect("valid settings")
    }

    fn schedule(&mut self, at: Time, event: SimulatedEvent) {
        self.serial += 1;
        self.queue.push(Reverse((at, self.serial)));
        self.events.insert(self.serial, event);
    }

    fn full_list(&self) -> Event {
        let entry = |(id, worker): (&u64, &Worker)| WorkerEntry {
            worker: WorkerId(*id),
            kind: self.scenario.kind(*id),
            cell: *id,
            zone: 0,
            state: if worker.gone {
                WorkerState::Gone
            } else {
                WorkerState::Ready
            },
            started: worker.started,
            relative_size: 1.0,
        };
        Event::Workers {
            kind: ListKind::Full,
            entries: self.workers.iter().map(entry).collect(),
        }
    }

    fn front_end_id(&self, index: usize) -> FrontEndId {
        let incarnation = self.front_ends[index].incarnation;
        FrontEndId { index, incarnation }
    }

    /// Returns the speed of a worker at this time, relative to the full speed of the first kind.
    pub fn speed(&self, worker: u64, at: Time) -> f64 {
        let scenario = &self.scenario;
        let speed = [1.0, scenario.second_kind_speed][scenario.kind(worker)];
        let Some(started) = self.workers[&worker].started else {
            return speed;
        };
        let age = at.since(started).clamp(0, scenario.slow_start_window) as f64
            / scenario.slow_start_window as f64;
        speed * (scenario.slow_start_from + (1.0 - scenario.slow_start_from) * age)
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.f64()).ln()
    }

    /// Passes an event to a router and carries out its actions.
    fn handle(&mut self, index: usize, event: Event) {
        let mut actions = Vec::new();
        let router = &mut self.front_ends[index].router;
        router.handle(self.now, event, &mut actions);
        let front_end = self.front_end_id(index);
        for action in actions {
            self.carry_out(front_end, action);
        }
    }

    fn step(&mut self, event: SimulatedEvent) {
        match event {
            SimulatedEvent::Arrival => self.on_arrival(),
            SimulatedEvent::Timer(index) => self.on_timer(index),
            SimulatedEvent::AttemptArrived(attempt) => self.on_attempt(attempt),
            SimulatedEvent::CallFinished { worker, serial } => self.on_finished(worker, serial),
            SimulatedEvent::RouterEvent { front_end, event } => {
                self.on_router_event(front_end, event)
            }
            SimulatedEvent::Loaded {
                front_end,
                worker,
                function,
                sent,
            } => self.on_loaded(front_end, worker, function, sent),
            SimulatedEvent::WorkersStart => self.on_workers_start(),
            SimulatedEvent::OthersLost => self.on_others_lost(),
            SimulatedEvent::Restart(index) => self.on_restart(index),
        }
    }

    fn on_arrival(&mut self) {
        let scenario = self.scenario;
        let cores = (scenario.workers * CORES) as f64;
        let rate = scenario.utilization * cores / MEAN_WORK as f64;
        let gap = self.exponential(1.0 / rate) as Micros;
        self.schedule(self.now.plus(gap.max(1)), SimulatedEvent::Arrival);
        let mut pick = self.rng.f64() * self.traffic.iter().sum::<f64>();
        let index = self.traffic.iter().position(|traffic| {
            pick -= traffic;
            pick < 0.0
        });
        let index = index.unwrap_or(0);
        // A few functions have most of the calls.
        let function = (FUNCTIONS as f64).powf(self.rng.f64()) as u64 - 1;
        // A third of the calls is of the heavy class, which keeps the mean work the same.
        let class = (scenario.two_classes && self.rng.f64() < 1.0 / 3.0) as usize;
        let work = self.exponential(scenario.mean_work(class) as f64) as Micros + 1;
        self.last_request += 1;
        let request = RequestId(self.last_request);
        let call = OpenCall {
            function,
            class,
            work,
            attempts: 0,
        };
        let front_end = self.front_end_id(index);
        self.calls.insert((front_end, request), call);
        self.handle(index, arrival(request, function, class));
    }

    fn on_timer(&mut self, index: usize) {
        let front_end = &mut self.front_ends[index];
        if front_end.timer == Some(self.now) {
            front_end.timer = None;
            self.handle(index, Event::Timer { token: 0 });
        }
    }

    fn on_attempt(&mut self, attempt: Attempt) {
        let (id, function, now) = (attempt.worker, attempt.function, self.now);
        if self.workers[&id].started.is_some() {
            let weight = self.scenario.call_weight(attempt.class);
            let arrivals = self.arrivals_at_starting_workers.entry(id).or_default();
            arrivals.push(CallArrival { at: now, weight });
        }
        self.serial += 1;
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        let accepted = AcceptedAttempt {
            attempt,
            sent: now.plus(-NETWORK_DELAY),
            concurrency: worker.concurrency(function),
            serial: self.serial,
        };
        if worker.gone || !worker.has_instance(function, now) {
            return self.end_attempt(&accepted, Outcome::NotLoaded);
        } else if worker.is_full() {
            return self.end_attempt(&accepted, Outcome::Rejected);
        }
        worker.loaded.insert(function, now);
        worker.waiting.push(accepted);
        self.start_waiting(id);
    }

    fn start_waiting(&mut self, id: u64) {
        let speed = self.speed(id, self.now);
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        for (serial, work) in worker.start_waiting() {
            let end = self.now.plus((work as f64 / speed) as Micros);
            self.schedule(end, SimulatedEvent::CallFinished { worker: id, serial });
        }
    }

    fn on_finished(&mut self, id: u64, serial: u64) {
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        let position = worker.running.iter().position(|call| call.serial == serial);
        let Some(position) = position else {
            return;
        };
        let call = worker.running.swap_remove(position);
        self.end_attempt(&call, Outcome::Served);
        self.start_waiting(id);
    }

    fn end_attempt(&mut self, call: &AcceptedAttempt, outcome: Outcome) {
        let attempt = &call.attempt;
        let busy = self.workers[&attempt.worker].running.len() as f64 / CORES as f64;
        let result = AttemptResult {
            request: attempt.request,
            attempt: attempt.number,
            worker: WorkerId(attempt.worker),
            outcome,
            concluded: outcome == Outcome::Served,
            latency: self.now.since(call.sent) + NETWORK_DELAY,
            instance_status: if outcome == Outcome::Served {
                InstanceStatus::Warm
            } else {
                InstanceStatus::Unreported
            },
            concurrency: Some(call.concurrency),
            report: Some(LoadReport {
                utilization: Some(busy),
                ..LoadReport::default()
            }),
        };
        let router_event = SimulatedEvent::RouterEvent {
            front_end: attempt.front_end,
            event: Event::AttemptEnded(result),
        };
        self.schedule(self.now.plus(NETWORK_DELAY), router_event);
    }

    fn on_router_event(&mut self, front_end: FrontEndId, event: Event) {
        if self.front_end_id(front_end.index) != front_end {
            return;
        }
        if let Event::AttemptEnded(result) = &event {
            let call = (front_end, result.request);
            if result.outcome == Outcome::Served && self.calls.remove(&call).is_some() {
                self.served += 1;
            }
        }
        self.handle(front_end.index, event);
    }

    fn on_loaded(&mut self, front_end: FrontEndId, id: u64, function: u64, sent: Time) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        let instances = !worker.gone as u32;
        if instances > 0 {
            worker.loaded.insert(function, now);
        }
        let event = Event::LoadEnded {
            worker: WorkerId(id),
            function: FunctionId(function),
            outcome: if instances > 0 {
                Outcome::Served
            } else {
                Outcome::ConnectFailed
            },
            latency: now.since(sent),
            instances,
        };
        self.on_router_event(front_end, event);
    }
}

fn arrival(request: RequestId, function: u64, class: usize) -> Event {
    Event::Arrival(Arrival {
        request,
        function: FunctionId(function),
        class,
        tenant: 0,
        budget: CALL_TIMEOUT,
        work_hint: None,
        lanes: 2,
        memory_mb: 400.0,
        load_time: None,
        is_client_retry: false,
    })
}
