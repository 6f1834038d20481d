//! A run of the fault soak (`tests/soak`) for a minute: front end processes under overlapping faults violate no invariant.

use std::path::PathBuf;
use std::time::Duration;
use tansy_soak::{run, Options};

#[test]
fn overlapping_faults_violate_no_invariant() {
    let options = Options {
        gateway: PathBuf::from(env!("CARGO_BIN_EXE_tansy-gateway")),
        seed: 40,
        front_ends: 10,
        workers: 6,
        clients: 3,
        duration: Duration::from_secs(60),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let outcome = runtime.block_on(run(&options)).expect("the soak runs");
    let oracle = &outcome.oracle;
    assert!(
        oracle.counts.sent > 500 && oracle.counts.signals > 10,
        "too few calls or signals were sent: {:?}",
        oracle.counts
    );
    for violation in oracle.violations() {
        println!("{violation:?}");
        violation
            .id
            .into_iter()
            .flat_map(|id| oracle.timeline(id))
            .for_each(|line| println!("  {line}"));
    }
    let certain = oracle.violations().iter().filter(|v| !v.doubtful).count();
    assert_eq!(certain, 0, "logs: {}", outcome.folder.display());
    let _ = std::fs::remove_dir_all(&outcome.folder);
}
