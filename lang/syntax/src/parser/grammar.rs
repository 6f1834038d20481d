//! One parser for each rule of the grammar.

use crate::ast::{Decl, Expr, Label, Relation, Spanned};
use crate::diagnostic::Span;
use crate::lexer::Token;
use chumsky::input::ValueInput;
use chumsky::prelude::*;

type Extra<'a> = extra::Err<Rich<'a, Token, SimpleSpan>>;

/// Adds its place in the source to a node.
fn spanned<T>(source: usize, node: T, range: SimpleSpan) -> Spanned<T> {
    let span = Span {
        source,
        start: range.start,
        end: range.end,
    };
    Spanned { node, span }
}

/// The fields of a whole text.
pub(super) fn file<'a, I>(source: usize) -> impl Parser<'a, I, Vec<Decl>, Extra<'a>>
where
    I: ValueInput<'a, Token = Token, Span = SimpleSpan>,
{
    let label =
        name().map_with(move |node, extra| spanned(source, Label::Name(node), extra.span()));
    // A field that can't be parsed is skipped up to the next comma or new line, so that later errors are found too.
    let skip = any()
        .and_is(just(Token::Comma).not())
        .repeated()
        .at_least(1)
        .to(None);
    let field = field(source, label, value(source))
        .map(Some)
        .recover_with(via_parser(skip));
    separators()
        .ignore_then(
            field
                .then_ignore(separators())
                .repeated()
                .collect::<Vec<_>>(),
        )
        .map(|list| list.into_iter().flatten().collect())
        .then_ignore(end())
}

fn separators<'a, I>() -> impl Parser<'a, I, (), Extra<'a>> + Clone
where
    I: ValueInput<'a, Token = Token, Span = SimpleSpan>,
{
    just(Token::Comma).repeated()
}

fn word<'a, I>() -> impl Parser<'a, I, String, Extra<'a>> + Clone
where
    I: ValueInput<'a, Token = Token, Span = SimpleSpan>,
{
    select! { Token::Word(word) => word }.labelled("a name")
}

fn definition<'a, I>() -> impl Parser<'a, I, String, Extra<'a>> + Clone
where
    I: ValueInput<'a, Token = Token, Span = SimpleSpan>,
{
    select! { Token::Definition(name) => name }.labelled("a definition")
}

/// A field's name: a word, a definition or a string.
fn name<'a, I>() -> impl Parser<'a, I, String, Extra<'a>> + Clone
where
    I: ValueInput<'a, Token = Token, Span = SimpleSpan>,
{
    let text = select! { Token::Text(text) => text }.labelled("a string");
    choice((word(), definition(), text))
}

/// The label of a field in a nested record, which may also be `[string]:`.
fn record_label<'a, I>(source: usize) -> impl Parser<'a, I, Spanned<Label>, Extra<'a>> + Clone
where
    I: ValueInput<'a, Token = Token, Span = SimpleSpan>,
{
    let any = just(Token::Word("string".into()))
        .delimited_by(just(Token::OpenList), just(Token::CloseList))
        .to(Label::Any);
    name()
        .map(Label::Name)
        .or(any)
        .map_with(move |node, extra| spanned(source, node, extra.span()))
}

/// `label: value`, where `a: b: 1` is `a: {b: 1}`.
fn field<'a, I>(
    source: usize,
    label: impl Parser<'a, I, Spanned<Label>, Extra<'a>> + Clone + 'a,
    value: impl Parser<'a, I, Spanned<Expr>, Extra<'a>> + Clone + 'a,
) -> impl Parser<'a, I, Decl, Extra<'a>> + Clone
where
    I: ValueInput<'a, Token = Token, Span = SimpleSpan>,
{
    recursive(move |field| {
        let nested = field
            .map_with(move |field, extra| spanned(source, Expr::Record(vec![field]), extra.span()));
        label
            .then(just(Token::Optional).or_not())
            .then_ignore(just(Token::Colon))
            .then(nested.or(value))
            .map(|((label, optional), value)| Decl {
                label,
                optional: optional.is_some(),
                value,
            })
    })
}

