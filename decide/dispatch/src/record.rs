//! Inputs and commands as lines of JSON, so that a run can be replayed with the same decisions.

use crate::message::{Command, Input};
use crate::request_table::Dispatcher;
use serde::{Deserialize, Serialize};
use tansyrouter::Time;
use thiserror::Error;

/// One step as it is recorded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordedStep {
    /// The dispatcher's clock, microseconds.
    pub at: i64,
    /// Its input.
    pub input: Input,
    /// The commands it gave.
    pub commands: Vec<Command>,
}

/// A line that is no recorded step.
#[derive(Debug, Error)]
#[error("not a recorded step: {0}")]
pub struct RecordError(#[from] serde_json::Error);

impl RecordedStep {
    /// The step as one line, without its end.
    pub fn to_line(&self) -> String {
        // The types hold nothing that JSON can't spell but floats that are no numbers, which become null.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Reads a line.
    pub fn parse(line: &str) -> Result<RecordedStep, RecordError> {
        Ok(serde_json::from_str(line)?)
    }
}

/// Replays recorded steps on a fresh dispatcher; gives each step with the commands that it brings now.
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
