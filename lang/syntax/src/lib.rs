//! What the settings language and the matching language share: the lexer with its literals and units, the records'
//! parser, and diagnostics with file, line and column.
//!
//! It knows syntax only: what fields there are and which values fit them is for the languages to check.
//!
//! ```
//! let (fields, diagnostics) = tansy_syntax::parse("pool: {idle: 10s}", 0);
//! assert_eq!((fields.len(), diagnostics.len()), (1, 0));
//!
//! let source = tansy_syntax::Source { name: "a.cue".into(), text: "idle: 10x".into() };
//! let (_, diagnostics) = tansy_syntax::parse(&source.text, 0);
//! assert!(diagnostics[0].show(&[source]).to_string().starts_with("a.cue:1:"));
//! ```
//!
//! - [`lexer`]: a text's tokens.
//! - [`parser`]: tokens to fields.
//! - [`ast`]: fields and their values.
//! - [`diagnostic`]: errors with their places.

pub mod ast;
pub mod diagnostic;
pub mod lexer;
pub mod parser;

pub use ast::{Decl, Expr, Label, Spanned};
pub use diagnostic::{Diagnostic, Source, Span};
pub use lexer::{lex, Token};
pub use parser::parse;
