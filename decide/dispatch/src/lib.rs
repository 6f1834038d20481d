//! The ledger of calls: between what the protocols show and what the decision module decides.
//!
//! [`Front::step`] takes one [`Input`] with the time and adds [`Command`]s, to be carried out in order. It holds no
//! clock, no sockets and no threads, so the gateway, a replay of a recorded day and an emulator run the same code.
//!
//! - [`config`]: what a front is made of. [`message`]: what it is told, and what it wants done.
//! - [`ledger`]: the open calls and their attempts, the timers, the guards of the rules; a room for each concern.
//! - [`outcome`]: what a socket showed, and whether the attempt can have run.
//! - [`account`]: what was taken, answered and sent; it must balance.
//! - [`count`]: final answers by class, for whoever compares front ends.
//! - [`lacking`]: workers whose orders leave nothing, and when the operator is told.
//! - [`invariants`]: the rules checked again at run time, by what really left and came.
//! - [`ids`]: names to the module's numbers.
//! - [`parked`]: calls that wait until their function's settings are known.
//! - [`record`]: inputs and commands as lines, and their replay.

pub mod account;
pub mod config;
pub mod count;
pub mod ids;
pub mod invariants;
pub mod lacking;
pub mod ledger;
pub mod message;
pub mod outcome;
pub mod parked;
pub mod record;

pub use account::Account;
pub use config::{BadConfig, Config, Contested, FunctionSpec, Terms};
pub use count::{Counted, Counts};
pub use invariants::{Invariants, Violation};
pub use ledger::guards::Denied;
pub use ledger::Front;
pub use message::{Answer, Call, CallId, Command, Found, Input, Listed, OrderId, Shape, Why};
pub use outcome::{NeverRan, Note, Report, Seen, Stage, Told};
