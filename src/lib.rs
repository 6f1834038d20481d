#![forbid(unsafe_code)]
//! Routing decisions for calls of functions that workers load on demand.
//!
//! Front ends share a fleet of workers without communicating with each other. Each decides on its own which worker
//! serves a call, where an instance is loaded, and which calls are queued or refused. A front end creates one
//! [`Router`], passes it each [`Event`] with the current time, and carries out the resulting [`Action`]s in the order
//! given. The router is deterministic: the same settings, seed and events give the same actions.
//!
//! The router does no I/O: it has no clock, sockets or threads, and never sees the contents of calls. It is of no use
//! for calls that every worker can serve at once, and it does not coordinate front ends.
//!
//! ```
//! use tansyrouter::{Action, Arrival, Event, FunctionId, ListKind, RequestId, Router, Settings, Time};
//! use tansyrouter::{WorkerEntry, WorkerId, WorkerState};
//!
//! let mut actions = Vec::new();
//! let now = Time(0);
//! let mut router = Router::new(Settings::default(), 7, now).expect("valid settings");
//! let entry = WorkerEntry { worker: WorkerId(1), kind: 0, cell: 0, zone: 0, state: WorkerState::Ready,
//!     started: None, relative_size: 1.0 };
//! router.handle(now, Event::Workers { kind: ListKind::Full, entries: vec![entry] }, &mut actions);
//! router.handle(now, Event::Arrival(Arrival { request: RequestId(1), function: FunctionId(9), class: 0,
//!     tenant: 0, budget: 5_000_000, work_hint: None, lanes: 1, memory_mb: 300.0, load_time: None,
//!     is_client_retry: false }), &mut actions);
//! // No instance is loaded yet: the router requests a load and queues the call.
//! assert!(actions.iter().any(|action| matches!(action, Action::Load { worker: WorkerId(1), .. })));
//! ```

mod action;
mod event;
mod id;
mod router;
mod settings;
mod time;
mod worker;

pub use action::Action;
pub use event::{Arrival, AttemptResult, Event, InstanceStatus, Outcome};
pub use id::{FunctionId, RequestId, WorkerId};
pub use router::{FunctionTableSizes, Router};
pub use settings::{
    Class, DedupGroup, Effect, InvalidSettings, LoadBudget, MissPolicy, Reports, Settings, Tenant,
};
pub use time::{Micros, Time, SECOND};
pub use worker::{ListKind, LoadReport, WorkerEntry, WorkerState};
