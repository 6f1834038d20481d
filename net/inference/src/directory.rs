//! Functions that the settings in force do not name.

use std::rc::Rc;
use tansy_dispatch::FunctionShape;

/// What is known of a function that the settings in force do not name.
#[derive(Clone, Debug, PartialEq)]
pub enum DirectoryEntry {
    /// Its calls are accepted.
    Known {
        /// Its class, by name.
        class: Rc<str>,
        /// Its shape.
        shape: FunctionShape,
    },
    /// Its calls are refused: front ends can't be sure that they agree on it.
    Refused,
    /// There is no such function.
    Unknown,
    /// It was asked for: its calls wait, until [`Driver::resolve_pending`](crate::Driver::resolve_pending) finds more or
    /// their time is up.
    Pending,
}

/// Knows functions that the settings in force do not name. It is asked for each call of one, at the moment when that call
/// comes or goes on, and by its own clock.
pub trait FunctionDirectory {
    /// What is known of this function now.
    fn lookup(&self, function: &str) -> DirectoryEntry;
}
