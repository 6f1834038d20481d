//! The command `record`: validates runs and adds them to the file of recorded runs.

use crate::command::RecordArgs;
use crate::error::{CapacityError, Errors};
use crate::files::{read_file, write_file};
use crate::runs::{parse_runs, Machine, RunStore};
use std::fmt;
use std::path::PathBuf;

/// The result of `record`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordSummary {
    /// Number of runs that were not in the file before.
    pub added: usize,
    /// Number of runs in the file now.
    pub total: usize,
}

impl fmt::Display for RecordSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} runs added, {} recorded", self.added, self.total)
    }
}

/// Adds runs to the file of recorded runs. If any line of any file is invalid, the file is left unchanged.
pub fn record(args: &RecordArgs) -> Result<RecordSummary, Errors> {
    let today = time::OffsetDateTime::now_utc().date().to_string();
    let mut store = open_store(args, &today)?;
    let added = add_files(&mut store, &args.files)?;
    if added > 0 {
        store.date = today;
    }
    write_file(&args.store, &store.to_json())?;
    Ok(RecordSummary {
        added,
        total: store.runs.len(),
    })
}

/// Reads the recorded runs, or creates an empty store. Fails if they were measured on another machine.
fn open_store(args: &RecordArgs, today: &str) -> Result<RunStore, Errors> {
    let machine = Machine::current().map_err(CapacityError::from)?;
    if args.overwrite || !args.store.exists() {
        return Ok(RunStore {
            date: today.into(),
            machine,
            runs: Vec::new(),
        });
    }
    let store = RunStore::parse(&args.store.display().to_string(), &read_file(&args.store)?)?;
    if store.machine != machine {
        return Err(Errors::from(CapacityError::MachineMismatch {
            path: args.store.clone(),
            recorded: store.machine,
            current: machine,
        }));
    }
    Ok(store)
}

/// Adds the runs of all files, and returns how many were new.
fn add_files(store: &mut RunStore, files: &[PathBuf]) -> Result<usize, Errors> {
    let mut added = 0;
    let mut errors = Errors::default();
    for file in files {
        match read_file(file).and_then(|text| parse_runs(&file.display().to_string(), &text)) {
            Ok(runs) => {
                for run in runs {
                    added += usize::from(store.add(run));
                }
            }
            Err(file_errors) => errors.append(file_errors),
        }
    }
    errors.into_result(added)
}
