//! A queue of inputs, which keeps a driver from re-entering the dispatcher.

use crate::message::Input;
use std::collections::VecDeque;

/// Queues inputs for the dispatcher. An input that arises while the commands of an earlier one are executed waits until
/// they are done, so a driver may push from any callback.
///
/// ```
/// use tansy_dispatch::{Input, InputQueue};
///
/// let mut queue = InputQueue::default();
/// assert!(queue.push(Input::Tick), "the queue was idle: this caller takes the inputs");
/// assert!(!queue.push(Input::Tick), "the first caller takes this input as well");
/// while queue.take().is_some() {}
/// assert!(queue.push(Input::Tick), "the queue is idle again");
/// ```
#[derive(Debug, Default)]
pub struct InputQueue {
    inputs: VecDeque<Input>,
    has_consumer: bool,
}

impl InputQueue {
    /// Appends an input. If this returns true, the caller must [`take`](Self::take) inputs until none is left; otherwise a
    /// caller further up the stack does.
    pub fn push(&mut self, input: Input) -> bool {
        self.inputs.push_back(input);
        !std::mem::replace(&mut self.has_consumer, true)
    }

    /// Takes the next input. After `None`, the next caller of [`push`](Self::push) takes inputs again.
    pub fn take(&mut self) -> Option<Input> {
        let input = self.inputs.pop_front();
        self.has_consumer = input.is_some();
        input
    }
}
