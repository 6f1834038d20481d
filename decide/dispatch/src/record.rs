//! Recorded steps as JSON lines, and their replay with the same decisions.

use crate::message::{Command, Input};
use crate::request_table::Dispatcher;
use serde::{Deserialize, Serialize};
use tansyrouter::Time;
use thiserror::Error;

/// One recorded step of a dispatcher.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordedStep {
    /// Time of the step on the clock of the dispatcher, microseconds.
    pub at: i64,
    /// The input.
    pub input: Input,
    /// The commands that it caused.
    pub commands: Vec<Command>,
}

/// A line that is not a recorded step.
#[derive(Debug, Error)]
#[error("not a recorded step: {0}")]
pub struct RecordError(#[from] serde_json::Error);

impl RecordedStep {
    /// The step as one JSON line, without the line break.
    pub fn to_line(&self) -> String {
        // Cannot fail: all keys are strings, and serde_json writes non-finite floats as null.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Parses a line.
    pub fn parse(line: &str) -> Result<RecordedStep, RecordError> {
        Ok(serde_json::from_str(line)?)
    }
}

/// Replays recorded steps on a new dispatcher. Yields each step with the commands that it causes now.
pub fn replay<'a>(
    dispatcher: &'a mut Dispatcher,
    steps: impl Iterator<Item = RecordedStep> + 'a,
) -> impl Iterator<Item = RecordedStep> + 'a {
    steps.map(|step| {
        let mut commands = Vec::new();
        dispatcher.step(Time(step.at), step.input.clone(), &mut commands);
        RecordedStep { commands, ..step }
    })
}
