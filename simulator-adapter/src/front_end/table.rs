//! The front ends of a session, and their actions until the end of the batch.

use super::FrontEnd;
use crate::command::command;
use crate::error::LineError;
use crate::event;
use crate::wire::{Command, Message, StartFrontEnd, WorkerList};
use std::collections::BTreeMap;
use std::io::{self, Write};
use tansyrouter::{Action, Event, Time};

/// An action requested by the router of a front end.
struct PendingAction {
    front_end: u64,
    action: Action,
}

/// The front ends, by number.
#[derive(Default)]
pub struct FrontEndTable {
    now: Time,
    front_ends: BTreeMap<u64, FrontEnd>,
    pending: Vec<PendingAction>,
    /// Front ends that received a worker list in this batch.
    with_new_list: Vec<u64>,
    /// Buffer for the actions of one event.
    actions: Vec<Action>,
}

impl FrontEndTable {
    /// Sets the time of the following events.
    pub fn set_clock(&mut self, now: Time) {
        self.now = now;
    }

    /// Passes a message to its front end. Messages that delimit batches, and those between front ends, are ignored.
    pub fn on_message(&mut self, message: Message) -> Result<(), LineError> {
        match message {
            Message::Clock(_) | Message::Commit {} | Message::FromPeer {} => Ok(()),
            Message::StartFrontEnd(start) => self.start(start),
            Message::StopFrontEnd(stop) => {
                self.stop(stop.front_end);
                Ok(())
            }
            Message::WorkerList(list) => self.on_worker_list(list),
            Message::Arrival(arrival) => self.on_event(arrival.front_end, |front_end| {
                event::arrival(front_end, arrival)
            }),
            Message::Timer(timer) => {
                self.on_event(timer.front_end, |_| Ok(event::timer_due(&timer)))
            }
            Message::StreamStarted(stream) => {
                self.on_event(stream.front_end, |_| Ok(event::stream_started(&stream)))
            }
            Message::AttemptEnded(attempt) => self.on_event(attempt.front_end, |front_end| {
                Ok(event::attempt_ended(front_end, attempt))
            }),
            Message::ClientLeft(left) => {
                self.on_event(left.front_end, |_| Ok(event::client_left(left.request)))
            }
            Message::ProbeEnded(probe) => self.on_event(probe.front_end, |front_end| {
                Ok(event::probe_ended(front_end, probe))
            }),
            Message::LoadEnded(load) => self.on_event(load.front_end, |front_end| {
                event::load_ended(front_end, &load)
            }),
        }
    }

    fn start(&mut self, message: StartFrontEnd) -> Result<(), LineError> {
        let number = message.front_end;
        let front_end = FrontEnd::start(message, self.now)?;
        self.front_ends.insert(number, front_end);
        Ok(())
    }

    fn stop(&mut self, number: u64) {
        self.front_ends.remove(&number);
        self.pending.retain(|pending| pending.front_end != number);
    }

    fn on_worker_list(&mut self, list: WorkerList) -> Result<(), LineError> {
        let kind = event::list_kind(list.mode)?;
        self.with_new_list.push(list.front_end);
        self.on_event(list.front_end, |front_end| {
            event::worker_list(front_end, kind, list.entries)
        })
    }

    /// Passes an event to the router of a front end and keeps the resulting actions.
    fn on_event(
        &mut self,
        number: u64,
        event: impl FnOnce(&mut FrontEnd) -> Result<Event, LineError>,
    ) -> Result<(), LineError> {
        let front_end = self
            .front_ends
            .get_mut(&number)
            .ok_or(LineError::UnknownFrontEnd { front_end: number })?;
        let event = event(front_end)?;
        front_end.router.handle(self.now, event, &mut self.actions);
        let actions = self.actions.drain(..);
        self.pending.extend(actions.map(|action| PendingAction {
            front_end: number,
            action,
        }));
        Ok(())
    }

    /// Writes the commands of a batch and its acknowledgement.
    pub fn write_commands(&mut self, sequence: u64, output: &mut dyn Write) -> io::Result<()> {
        for pending in self.pending.drain(..) {
            let number = pending.front_end;
            if let Some(front_end) = self.front_ends.get(&number) {
                write_line(output, &command(number, front_end, pending.action))?;
            }
        }
        for number in std::mem::take(&mut self.with_new_list) {
            if let Some(front_end) = self.front_ends.get_mut(&number) {
                front_end.workers.remove_departed();
            }
        }
        write_line(output, &Command::Acknowledge { sequence })?;
        output.flush()
    }
}

fn write_line(output: &mut dyn Write, command: &Command<'_>) -> io::Result<()> {
    serde_json::to_writer(&mut *output, command)?;
    output.write_all(b"\n")
}
