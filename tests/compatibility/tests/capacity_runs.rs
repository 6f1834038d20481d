//! Every file of runs under `docs/capacity/runs` is read still, each line as one run.

use std::path::Path;
use tansy_capacity::runs::parse_runs;

#[test]
fn every_run_that_is_kept_is_read() {
    // The runs that each file had when this test was written; runs are added, never taken away.
    let least = [
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
    for (name, least) in least {
        let text = std::fs::read_to_string(folder.join(name)).expect(name);
        let runs = parse_runs(name, &text).unwrap_or_else(|e| panic!("{}", e.join("\n")));
        assert!(runs.len() >= least, "{name}: {} runs", runs.len());
        for run in &runs {
            assert!(
                !run.tool().is_empty() && !run.command().is_empty(),
                "{name}"
            );
        }
    }
}
