//! The commands of the program, and their exit codes.

use crate::check::check;
use crate::error::Errors;
use crate::generate::generate;
use crate::record::record;
use clap::{Args, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// What is done with the page; one more program may take these among its own commands.
#[derive(Subcommand)]
pub enum Command {
    /// Makes docs/CAPACITY.md and its plots from docs/capacity.
    Page(PageArgs),
    /// Checks runs and adds them to those that the page is made from.
    Record(RecordArgs),
}

/// Of `page`.
#[derive(Args)]
pub struct PageArgs {
    /// Make everything again in memory and compare: a line for each file that differs, exit code 1.
    #[arg(long)]
    pub check: bool,
    /// The folder of CAPACITY.md, capacity/ and img/.
    #[arg(long, default_value = "docs")]
    pub docs: PathBuf,
}

/// Of `record`.
#[derive(Args)]
pub struct RecordArgs {
    /// The file that keeps them; begun if it is not there.
    #[arg(
        long = "into",
        value_name = "INTO",
        default_value = "docs/capacity/slopes.json"
    )]
    pub store: PathBuf,
    /// Leave out the runs that it holds by now.
    #[arg(long = "anew")]
    pub overwrite: bool,
    /// Files of runs, one JSON object a line; each line is added as written, the same one twice is one.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
}

impl Command {
    /// Runs it and prints a summary, or a line for each error. Exit codes: 0 done, 1 something was wrong or differs.
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
