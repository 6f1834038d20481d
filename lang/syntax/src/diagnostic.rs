//! Errors that say what, where, and what would be right.

use std::fmt;

/// Bytes of a source, from `start` up to `end`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, PartialOrd, Ord)]
pub struct Span {
    /// The source's index in the list of sources.
    pub source: usize,
    /// First byte.
    pub start: usize,
    /// Byte after the last.
    pub end: usize,
}

/// A text and its name.
#[derive(Clone, Debug)]
pub struct Source {
    /// Its name, as errors give it.
    pub name: String,
    /// Its text.
    pub text: String,
}

impl Source {
    /// Line and column of a byte, both from 1; columns count characters.
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

/// One error or warning.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Its place in a source.
    pub span: Span,
    /// The field's path, as in `classes.overlay.aim`; may be empty.
    pub path: String,
    /// What is wrong.
    pub message: String,
    /// What would be right; may be empty.
    pub help: String,
}

impl Diagnostic {
    /// An error at a place.
    pub fn new(span: Span, message: impl Into<String>) -> Diagnostic {
        Diagnostic {
            span,
            path: String::new(),
            message: message.into(),
            help: String::new(),
        }
    }

    /// With the field's path.
    pub fn at(mut self, path: &str) -> Diagnostic {
        self.path = path.into();
        self
    }

    /// With what would be right.
    pub fn help(mut self, help: impl Into<String>) -> Diagnostic {
        self.help = help.into();
        self
    }

    /// As a line: `file:line:column: path: what; what would be right`.
    pub fn show<'a>(&'a self, sources: &'a [Source]) -> DisplayDiagnostic<'a> {
        DisplayDiagnostic {
            diagnostic: self,
            sources,
        }
    }
}

/// A diagnostic with the sources that its span refers to.
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
