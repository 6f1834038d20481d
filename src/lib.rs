#![forbid(unsafe_code)]
//! Decides where a router sends calls of functions that are loaded on demand.
//!
//! It is for front ends that share a fleet of workers without talking to each other: each decides by itself
//! which worker serves a call, where an instance is loaded, which calls wait, and which are refused. A front end
//! makes one [`Router`], hands it each [`Event`] with the time, and carries out the [`Action`]s that come back in
//! the order given. The same settings, seed and events give the same actions.
//!
//! It is not for carrying calls: there is no clock, no socket and no thread in it, and it never sees the bytes of
//! a call. It is not for calls that any worker can serve at once, and it agrees on nothing with other front ends.
//!
//! ```
//! use tansyrouter::{Action, Arrival, Event, FunctionId, ListKind, RequestId, Router, Settings, Time};
//! use tansyrouter::{WorkerEntry, WorkerId, WorkerState};
//!
//! let mut actions = Vec::new();
//! let now = Time(0);
//! let mut router = Router::new(Settings::default(), 7, now).expect("settings make sense");
//! let entry = WorkerEntry { worker: WorkerId(1), kind: 0, cell: 0, zone: 0, state: WorkerState::Ready,
//!     started: None, relative_size: 1.0 };
//! router.handle(now, Event::Workers { kind: ListKind::Full, entries: vec![entry] }, &mut actions);
//! router.handle(now, Event::Arrival(Arrival { request: RequestId(1), function: FunctionId(9), class: 0,
//!     tenant: 0, budget: 5_000_000, work_hint: None, lanes: 1, memory_mb: 300.0, load_time: None,
//!     is_client_retry: false }), &mut actions);
//! // No instance is known yet: the router asks for a load, and the call waits meanwhile.
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
pub use router::Router;
pub use settings::{
    Class, DedupGroup, Effect, InvalidSettings, LoadBudget, MissPolicy, Reports, Settings, Tenant,
};
pub use time::{Micros, Time, SECOND};
pub use worker::{ListKind, LoadReport, WorkerEntry, WorkerState};
