//! The dispatcher of a front end: translates protocol events for the router, and the router's actions into commands.
//!
//! [`Dispatcher::step`] takes one [`Input`] with the current time and appends the resulting [`Command`]s, which the
//! caller executes in order. The dispatcher has no clock, sockets or threads, so a gateway, a simulator and the replay
//! of a recorded run execute the same code.
//!
//! - [`config`]: the configuration of a dispatcher.
//! - [`message`]: its inputs and commands.
//! - [`request_table`]: open calls, attempts, control requests, timers and guards.
//! - [`outcome`]: how attempts end, and whether an attempt may have run.
//! - [`counters`]: counters of calls, attempts and control requests.
//! - [`class_counters`]: final answers by class, for comparing front ends.
//! - [`load_failures`]: workers whose loads leave no instance, and when to report them to the operator.
//! - [`input_queue`]: queues the inputs of a driver, so that they are handled one at a time.
//! - [`invariants`]: run-time checks that are independent of the guards.
//! - [`names`]: names and their numeric ids in the router.
//! - [`pending_lookups`]: calls that wait until the settings of their function are known.
//! - [`record`]: recorded steps as JSON lines, and their replay.
//!
//! A call whose function is not loaded anywhere makes the dispatcher load it at the only worker:
//!
//! ```
//! use tansy_dispatch::{Call, CallId, Command, DispatchConfig, Dispatcher, FunctionSpec, Input, WorkerRecord, WorkerState};
//! use tansyrouter::{Class, Effect, Settings, Time, SECOND};
//!
//! let class = Class {
//!     latency_objective: SECOND,
//!     objective_per_work: 0.0,
//!     deadline: 5 * SECOND,
//!     effect: Effect::Safe,
//!     priority_weight: 1.0,
//!     late_weight: 0.0,
//!     streamed: false,
//! };
//! let function = FunctionSpec {
//!     name: "resize".into(),
//!     class: 0,
//!     lanes: 2,
//!     memory_mb: 100.0,
//!     load_time: None,
//!     versions: vec!["1".into()],
//! };
//! let config = DispatchConfig {
//!     settings: Settings { classes: vec![class], ..Settings::default() },
//!     classes: vec!["interactive".into()],
//!     tenants: vec![],
//!     zones: vec!["z".into()],
//!     functions: vec![function],
//!     max_call_time: 60 * SECOND,
//!     seed: 1,
//! };
//! let mut dispatcher = Dispatcher::new(config, Time(0))?;
//!
//! let worker = WorkerRecord {
//!     name: "w1".into(),
//!     kind: 0,
//!     cell: 0,
//!     zone: 0,
//!     state: WorkerState::Ready,
//!     age: None,
//!     relative_size: 1.0,
//! };
//! let call = Call {
//!     id: CallId(1),
//!     function: "resize".into(),
//!     class: None,
//!     tenant: 0,
//!     budget: None,
//!     work_hint: None,
//!     repeat: false,
//!     shape: None,
//!     unknown_names: false,
//!     waited: 0,
//! };
//! let mut commands = Vec::new();
//! let list = Input::Workers { full: true, workers: vec![worker] };
//! dispatcher.step(Time(0), list, &mut commands);
//! dispatcher.step(Time(1), Input::Call(call), &mut commands);
//! assert!(matches!(&commands[..], [Command::Load { worker, .. }] if worker == "w1"));
//! # Ok::<(), tansy_dispatch::ConfigError>(())
//! ```

pub mod class_counters;
pub mod config;
pub mod counters;
pub mod input_queue;
pub mod invariants;
pub mod load_failures;
pub mod message;
pub mod names;
pub mod outcome;
pub mod pending_lookups;
pub mod record;
pub mod request_table;
mod worker_state_number;

pub use class_counters::{ClassCounterTable, ClassCounters};
pub use config::{ConfigError, ConflictingScopes, DispatchConfig, EffectiveConfig, FunctionSpec};
pub use counters::Counters;
pub use input_queue::InputQueue;
pub use invariants::{InvariantChecker, Violation};
pub use message::{
    Answer, Call, CallId, Command, ControlRequestId, FailureReason, FunctionLookup, FunctionShape,
    Input, WorkerRecord,
};
pub use outcome::{AttemptOutcome, CacheStatus, LoadReport, NeverRan, ResponseStage, Trailers};
pub use request_table::guards::DenialReason;
pub use request_table::Dispatcher;
pub use tansyrouter::WorkerState;
