//! The dispatcher under random histories: the rules, the counters, and the same commands again from the record.

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

#[derive(Default)]
struct World {
    now: i64,
    rng: fastrand::Rng,
    open: BTreeMap<CallId, (usize, i64)>,
    attempts: BTreeMap<CallId, (u32, bool)>,
    ran: BTreeSet<CallId>,
    answered: BTreeMap<CallId, Answer>,
    requests: VecDeque<ControlRequestId>,
    draining: BTreeSet<String>,
    began: BTreeSet<CallId>,
    next: u64,
    steps: Vec<RecordedStep>,
}

impl World {
    /// One worker in five drains.
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
            .open
            .keys()
            .filter(|c| !self.answered.contains_key(c))
            .count();
        assert!(
            dispatcher.counters().balances(open as u64),
            "{} with {open} open",
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
                    "an attempt after the answer of {call:?}"
                );
                assert!(
                    !self.attempts.contains_key(call),
                    "two attempts of {call:?}"
                );
                assert!(
                    !self.draining.contains(worker),
                    "an attempt at {worker}, which drains"
                );
                let class = self.open[call].0;
                assert!(
                    class != 2 || !self.ran.contains(call),
                    "an unsafe call again: {call:?}"
                );
                self.attempts.insert(*call, (*attempt, false));
            }
            Command::Answer { call, answer } => {
                assert!(
                    self.answered.insert(*call, *answer).is_none(),
                    "a second answer to {call:?}"
                );
                let (class, due) = self.open[call];
                assert!(
                    self.now <= due,
                    "{call:?} is answered {} us late",
                    self.now - due
                );
                let may_have_run = self.ran.contains(call) || self.attempts.contains_key(call);
                if class == 2 && matches!(answer, Answer::Refused { .. }) {
                    assert!(
                        !may_have_run,
                        "an unsafe call that may have run is refused: {call:?}"
                    );
                }
            }
            Command::ForwardMessage { call } => assert!(
                !self.answered.contains_key(call),
                "a piece after the answer"
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

    /// Lets time pass; time-outs come when they are due, as a loop would have them.
    fn pass(&mut self, dispatcher: &mut Dispatcher, to: i64) {
        while let Some(due) = dispatcher.next_due().filter(|t| t.0 < to) {
            self.now = self.now.max(due.0);
            self.step(dispatcher, Input::Tick);
            if dispatcher.next_due().is_some_and(|t| t <= due) {
                break;
            }
        }
        self.now = to;
    }

    #[expect(
        clippy::too_many_lines,
        reason = "one table or one history, read from top to bottom"
    )]
    fn turn(&mut self, dispatcher: &mut Dispatcher) {
        let to = self.now + self.rng.i64(0..8_000);
        self.pass(dispatcher, to);
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
                self.open
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
                let (attempt, withdrawn) = self.attempts[&call];
                let streaming = self.open[&call].0 == 3 && !withdrawn;
                if streaming && self.rng.bool() {
                    let last = self.rng.u32(..4) == 0;
                    self.began.insert(call);
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
                    _ if withdrawn => AttemptOutcome::Cancelled,
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
                if self.began.contains(&call)
                    && matches!(
                        outcome,
                        AttemptOutcome::ConnectRefused | AttemptOutcome::NeverLeft
                    )
                {
                    return;
                }
                self.attempts.remove(&call);
                // What has run, judged here by the words of the specifications, not by the table under test.
                let proof = match outcome {
                    AttemptOutcome::ConnectRefused
                    | AttemptOutcome::NeverLeft
                    | AttemptOutcome::GoawayBelow => true,
                    AttemptOutcome::Reset { code, stage } => {
                        code == 7 && stage == ResponseStage::Nothing
                    }
                    AttemptOutcome::Status { .. } => trailers.never_ran.is_some(),
                    _ => false,
                };
                if !proof {
                    self.ran.insert(call);
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
                    .open
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

    fn run(seed: u64, turns: usize) -> World {
        let mut dispatcher =
            Dispatcher::new(config(seed), Time(0)).expect("settings that make sense");
        let mut world = World {
            rng: fastrand::Rng::with_seed(seed),
            ..World::default()
        };
        let list = (0..4)
            .map(|n| worker(format!("w{n}"), WorkerState::Ready))
            .collect();
        world.step(&mut dispatcher, worker_list(list));
        (0..turns).for_each(|_| world.turn(&mut dispatcher));
        // The end: every client's time passes.
        for _ in 0..400 {
            let to = world.now + 10_000;
            world.pass(&mut dispatcher, to);
            world.step(&mut dispatcher, Input::Tick);
        }
        let unanswered: Vec<_> = world
            .open
            .keys()
            .filter(|c| !world.answered.contains_key(c))
            .collect();
        assert!(unanswered.is_empty(), "seed {seed}: {unanswered:?}");
        assert_eq!(dispatcher.counters().guard_rejections, 0, "seed {seed}");
        world
    }
}

#[test]
fn the_rules_hold_in_random_histories() {
    let mut served = 0;
    for seed in 0..60 {
        let world = World::run(seed, 400);
        served += world
            .answered
            .values()
            .filter(|a| **a == Answer::Served)
            .count();
    }
    assert!(
        served > 1000,
        "the histories are of calls that get somewhere: {served}"
    );
}

#[test]
fn a_record_plays_again_to_the_same_bytes_twice_and_alone() {
    let lines =
        |steps: &[RecordedStep]| steps.iter().map(RecordedStep::to_line).collect::<Vec<_>>();
    let recorded = lines(&World::run(7, 600).steps);
    let read = || {
        recorded
            .iter()
            .map(|l| RecordedStep::parse(l).expect("a recorded step"))
    };
    let mut first = Dispatcher::new(config(7), Time(0)).expect("settings that make sense");
    let once: Vec<RecordedStep> = replay(&mut first, read()).collect();
    assert_eq!(lines(&once), recorded);
    // Beside another front end in the same process, step by step, as alone.
    let (mut dispatcher, mut neighbor) = (
        Dispatcher::new(config(7), Time(0)).expect("good"),
        Dispatcher::new(config(8), Time(0)).expect("good"),
    );
    let other = World::run(8, 600).steps;
    let mut beside = Vec::new();
    for (index, step) in read().enumerate() {
        beside.extend(replay(&mut dispatcher, std::iter::once(step)));
        if let Some(other_step) = other.get(index) {
            replay(&mut neighbor, std::iter::once(other_step.clone())).for_each(drop);
        }
    }
    assert_eq!(lines(&beside), recorded);
}
