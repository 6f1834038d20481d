//! Random histories of a dispatcher: they keep the invariants and counters, and their records replay exactly.

mod support;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use support::four_classes::{config, NAMES};
use support::{call, worker, worker_list};
use tansy_dispatch::record::{replay, RecordedStep};
use tansy_dispatch::{
    Answer, AttemptOutcome, CacheStatus, Call, CallId, Command, ControlRequestId, Dispatcher,
    Input, NeverRan, ResponseStage, Trailers, WorkerState,
};
use tansyrouter::{Time, SECOND};

/// Index of the class `unsafe` in [`NAMES`].
const UNSAFE: usize = 2;
/// Index of the class `stream` in [`NAMES`].
const STREAM: usize = 3;

/// A random history, and the state that the dispatcher should have.
#[derive(Default)]
struct History {
    now: i64,
    rng: fastrand::Rng,
    /// Class and deadline of each call.
    calls: BTreeMap<CallId, (usize, i64)>,
    /// Number of the attempt in progress of each call, and whether it is cancelled.
    attempts: BTreeMap<CallId, (u32, bool)>,
    may_have_run: BTreeSet<CallId>,
    answered: BTreeMap<CallId, Answer>,
    requests: VecDeque<ControlRequestId>,
    draining: BTreeSet<String>,
    streaming: BTreeSet<CallId>,
    next: u64,
    steps: Vec<RecordedStep>,
}

impl History {
    /// Draining for one worker in five, otherwise ready.
    fn random_state(&mut self) -> WorkerState {
        if self.rng.u32(..5) == 0 {
            WorkerState::Draining
        } else {
            WorkerState::Ready
        }
    }

    fn step(&mut self, dispatcher: &mut Dispatcher, input: Input) {
        let mut commands = Vec::new();
        dispatcher.step(Time(self.now), input.clone(), &mut commands);
        for command in &commands {
            self.check(command);
        }
        self.steps.push(RecordedStep {
            at: self.now,
            input,
            commands,
        });
        let open = self
            .calls
            .keys()
            .filter(|c| !self.answered.contains_key(c))
            .count();
        assert!(
            dispatcher.counters().balances(open as u64),
            "{}, {open} open",
            dispatcher.counters()
        );
    }

    fn check(&mut self, command: &Command) {
        match command {
            Command::SendAttempt {
                call,
                attempt,
                worker,
                ..
            } => {
                assert!(
                    !self.answered.contains_key(call),
                    "an attempt after the answer to {call:?}"
                );
                assert!(
                    !self.attempts.contains_key(call),
                    "two concurrent attempts at {call:?}"
                );
                assert!(
                    !self.draining.contains(worker),
                    "an attempt at the draining worker {worker}"
                );
                let class = self.calls[call].0;
                assert!(
                    class != UNSAFE || !self.may_have_run.contains(call),
                    "a retry of the unsafe call {call:?}"
                );
                self.attempts.insert(*call, (*attempt, false));
            }
            Command::Answer { call, answer } => {
                assert!(
                    self.answered.insert(*call, *answer).is_none(),
                    "a second answer to {call:?}"
                );
                let (class, due) = self.calls[call];
                assert!(
                    self.now <= due,
                    "{call:?} is answered {} us late",
                    self.now - due
                );
                let may_have_run =
                    self.may_have_run.contains(call) || self.attempts.contains_key(call);
                if class == UNSAFE && matches!(answer, Answer::Refused { .. }) {
                    assert!(
                        !may_have_run,
                        "an unsafe call that may have run is refused: {call:?}"
                    );
                }
            }
            Command::ForwardMessage { call } => assert!(
                !self.answered.contains_key(call),
                "a message after the answer to {call:?}"
            ),
            Command::CancelAttempt { call, .. } => {
                if let Some(attempt) = self.attempts.get_mut(call) {
                    attempt.1 = true;
                }
            }
            Command::Probe { request, .. }
            | Command::Load { request, .. }
            | Command::Unload { request, .. } => self.requests.push_back(*request),
            _ => {}
        }
    }

