//! Tests of tokens, number units, and the handling of new lines.

use tansy_syntax::{lex, Token};

fn tokens(text: &str) -> Vec<Token> {
    let (tokens, diagnostics) = lex(text, 0);
    assert_eq!(diagnostics, []);
    tokens.into_iter().map(|(token, _)| token).collect()
}

#[test]
fn numbers_carry_units_and_stay_exact() {
    use Token::*;
    let all = tokens("1 -2 1_000 0.5 750ms 1.5s 2m 1h 10us 4GiB 1.5KB 7B");
    let expected = [
        Int(1),
        Int(-2),
        Int(1000),
        Float(0.5),
        Duration(750_000),
        Duration(1_500_000),
        Duration(120_000_000),
        Duration(3_600_000_000),
        Duration(10),
        Size(4 << 30),
        Size(1500),
        Size(7),
    ];
    assert_eq!(all, expected);
    for text in [
        "9999999999999999999",
        "99999999999999999h",
        "\"open",
        "\"\\q\"",
        "$",
    ] {
        assert_eq!(lex(text, 0).1.len(), 1, "{text}");
    }
}

#[test]
fn a_new_line_ends_a_value_unless_the_next_line_continues_it() {
    use Token::*;
    let word = |name: &str| Word(name.into());
    assert_eq!(
        tokens("a: 1 // one\n\nb:\n 2"),
        [word("a"), Colon, Int(1), Comma, word("b"), Colon, Int(2)]
    );
    assert_eq!(tokens("a: 1\n | 2"), [word("a"), Colon, Int(1), Or, Int(2)]);
}
