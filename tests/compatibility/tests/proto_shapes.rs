//! Every `.proto` file of the project keeps its recorded shape.
//!
//! `fixtures/*.shape` were written by `examples/record.rs`. A new field gets a new line there; no line is changed or removed. Names of
//! messages and fields may change in `fleet.proto`; the other files are public protocols, whose names are fixed.

use std::path::{Path, PathBuf};
use tansy_compatibility_tests::fixture;
use tansy_compatibility_tests::shape::{shape, Names};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn compare(folder: &str, file: &str, names: Names, recorded: &str) {
    let present = shape(&root().join(folder), file, names);
    let recorded = fixture::text(recorded);
    for (n, (present, recorded)) in present.lines().zip(recorded.lines()).enumerate() {
        assert_eq!(present, recorded, "{file}: line {} of its shape", n + 1);
    }
    assert_eq!(present.lines().count(), recorded.lines().count(), "{file}");
}

#[test]
fn messages_between_front_ends_keep_their_shape() {
    compare(
        "protocol/fleet/proto",
        "fleet.proto",
        Names::Ignored,
        "fleet.shape",
    );
}

#[test]
fn messages_of_the_inference_protocol_keep_their_shape_and_names() {
    compare(
        "protocol/inference/proto",
        "inference.proto",
        Names::Significant,
        "inference.shape",
    );
}

#[test]
fn load_reports_keep_their_shape_and_names() {
    compare(
        "protocol/inference/proto",
        "orca.proto",
        Names::Significant,
        "orca.shape",
    );
}

/// A `.proto` file without a recorded shape could change unnoticed.
#[test]
fn every_proto_file_has_a_recorded_shape() {
    fn walk(folder: &Path, found: &mut Vec<String>) {
        for entry in std::fs::read_dir(folder).expect("a folder").flatten() {
            let (path, name) = (entry.path(), entry.file_name().into_string());
            let name = name.expect("a name");
            if path.is_dir() && name != "target" && !name.starts_with('.') {
                walk(&path, found);
            } else if name.ends_with(".proto") {
                found.push(name);
            }
        }
    }
    let mut found = Vec::new();
    walk(&root(), &mut found);
    found.sort();
    assert_eq!(found, ["fleet.proto", "inference.proto", "orca.proto"]);
}

/// Checks the comparison itself: without names, only the names and the order of the file are ignored.
#[test]
fn other_names_and_another_order_give_the_same_shape() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let shape = |messages: &str| {
        let head = "syntax = \"proto3\"; package p; service S { rpc Do(A) returns (stream B); }";
        let text = format!("{head}\n{messages}");
        std::fs::write(folder.join("shape.proto"), text).expect("a file");
        shape(&folder, "shape.proto", Names::Ignored)
    };
    let first = shape(
        "message A { E e = 1; map<string, B> all = 2; oneof x { bool f = 3; A a = 4; } }
        message B { repeated fixed64 n = 1; } enum E { NO = 0; YES = 1; }",
    );
    let renamed = shape(
        "enum Sort { FIRST = 0; SECOND = 1; } message B { repeated fixed64 numbers = 1; }
        message A { oneof y { A again = 4; bool flag = 3; } map<string, B> m = 2; Sort sort = 1; }",
    );
    assert_eq!(first, renamed);
    let others = [
        "message A { E e = 1; map<string, B> all = 2; oneof x { bool f = 3; A a = 4; } }
        message B { repeated uint64 n = 1; } enum E { NO = 0; YES = 1; }",
        "message A { E e = 1; map<string, B> all = 2; oneof x { bool f = 3; B a = 4; } }
        message B { repeated fixed64 n = 1; } enum E { NO = 0; YES = 1; }",
        "message A { E e = 1; map<string, B> all = 2; oneof x { bool f = 3; A a = 4; } }
        message B { repeated fixed64 n = 1; } enum E { NO = 0; YES = 2; }",
        "message A { E e = 1; map<string, B> all = 2; oneof x { bool f = 3; } A a = 4; }
        message B { repeated fixed64 n = 1; } enum E { NO = 0; YES = 1; }",
        "message A { E e = 1; map<string, B> all = 2; oneof x { bool f = 3; A a = 4; } }
        message B { fixed64 n = 1; } enum E { NO = 0; YES = 1; }",
    ];
    for other in others {
        assert_ne!(shape(other), first, "{other}");
    }
}
