//! The command `page --check`: compares freshly generated files with those on disk.

use crate::error::Errors;
use crate::files::{file_name, read_file, sorted_entries};
use crate::generate::{generate_files, orphaned_plots, read_store, GeneratedFile};
use crate::runs::{parse_runs, RunStore};
use std::fmt;
use std::io;
use std::path::Path;
use thiserror::Error;

/// Longer lines are truncated in a reported difference.
const MAX_SHOWN_CHARACTERS: usize = 160;

/// The result of `page --check` if all files are up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckSummary {
    /// Number of plots compared.
    pub plot_count: usize,
    /// Number of recorded runs.
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
            "CAPACITY.md and {plot_count} plots are up to date with {run_count} runs"
        )
    }
}

/// A file that is out of date.
#[derive(Debug, Error)]
pub enum Difference {
    /// A line differs.
    #[error("{file}:{line}: found {found:?}, expected {expected:?}")]
    Line {
        /// The file's path relative to the documentation folder.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The line on disk, truncated.
        found: String,
        /// The generated line, truncated.
        expected: String,
    },
    /// All lines are equal, but the line endings differ.
    #[error("{file}:{line}: all lines are equal, but their endings differ")]
    End {
        /// The file's path relative to the documentation folder.
        file: String,
        /// The number of the line after the last one.
        line: usize,
    },
    /// The file can't be read.
    #[error("{file}: {source}; run `page` to generate it")]
    Unreadable {
        /// The file's path relative to the documentation folder.
        file: String,
        /// The cause.
        source: io::Error,
    },
    /// A plot that no slope produces.
    #[error("{file}: no slope has this plot; run `page` to delete it")]
    OrphanedPlot {
        /// The plot's path relative to the documentation folder.
        file: String,
    },
    /// A file contains runs that are not recorded.
    #[error("{file}: {count} of its runs are not in slopes.json; add them with `record`")]
    Unrecorded {
        /// The file's path relative to the documentation folder.
        file: String,
        /// Number of unrecorded runs.
        count: usize,
    },
}

/// Checks that the recorded runs, the page and its plots are up to date. Returns an error for each file that is not.
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

/// The first difference between two texts, or `None` if they are equal.
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
