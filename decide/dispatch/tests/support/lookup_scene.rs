//! A dispatcher whose calls wait for the settings of their function.

use super::{class, worker, worker_list};
use tansy_dispatch::{
    Answer, Call, Command, ConflictingScopes, DispatchConfig, Dispatcher, EffectiveConfig,
    FunctionLookup, FunctionShape, Input, WorkerState,
};
use tansyrouter::{Effect, Micros, Settings, Time, SECOND};

/// A call of a time of its own.
pub fn call(id: u64, function: &str, budget: Option<Micros>) -> Call {
    Call {
        budget,
        ..super::call(id, function)
    }
}

/// A dispatcher and its clock.
pub struct Scene {
    pub dispatcher: Dispatcher,
    pub now: i64,
}

/// The advice while settings are in conflict.
pub const ABOUT: Micros = SECOND / 2;

/// A front end with one worker, two classes and one function of the settings.
pub fn scene() -> Scene {
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
    let mut scene = Scene {
        dispatcher: Dispatcher::new(config.clone(), Time(0)).expect("good settings"),
        now: 0,
    };
    let conflicting = ConflictingScopes {
        retry_after: ABOUT,
        ..ConflictingScopes::default()
    };
    scene
        .dispatcher
        .apply_settings(
            Time(0),
            EffectiveConfig {
                config,
                conflicting,
            },
            vec![],
        )
        .expect("good settings");
    scene.give(0, worker_list(vec![worker("w", WorkerState::Ready)]));
    scene
}

impl Scene {
    /// Gives the dispatcher an input after so long.
    pub fn give(&mut self, after: Micros, input: Input) -> Vec<Command> {
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
    /// A call comes whose function is not known yet.
    pub fn call_pending(&mut self, id: u64, budget: Option<Micros>) -> Vec<Command> {
        self.give(
            0,
            Input::CallLookedUp {
                call: call(id, "f", budget),
                lookup: FunctionLookup::Pending,
            },
        )
    }
    /// The lookup of the function has this result after so long.
    pub fn resolve(&mut self, after: Micros, lookup: FunctionLookup) -> Vec<Command> {
        self.give(
            after,
            Input::FunctionResolved {
                function: "f".into(),
                lookup,
            },
        )
    }
}

/// A function that is known, of this class.
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

/// Budgets of attempts and answers.
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

/// A refusal with that advice.
pub const REFUSED: Answer = Answer::Refused { retry_after: ABOUT };
