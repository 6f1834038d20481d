//! What the settings language and the matching language share: the lexer with its literals and units, the records'
//! parser, and diagnostics with file, line and column.

pub mod ast;
pub mod diagnostic;
pub mod lexer;
pub mod parser;

pub use ast::{Decl, Expr, Label, Spanned};
pub use diagnostic::{Diagnostic, Source, Span};
pub use lexer::{lex, Token};
pub use parser::parse;
