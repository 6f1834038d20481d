//! Runs as the measuring tools print them, one JSON object a line, and the file of recorded runs.

mod machine;
mod run;
mod store;

pub use machine::{Machine, MachineError};
pub use run::{parse_runs, required_fields, Run, RunError, UnknownTool};
pub use store::RunStore;
