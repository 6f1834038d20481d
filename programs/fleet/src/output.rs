//! What is printed: lines for people, or one JSON value for programs.

use crate::FleetError;
use serde::Serialize;
use std::io::Write;

/// How results are printed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    /// One JSON value instead of lines for people.
    pub(crate) json: bool,
}

impl Output {
    /// Prints a result.
    pub(crate) fn show<T: Serialize + ?Sized>(
        self,
        value: &T,
        plain_text: impl FnOnce() -> String,
    ) {
        if self.json {
            print(&serde_json::to_string(value).unwrap_or_default());
        } else {
            print(&plain_text());
        }
    }

    /// Prints that something was done.
    pub(crate) fn done(self, text: &str) {
        self.show(&serde_json::json!({ "done": text }), || text.to_string());
    }

    /// Prints a line that programs don't need.
    pub(crate) fn remark(self, text: &str) {
        if !self.json {
            print(text);
        }
    }

    /// Prints why the command was not done.
    pub(crate) fn error(self, error: &FleetError) {
        if self.json {
            let value = serde_json::json!({"error": error.to_string(), "code": error.exit_code()});
            print(&value.to_string());
        } else {
            eprintln!("{error}");
        }
    }
}

fn print(text: &str) {
    // A reader that goes away is no reason to fail.
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end_matches('\n'));
}
