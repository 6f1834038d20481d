//! A router driven by hand with a simulated clock, and helpers to inspect its actions.

use tansyrouter::*;

/// One millisecond in microseconds.
pub const MS: i64 = 1_000;

/// Returns an entry of the worker list.
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
    /// Creates a router at time zero without workers.
    pub fn new(settings: Settings) -> Harness {
        Harness {
            router: Router::new(settings, 1, Time(0)).unwrap(),
            now: Time(0),
            actions: Vec::new(),
        }
    }

    /// Creates a router with this many workers, one of which has served a call of function 9, and returns that
    /// worker.
    pub fn with_warm_instance(settings: Settings, workers: u64) -> (Harness, WorkerId) {
        let mut harness = Harness::new(settings);
        harness.set_ready_workers(workers);
        let worker = harness.load_and_send(1, 9, 0);
        harness.end_attempt(1, 0, worker, Outcome::Served);
        (harness, worker)
    }

    /// Passes an event to the router. Returns its actions other than timers.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        self.actions.clear();
        self.router.handle(self.now, event, &mut self.actions);
        self.actions
            .iter()
            .filter(|action| !matches!(action, Action::SetTimer { .. }))
            .cloned()
            .collect()
    }

    /// Passes a worker list to the router.
    pub fn worker_list(&mut self, kind: ListKind, entries: Vec<WorkerEntry>) -> Vec<Action> {
        self.handle(Event::Workers { kind, entries })
    }

    /// Passes a full list of this many ready workers to the router.
    pub fn set_ready_workers(&mut self, count: u64) {
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

    /// Ends an attempt, without a load report.
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

    /// Serves a call at its first attempt, after this time.
    pub fn served_after(
        &mut self,
        request: RequestId,
        worker: WorkerId,
        latency: Micros,
    ) -> Vec<Action> {
        self.served_with(request, worker, latency, None, None)
    }

    /// Serves a call at its first attempt. The answer reports this concurrency and load.
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

    /// Ends a load request.
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

    /// Advances the clock, with a timer event every 10 ms. Returns all actions.
    pub fn advance(&mut self, span: Micros) -> Vec<Action> {
        let mut all = Vec::new();
        let end = self.now.plus(span);
        while self.now < end {
            self.now = self.now.plus(10 * MS);
            all.extend(self.handle(Event::Timer { token: 0 }));
        }
        all
    }

    /// Loads a function and has one call of it sent. Returns its worker.
    pub fn load_and_send(&mut self, request: u64, function: u64, class: usize) -> WorkerId {
        let worker_id = requested_load(&self.arrive(request, function, class, 5_000 * MS))
            .expect("a load request");
        sent_to(&self.end_load(worker_id, function, Outcome::Served)).expect("a send")
    }

    /// Lets the attempts of a call miss until a load is requested and the call waits for it. Returns the worker that
    /// loads.
    pub fn miss_until_load(&mut self, request: u64, function: u64) -> WorkerId {
        let mut actions = self.arrive(request, function, 0, 2_000 * MS);
        let mut attempt = 0;
        loop {
            let to = sent_to(&actions);
            if let Some(to) = to {
                actions = self.end_attempt(request, attempt, to, Outcome::NotLoaded);
                attempt += 1;
            }
            if let Some(worker_id) = requested_load(&actions) {
                if let Some(next) = sent_to(&actions) {
                    actions = self.end_attempt(request, attempt, next, Outcome::NotLoaded);
                }
                assert_eq!(sent_to(&actions), None, "the call waits for its load");
                return worker_id;
            }
            assert!(
                to.is_some(),
                "the call is neither sent nor is a load requested"
            );
        }
    }
}

/// Returns the worker of the first load request in these actions.
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

/// Returns the worker of the first attempt in these actions.
pub fn sent_to(actions: &[Action]) -> Option<WorkerId> {
    actions.iter().find_map(|action| match action {
        Action::Send { worker, .. } => Some(*worker),
        _ => None,
    })
}

/// Returns settings with one class of this effect.
pub fn settings_with(effect: Effect) -> Settings {
    let mut settings = Settings::default();
    settings.classes[0].effect = effect;
    settings.classes[0].late_weight = 0.1;
    settings
}

/// Returns settings of one of 100 front ends, where a call whose function is not loaded is answered with a miss.
pub fn one_of_100_front_ends(front_end: usize) -> Settings {
    Settings {
        front_ends: 100,
        front_end_index: front_end,
        miss_policy: MissPolicy::Miss,
        reports_concurrency: true,
        ..settings_with(Effect::Safe)
    }
}

/// Serves a call at its first attempt. The answer reports this concurrency.
pub fn serve_with_concurrency(
    harness: &mut Harness,
    request: u64,
    worker: WorkerId,
    concurrency: u32,
) -> Vec<Action> {
    harness.served_with(
        RequestId(request),
        worker,
        100 * MS,
        Some(concurrency),
        None,
    )
}

/// Returns the worker of the first query for loaded instances in these actions.
pub fn queried_worker(actions: &[Action]) -> Option<WorkerId> {
    actions.iter().find_map(|action| match action {
        Action::Load {
            worker,
            instances: 0,
            ..
        } => Some(*worker),
        _ => None,
    })
}

/// Creates a router with one worker that has served one call of function 9 in 100 ms.
pub fn harness_with_one_served_call() -> (Harness, WorkerId) {
    let mut harness = Harness::new(settings_with(Effect::Safe));
    harness.now = Time(10 * SECOND);
    harness.set_ready_workers(1);
    let worker_id = harness.load_and_send(1, 9, 0);
    harness.now = harness.now.plus(100 * MS);
    harness.end_attempt(1, 0, worker_id, Outcome::Served);
    (harness, worker_id)
}

/// Waits for the next query of the worker and answers that an instance is loaded.
pub fn answer_next_query(harness: &mut Harness, worker_id: WorkerId) -> Vec<Action> {
    let is_queried = (0..200).any(|_| queried_worker(&harness.advance(10 * MS)) == Some(worker_id));
    assert!(is_queried, "the suspect is never queried");
    harness.end_load(worker_id, 9, Outcome::Served)
}
