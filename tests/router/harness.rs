//! A router, a clock, and what is known of its actions.

use tansyrouter::*;

/// Microseconds of a millisecond.
pub const MS: i64 = 1_000;

/// An entry of the workers' list.
pub fn worker(id: u64, state: WorkerState, started: Option<Time>) -> WorkerEntry {
    WorkerEntry {
        worker: WorkerId(id),
        state,
        started,
        relative_size: 1.0,
        cell: id,
        zone: id as usize % 2,
        kind: 0,
    }
}

/// A router that is driven by hand.
pub struct Harness {
    /// The router.
    pub router: Router,
    /// The time of the next event.
    pub now: Time,
    actions: Vec<Action>,
}

impl Harness {
    /// A router at time zero that knows no worker.
    pub fn new(settings: Settings) -> Harness {
        Harness {
            router: Router::new(settings, 1, Time(0)).unwrap(),
            now: Time(0),
            actions: Vec::new(),
        }
    }

    /// A router with this many workers, one of which has served a call of function 9; tells which.
    pub fn with_warm_instance(settings: Settings, workers: u64) -> (Harness, WorkerId) {
        let mut harness = Harness::new(settings);
        harness.ready_workers(workers);
        let worker = harness.load_and_send(1, 9, 0);
        harness.end_attempt(1, 0, worker, Outcome::Served);
        (harness, worker)
    }

    /// Hands the router an event: its actions, without those that set its timer.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        self.actions.clear();
        self.router.handle(self.now, event, &mut self.actions);
        self.actions
            .iter()
            .filter(|action| !matches!(action, Action::SetTimer { .. }))
            .cloned()
            .collect()
    }

    /// Hands the router a list of workers.
    pub fn worker_list(&mut self, kind: ListKind, entries: Vec<WorkerEntry>) -> Vec<Action> {
        self.handle(Event::Workers { kind, entries })
    }

    /// A full list of this many ready workers.
    pub fn ready_workers(&mut self, count: u64) {
        let entries = (1..=count)
            .map(|id| worker(id, WorkerState::Ready, None))
            .collect();
        self.worker_list(ListKind::Full, entries);
    }

    /// A call arrives.
    pub fn arrive(
        &mut self,
        request: u64,
        function: u64,
        class: usize,
        budget: Micros,
    ) -> Vec<Action> {
        self.handle(Event::Arrival(Arrival {
            request: RequestId(request),
            function: FunctionId(function),
            class,
            tenant: 0,
            budget,
            work_hint: None,
            lanes: 1,
            memory_mb: 300.0,
            load_time: Some(500 * MS),
            is_client_retry: false,
        }))
    }

    /// An attempt ends, without a report of the worker.
    pub fn end_attempt(
        &mut self,
        request: u64,
        attempt: u32,
        worker: WorkerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded(AttemptResult {
            request: RequestId(request),
            attempt,
            worker,
            outcome,
            concluded: outcome == Outcome::Served,
            latency: 100 * MS,
            instance_status: InstanceStatus::Warm,
            concurrency: None,
            report: None,
        }))
    }

    /// Served at the first attempt, after this time.
    pub fn served_after(
        &mut self,
        request: RequestId,
        worker: WorkerId,
        latency: Micros,
    ) -> Vec<Action> {
        self.served_with(request, worker, latency, None, None)
    }

    /// Served at the first attempt, with the calls of its function and the load that the worker reports.
    pub fn served_with(
        &mut self,
        request: RequestId,
        worker: WorkerId,
        latency: Micros,
        concurrency: Option<u32>,
        report: Option<LoadReport>,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded(AttemptResult {
            request,
            attempt: 0,
            worker,
            outcome: Outcome::Served,
            concluded: true,
            latency,
            instance_status: InstanceStatus::Warm,
            concurrency,
            report,
        }))
    }

    /// A load ends.
    pub fn end_load(&mut self, worker: WorkerId, function: u64, outcome: Outcome) -> Vec<Action> {
        let instances = (outcome == Outcome::Served) as u32;
        let function = FunctionId(function);
        self.handle(Event::LoadEnded {
            worker,
            function,
            outcome,
            latency: 500 * MS,
            instances,
        })
    }

    /// Time goes by; all actions of its timers.
    pub fn advance(&mut self, span: Micros) -> Vec<Action> {
        let mut all = Vec::new();
        let end = self.now.plus(span);
        while self.now < end {
            self.now = self.now.plus(10 * MS);
            all.extend(self.handle(Event::Timer { token: 0 }));
        }
        all
    }

    /// Brings a function up and has one call of it sent; tells where.
    pub fn load_and_send(&mut self, request: u64, function: u64, class: usize) -> WorkerId {
        let at =
            requested_load(&self.arrive(request, function, class, 5_000 * MS)).expect("a load");
        sent_to(&self.end_load(at, function, Outcome::Served)).expect("a send")
    }

    /// Has one call miss at its home until a load is requested and the call held for it; tells where.
    pub fn miss_until_load(&mut self, request: u64, function: u64) -> WorkerId {
        let mut actions = self.arrive(request, function, 0, 2_000 * MS);
        let mut attempt = 0;
        loop {
            let to = sent_to(&actions);
            if let Some(to) = to {
                actions = self.end_attempt(request, attempt, to, Outcome::NotLoaded);
                attempt += 1;
            }
            if let Some(at) = requested_load(&actions) {
                if let Some(next) = sent_to(&actions) {
                    actions = self.end_attempt(request, attempt, next, Outcome::NotLoaded);
                }
                assert_eq!(sent_to(&actions), None, "held for its load");
                return at;
            }
            assert!(to.is_some(), "neither sent nor requested");
        }
    }
}

