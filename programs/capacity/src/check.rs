//! `page --check`: generates everything in memory and compares it with the files that are there.

use crate::error::Errors;
use crate::files::{file_name, read_file, sorted_entries};
use crate::generate::{generate_files, orphaned_plots, read_store, GeneratedFile};
use crate::runs::{parse_runs, RunStore};
use std::fmt;
use std::io;
use std::path::Path;
use thiserror::Error;

/// Characters of a line that a difference shows.
const MAX_SHOWN_CHARACTERS: usize = 160;

/// The result of `page --check` if nothing differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckSummary {
    /// Plots beside the page.
    pub plot_count: usize,
    /// Runs that they are made from.
    pub run_count: usize,
}

impl fmt::Display for CheckSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let CheckSummary {
            plot_count,
            run_count,
        } = self;
        write!(
            f,
            "CAPACITY.md and {plot_count} plots are what {run_count} runs give"
        )
    }
}

/// How a file differs from the one that the recorded runs give.
#[derive(Debug, Error)]
pub enum Difference {
    /// A line differs.
    #[error("{file}:{line}: there is {found:?}, right is {expected:?}")]
    Line {
        /// The file's path under the folder of documentation.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The truncated of the line that is there.
        found: String,
        /// The truncated of the line that should be there.
        expected: String,
    },
    /// All lines are equal, and the texts are not.
    #[error("{file}:{line}: differs in how it ends")]
    End {
        /// The file's path under the folder of documentation.
        file: String,
        /// The line after the last, from 1.
        line: usize,
    },
    /// The file can't be read.
    #[error("{file}: {source}; right is what `page` makes")]
    Unreadable {
        /// The file's path under the folder of documentation.
        file: String,
        /// The cause.
        source: io::Error,
    },
    /// The plot would not be made.
    #[error("{file}: of no slope; `page` takes it away")]
    OrphanedPlot {
        /// The plot's path under the folder of documentation.
        file: String,
    },
    /// Runs of a file were never recorded.
    #[error("{file}: {count} of its runs are not in slopes.json; right is `record` of it")]
    Unrecorded {
        /// The file's path under the folder of documentation.
        file: String,
        /// How many.
        count: usize,
    },
}

/// Generates everything in memory and compares it with the files that are there: an error for each that differs.
pub fn check(docs: &Path) -> Result<CheckSummary, Errors> {
    let (store, store_text) = read_store(docs)?;
    let mut errors = Errors::default();
    let expected = store.deduplicated().to_json();
    if let Some(difference) = compare("capacity/slopes.json", &expected, &store_text) {
        errors.push(difference);
    }
    check_recorded(docs, &store, &mut errors)?;
    let files = generate_files(docs, &store)?;
    for file in &files {
        if let Some(difference) = compare_generated(docs, file) {
            errors.push(difference);
        }
    }
    for path in orphaned_plots(docs, &files)? {
        let file = path.display().to_string();
        errors.push(Difference::OrphanedPlot { file });
    }
    errors.into_result(CheckSummary {
        plot_count: files.len() - 1,
        run_count: store.runs.len(),
    })
}

/// Checks that all runs under `capacity/runs` are recorded.
fn check_recorded(docs: &Path, store: &RunStore, errors: &mut Errors) -> Result<(), Errors> {
    for path in sorted_entries(&docs.join("capacity/runs"))? {
        if path.extension().is_none_or(|e| e != "jsonl") {
            continue;
        }
        let file = format!("capacity/runs/{}", file_name(&path));
        let runs = parse_runs(&file, &read_file(&path)?)?;
        let count = runs.iter().filter(|run| !store.contains(run)).count();
        if count > 0 {
            errors.push(Difference::Unrecorded { file, count });
        }
    }
    Ok(())
}

fn compare_generated(docs: &Path, output: &GeneratedFile) -> Option<Difference> {
    let file = output.path.display().to_string();
    match std::fs::read_to_string(docs.join(&output.path)) {
        Ok(found) => compare(&file, &output.text, &found),
        Err(source) => Some(Difference::Unreadable { file, source }),
    }
}

/// The first difference of two texts.
fn compare(file: &str, expected: &str, found: &str) -> Option<Difference> {
    if expected == found {
        return None;
    }
    let file = file.to_string();
    let mut expected_lines = expected.lines();
    let mut found_lines = found.lines();
    let mut line = 1;
    loop {
        match (expected_lines.next(), found_lines.next()) {
            (Some(expected), Some(found)) if expected == found => line += 1,
            (None, None) => return Some(Difference::End { file, line }),
            (expected, found) => {
                return Some(Difference::Line {
                    file,
                    line,
                    found: truncated(found),
                    expected: truncated(expected),
                })
            }
        }
    }
}

fn truncated(line: Option<&str>) -> String {
    line.map_or("nothing".into(), |text| {
        text.chars().take(MAX_SHOWN_CHARACTERS).collect()
    })
}
