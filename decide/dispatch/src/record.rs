//! Inputs and commands as lines of JSON, so that a day can be played again with the same decisions.

use crate::ledger::Front;
use crate::message::{Command, Input};
use serde::{Deserialize, Serialize};
use tansyrouter::Time;

/// One step as it is recorded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The front's clock, microseconds.
    pub at: i64,
    /// What it was told.
    pub input: Input,
    /// What it wanted done.
    pub commands: Vec<Command>,
}

impl Step {
    /// The step as one line, without its end.
    pub fn line(&self) -> String {
        // The types hold nothing that JSON can't spell but floats that are no numbers, which become null.
        serde_json::to_string(self).unwrap_or_default()
    }
    /// Reads a line.
    pub fn read(line: &str) -> Result<Step, String> {
        serde_json::from_str(line).map_err(|e| format!("not a recorded step: {e}"))
    }
}

/// Plays recorded steps on a fresh front; gives each step with the commands that it brings now.
pub fn replay<'a>(
    front: &'a mut Front,
    steps: impl Iterator<Item = Step> + 'a,
) -> impl Iterator<Item = Step> + 'a {
    steps.map(|s| {
        let mut commands = Vec::new();
        front.step(Time(s.at), s.input.clone(), &mut commands);
        Step {
            at: s.at,
            input: s.input,
            commands,
        }
    })
}