/// A value: a disjunction of conjunctions.
fn value<'a, I>(source: usize) -> impl Parser<'a, I, Spanned<Expr>, Extra<'a>> + Clone
where
    I: ValueInput<'a, Token = Token, Span = SimpleSpan>,
{
    recursive(move |value| {
        let primary = choice((
            literal(),
            path(),
            record(source, value.clone()),
            list(value.clone()),
            bound(source),
            group(value),
        ))
        .map_with(move |node, extra| spanned(source, node, extra.span()));
        let operand = just(Token::Star).or_not().then(primary).map_with(
            move |(star, value), extra| match star {
                Some(_) => spanned(source, Expr::Default(Box::new(value)), extra.span()),
                None => value,
            },
        );
        let conjunction = operand
            .separated_by(just(Token::And))
            .at_least(1)
            .collect::<Vec<_>>()
            .map_with(move |mut list, extra| match list.len() {
                1 => list.remove(0),
                _ => spanned(source, Expr::And(list), extra.span()),
            });
        conjunction
            .separated_by(just(Token::Or))
            .at_least(1)
            .collect::<Vec<_>>()
            .map_with(move |mut list, extra| match list.len() {
                1 => list.remove(0),
                _ => spanned(source, Expr::Or(list), extra.span()),
            })
    })
}

/// `{` fields `}`. A record that can't be parsed is skipped as a whole.
fn record<'a, I>(
    source: usize,
    value: impl Parser<'a, I, Spanned<Expr>, Extra<'a>> + Clone + 'a,
) -> impl Parser<'a, I, Expr, Extra<'a>> + Clone
where
    I: ValueInput<'a, Token = Token, Span = SimpleSpan>,
{
    let fields = separators()
        .ignore_then(
            field(source, record_label(source), value)
                .then_ignore(separators())
                .repeated()
                .collect::<Vec<_>>(),
        )
        .labelled("fields");
    let other_brackets = [
        (Token::OpenList, Token::CloseList),
        (Token::OpenGroup, Token::CloseGroup),
    ];
    let skipped = nested_delimiters(Token::Open, Token::Close, other_brackets, |_| Expr::Error);
    fields
        .delimited_by(just(Token::Open), just(Token::Close))
        .map(Expr::Record)
        .recover_with(via_parser(skipped))
}

/// `[` values, optionally with `...value` for further values `]`.
fn list<'a, I>(
    value: impl Parser<'a, I, Spanned<Expr>, Extra<'a>> + Clone + 'a,
) -> impl Parser<'a, I, Expr, Extra<'a>> + Clone
where
    I: ValueInput<'a, Token = Token, Span = SimpleSpan>,
{
    let rest = just(Token::Rest)
        .ignore_then(value.clone())
        .then_ignore(separators())
        .or_not();
    let items = value
        .then_ignore(separators())
        .repeated()
        .collect::<Vec<_>>()
        .then(rest);
    separators()
        .ignore_then(items)
        .delimited_by(just(Token::OpenList), just(Token::CloseList))
        .map(|(items, rest)| Expr::List(items, rest.map(Box::new)))
}

fn literal<'a, I>() -> impl Parser<'a, I, Expr, Extra<'a>> + Clone
where
    I: ValueInput<'a, Token = Token, Span = SimpleSpan>,
{
    select! {
        Token::Bool(value) => Expr::Bool(value),
        Token::Int(number) => Expr::Int(number),
        Token::Float(number) => Expr::Float(number),
        Token::Duration(microseconds) => Expr::Duration(microseconds),
        Token::Size(bytes) => Expr::Size(bytes),
        Token::Text(text) => Expr::Text(text),
    }
    .labelled("a value")
}

/// A reference: a name, with the names of nested fields.
fn path<'a, I>() -> impl Parser<'a, I, Expr, Extra<'a>> + Clone
where
    I: ValueInput<'a, Token = Token, Span = SimpleSpan>,
{
    let rest = just(Token::Dot)
        .ignore_then(word())
        .repeated()
        .collect::<Vec<_>>();
    word()
        .or(definition())
        .then(rest)
        .map(|(first, rest)| Expr::Name(std::iter::once(first).chain(rest).collect()))
}

/// A bound: a relation and a literal.
fn bound<'a, I>(source: usize) -> impl Parser<'a, I, Expr, Extra<'a>> + Clone
where
    I: ValueInput<'a, Token = Token, Span = SimpleSpan>,
{
    let relation = select! {
        Token::AtLeast => Relation::AtLeast,
        Token::Above => Relation::Above,
        Token::AtMost => Relation::AtMost,
        Token::Below => Relation::Below,
        Token::Not => Relation::Not,
    }
    .labelled("a bound");
    let limit = literal().map_with(move |node, extra| spanned(source, node, extra.span()));
    relation
        .then(limit)
        .map(|(relation, limit)| Expr::Bound(relation, Box::new(limit)))
}

/// `(` value `)`.
fn group<'a, I>(
    value: impl Parser<'a, I, Spanned<Expr>, Extra<'a>> + Clone + 'a,
) -> impl Parser<'a, I, Expr, Extra<'a>> + Clone
where
    I: ValueInput<'a, Token = Token, Span = SimpleSpan>,
{
    value
        .delimited_by(just(Token::OpenGroup), just(Token::CloseGroup))
        .map(|value| value.node)
}
