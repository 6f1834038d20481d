//! The file of recorded runs, `slopes.json`.

use super::{Machine, Run};
use crate::error::{CapacityError, Errors};
use serde::Deserialize;
use serde_json::value::RawValue;

/// Recorded runs: the file `slopes.json`.
#[derive(Clone, Debug)]
pub struct RunStore {
    /// The date of the last addition.
    pub date: String,
    /// The machine on which the runs were measured.
    pub machine: Machine,
    /// The runs, in the order in which they were added.
    pub runs: Vec<Run>,
}

#[derive(Deserialize)]
#[serde(
    deny_unknown_fields,
    expecting = "an object with day, machine and runs"
)]
struct RunStoreFile<'a> {
    #[serde(rename = "day")]
    date: String,
    machine: Machine,
    #[serde(borrow)]
    runs: Vec<&'a RawValue>,
}

impl RunStore {
    /// Parses the file's text and validates each run.
    pub fn parse(name: &str, text: &str) -> Result<RunStore, Errors> {
        let file: RunStoreFile =
            serde_json::from_str(text).map_err(|source| CapacityError::RunStore {
                file: name.into(),
                source,
            })?;
        let mut runs = Vec::new();
        let mut errors = Errors::default();
        for (index, raw) in file.runs.iter().enumerate() {
            match Run::parse(raw.get()) {
                Ok(run) => runs.push(run),
                Err(source) => errors.push(CapacityError::RecordedRun {
                    file: name.into(),
                    number: index + 1,
                    source,
                }),
            }
        }
        errors.into_result(RunStore {
            date: file.date,
            machine: file.machine,
            runs,
        })
    }

    /// Whether the store contains an equal run.
    pub fn contains(&self, run: &Run) -> bool {
        self.runs.iter().any(|r| r.value == run.value)
    }

    /// Adds a run unless the store contains it, and returns whether it was added.
    pub fn add(&mut self, run: Run) -> bool {
        let is_new = !self.contains(&run);
        if is_new {
            self.runs.push(run);
        }
        is_new
    }

    /// A copy of the store without duplicate runs.
    pub fn deduplicated(&self) -> RunStore {
        let mut store = RunStore {
            runs: Vec::new(),
            ..self.clone()
        };
        for run in &self.runs {
            store.add(run.clone());
        }
        store
    }

    /// The file's text, with one line for each run in its original text.
    pub fn to_json(&self) -> String {
        let date = serde_json::Value::from(self.date.as_str());
        let machine = serde_json::to_string(&self.machine).unwrap_or_default();
        let runs: Vec<&str> = self.runs.iter().map(|r| r.text.as_str()).collect();
        let runs = runs.join(",\n");
        format!("{{\"day\": {date}, \"machine\": {machine}, \"runs\": [\n{runs}\n]}}\n")
    }
}
