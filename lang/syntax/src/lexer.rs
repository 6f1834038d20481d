//! Tokens, with numbers that carry units.

use crate::diagnostic::{Diagnostic, Span};
use logos::Logos;
use std::fmt;

/// A number's text without its separators.
fn digits(text: &str) -> String {
    text.chars().filter(|c| *c != '_').collect()
}

/// A number with a unit, in the smallest unit.
fn scaled(text: &str, units: &[(&str, f64)]) -> Option<i64> {
    let split = text.find(|c: char| c.is_ascii_alphabetic())?;
    let (number, unit) = text.split_at(split);
    let (_, factor) = *units.iter().find(|(name, _)| *name == unit)?;
    let number = digits(number);
    // Whole numbers stay exact; the product of others is rounded.
    if let (Ok(whole), true) = (number.parse::<i64>(), factor.fract() == 0.0) {
        return whole.checked_mul(factor as i64);
    }
    let value = number.parse::<f64>().ok()? * factor;
    (value.is_finite() && value.abs() < 9e18).then_some(value.round() as i64)
}

/// A duration in microseconds.
fn duration(lex: &mut logos::Lexer<'_, Token>) -> Option<i64> {
    scaled(
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

/// A size in bytes.
fn size(lex: &mut logos::Lexer<'_, Token>) -> Option<i64> {
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
    scaled(lex.slice(), &units)
}

/// A string without its quotes and escapes.
fn string(lex: &mut logos::Lexer<'_, Token>) -> Option<String> {
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

/// A token.
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
    #[regex(r#""([^"\\\n]|\\[^\n])*""#, string)]
    Text(String),
    #[regex(r"-?[0-9][0-9_]*", |lex| digits(lex.slice()).parse().ok())]
    Int(i64),
    #[regex(r"-?[0-9][0-9_]*\.[0-9]+([eE][+-]?[0-9]+)?", |lex| digits(lex.slice()).parse().ok())]
    Float(f64),
    /// Microseconds.
    #[regex(r"-?[0-9][0-9_]*(\.[0-9]+)?(us|ms|s|m|h)", duration)]
    Duration(i64),
    /// Bytes.
    #[regex(r"[0-9][0-9_]*(\.[0-9]+)?([KMG]i?)?B", size)]
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

/// Whether a value can end with this token, so that a new line after it ends the field.
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

/// Whether a value can go on with this token on a new line.
fn continues_value(token: &Token) -> bool {
    matches!(token, Token::Or | Token::And)
}

/// The tokens of a text; a new line after a value is a comma, as in CUE.
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
            Err(()) => diagnostics.push(not_a_token(&text[range], span)),
        }
    }
    (tokens, diagnostics)
}

/// The error for a piece of text that no token matches.
fn not_a_token(piece: &str, span: Span) -> Diagnostic {
    let diagnostic = Diagnostic::new(span, format!("{piece:?} is no token"));
    if piece.starts_with(|c: char| c.is_ascii_digit() || c == '-') {
        diagnostic.help(
            "a number is whole or has a point, with one of us ms s m h or B KB MB GB KiB MiB GiB",
        )
    } else if piece.starts_with('"') {
        diagnostic
            .help("a string ends on its line; \\n \\t \\r \\\" \\\\ and \\uXXXX are its escapes")
    } else {
        diagnostic
    }
}
