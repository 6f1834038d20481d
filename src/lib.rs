#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! Decides where a router sends calls of functions that are loaded on demand.
//!
//! The library holds no clock, no sockets and no threads. A front end makes one [`Router`], hands it each
//! [`Event`] with the time, and carries out the [`Action`]s that come back.
//!
//! ```
//! use tansyrouter::{Action, Arrival, Event, FunctionId, ListKind, RequestId, Router, Settings, Time};
//! use tansyrouter::{WorkerEntry, WorkerId, WorkerState};
//!
//! let mut todo = Vec::new();
//! let now = Time(0);
//! let mut router = Router::new(Settings::default(), 7, now).expect("settings make sense");
//! let entry = WorkerEntry { worker: WorkerId(1), kind: 0, cell: 0, zone: 0, state: WorkerState::Ready,
//!     started: None, share: 1.0 };
//! router.handle(now, Event::Workers { kind: ListKind::Full, entries: vec![entry] }, &mut todo);
//! router.handle(now, Event::Arrival(Arrival { request: RequestId(1), function: FunctionId(9), class: 0,
//!     tenant: 0, budget: 5_000_000, work_hint: None, lanes: 1, memory_mb: 300.0, load_time: None,
//!     repeat: false }), &mut todo);
//! // No instance is known yet: the router orders one and holds the call meanwhile.
//! assert!(todo.iter().any(|a| matches!(a, Action::Load { worker: WorkerId(1), .. })));
//! ```

mod action;
mod event;
mod id;
mod router;
mod settings;
mod time;
mod worker;

pub use action::Action;
pub use event::{Arrival, AttemptDone, Event, Note, Outcome};
pub use id::{FunctionId, RequestId, WorkerId};
pub use router::Router;
pub use settings::{
    BadSettings, Class, Effect, Group, Ration, Reports, Settings, Tenant, WhenAbsent,
};
pub use time::{Span, Time, SECOND};
pub use worker::{ListKind, LoadReport, WorkerEntry, WorkerState};