/// The worker of the first load in these actions.
pub fn requested_load(actions: &[Action]) -> Option<WorkerId> {
    actions.iter().find_map(|action| match action {
        Action::Load {
            worker,
            instances: 1..,
            ..
        } => Some(*worker),
        _ => None,
    })
}

/// The worker of the first attempt in these actions.
pub fn sent_to(actions: &[Action]) -> Option<WorkerId> {
    actions.iter().find_map(|action| match action {
        Action::Send { worker, .. } => Some(*worker),
        _ => None,
    })
}

/// Settings of one class with this effect.
pub fn settings_with(effect: Effect) -> Settings {
    let mut settings = Settings::default();
    settings.classes[0].effect = effect;
    settings.classes[0].late_weight = 0.1;
    settings
}

/// A fleet at full size in which a call that finds nothing loaded says so.
pub fn one_of_a_hundred(front_end: usize) -> Settings {
    Settings {
        front_ends: 100,
        front_end_index: front_end,
        miss_policy: MissPolicy::Miss,
        reports_concurrency: true,
        ..settings_with(Effect::Safe)
    }
}

/// An answer to the only attempt of a call, with the calls of its function that the worker held.
pub fn served_among(
    harness: &mut Harness,
    request: u64,
    worker: WorkerId,
    crowd: u32,
) -> Vec<Action> {
    harness.served_with(RequestId(request), worker, 100 * MS, Some(crowd), None)
}

/// The worker of the first question for standing instances in these actions.
pub fn asked_worker(actions: &[Action]) -> Option<WorkerId> {
    actions.iter().find_map(|action| match action {
        Action::Load {
            worker,
            instances: 0,
            ..
        } => Some(*worker),
        _ => None,
    })
}

/// One worker with one function that has served at 100 ms.
pub fn served_once() -> (Harness, WorkerId) {
    let mut harness = Harness::new(settings_with(Effect::Safe));
    harness.now = Time(10 * SECOND);
    harness.ready_workers(1);
    let at = harness.load_and_send(1, 9, 0);
    harness.now = harness.now.plus(100 * MS);
    harness.end_attempt(1, 0, at, Outcome::Served);
    (harness, at)
}

/// Answers the next ask for a worker's instances, as one that stands.
pub fn answer_next(harness: &mut Harness, at: WorkerId) -> Vec<Action> {
    let asks = (0..200).any(|_| asked_worker(&harness.advance(10 * MS)) == Some(at));
    assert!(asks, "a suspect that is never asked");
    harness.end_load(at, 9, Outcome::Served)
}
