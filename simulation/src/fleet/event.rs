//! The events of a run, and the queue that orders them.

use crate::fault::Time;
use crate::message_size::message_size;
use crate::scale::ScaleEvent;
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use tansy_agreement::log::Revision;
use tansy_fleet_node::{Leader, MessageBody};
use tansy_membership::NodeId;

/// A message under way.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    pub(crate) sender: NodeId,
    /// The leader that the sender knows.
    pub(crate) leader: Leader,
    pub(crate) body: MessageBody,
}

impl Message {
    /// The bytes that it takes on the wire.
    pub(crate) fn size(&self) -> u64 {
        message_size(&self.sender, self.leader, &self.body) as u64
    }
}

/// Something that happens in a run. Processes by their index.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A message arrives.
    Message { to: usize, message: Box<Message> },
    /// A deadline of a process is due, at this local time.
    Timer {
        process: usize,
        incarnation: u64,
        deadline: Time,
    },
    /// A process starts.
    Start { process: usize },
    /// A process ends without notice.
    Stop { process: usize },
    /// A process notifies the others, and ends.
    Leave { process: usize },
    /// A process stands still.
    Pause { process: usize },
    /// A process goes on.
    Resume { process: usize },
    /// An operator proposes a version.
    Propose,
    /// An operator has a voter replaced.
    ReplaceVoter,
    /// An operator abandons the change under way.
    Abandon,
    /// A front end gets a request; with `expire` it is as if its last request of this scope were long ago.
    Request { process: usize, expire: bool },
    /// An operator changes scopes; with `again` as an earlier request did.
    ChangeScopes { repeat_of: Option<u64> },
    /// A planted defect brings a change in force early.
    AdvanceScope { scope: String, since: Revision },
    /// A record that a process wrote is on its disk.
    Persisted { process: usize, incarnation: u64 },
    /// An event of a measurement at scale.
    Scale(ScaleEvent),
}

/// An event at its time; of two at one time the one that was scheduled first comes first.
struct Scheduled {
    at: Time,
    number: u64,
    event: Event,
}

impl Ord for Scheduled {
    /// The first to come is the largest.
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

/// The events to come.
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

    /// The next event and its time.
    pub(super) fn pop(&mut self) -> Option<(Time, Event)> {
        let next = self.heap.pop()?;
        Some((next.at, next.event))
    }
}
