//! Command-line arguments and exit codes.

use crate::check::check;
use crate::error::Errors;
use crate::generate::generate;
use crate::record::record;
use clap::{Args, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// The subcommands; another program can include them with `#[command(flatten)]`.
#[derive(Subcommand)]
pub enum Command {
    /// Generates CAPACITY.md and its plots from the recorded runs.
    Page(PageArgs),
    /// Validates runs and adds them to the recorded runs.
    Record(RecordArgs),
}

/// Arguments of `page`.
#[derive(Args)]
pub struct PageArgs {
    /// Write nothing; report each file that is out of date and exit with code 1 if any is.
    #[arg(long)]
    pub check: bool,
    /// The documentation folder, which contains CAPACITY.md, capacity/ and img/.
    #[arg(long, default_value = "docs")]
    pub docs: PathBuf,
}

/// Arguments of `record`.
#[derive(Args)]
pub struct RecordArgs {
    /// The file of recorded runs; created if it does not exist.
    #[arg(
        long = "into",
        value_name = "INTO",
        default_value = "docs/capacity/slopes.json"
    )]
    pub store: PathBuf,
    /// Discard the runs already in the file.
    #[arg(long = "anew")]
    pub overwrite: bool,
    /// Files of runs, one JSON object a line; duplicates are ignored.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
}

impl Command {
    /// Runs the command and prints a summary to stdout, or each error to stderr. Exits with 0 on success and 1 on error.
    pub fn run(&self) -> ExitCode {
        match self.execute() {
            Ok(summary) => {
                println!("{summary}");
                ExitCode::SUCCESS
            }
            Err(errors) => {
                errors.iter().for_each(|e| eprintln!("{e}"));
                ExitCode::FAILURE
            }
        }
    }

    fn execute(&self) -> Result<String, Errors> {
        Ok(match self {
            Command::Page(args) if args.check => check(&args.docs)?.to_string(),
            Command::Page(args) => generate(&args.docs)?.to_string(),
            Command::Record(args) => record(args)?.to_string(),
        })
    }
}
