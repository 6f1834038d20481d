//! Syntax of the settings language: a lexer for literals with units, a parser for records, and diagnostics with file, line and
//! column.
//!
//! The crate handles syntax only. Which fields exist and which values are valid is checked by its users.
//!
//! ```
//! let (fields, diagnostics) = tansy_syntax::parse("pool: {idle: 10s}", 0);
//! assert_eq!((fields.len(), diagnostics.len()), (1, 0));
//!
//! let source = tansy_syntax::Source { name: "a.cue".into(), text: "idle: 10x".into() };
//! let (_, diagnostics) = tansy_syntax::parse(&source.text, 0);
//! assert!(diagnostics[0].display(&[source]).to_string().starts_with("a.cue:1:"));
//! ```
//!
//! - [`lexer`]: splits a text into tokens.
//! - [`parser`]: parses tokens to fields.
//! - [`ast`]: the syntax tree of fields and their values.
//! - [`diagnostic`]: errors with their places in the source.

pub mod ast;
pub mod diagnostic;
pub mod lexer;
pub mod parser;

pub use ast::{Decl, Expr, Label, Spanned};
pub use diagnostic::{Diagnostic, Source, Span};
pub use lexer::{lex, Token};
pub use parser::parse;
