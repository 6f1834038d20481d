//! Every file of runs under `docs/capacity/runs` can be read, each line as one run.

use std::path::Path;
use tansy_capacity::runs::parse_runs;

#[test]
fn every_stored_run_is_read() {
    // Lower bounds on the number of runs per file; runs are only ever added.
    let min_runs = [
        ("causes.jsonl", 4),
        ("processes.jsonl", 3),
        ("roles.jsonl", 10),
        ("run.jsonl", 17),
        ("scenarios.jsonl", 135),
        ("scopes-state.jsonl", 54),
        ("scopes.jsonl", 20),
        ("state.jsonl", 266),
        ("virtual.jsonl", 17),
    ];
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/capacity/runs");
    for (name, min_runs) in min_runs {
        let text = std::fs::read_to_string(folder.join(name)).expect(name);
        let runs = parse_runs(name, &text).unwrap_or_else(|e| panic!("{}", e.join("\n")));
        assert!(runs.len() >= min_runs, "{name}: {} runs", runs.len());
        for run in &runs {
            assert!(
                !run.tool().is_empty() && !run.command().is_empty(),
                "{name}"
            );
        }
    }
}
