//! Diagnostics with a place, a message and a hint.

use std::fmt;

/// A range of bytes in a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, PartialOrd, Ord)]
pub struct Span {
    /// The source's index in the list of sources.
    pub source: usize,
    /// Offset of the first byte.
    pub start: usize,
    /// Offset after the last byte.
    pub end: usize,
}

/// A text with its name.
#[derive(Clone, Debug)]
pub struct Source {
    /// The name that errors show, usually the file name.
    pub name: String,
    /// The text.
    pub text: String,
}

impl Source {
    /// Line and column of a byte offset, both starting at 1. Columns count characters.
    pub fn position(&self, byte: usize) -> (usize, usize) {
        let mut byte = byte.min(self.text.len());
        while !self.text.is_char_boundary(byte) {
            byte -= 1;
        }
        let before = &self.text[..byte];
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
        (line, column)
    }
}

/// An error or a warning.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// The place in a source.
    pub span: Span,
    /// The field's path, such as `classes.overlay.aim`; may be empty.
    pub path: String,
    /// Description of the problem.
    pub message: String,
    /// What is expected instead; may be empty.
    pub help: String,
}

impl Diagnostic {
    /// Creates a diagnostic without a path and a hint.
    pub fn new(span: Span, message: impl Into<String>) -> Diagnostic {
        Diagnostic {
            span,
            path: String::new(),
            message: message.into(),
            help: String::new(),
        }
    }

    /// Sets the field's path.
    pub fn with_path(mut self, path: &str) -> Diagnostic {
        self.path = path.into();
        self
    }

    /// Sets the hint.
    pub fn with_help(mut self, help: impl Into<String>) -> Diagnostic {
        self.help = help.into();
        self
    }

    /// Formats the diagnostic as a line: `file:line:column: path: message; help`.
    pub fn display<'a>(&'a self, sources: &'a [Source]) -> DisplayDiagnostic<'a> {
        DisplayDiagnostic {
            diagnostic: self,
            sources,
        }
    }
}

/// A diagnostic with the list of sources that its span refers to, for display.
pub struct DisplayDiagnostic<'a> {
    diagnostic: &'a Diagnostic,
    sources: &'a [Source],
}

impl fmt::Display for DisplayDiagnostic<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let diagnostic = self.diagnostic;
        if let Some(source) = self.sources.get(diagnostic.span.source) {
            let (line, column) = source.position(diagnostic.span.start);
            write!(f, "{}:{line}:{column}: ", source.name)?;
        }
        if !diagnostic.path.is_empty() {
            write!(f, "{}: ", diagnostic.path)?;
        }
        f.write_str(&diagnostic.message)?;
        if !diagnostic.help.is_empty() {
            write!(f, "; {}", diagnostic.help)?;
        }
        Ok(())
    }
}
