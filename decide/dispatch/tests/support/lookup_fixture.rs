//! A dispatcher whose calls wait for the lookup of their function.

use super::{class, worker, worker_list};
use tansy_dispatch::{
    Answer, Call, Command, ConflictingScopes, DispatchConfig, Dispatcher, EffectiveConfig,
    FunctionLookup, FunctionShape, Input, WorkerState,
};
use tansyrouter::{Effect, Micros, Settings, Time, SECOND};

/// A call with a budget.
pub fn call(id: u64, function: &str, budget: Option<Micros>) -> Call {
    Call {
        budget,
        ..super::call(id, function)
    }
}

/// A dispatcher and its current time.
pub struct Fixture {
    pub dispatcher: Dispatcher,
    pub now: i64,
}

/// The retry advice while settings conflict.
pub const RETRY_AFTER: Micros = SECOND / 2;

/// A dispatcher with one worker and two classes, whose settings name no function.
pub fn fixture() -> Fixture {
    let config = DispatchConfig {
        settings: Settings {
            classes: vec![
                class(Effect::Safe, SECOND / 10, 3 * SECOND),
                class(Effect::Unsafe, SECOND / 10, SECOND),
            ],
            max_retry_after: SECOND,
            may_load: false,
            ..Settings::default()
        },
        classes: vec!["safe".into(), "unsafe".into()],
        tenants: vec![],
        zones: vec!["z".into()],
        functions: vec![],
        max_call_time: 60 * SECOND,
        seed: 1,
    };
    let mut fixture = Fixture {
        dispatcher: Dispatcher::new(config.clone(), Time(0)).expect("valid settings"),
        now: 0,
    };
    let conflicting = ConflictingScopes {
        retry_after: RETRY_AFTER,
        ..ConflictingScopes::default()
    };
    fixture
        .dispatcher
        .apply_settings(
            Time(0),
            EffectiveConfig {
                config,
                conflicting,
            },
            vec![],
        )
        .expect("valid settings");
    fixture.step_after(0, worker_list(vec![worker("w", WorkerState::Ready)]));
    fixture
}

impl Fixture {
    /// Advances the time and passes an input to the dispatcher.
    pub fn step_after(&mut self, after: Micros, input: Input) -> Vec<Command> {
        self.now += after;
        let mut commands = Vec::new();
        self.dispatcher.step(Time(self.now), input, &mut commands);
        assert!(
            self.dispatcher
                .counters()
                .balances(self.dispatcher.open_calls() as u64),
            "{}",
            self.dispatcher.counters()
        );
        commands
    }
    /// Passes a call whose lookup is pending.
    pub fn call_pending(&mut self, id: u64, budget: Option<Micros>) -> Vec<Command> {
        self.step_after(
            0,
            Input::CallLookedUp {
                call: call(id, "f", budget),
                lookup: FunctionLookup::Pending,
            },
        )
    }
    /// Advances the time and passes the result of the lookup.
    pub fn resolve(&mut self, after: Micros, lookup: FunctionLookup) -> Vec<Command> {
        self.step_after(
            after,
            Input::FunctionResolved {
                function: "f".into(),
                lookup,
            },
        )
    }
}

/// The lookup of a function of this class that exists.
pub fn known(class: usize) -> FunctionLookup {
    FunctionLookup::Known {
        class,
        shape: FunctionShape {
            lanes: 4,
            memory_mb: 100.0,
            load_time: None,
        },
    }
}

/// The budgets of the attempts sent, and the answers.
pub fn budgets_and_answers(commands: &[Command]) -> (Vec<Micros>, Vec<Answer>) {
    let budgets = commands.iter().filter_map(|command| match command {
        Command::SendAttempt { budget, .. } => Some(*budget),
        _ => None,
    });
    let answers = commands.iter().filter_map(|command| match command {
        Command::Answer { answer, .. } => Some(*answer),
        _ => None,
    });
    (budgets.collect(), answers.collect())
}

/// A refusal with [`RETRY_AFTER`].
pub const REFUSED: Answer = Answer::Refused {
    retry_after: RETRY_AFTER,
};
