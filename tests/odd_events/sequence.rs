//! A pseudo-random sequence of unusual but valid events for one router.

use crate::checker::Checker;
use tansyrouter::*;

/// One millisecond in microseconds.
const MS: i64 = 1_000;

/// A router with random settings, and the events that it receives.
pub struct Sequence<'a> {
    rng: &'a mut fastrand::Rng,
    now: Time,
    router: Router,
    checker: Checker,
    loads: Vec<(WorkerId, FunctionId)>,
    last_request: u64,
    /// Number of attempts that the router has sent.
    pub sends: u64,
    /// Number of calls that the router has answered itself.
    pub answers: u64,
}

impl Sequence<'_> {
    /// Creates a sequence with random settings.
    pub fn new(rng: &mut fastrand::Rng, seed: u64) -> Sequence<'_> {
        let settings = settings(rng);
        let now = Time(rng.i64(-5_000..5_000) * MS);
        Sequence {
            rng,
            now,
            router: Router::new(settings.clone(), seed, now).unwrap(),
            checker: Checker::new(settings),
            loads: Vec::new(),
            last_request: 0,
            sends: 0,
            answers: 0,
        }
    }

    /// Passes a random event to the router and checks its actions. The first event is a worker list.
    pub fn step(&mut self, step: u64) {
        self.now = self.now.plus(self.rng.i64(0..4) * MS);
        let worker = WorkerId(self.rng.u64(0..8));
        let kind = if step == 0 { 0 } else { self.rng.u8(0..100) };
        let Some(event) = self.event(kind, worker) else {
            return;
        };
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        for action in &actions {
            self.on_action(action);
        }
        self.checker.check_overdue(self.now);
    }

    fn on_action(&mut self, action: &Action) {
        self.checker.on_action(self.now, action);
        match action {
            Action::Send { .. } => self.sends += 1,
            Action::Reject { .. } | Action::Fail { .. } => self.answers += 1,
            Action::Load {
                worker, function, ..
            } => self.loads.push((*worker, *function)),
            _ => {}
        }
    }

    /// Returns an event of this kind, if one is possible now.
    fn event(&mut self, kind: u8, worker: WorkerId) -> Option<Event> {
        match kind {
            0..=3 => Some(self.worker_list()),
            4..=40 => Some(self.arrival()),
            41..=70 => self.attempt_end(),
            71..=84 => self.load_end(),
            85 => Some(self.client_left()),
            86 => Some(Event::ProbeEnded {
                worker,
                outcome: Outcome::Served,
                latency: -1,
                report: None,
            }),
            87 => Some(Event::StreamStarted {
                request: RequestId(u64::MAX),
                attempt: 7,
            }),
            _ => Some(Event::Timer {
                token: self.rng.u64(..),
            }),
        }
    }

    fn worker_list(&mut self) -> Event {
        let kind = if self.rng.bool() {
            ListKind::Full
        } else {
            ListKind::Changes
        };
        let named: Vec<u64> = (0..8).filter(|_| self.rng.u8(0..3) > 0).collect();
        let entries: Vec<WorkerEntry> = named.iter().map(|id| self.worker_entry(*id)).collect();
        self.checker.on_worker_list(self.now, kind, &entries);
        Event::Workers { kind, entries }
    }

    fn worker_entry(&mut self, id: u64) -> WorkerEntry {
        let (rng, now) = (&mut self.rng, self.now);
        WorkerEntry {
            worker: WorkerId(id),
            kind: 0,
            cell: id / 2,
            zone: (id % 2) as usize,
            state: match rng.u8(0..6) {
                0 => WorkerState::Draining,
                1 => WorkerState::Gone,
                _ => WorkerState::Ready,
            },
            started: rng.bool().then(|| now.plus(-rng.i64(0..20_000) * MS)),
            relative_size: [1.0, 2.0, 0.0, f64::NAN][rng.usize(0..4)],
        }
    }

    fn arrival(&mut self) -> Event {
        self.last_request += 1;
        let request = RequestId(self.last_request);
        let rng = &mut self.rng;
        let class = rng.usize(0..3);
        let budget = [0, 2, 40, 800, 3_000][rng.usize(0..5)] * MS;
        self.checker.on_arrival(self.now, request, class, budget);
        Event::Arrival(Arrival {
            request,
            function: FunctionId(rng.u64(0..12)),
            class,
            tenant: rng.usize(0..3),
            budget,
            work_hint: rng.bool().then(|| rng.i64(-5..500) * MS),
            lanes: rng.u32(0..3),
            memory_mb: f64::NAN,
            load_time: rng.bool().then(|| rng.i64(-5..900) * MS),
            is_client_retry: false,
        })
    }

    /// Returns a random open attempt as its call and its number.
    fn open_attempt(&mut self) -> Option<(RequestId, usize)> {
        let mut open = Vec::new();
        for (request, call) in &self.checker.calls {
            let attempts = call.attempts.iter().enumerate();
            let pending = attempts.filter(|(_, attempt)| attempt.outcome.is_none());
            open.extend(pending.map(|(index, _)| (*request, index)));
        }
        (!open.is_empty()).then(|| open[self.rng.usize(0..open.len())])
    }

    fn attempt_end(&mut self) -> Option<Event> {
        let (request, index) = self.open_attempt()?;
        let rng = &mut self.rng;
        let outcome = [
            Outcome::Served,
            Outcome::Served,
            Outcome::Error,
            Outcome::Rejected,
            Outcome::TimedOut,
            Outcome::ConnectFailed,
            Outcome::ConnectionLost,
            Outcome::Cancelled,
            Outcome::NotSent,
            Outcome::NotLoaded,
        ][rng.usize(0..10)];
        let call = self.checker.calls.get_mut(&request).unwrap();
        let attempt = &mut call.attempts[index];
        attempt.outcome = Some(outcome);
        call.concluded |= outcome == Outcome::Served;
        Some(Event::AttemptEnded(AttemptResult {
            request,
            attempt: index as u32,
            worker: attempt.worker,
            outcome,
            concluded: call.concluded,
            latency: self.now.since(attempt.sent),
            instance_status: InstanceStatus::Warm,
            concurrency: Some(rng.u32(0..4)),
            report: Some(LoadReport {
                queued: Some(f64::NAN),
                ..LoadReport::default()
            }),
        }))
    }

    fn load_end(&mut self) -> Option<Event> {
        let (worker, function) = self.loads.pop()?;
        let rng = &mut self.rng;
        let outcome = [
            Outcome::Served,
            Outcome::Error,
            Outcome::Rejected,
            Outcome::TimedOut,
        ][rng.usize(0..4)];
        let instances = if outcome == Outcome::Served {
            rng.u32(0..3)
        } else {
            0
        };
        Some(Event::LoadEnded {
            worker,
            function,
            outcome,
            latency: rng.i64(-3..900) * MS,
            instances,
        })
    }

    fn client_left(&mut self) -> Event {
        let request = RequestId(self.rng.u64(0..self.last_request.max(1) + 3));
        if let Some(call) = self.checker.calls.get_mut(&request) {
            call.concluded = true;
        }
        Event::ClientLeft { request }
    }
}