    /// Advances the time and runs timers when they are due, as an event loop does.
    fn advance(&mut self, dispatcher: &mut Dispatcher, to: i64) {
        while let Some(due) = dispatcher.next_due().filter(|t| t.0 < to) {
            self.now = self.now.max(due.0);
            self.step(dispatcher, Input::Tick);
            if dispatcher.next_due().is_some_and(|t| t <= due) {
                break;
            }
        }
        self.now = to;
    }

    #[expect(clippy::too_many_lines, reason = "one match over the kinds of events")]
    fn random_step(&mut self, dispatcher: &mut Dispatcher) {
        let to = self.now + self.rng.i64(0..8_000);
        self.advance(dispatcher, to);
        let stage = [
            ResponseStage::Nothing,
            ResponseStage::Headers,
            ResponseStage::Messages,
        ][self.rng.usize(..3)];
        match self.rng.u32(..100) {
            0..=34 => {
                self.next += 1;
                let (id, class) = (CallId(self.next), self.rng.usize(..4));
                let budget = self.rng.bool().then(|| self.rng.i64(0..1_500_000));
                self.calls
                    .insert(id, (class, self.now + budget.unwrap_or(2 * SECOND)));
                let call = Call {
                    budget,
                    ..call(self.next, NAMES[class])
                };
                self.step(dispatcher, Input::Call(call));
            }
            35..=79 => {
                let keys: Vec<CallId> = self.attempts.keys().copied().collect();
                let Some(call) = keys.get(self.rng.usize(..keys.len().max(1))).copied() else {
                    return;
                };
                let (attempt, cancelled) = self.attempts[&call];
                let may_stream = self.calls[&call].0 == STREAM && !cancelled;
                if may_stream && self.rng.bool() {
                    let last = self.rng.u32(..4) == 0;
                    self.streaming.insert(call);
                    return self.step(
                        dispatcher,
                        Input::ResponseMessage {
                            call,
                            attempt,
                            last,
                        },
                    );
                }
                let mut trailers = Trailers {
                    cache_status: CacheStatus::Warm,
                    ..Trailers::default()
                };
                let outcome = match self.rng.u32(..20) {
                    _ if cancelled => AttemptOutcome::Cancelled,
                    0 => AttemptOutcome::ConnectRefused,
                    1 => AttemptOutcome::NeverLeft,
                    2 => AttemptOutcome::GoawayBelow,
                    3 => AttemptOutcome::Reset {
                        code: self.rng.u32(..14),
                        stage,
                    },
                    4 => AttemptOutcome::ConnectionCut { stage },
                    5 => AttemptOutcome::NoTrailers { stage },
                    6 => {
                        trailers.never_ran = Some(NeverRan::NotLoaded);
                        AttemptOutcome::Status {
                            code: 14,
                            stage: ResponseStage::Headers,
                        }
                    }
                    7 => AttemptOutcome::Status {
                        code: self.rng.u8(1..17),
                        stage,
                    },
                    _ => AttemptOutcome::Status {
                        code: 0,
                        stage: ResponseStage::Messages,
                    },
                };
                if self.streaming.contains(&call)
                    && matches!(
                        outcome,
                        AttemptOutcome::ConnectRefused | AttemptOutcome::NeverLeft
                    )
                {
                    return;
                }
                self.attempts.remove(&call);
                // Whether the attempt may have run, by the specifications and not by the code under test.
                let proves_not_run = match outcome {
                    AttemptOutcome::ConnectRefused
                    | AttemptOutcome::NeverLeft
                    | AttemptOutcome::GoawayBelow => true,
                    AttemptOutcome::Reset { code, stage } => {
                        code == 7 && stage == ResponseStage::Nothing
                    }
                    AttemptOutcome::Status { .. } => trailers.never_ran.is_some(),
                    _ => false,
                };
                if !proves_not_run {
                    self.may_have_run.insert(call);
                }
                self.step(
                    dispatcher,
                    Input::AttemptEnded {
                        call,
                        attempt,
                        outcome,
                        trailers,
                    },
                );
            }
            80..=84 => {
                let open: Vec<CallId> = self
                    .calls
                    .keys()
                    .filter(|c| !self.answered.contains_key(c))
                    .copied()
                    .collect();
                if let Some(call) = open.get(self.rng.usize(..open.len().max(1))).copied() {
                    self.answered.insert(call, Answer::Served);
                    self.step(dispatcher, Input::ClientLeft { call });
                }
            }
            85..=87 => {
                let states: Vec<WorkerState> = (0..4).map(|_| self.random_state()).collect();
                let is_draining = |number: &usize| states[*number] == WorkerState::Draining;
                let drains = (0..4).filter(is_draining).map(|n| format!("w{n}"));
                self.draining = drains.collect();
                let list = (0..4).map(|n| worker(format!("w{n}"), states[n])).collect();
                self.step(dispatcher, worker_list(list));
            }
            _ => {
                let Some(request) = self.requests.pop_front() else {
                    return;
                };
                let (outcome, trailers) = if self.rng.u32(..10) == 0 {
                    (
                        AttemptOutcome::ConnectionCut {
                            stage: ResponseStage::Nothing,
                        },
                        Trailers::default(),
                    )
                } else {
                    let trailers = Trailers {
                        instances: Some(1),
                        ..Trailers::default()
                    };
                    (
                        AttemptOutcome::Status {
                            code: 0,
                            stage: ResponseStage::Headers,
                        },
                        trailers,
                    )
                };
                self.step(
                    dispatcher,
                    Input::ControlRequestEnded {
                        request,
                        outcome,
                        trailers,
                    },
                );
            }
        }
    }

