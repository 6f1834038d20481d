//! The modules are layers: each uses only itself and those below it.

use std::fs;
use std::path::Path;

/// From the lowest to the highest.
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
    index.unwrap_or_else(|| panic!("{name} is not among the layers"))
}

/// The modules of this package that a source file names by `crate::`.
fn modules_used(path: &Path) -> Vec<String> {
    let text = fs::read_to_string(path).unwrap();
    assert!(
        !text.contains("use crate::{"),
        "{}: one module a line, so that this test sees it",
        path.display()
    );
    let is_name = |letter: &char| letter.is_alphanumeric() || *letter == '_';
    let uses = text.split("crate::").skip(1);
    uses.map(|rest| rest.chars().take_while(is_name).collect())
        .collect()
}

#[test]
fn no_module_uses_one_above_it() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut checked = 0;
    for entry in fs::read_dir(&source).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_stem().unwrap().to_str().unwrap().to_string();
        let files: Vec<_> = if path.is_dir() {
            let inside = fs::read_dir(&path).unwrap();
            inside.map(|file| file.unwrap().path()).collect()
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
                    "{} uses {used}, which is above {name}",
                    file.display()
                );
            }
        }
    }
    assert!(checked > 20, "only {checked} uses were read");
}
