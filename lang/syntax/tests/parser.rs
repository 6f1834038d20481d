//! Tests of parsed records, and of errors with their places.

use tansy_syntax::{parse, Expr, Label, Source};

#[test]
fn records_lists_bounds_and_defaults_are_parsed() {
    let text =
        "a: {b: 1, c?: int & >=1 | *2\n d: [1, 2, ...int]}\n#X: {[string]: a.b}\n\"e f\": *true | false";
    let (fields, diagnostics) = parse(text, 0);
    assert_eq!(diagnostics, []);
    let names: Vec<_> = fields
        .iter()
        .map(|field| field.label.node.clone())
        .collect();
    assert_eq!(names, ["a", "#X", "e f"].map(|n| Label::Name(n.into())));
    let Expr::Record(inner) = &fields[0].value.node else {
        panic!("{:?}", fields[0])
    };
    assert!(inner[1].optional && matches!(&inner[1].value.node, Expr::Or(l) if l.len() == 2));
    assert!(matches!(&inner[2].value.node, Expr::List(l, Some(_)) if l.len() == 2));
}

#[test]
fn several_errors_are_reported_at_once_with_their_places() {
    let text = "a: 1\nb: = 2\nc: 3\nd 4\ne: 5";
    let (fields, diagnostics) = parse(text, 0);
    let source = Source {
        name: "t".into(),
        text: text.into(),
    };
    let places: Vec<_> = diagnostics
        .iter()
        .map(|d| source.position(d.span.start))
        .collect();
    assert!(
        places.contains(&(2, 4)) && places.contains(&(4, 3)),
        "{diagnostics:?}"
    );
    assert!(fields.len() >= 3, "{fields:?}");
}

#[test]
fn nesting_depth_is_bounded() {
    let (_, diagnostics) = parse(&format!("a: {}", "[".repeat(100_000)), 0);
    assert_eq!(diagnostics.len(), 1);
}
