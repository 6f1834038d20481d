//! The dispatcher of a front end: it connects what the protocols observe with what the routing policy decides.
//!
//! [`Dispatcher::step`] takes one [`Input`] with the time and appends [`Command`]s, to be carried out in order. It has no
//! clock, no sockets and no threads, so the gateway, a replay of a recorded run and an emulator run the same code.
//!
//! - [`config`]: the configuration of a dispatcher. [`message`]: its inputs and commands.
//! - [`request_table`]: the open calls and their attempts, the timers, the guards of the rules.
//! - [`outcome`]: what a socket showed of an attempt, and whether the attempt can have run.
//! - [`counters`]: calls accepted, answered and sent; they must balance.
//! - [`class_counters`]: final answers by class, for the comparison of front ends.
//! - [`missing_functions`]: workers whose loads leave no instance, and when the operator is notified.
//! - [`invariants`]: the rules checked again at run time, against what really left and came.
//! - [`names`]: names and the router's numbers for them.
//! - [`pending_lookups`]: calls that wait until the settings of their function are known.
//! - [`record`]: inputs and commands as lines of JSON, and their replay.

pub mod class_counters;
pub mod config;
pub mod counters;
pub mod invariants;
pub mod message;
pub mod missing_functions;
pub mod names;
pub mod outcome;
pub mod pending_lookups;
pub mod record;
pub mod request_table;

pub use class_counters::{ClassCounterTable, ClassCounters};
pub use config::{ConfigError, ConflictingScopes, DispatchConfig, EffectiveConfig, FunctionSpec};
pub use counters::Counters;
pub use invariants::{InvariantChecker, Violation};
pub use message::{
    Answer, Call, CallId, Command, ControlRequestId, FailureReason, FunctionLookup, FunctionShape,
    Input, WorkerRecord,
};
pub use outcome::{AttemptOutcome, CacheStatus, LoadReport, NeverRan, ResponseStage, Trailers};
pub use request_table::guards::DenialReason;
pub use request_table::Dispatcher;
