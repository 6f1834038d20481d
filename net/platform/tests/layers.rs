//! Checks that each module uses only itself and modules of lower layers.

use std::fs;
use std::path::Path;

/// Module names, lowest layer first.
const LAYERS: [&str; 10] = [
    "limits",
    "reasons",
    "outbox",
    "response_slot",
    "call",
    "worker_connection",
    "worker_pool",
    "driver",
    "client",
    "endpoint_poller",
];

fn layer(name: &str) -> usize {
    let index = LAYERS.iter().position(|layer| *layer == name);
    index.unwrap_or_else(|| panic!("module {name} is not listed in LAYERS"))
}

/// The modules that a source file refers to as `crate::MODULE`.
fn modules_used(path: &Path) -> Vec<String> {
    let text = fs::read_to_string(path).unwrap();
    assert!(
        !text.contains("use crate::{"),
        "{}: write one `use` per module; this test does not parse groups",
        path.display()
    );
    let is_identifier_char = |c: &char| c.is_alphanumeric() || *c == '_';
    let uses = text.split("crate::").skip(1);
    uses.map(|rest| rest.chars().take_while(is_identifier_char).collect())
        .collect()
}

#[test]
fn modules_use_only_lower_layers() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut checked = 0;
    for entry in fs::read_dir(&source).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_stem().unwrap().to_str().unwrap().to_string();
        let files: Vec<_> = if path.is_dir() {
            let entries = fs::read_dir(&path).unwrap();
            entries.map(|entry| entry.unwrap().path()).collect()
        } else if name == "lib" {
            continue;
        } else {
            vec![path]
        };
        for file in files {
            for used in modules_used(&file) {
                checked += 1;
                assert!(
                    layer(&used) <= layer(&name),
                    "{} uses {used}, which is in a higher layer than {name}",
                    file.display()
                );
            }
        }
    }
    assert!(checked > 20, "only {checked} uses were found");
}