fn settings(rng: &mut fastrand::Rng) -> Settings {
    let groups = [DedupGroup::All, DedupGroup::Zone, DedupGroup::Cell];
    let class = |effect, rng: &mut fastrand::Rng| Class {
        latency_objective: 500 * MS,
        objective_per_work: 0.0,
        deadline: 3_000 * MS,
        effect,
        priority_weight: 1.0,
        late_weight: if rng.bool() { 0.2 } else { 0.0 },
        streamed: false,
    };
    let keyed = Effect::Keyed {
        group: groups[rng.usize(0..3)],
        window: rng.i64(0..3_000) * MS,
    };
    Settings {
        front_ends: rng.usize(1..4),
        classes: vec![
            class(Effect::Safe, rng),
            class(keyed, rng),
            class(Effect::Unsafe, rng),
        ],
        may_cancel: rng.bool(),
        may_probe: rng.bool(),
        may_load: rng.u8(0..4) > 0,
        miss_policy: if rng.bool() {
            MissPolicy::Load
        } else {
            MissPolicy::Miss
        },
        max_attempts: rng.u32(1..6),
        load_budget: rng.bool().then(|| LoadBudget {
            free: rng.f64() * 3.0,
            arrival_share: rng.f64(),
            period: 2_000 * MS,
        }),
        drain_grace: 0,
        ..Settings::default()
    }
}
