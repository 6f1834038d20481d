//! `page --check` reports each file that is out of date.

use crate::support::{docs, messages, replace_in, run_line};
use std::fs;
use std::path::Path;
use tansy_capacity::check;

#[test]
fn modified_files_are_reported() {
    type Change = fn(&Path);
    let changes: [(&str, &str, Change); 7] = [
        ("page", "CAPACITY.md:", |docs| {
            replace_in(docs.join("CAPACITY.md"), "30,0", "29,0")
        }),
        ("verdict", "CAPACITY.md:", |docs| {
            replace_in(docs.join("CAPACITY.md"), "**fails**", "holds")
        }),
        ("plot", "img/capacity-bytes.svg:", |docs| {
            replace_in(docs.join("img/capacity-bytes.svg"), "cx=\"", "cx=\"1")
        }),
        ("stray", "img/capacity-old.svg: ", |docs| {
            fs::write(docs.join("img/capacity-old.svg"), "").unwrap()
        }),
        ("run", "CAPACITY.md:", |docs| {
            replace_in(
                docs.join("capacity/slopes.json"),
                "\"p99\":212",
                "\"p99\":2120",
            )
        }),
        ("unrecorded", "capacity/runs/virtual.jsonl: ", |docs| {
            replace_in(
                docs.join("capacity/runs/virtual.jsonl"),
                "\"seed\":1,",
                "\"seed\":9,",
            )
        }),
        ("twice", "capacity/slopes.json:", |docs| {
            let first = format!("[\n{},\n", run_line(100, 1));
            replace_in(docs.join("capacity/slopes.json"), "[\n", &first)
        }),
    ];
    for (name, expected, change) in changes {
        let docs = docs(&format!("changed-{name}"));
        assert!(check(&docs).is_ok());
        change(&docs);
        let lines = messages(check(&docs), name);
        assert!(
            lines.iter().any(|l| l.starts_with(expected)),
            "{name}: {lines:?}"
        );
        assert!(lines.iter().all(|l| !l.contains('\n')), "{name}: {lines:?}");
    }
}
