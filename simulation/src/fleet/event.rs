//! The events of a run, and the queue that orders them.

use crate::fault::Time;
use crate::message_size::message_size;
use crate::scale::ScaleEvent;
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use tansy_agreement::log::Revision;
use tansy_fleet_node::{Leader, MessageBody};
use tansy_membership::NodeId;

/// A message in transit.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    pub(crate) sender: NodeId,
    /// The leader known to the sender.
    pub(crate) leader: Leader,
    pub(crate) body: MessageBody,
}

impl Message {
    /// The encoded size in bytes.
    pub(crate) fn size(&self) -> u64 {
        message_size(&self.sender, self.leader, &self.body) as u64
    }
}

/// An event of a run. Processes are identified by their index.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A message arrives at a process.
    Message { to: usize, message: Box<Message> },
    /// A deadline of a process, in its local time, is due.
    Timer {
        process: usize,
        incarnation: u64,
        deadline: Time,
    },
    /// A process starts.
    Start { process: usize },
    /// A process crashes.
    Stop { process: usize },
    /// A process notifies the others and exits.
    Leave { process: usize },
    /// A process is suspended.
    Pause { process: usize },
    /// A suspended process resumes.
    Resume { process: usize },
    /// An operator proposes a version.
    Propose,
    /// An operator requests the replacement of a voter.
    ReplaceVoter,
    /// An operator abandons the pending version change.
    Abandon,
    /// A front end receives a request for a scope; `expire` backdates the request so that the subscription becomes idle.
    Request { process: usize, expire: bool },
    /// An operator changes scopes, or repeats the request with the id `repeat_of`.
    ChangeScopes { repeat_of: Option<u64> },
    /// An injected defect puts a change into force early.
    AdvanceScope { scope: String, since: Revision },
    /// A record written by a process has been persisted.
    Persisted { process: usize, incarnation: u64 },
    /// An event of a scenario at scale.
    Scale(ScaleEvent),
}

/// A scheduled event. Events at the same time are processed in the order in which they were scheduled.
struct Scheduled {
    at: Time,
    number: u64,
    event: Event,
}

impl Ord for Scheduled {
    /// Reversed, because `BinaryHeap` pops the largest element first.
    fn cmp(&self, other: &Scheduled) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Scheduled {}

/// The pending events, ordered by time.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Scheduled>,
    scheduled: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: Time, event: Event) {
        self.scheduled += 1;
        self.heap.push(Scheduled {
            at,
            number: self.scheduled,
            event,
        });
    }

    /// Removes the next event and returns it with its time.
    pub(super) fn pop(&mut self) -> Option<(Time, Event)> {
        let next = self.heap.pop()?;
        Some((next.at, next.event))
    }
}
