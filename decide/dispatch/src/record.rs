//! Inputs and commands as lines of JSON, so that a day can be played again with the same decisions.

use crate::message::{Command, Input};
use crate::request_table::Dispatcher;
use serde::{Deserialize, Serialize};
use tansyrouter::Time;

/// One step as it is recorded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordedStep {
    /// The dispatcher's clock, microseconds.
    pub at: i64,
    /// What it was told.
    pub input: Input,
    /// What it wanted done.
    pub commands: Vec<Command>,
}

impl RecordedStep {
    /// The step as one line, without its end.
    pub fn to_line(&self) -> String {
        // The types hold nothing that JSON can't spell but floats that are no numbers, which become null.
        serde_json::to_string(self).unwrap_or_default()
    }
    /// Reads a line.
    pub fn parse(line: &str) -> Result<RecordedStep, String> {
        serde_json::from_str(line).map_err(|e| format!("not a recorded step: {e}"))
    }
}

/// Plays recorded steps on a fresh dispatcher; gives each step with the commands that it brings now.
pub fn replay<'a>(
    dispatcher: &'a mut Dispatcher,
    steps: impl Iterator<Item = RecordedStep> + 'a,
) -> impl Iterator<Item = RecordedStep> + 'a {
    steps.map(|s| {
        let mut commands = Vec::new();
        dispatcher.step(Time(s.at), s.input.clone(), &mut commands);
        RecordedStep {
            at: s.at,
            input: s.input,
            commands,
        }
    })
}
