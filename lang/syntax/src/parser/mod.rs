//! The parser for records, with this grammar:
//!
//! ```text
//! file        = fields
//! fields      = { field ("," | new line) }
//! field       = label ["?"] ":" (field | value)
//! label       = word | definition | string | "[" "string" "]"
//! value       = conjunction { "|" conjunction }
//! conjunction = operand { "&" operand }
//! operand     = ["*"] ( literal | path | "{" fields "}" | "[" values ["..." value] "]" | bound | "(" value ")" )
//! bound       = (">=" | ">" | "<=" | "<" | "!=") literal
//! path        = (word | definition) { "." word }
//! ```

mod grammar;

use crate::ast::Decl;
use crate::diagnostic::{Diagnostic, Span};
use crate::lexer::{lex, Token};
use chumsky::error::RichPattern;
use chumsky::prelude::*;

/// Maximum nesting depth of brackets, which bounds the stack that the parser uses.
const MAX_DEPTH: usize = 64;

/// Parses the fields of a text. Returns the fields that could be parsed, and all errors in the order of their places.
pub fn parse(text: &str, source: usize) -> (Vec<Decl>, Vec<Diagnostic>) {
    let (tokens, mut diagnostics) = lex(text, source);
    if let Some(span) = first_excess_bracket(&tokens) {
        let message = format!("brackets are nested more than {MAX_DEPTH} levels deep");
        diagnostics.push(Diagnostic::new(span, message));
        return (Vec::new(), diagnostics);
    }
    let end = SimpleSpan::from(text.len()..text.len());
    let tokens: Vec<(Token, SimpleSpan)> = tokens
        .into_iter()
        .map(|(token, span)| (token, SimpleSpan::from(span.start..span.end)))
        .collect();
    let input = tokens.as_slice().map(end, |(token, span)| (token, span));
    let (fields, errors) = grammar::file(source).parse(input).into_output_errors();
    diagnostics.extend(errors.iter().map(|error| to_diagnostic(error, source)));
    diagnostics.sort_by_key(|diagnostic| diagnostic.span);
    (fields.unwrap_or_default(), diagnostics)
}

/// The place of the first bracket that exceeds the maximum depth.
fn first_excess_bracket(tokens: &[(Token, Span)]) -> Option<Span> {
    let mut depth = 0usize;
    for (token, span) in tokens {
        match token {
            Token::Open | Token::OpenList | Token::OpenGroup => depth += 1,
            Token::Close | Token::CloseList | Token::CloseGroup => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return Some(*span);
        }
    }
    None
}

/// Converts a parser error to a diagnostic that lists the expected tokens.
fn to_diagnostic(error: &Rich<'_, Token, SimpleSpan>, source: usize) -> Diagnostic {
    let span = Span {
        source,
        start: error.span().start,
        end: error.span().end,
    };
    let actual = match error.found() {
        Some(token) => token.to_string(),
        None => "the end of the text".to_string(),
    };
    let mut expected: Vec<String> = error
        .expected()
        .filter_map(|pattern| match pattern {
            RichPattern::Token(token) => Some(token.to_string()),
            RichPattern::Label(label) => Some(label.to_string()),
            RichPattern::EndOfInput => Some("the end of the text".into()),
            _ => None,
        })
        .collect();
    expected.sort();
    expected.dedup();
    let diagnostic = Diagnostic::new(span, format!("unexpected {actual}"));
    if expected.is_empty() {
        return diagnostic;
    }
    diagnostic.with_help(format!("expected one of: {}", expected.join(", ")))
}
