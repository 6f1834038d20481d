//! The interface for looking up functions that the settings in force do not name.

use std::rc::Rc;
use tansy_dispatch::FunctionShape;

/// The result of looking up a function that the settings in force do not name.
#[derive(Clone, Debug, PartialEq)]
pub enum DirectoryEntry {
    /// Calls of the function are accepted.
    Known {
        /// The name of the function's class.
        class: Rc<str>,
        /// The lanes, memory and load time of the function.
        shape: FunctionShape,
    },
    /// Calls of the function are refused, because the front ends may not agree on its settings.
    Refused,
    /// The function does not exist.
    Unknown,
    /// The function's settings were requested. Its calls wait until
    /// [`Driver::resolve_pending`](crate::Driver::resolve_pending) resolves them or their time budget ends.
    Pending,
}

/// Looks up functions that the settings in force do not name. The driver queries it when a call of such a function arrives
/// and when a waiting call is resumed; the directory reads its own clock.
pub trait FunctionDirectory {
    /// Looks up a function as of now.
    fn lookup(&self, function: &str) -> DirectoryEntry;
}
