//! The lexer: tokens of a text, including numbers with units.

use crate::diagnostic::{Diagnostic, Span};
use logos::Logos;
use std::fmt;

/// The text of a number without its `_` separators.
fn strip_separators(text: &str) -> String {
    text.chars().filter(|c| *c != '_').collect()
}

/// Converts a number with a unit to the smallest unit.
fn parse_with_unit(text: &str, units: &[(&str, f64)]) -> Option<i64> {
    let split = text.find(|c: char| c.is_ascii_alphabetic())?;
    let (number, unit) = text.split_at(split);
    let (_, factor) = *units.iter().find(|(name, _)| *name == unit)?;
    let number = strip_separators(number);
    // Integers are converted exactly; fractions are rounded.
    if let (Ok(whole), true) = (number.parse::<i64>(), factor.fract() == 0.0) {
        return whole.checked_mul(factor as i64);
    }
    let value = number.parse::<f64>().ok()? * factor;
    (value.is_finite() && value.abs() < 9e18).then_some(value.round() as i64)
}

/// Converts a duration to microseconds.
fn parse_duration(lex: &mut logos::Lexer<'_, Token>) -> Option<i64> {
    parse_with_unit(
        lex.slice(),
        &[
            ("us", 1.0),
            ("ms", 1e3),
            ("s", 1e6),
            ("m", 6e7),
            ("h", 3.6e9),
        ],
    )
}

/// Converts a size to bytes.
fn parse_size(lex: &mut logos::Lexer<'_, Token>) -> Option<i64> {
    const KIB: f64 = 1024.0;
    let units = [
        ("B", 1.0),
        ("KB", 1e3),
        ("MB", 1e6),
        ("GB", 1e9),
        ("KiB", KIB),
        ("MiB", KIB * KIB),
        ("GiB", KIB * KIB * KIB),
    ];
    parse_with_unit(lex.slice(), &units)
}

/// Removes the quotes of a string and resolves its escapes.
fn parse_string(lex: &mut logos::Lexer<'_, Token>) -> Option<String> {
    let inner = lex.slice().strip_prefix('"')?.strip_suffix('"')?;
    let mut text = String::with_capacity(inner.len());
    let mut chars = inner.chars();
    while let Some(character) = chars.next() {
        if character != '\\' {
            text.push(character);
            continue;
        }
        text.push(match chars.next()? {
            'n' => '\n',
            't' => '\t',
            'r' => '\r',
            escaped @ ('"' | '\\' | '/') => escaped,
            'u' => {
                let code: String = chars.by_ref().take(4).collect();
                char::from_u32(u32::from_str_radix(&code, 16).ok()?)?
            }
            _ => return None,
        });
    }
    Some(text)
}

