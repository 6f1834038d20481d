//! Reads batches of messages until the input ends and answers each when it is complete.

use crate::error::{LineError, SessionError};
use crate::front_end::FrontEndTable;
use crate::wire::Message;
use std::io::{BufRead, Write};
use tansy_conf::micros;
use tansyrouter::Time;

/// Runs a session to the end of its input.
pub fn run(input: &mut dyn BufRead, output: &mut dyn Write) -> Result<(), SessionError> {
    let mut session = Session::default();
    let mut line = String::new();
    let mut number = 0u64;
    loop {
        number += 1;
        line.clear();
        match session.on_next_line(input, &mut line, output) {
            Ok(ReadResult::Line) => {}
            Ok(ReadResult::EndOfInput) => return session.end(number),
            Err(source) => return Err(SessionError::Line { number, source }),
        }
    }
}

/// The result of reading one line.
enum ReadResult {
    Line,
    EndOfInput,
}

#[derive(Default)]
struct Session {
    front_ends: FrontEndTable,
    /// The sequence number of the open batch, if there is one.
    batch: Option<u64>,
}

impl Session {
    fn on_next_line(
        &mut self,
        input: &mut dyn BufRead,
        line: &mut String,
        output: &mut dyn Write,
    ) -> Result<ReadResult, LineError> {
        if input.read_line(line).map_err(LineError::Read)? == 0 {
            return Ok(ReadResult::EndOfInput);
        }
        let message = serde_json::from_str(line.trim_end()).map_err(LineError::Malformed)?;
        self.on_message(message, output)?;
        Ok(ReadResult::Line)
    }

    fn on_message(&mut self, message: Message, output: &mut dyn Write) -> Result<(), LineError> {
        match message {
            Message::Clock(clock) => {
                if self.batch.is_some() {
                    return Err(LineError::ClockInsideBatch);
                }
                self.batch = Some(clock.sequence);
                self.front_ends.set_clock(Time(micros(clock.moment_s)));
                Ok(())
            }
            Message::Commit {} => {
                let sequence = self.batch.take().ok_or(LineError::CommitOutsideBatch)?;
                let written = self.front_ends.write_commands(sequence, output);
                written.map_err(LineError::Write)
            }
            _ if self.batch.is_none() => Err(LineError::EventOutsideBatch),
            event => self.front_ends.on_message(event),
        }
    }

    /// Checks that no batch is open at the end of the input.
    fn end(&self, number: u64) -> Result<(), SessionError> {
        match self.batch {
            None => Ok(()),
            Some(sequence) => Err(SessionError::UnfinishedBatch { number, sequence }),
        }
    }
}
