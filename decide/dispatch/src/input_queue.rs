//! The order in which a driver gives inputs to the dispatcher.

use crate::message::Input;
use std::collections::VecDeque;

/// Inputs that wait for the dispatcher. One is taken at a time: an input that arises while the commands of another are executed
/// waits until these are done, so that a driver may push from wherever it is.
///
/// ```
/// use tansy_dispatch::{Input, InputQueue};
///
/// let mut queue = InputQueue::default();
/// assert!(queue.push(Input::Tick), "nobody takes inputs: the caller does");
/// assert!(!queue.push(Input::Tick), "the first caller takes this one too");
/// while queue.take().is_some() {}
/// assert!(queue.push(Input::Tick), "all were taken");
/// ```
#[derive(Debug, Default)]
pub struct InputQueue {
    inputs: VecDeque<Input>,
    is_being_taken: bool,
}

impl InputQueue {
    /// Appends an input. If it returns true, the caller has to [`take`](Self::take) inputs until there are none; otherwise a caller
    /// further up the stack does so.
    pub fn push(&mut self, input: Input) -> bool {
        self.inputs.push_back(input);
        !std::mem::replace(&mut self.is_being_taken, true)
    }

    /// The next input; none: all were taken, and whoever pushes next takes inputs again.
    pub fn take(&mut self) -> Option<Input> {
        let input = self.inputs.pop_front();
        self.is_being_taken = input.is_some();
        input
    }
}
