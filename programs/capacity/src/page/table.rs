//! Markdown tables.

use std::fmt::Write;

/// Formats a Markdown table.
pub(super) fn table(titles: &[&str], rows: &[Vec<String>]) -> String {
    let separator = "---|".repeat(titles.len());
    let mut text = format!("| {} |\n|{separator}", titles.join(" | "));
    for row in rows {
        let cells: Vec<String> = row.iter().map(|cell| cell.replace('|', "\\|")).collect();
        let _ = write!(text, "\n| {} |", cells.join(" | "));
    }
    text
}