/// A token of the settings language.
#[derive(Logos, Clone, Debug, PartialEq)]
#[logos(skip r"[ \t\r]+")]
#[logos(skip(r"//[^\n]*", allow_greedy = true))]
#[allow(missing_docs)]
pub enum Token {
    #[token("\n")]
    Newline,
    #[regex(r"[A-Za-z_][A-Za-z0-9_]*", |lex| lex.slice().to_string())]
    Word(String),
    #[regex(r"#[A-Za-z_][A-Za-z0-9_]*", |lex| lex.slice().to_string())]
    Definition(String),
    #[regex(r#""([^"\\\n]|\\[^\n])*""#, parse_string)]
    Text(String),
    #[regex(r"-?[0-9][0-9_]*", |lex| strip_separators(lex.slice()).parse().ok())]
    Int(i64),
    #[regex(r"-?[0-9][0-9_]*\.[0-9]+([eE][+-]?[0-9]+)?", |lex| strip_separators(lex.slice()).parse().ok())]
    Float(f64),
    /// Microseconds.
    #[regex(r"-?[0-9][0-9_]*(\.[0-9]+)?(us|ms|s|m|h)", parse_duration)]
    Duration(i64),
    /// Bytes.
    #[regex(r"[0-9][0-9_]*(\.[0-9]+)?([KMG]i?)?B", parse_size)]
    Size(i64),
    #[token("true", |_| true)]
    #[token("false", |_| false)]
    Bool(bool),
    #[token("{")]
    Open,
    #[token("}")]
    Close,
    #[token("[")]
    OpenList,
    #[token("]")]
    CloseList,
    #[token("(")]
    OpenGroup,
    #[token(")")]
    CloseGroup,
    #[token(":")]
    Colon,
    #[token(",")]
    Comma,
    #[token("?")]
    Optional,
    #[token("...")]
    Rest,
    #[token(".")]
    Dot,
    #[token("|")]
    Or,
    #[token("&")]
    And,
    #[token("*")]
    Star,
    #[token(">=")]
    AtLeast,
    #[token(">")]
    Above,
    #[token("<=")]
    AtMost,
    #[token("<")]
    Below,
    #[token("!=")]
    Not,
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = match self {
            Token::Newline => "the end of a line",
            Token::Word(name) | Token::Definition(name) => return write!(f, "`{name}`"),
            Token::Text(text) => return write!(f, "{text:?}"),
            Token::Int(integer) => return write!(f, "{integer}"),
            Token::Float(number) => return write!(f, "{number}"),
            Token::Duration(micros) => return write!(f, "{micros}us"),
            Token::Size(bytes) => return write!(f, "{bytes}B"),
            Token::Bool(flag) => return write!(f, "{flag}"),
            Token::Open => "`{`",
            Token::Close => "`}`",
            Token::OpenList => "`[`",
            Token::CloseList => "`]`",
            Token::OpenGroup => "`(`",
            Token::CloseGroup => "`)`",
            Token::Colon => "`:`",
            Token::Comma => "`,` or a new line",
            Token::Optional => "`?`",
            Token::Rest => "`...`",
            Token::Dot => "`.`",
            Token::Or => "`|`",
            Token::And => "`&`",
            Token::Star => "`*`",
            Token::AtLeast => "`>=`",
            Token::Above => "`>`",
            Token::AtMost => "`<=`",
            Token::Below => "`<`",
            Token::Not => "`!=`",
        };
        f.write_str(word)
    }
}

/// Whether a value can end with this token. A new line after such a token ends the field.
fn ends_value(token: &Token) -> bool {
    use Token::*;
    matches!(
        token,
        Word(_)
            | Definition(_)
            | Text(_)
            | Int(_)
            | Float(_)
            | Duration(_)
            | Size(_)
            | Bool(_)
            | Close
            | CloseList
            | CloseGroup
    )
}

/// Whether this token at the start of a line continues the value of the previous line.
fn continues_value(token: &Token) -> bool {
    matches!(token, Token::Or | Token::And)
}

/// Splits a text into tokens. A new line after a value becomes a comma, as in CUE.
pub fn lex(text: &str, source: usize) -> (Vec<(Token, Span)>, Vec<Diagnostic>) {
    let mut tokens: Vec<(Token, Span)> = Vec::new();
    let mut diagnostics: Vec<Diagnostic> = Vec::new();
    let mut line_end: Option<Span> = None;
    for (token, range) in Token::lexer(text).spanned() {
        let span = Span {
            source,
            start: range.start,
            end: range.end,
        };
        match token {
            Ok(Token::Newline) => {
                if tokens.last().is_some_and(|(last, _)| ends_value(last)) {
                    line_end.get_or_insert(span);
                }
            }
            Ok(token) => {
                if let Some(end) = line_end.take().filter(|_| !continues_value(&token)) {
                    tokens.push((Token::Comma, end));
                }
                tokens.push((token, span));
            }
            Err(()) => diagnostics.push(invalid_token(&text[range], span)),
        }
    }
    (tokens, diagnostics)
}

/// The error for a piece of text that no token matches.
fn invalid_token(piece: &str, span: Span) -> Diagnostic {
    let diagnostic = Diagnostic::new(span, format!("{piece:?} is not a valid token"));
    if piece.starts_with(|c: char| c.is_ascii_digit() || c == '-') {
        diagnostic.with_help(
            "expected an integer or a decimal number, optionally with a unit: us ms s m h or B KB MB GB KiB MiB GiB",
        )
    } else if piece.starts_with('"') {
        diagnostic.with_help(
            "expected a string that ends on the same line; its escapes are \\n \\t \\r \\\" \\\\ \\/ and \\uXXXX",
        )
    } else {
        diagnostic
    }
}
