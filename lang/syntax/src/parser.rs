//! The grammar of records.
//!
//! ```text
//! file  = fields
//! fields = { field ("," | new line) }
//! field  = label ["?"] ":" (field | value)
//! label = word | definition | string | "[" "string" "]"
//! value = all { "|" all }
//! all   = one { "&" one }
//! one   = ["*"] ( literal | path | "{" fields "}" | "[" values ["..." value] "]" | bound | "(" value ")" )
//! bound = (">=" | ">" | "<=" | "<" | "!=") literal
//! path  = (word | definition) { "." word }
//! ```

use crate::ast::{Decl, Expr, Label, Relation, Spanned};
use crate::diagnostic::{Diagnostic, Span};
use crate::lexer::{lex, Token};
use chumsky::error::RichPattern;
use chumsky::input::ValueInput;
use chumsky::prelude::*;

/// Records inside records that are followed; more is refused, so that no text exhausts the stack.
const DEPTH: usize = 64;

/// The fields of a text, as far as they can be read, and all that is wrong with it.
pub fn parse(text: &str, source: usize) -> (Vec<Decl>, Vec<Diagnostic>) {
    let (tokens, mut bad) = lex(text, source);
    let (mut depth, mut deepest) = (0usize, None);
    for (token, span) in &tokens {
        match token {
            Token::Open | Token::OpenList | Token::OpenGroup => depth += 1,
            Token::Close | Token::CloseList | Token::CloseGroup => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > DEPTH {
            deepest.get_or_insert(*span);
        }
    }
    if let Some(span) = deepest {
        bad.push(Diagnostic::new(
            span,
            format!("more than {DEPTH} brackets inside each other"),
        ));
        return (Vec::new(), bad);
    }
    let end = SimpleSpan::from(text.len()..text.len());
    let spanned: Vec<(Token, SimpleSpan)> = tokens
        .into_iter()
        .map(|(t, s)| (t, SimpleSpan::from(s.start..s.end)))
        .collect();
    let input = spanned.as_slice().map(end, |(t, s)| (t, s));
    let (fields, errors) = file(source).parse(input).into_output_errors();
    bad.extend(errors.into_iter().map(|e| {
        let span = Span {
            source,
            start: e.span().start,
            end: e.span().end,
        };
        let found = e
            .found()
            .map_or("the end of the text".to_string(), |t| t.to_string());
        let mut wanted: Vec<String> = e
            .expected()
            .filter_map(|p| match p {
                RichPattern::Token(t) => Some(t.to_string()),
                RichPattern::Label(l) => Some(l.to_string()),
                RichPattern::EndOfInput => Some("the end of the text".into()),
                _ => None,
            })
            .collect();
        wanted.sort();
        wanted.dedup();
        let d = Diagnostic::new(span, format!("{found} can't stand here"));
        if wanted.is_empty() {
            d
        } else {
            d.help(format!("want {}", wanted.join(", ")))
        }
    }));
    bad.sort_by_key(|d| d.span);
    (fields.unwrap_or_default(), bad)
}

fn file<'a, I>(
    source: usize,
) -> impl Parser<'a, I, Vec<Decl>, extra::Err<Rich<'a, Token, SimpleSpan>>>
where
    I: ValueInput<'a, Token = Token, Span = SimpleSpan>,
{
    let at = move |s: SimpleSpan| Span {
        source,
        start: s.start,
        end: s.end,
    };
    let separators = || just(Token::Comma).repeated();
    let word = select! { Token::Word(w) => w }.labelled("a name");
    let definition = select! { Token::Definition(w) => w }.labelled("a definition");

    let value = recursive(move |value| {
        let named = choice((
            word,
            definition,
            select! { Token::Text(t) => t }.labelled("a string"),
        ))
        .map(Label::Name);
        let any = just(Token::Word("string".into()))
            .delimited_by(just(Token::OpenList), just(Token::CloseList))
            .to(Label::Any);
        let label = named.or(any).map_with(move |node, e| Spanned {
            node,
            span: at(e.span()),
        });
        let decl = recursive(|decl| {
            // `a: b: 1` is `a: {b: 1}`.
            let nested = decl.map_with(move |d, e| Spanned {
                node: Expr::Record(vec![d]),
                span: at(e.span()),
            });
            label
                .then(just(Token::Optional).or_not())
                .then_ignore(just(Token::Colon))
                .then(nested.or(value.clone()))
                .map(|((label, optional), value)| Decl {
                    label,
                    optional: optional.is_some(),
                    value,
                })
        });
        let fields = separators()
            .ignore_then(
                decl.then_ignore(separators())
                    .repeated()
                    .collect::<Vec<_>>(),
            )
            .labelled("fields");

        let record = fields
            .clone()
            .delimited_by(just(Token::Open), just(Token::Close))
            .map(Expr::Record)
            .recover_with(via_parser(nested_delimiters(
                Token::Open,
                Token::Close,
                [
                    (Token::OpenList, Token::CloseList),
                    (Token::OpenGroup, Token::CloseGroup),
                ],
                |_| Expr::Error,
            )));
        let items = separators().ignore_then(
            value
                .clone()
                .then_ignore(separators())
                .repeated()
                .collect::<Vec<_>>()
                .then(
                    just(Token::Rest)
                        .ignore_then(value.clone())
                        .then_ignore(separators())
                        .or_not(),
                ),
        );
        let list = items
            .delimited_by(just(Token::OpenList), just(Token::CloseList))
            .map(|(items, rest)| Expr::List(items, rest.map(Box::new)));
        let literal = select! {
            Token::Bool(b) => Expr::Bool(b),
            Token::Int(n) => Expr::Int(n),
            Token::Float(x) => Expr::Float(x),
            Token::Duration(d) => Expr::Duration(d),
            Token::Size(b) => Expr::Size(b),
            Token::Text(t) => Expr::Text(t),
        }
        .labelled("a value");
        let path = word
            .or(definition)
            .then(
                just(Token::Dot)
                    .ignore_then(word)
                    .repeated()
                    .collect::<Vec<_>>(),
            )
            .map(|(first, rest)| Expr::Name(std::iter::once(first).chain(rest).collect()));
        let relation = select! {
            Token::AtLeast => Relation::AtLeast,
            Token::Above => Relation::Above,
            Token::AtMost => Relation::AtMost,
            Token::Below => Relation::Below,
            Token::Not => Relation::Not,
        }
        .labelled("a bound");
        let spanned_literal = literal.map_with(move |node, e| Spanned {
            node,
            span: at(e.span()),
        });
        let bound = relation
            .then(spanned_literal)
            .map(|(r, v)| Expr::Bound(r, Box::new(v)));
        let group = value
            .clone()
            .delimited_by(just(Token::OpenGroup), just(Token::CloseGroup))
            .map(|v: Spanned<Expr>| v.node);
        let plain =
            choice((literal, path, record, list, bound, group)).map_with(move |node, e| Spanned {
                node,
                span: at(e.span()),
            });
        let one = just(Token::Star)
            .or_not()
            .then(plain)
            .map_with(move |(star, v), e| match star {
                Some(_) => Spanned {
                    node: Expr::Default(Box::new(v)),
                    span: at(e.span()),
                },
                None => v,
            });
        let all = one
            .separated_by(just(Token::And))
            .at_least(1)
            .collect::<Vec<_>>()
            .map_with(move |mut list, e| match list.len() {
                1 => list.remove(0),
                _ => Spanned {
                    node: Expr::And(list),
                    span: at(e.span()),
                },
            });
        all.separated_by(just(Token::Or))
            .at_least(1)
            .collect::<Vec<_>>()
            .map_with(move |mut list, e| match list.len() {
                1 => list.remove(0),
                _ => Spanned {
                    node: Expr::Or(list),
                    span: at(e.span()),
                },
            })
    });

    let named = choice((
        word,
        definition,
        select! { Token::Text(t) => t }.labelled("a string"),
    ))
    .map(Label::Name);
    let label = named.map_with(move |node, e| Spanned {
        node,
        span: at(e.span()),
    });
    // A field that can't be read is skipped up to the next line, so that the rest is checked too.
    let skip = any()
        .and_is(just(Token::Comma).not())
        .repeated()
        .at_least(1)
        .to(None);
    let decl = recursive(|decl| {
        let nested = decl.map_with(move |d, e| Spanned {
            node: Expr::Record(vec![d]),
            span: at(e.span()),
        });
        label
            .then(just(Token::Optional).or_not())
            .then_ignore(just(Token::Colon))
            .then(nested.or(value.clone()))
            .map(|((label, optional), value)| Decl {
                label,
                optional: optional.is_some(),
                value,
            })
    })
    .map(Some)
    .recover_with(via_parser(skip));
    separators()
        .ignore_then(
            decl.then_ignore(separators())
                .repeated()
                .collect::<Vec<_>>(),
        )
        .map(|list| list.into_iter().flatten().collect())
        .then_ignore(end())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn records_lists_bounds_and_defaults_are_read() {
        let text =
            "a: {b: 1, c?: int & >=1 | *2\n d: [1, 2, ...int]}\n#X: {[string]: a.b}\n\"e f\": *true | false";
        let (fields, bad) = parse(text, 0);
        assert_eq!(bad, []);
        let names: Vec<_> = fields.iter().map(|f| f.label.node.clone()).collect();
        assert_eq!(names, ["a", "#X", "e f"].map(|n| Label::Name(n.into())));
        let Expr::Record(inner) = &fields[0].value.node else {
            panic!("{:?}", fields[0])
        };
        assert!(inner[1].optional && matches!(&inner[1].value.node, Expr::Or(l) if l.len() == 2));
        assert!(matches!(&inner[2].value.node, Expr::List(l, Some(_)) if l.len() == 2));
    }

    #[test]
    fn several_errors_are_told_at_once_with_their_places() {
        let text = "a: 1\nb: = 2\nc: 3\nd 4\ne: 5";
        let (fields, bad) = parse(text, 0);
        let source = crate::Source {
            name: "t".into(),
            text: text.into(),
        };
        let places: Vec<_> = bad.iter().map(|d| source.position(d.span.start)).collect();
        assert!(
            places.contains(&(2, 4)) && places.contains(&(4, 3)),
            "{bad:?}"
        );
        assert!(fields.len() >= 3, "{fields:?}");
    }

    #[test]
    fn depth_is_bounded() {
        let (_, bad) = parse(&format!("a: {}", "[".repeat(100_000)), 0);
        assert_eq!(bad.len(), 1);
    }
}
