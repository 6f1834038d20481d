//! Errors in `figures.toml` and in the template report the file, the line, the cause and what was expected.

use crate::support::{docs, messages, replace_in};
use tansy_capacity::figures::{DefinitionError, Definitions};
use tansy_capacity::{generate, CapacityError};

/// File, text in it, its replacement, and the resulting error message.
const FAULTS: [(&str, &str, &str, &str); 10] = [
    (
        "figures.toml",
        "bytes(front_ends)",
        "bites(front_ends)",
        "bites is not a slope; expected one of bytes",
    ),
    (
        "figures.toml",
        "share * ",
        "chair * ",
        "\"chair\" is not a factor; expected a number",
    ),
    (
        "figures.toml",
        "id = \"twice\"",
        "id = \"half\"",
        "half is defined twice",
    ),
    (
        "figures.toml",
        "tool = \"virtual\"",
        "tool = \"vitual\"",
        "tool \"vitual\" is not known; expected \"run\"",
    ),
    (
        "figures.toml",
        "at = \"front_ends\"",
        "at = []",
        "expected a number, or a name from [given]",
    ),
    (
        "figures.toml",
        "plot = \"log-log\"",
        "plot = \"log\"",
        "unknown variant",
    ),
    (
        "figures.toml",
        "at = \"front_ends\"",
        "at = \"back_ends\"",
        "back_ends: expected a number, or one of budget",
    ),
    (
        "CAPACITY.in.md",
        "{{verdict half}}",
        "{{verdict whole}}",
        "whole is not a figure; expected one of half, twice",
    ),
    (
        "CAPACITY.in.md",
        "{{measured}}",
        "{{weighed}}",
        "no such placeholder; expected measured",
    ),
    (
        "CAPACITY.in.md",
        "{{measured}}",
        "{{measured",
        "expected both on one line",
    ),
];

#[test]
fn errors_in_definitions_and_template_are_reported_by_line() {
    for (file, from, to, expected) in FAULTS {
        let docs = docs("wrong");
        replace_in(docs.join("capacity").join(file), from, to);
        let lines = messages(generate(&docs), to);
        let at = lines[0]
            .strip_prefix(&format!("{file}:"))
            .and_then(|l| l.split_once(": "));
        assert!(
            at.is_some_and(|(n, _)| n.parse::<u32>().is_ok_and(|n| n > 1)),
            "{lines:?}"
        );
        assert!(
            lines[0].contains(expected) && !lines[0].contains('\n'),
            "{expected:?} is not in {lines:?}"
        );
    }
    let docs = docs("wrong");
    replace_in(
        docs.join("capacity/figures.toml"),
        "filter = { tier = \"whole\" }",
        "filter = { tier = \"any\", seed = 1 }",
    );
    assert!(generate(&docs).is_ok(), "a filter that lets tiers differ");
}

/// Callers can match on the variant of an error; line numbers start at 1.
#[test]
fn errors_contain_file_line_and_cause() {
    let text =
        "[given]\nsize = 3\n\n[[figures]]\nid = \"sum\"\nrole = \"fleet\"\nwhat = \"a sum\"\n\
        unit = \"of 1\"\nby = \"nothing\"\nterms = []\n";
    let errors = Definitions::parse("figures.toml", text).expect_err("no terms");
    let errors: Vec<&CapacityError> = errors.iter().collect();
    assert!(
        matches!(
            &errors[..],
            [CapacityError::Definition { file, line: 5, source: DefinitionError::NoTerms(id) }]
                if file == "figures.toml" && id == "sum"
        ),
        "{errors:?}"
    );
}