    fn run(seed: u64, steps: usize) -> History {
        let mut dispatcher = Dispatcher::new(config(seed), Time(0)).expect("valid settings");
        let mut history = History {
            rng: fastrand::Rng::with_seed(seed),
            ..History::default()
        };
        let list = (0..4)
            .map(|n| worker(format!("w{n}"), WorkerState::Ready))
            .collect();
        history.step(&mut dispatcher, worker_list(list));
        (0..steps).for_each(|_| history.random_step(&mut dispatcher));
        // Lets the deadlines of all calls pass.
        for _ in 0..400 {
            let to = history.now + 10_000;
            history.advance(&mut dispatcher, to);
            history.step(&mut dispatcher, Input::Tick);
        }
        let unanswered: Vec<_> = history
            .calls
            .keys()
            .filter(|c| !history.answered.contains_key(c))
            .collect();
        assert!(unanswered.is_empty(), "seed {seed}: {unanswered:?}");
        assert_eq!(dispatcher.counters().guard_rejections, 0, "seed {seed}");
        history
    }
}

#[test]
fn invariants_hold_in_random_histories() {
    let mut served = 0;
    for seed in 0..60 {
        let history = History::run(seed, 400);
        served += history
            .answered
            .values()
            .filter(|a| **a == Answer::Served)
            .count();
    }
    assert!(
        served > 1000,
        "too few served calls for a meaningful test: {served}"
    );
}

#[test]
fn replay_reproduces_a_record_alone_and_interleaved() {
    let lines =
        |steps: &[RecordedStep]| steps.iter().map(RecordedStep::to_line).collect::<Vec<_>>();
    let recorded = lines(&History::run(7, 600).steps);
    let read = || {
        recorded
            .iter()
            .map(|l| RecordedStep::parse(l).expect("a recorded step"))
    };
    let mut dispatcher_alone = Dispatcher::new(config(7), Time(0)).expect("valid settings");
    let alone: Vec<RecordedStep> = replay(&mut dispatcher_alone, read()).collect();
    assert_eq!(lines(&alone), recorded);
    // Interleaved with another dispatcher in the same process.
    let (mut dispatcher, mut neighbor) = (
        Dispatcher::new(config(7), Time(0)).expect("valid settings"),
        Dispatcher::new(config(8), Time(0)).expect("valid settings"),
    );
    let other = History::run(8, 600).steps;
    let mut interleaved = Vec::new();
    for (index, step) in read().enumerate() {
        interleaved.extend(replay(&mut dispatcher, std::iter::once(step)));
        if let Some(other_step) = other.get(index) {
            replay(&mut neighbor, std::iter::once(other_step.clone())).for_each(drop);
        }
    }
    assert_eq!(lines(&interleaved), recorded);
}
