//! Output of commands: text, or one JSON value.

use crate::FleetError;
use serde::Serialize;
use std::io::Write;

/// How results are printed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    /// Print one JSON value instead of text.
    pub(crate) json: bool,
}

impl Output {
    /// Prints a result.
    pub(crate) fn show<T: Serialize + ?Sized>(self, value: &T, to_text: impl FnOnce() -> String) {
        if self.json {
            print(&serde_json::to_string(value).unwrap_or_default());
        } else {
            print(&to_text());
        }
    }

    /// Prints what was done.
    pub(crate) fn done(self, text: &str) {
        self.show(&serde_json::json!({ "done": text }), || text.to_string());
    }

    /// Prints a note, which JSON output leaves out.
    pub(crate) fn note(self, text: &str) {
        if !self.json {
            print(text);
        }
    }

    /// Prints why the command failed.
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
    // The command succeeds even if the reader has closed the pipe.
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end_matches('\n'));
}
