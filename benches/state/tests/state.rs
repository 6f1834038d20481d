//! Runs each measurement at a small size: output fields, encoded sizes, the largest message and rejected arguments. No
//! assertion depends on a duration.

use serde_json::Value;
use std::process::{Command, Output};
use tansy_agreement::log::{LogEntry, Version};
use tansy_bench_state::messages::{
    encode_grant, fleet_state, largest_satisfying, max_functions_of_grant, read_message, ReadError,
};
use tansy_bench_state::{inputs, measure_in_process, Args, Measurement};
use tansy_fleet_wire::MAX_MESSAGE_BYTES;
use tansy_frames::grpc::FrameError;
use tansy_settings::agreement;

fn run(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_tansy-bench-state"))
        .args(words)
        .output()
        .expect("the program runs")
}

fn measured(what: &str, extra_arguments: &[&str]) -> Value {
    let small = [
        "--what",
        what,
        "--functions",
        "50",
        "--instances",
        "300",
        "--front-ends",
        "40",
        "--changes",
        "3",
    ];
    let out = run(&[&small[..], extra_arguments].concat());
    let text = String::from_utf8_lossy(&out.stdout);
    let errors = String::from_utf8_lossy(&out.stderr);
    assert!(out.status.success(), "{what}: {errors}");
    serde_json::from_str(text.lines().last().expect("an output line")).expect("valid JSON")
}

fn count(line: &Value, field: &str) -> u64 {
    line[field]
        .as_u64()
        .unwrap_or_else(|| panic!("{field} is not a count in {line}"))
}

fn line(args: &Args) -> Value {
    measure_in_process(args)
        .expect("the measurement succeeds")
        .json(true)
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "a table of measurements and their fields"
)]
fn each_run_prints_one_line_with_its_fields() {
    let all: [(&str, &[&str]); 19] = [
        ("module", &["memory_mb", "decide_us", "tick_us", "workers"]),
        (
            "ledger",
            &["memory_mb", "decide_us", "tick_us", "functions_held"],
        ),
        (
            "cold_start",
            &[
                "order_us",
                "send_us",
                "order_wait_ms",
                "send_wait_ms",
                "cold_sent",
            ],
        ),
        (
            "terms",
            &["memory_mb", "peak_mb", "change_ms", "adopt_ms", "filled_ms"],
        ),
        ("adopt", &["memory_mb", "adopt_ms", "lapse_ms"]),
        (
            "letter",
            &["letter_bytes", "force_bytes", "function_bytes", "encode_ms"],
        ),
        (
            "log",
            &["memory_mb", "entry_bytes", "log_bytes", "history_bytes"],
        ),
        ("file", &["file_bytes", "change_bytes", "entry_bytes"]),
        (
            "members",
            &[
                "memory_mb",
                "view_us",
                "compare_us",
                "join_us",
                "datagram_bytes_s",
            ],
        ),
        ("view", &["memory_mb", "view_us", "parent_us", "links"]),
        (
            "roster",
            &[
                "memory_mb",
                "register_mb",
                "look_us",
                "log_bytes",
                "most_front_ends",
            ],
        ),
        ("list", &["memory_mb", "file_bytes", "read_ms", "lines"]),
        (
            "listed",
            &["memory_mb", "first_ms", "again_ms", "one_comes_ms", "ready"],
        ),
        (
            "platform_list",
            &["memory_mb", "file_bytes", "take_ms", "lines"],
        ),
        (
            "leaving",
            &["memory_mb", "letter_bytes", "digest_bytes", "remembered"],
        ),
        (
            "catalog",
            &[
                "memory_mb",
                "log_mb",
                "log_bytes",
                "change_ms",
                "burst_ms",
                "encode_ms",
                "read_ms",
            ],
        ),
        (
            "catalog_file",
            &[
                "whole_bytes",
                "file_bytes",
                "record_ms",
                "whole_ms",
                "start_ms",
            ],
        ),
        (
            "holding",
            &[
                "memory_mb",
                "state_mb",
                "call_us",
                "ask_us",
                "more_us",
                "burst_ms",
                "told_ms",
            ],
        ),
        (
            "holders",
            &[
                "memory_mb",
                "holdings",
                "tell_us",
                "want_us",
                "waits_us",
                "most_waits_us",
            ],
        ),
    ];
    for (what, fields) in all {
        let line = measured(what, &[]);
        assert_eq!(
            (&line["tool"], &line["what"], &line["ok"]),
            (&"state".into(), &what.into(), &true.into())
        );
        assert_eq!(
            ["functions", "instances", "front_ends", "seed"].map(|f| count(&line, f)),
            [50, 300, 40, 1]
        );
        assert!(
            line["command"]
                .as_str()
                .is_some_and(|c| c.contains(&format!("--what {what} "))),
            "{line}"
        );
        assert!(line["notes"].is_array(), "{line}");
        for field in fields {
            let figure = line[field].is_number()
                || line[field]["p50"].is_number() && line[field]["p99"].is_number();
            assert!(figure, "{what} has no figure {field}: {line}");
        }
    }
}

#[test]
fn measured_counts_are_those_of_the_arguments() {
    assert_eq!(count(&measured("members", &[]), "members"), 40);
    assert_eq!(count(&measured("list", &[]), "lines"), 300);
    assert_eq!(count(&measured("platform_list", &[]), "lines"), 300);
    assert_eq!(count(&measured("listed", &[]), "ready"), 300);
    assert_eq!(count(&measured("leaving", &[]), "remembered"), 300);
    let log = measured("log", &[]);
    assert_eq!((count(&log, "versions"), count(&log, "changes")), (4, 3));
    // All functions are known, whether the settings list them or calls describe them.
    for words in [&[][..], &["--unlisted"]] {
        let ledger = measured("ledger", words);
        assert_eq!(count(&ledger, "functions_held"), 50, "{ledger}");
        assert!(count(&ledger, "calls") > 1000, "{ledger}");
    }
    let few = ["--held", "7"];
    let catalog = measured("catalog", &[]);
    assert_eq!(
        (
            count(&catalog, "scopes"),
            count(&catalog, "burst"),
            count(&catalog, "readable")
        ),
        (50, 50, 1)
    );
    assert!(count(&catalog, "encodings") > 0, "{catalog}");
    assert_eq!(count(&measured("catalog_file", &[]), "scopes"), 50);
    let holding = measured("holding", &few);
    assert_eq!(
        ["held", "told", "squeezed"].map(|f| count(&holding, f)),
        [7, 50, 0],
        "{holding}"
    );
    let holders = measured("holders", &few);
    assert_eq!(count(&holders, "holdings"), 40 * 7, "{holders}");
    let most = count(&holders, "most_holders");
    assert!((7..=40).contains(&most), "{holders}");
    let cold = measured("cold_start", &[]);
    assert!(
        count(&cold, "cold_sent") + count(&cold, "cold_refused") > 0,
        "{cold}"
    );
}

#[test]
fn the_seed_determines_calls_and_function_names() {
    let counts = |seed: &str| {
        let line = measured("ledger", &["--seed", seed]);
        ["calls", "unserved", "functions_held"].map(|f| count(&line, f))
    };
    assert_eq!(counts("1"), counts("1"));
    assert_ne!(counts("1"), counts("2"));
    assert_eq!(inputs::function_names(9, 1), inputs::function_names(9, 1));
    assert_ne!(inputs::function_names(9, 1), inputs::function_names(9, 2));
}

#[test]
fn the_version_is_what_a_settings_file_gives() {
    let version = inputs::version_fields(&inputs::function_names(30, 3));
    let text = agreement::to_text(&version);
    assert_eq!(
        agreement::parse_version("bench.cue", &text).expect("the settings are valid"),
        version
    );
    let (completed, rejected) = agreement::with_defaults(&version).expect("the settings are valid");
    assert!(rejected.is_empty());
    let settings = agreement::effective_settings(&Default::default(), &completed)
        .expect("the settings are valid");
    assert_eq!(settings.dispatch.functions.len(), 30);
}

#[test]
fn bytes_are_those_of_the_real_encodings_and_grow_with_functions() {
    let mut before = [0; 3];
    for functions in [50, 100, 200] {
        let names = inputs::function_names(functions, 2);
        let args = |measurement| Args {
            functions,
            seed: 2,
            changes: 2,
            ..Args::of(measurement)
        };
        let (letter, log) = (
            line(&args(Measurement::GrantMessage)),
            line(&args(Measurement::ReplicatedLog)),
        );
        assert_eq!(
            count(&letter, "letter_bytes"),
            encode_grant(fleet_state(&names, true)).len() as u64
        );
        assert_eq!(
            count(&letter, "force_bytes"),
            encode_grant(fleet_state(&names, false)).len() as u64
        );
        // The record contains the proposal and at most 100 bytes more.
        let fields = inputs::with_lanes(&inputs::version_fields(&names), &names[0], 2);
        let entry = LogEntry::Propose {
            id: 1,
            base: Version(1),
            fields,
            reason: "bench".into(),
        };
        let entry = postcard::to_stdvec(&entry)
            .expect("the entry is encodable")
            .len() as u64;
        assert!(
            (entry..entry + 100).contains(&count(&log, "entry_bytes")),
            "{entry}: {log}"
        );
        let now = [
            count(&letter, "letter_bytes"),
            count(&log, "entry_bytes"),
            count(&log, "log_bytes"),
        ];
        assert!(
            now.iter()
                .zip(before)
                .all(|(now, before)| *now > before + before / 2),
            "{now:?} after {before:?}"
        );
        before = now;
    }
}

#[test]
fn a_catalog_is_encoded_in_bytes_that_grow_with_its_functions() {
    let bytes = |functions| {
        let line = line(&Args {
            functions,
            ..Args::of(Measurement::ScopeCatalog)
        });
        assert_eq!(count(&line, "scopes"), functions as u64);
        // A voter's snapshot contains the log.
        let file = self::line(&Args {
            functions,
            ..Args::of(Measurement::CatalogFile)
        });
        assert!(
            count(&file, "whole_bytes") > count(&line, "log_bytes"),
            "{line} {file}"
        );
        count(&line, "log_bytes")
    };
    let (few, many) = (bytes(5_000), bytes(10_000));
    // Each function adds a name and four fields; the change history has the same length in both.
    assert!((300_000..450_000).contains(&(many - few)), "{few} {many}");
}

#[test]
fn a_grant_above_the_maximum_number_of_functions_cannot_be_read() {
    let most = max_functions_of_grant(1, true);
    let message =
        |functions| encode_grant(fleet_state(&inputs::function_names(functions, 1), true));
    let (under, over) = (message(most), message(most + 1));
    assert!(
        under.len() <= MAX_MESSAGE_BYTES && over.len() > MAX_MESSAGE_BYTES,
        "{} and {}",
        under.len(),
        over.len()
    );
    assert!(read_message(&under).is_ok());
    assert!(matches!(
        read_message(&over),
        Err(error @ ReadError::Frame(FrameError::TooLong { .. })) if error.to_string().contains("TooLong")
    ));
}

#[test]
fn the_largest_satisfying_number_is_found() {
    for limit in [0, 1, 2, 3, 7, 8, 9, 1000] {
        assert_eq!(largest_satisfying(|number| number <= limit), limit);
    }
}

#[test]
fn arguments_that_are_too_large_or_wrong_are_rejected_in_one_line() {
    let large = [
        "--what",
        "module",
        "--functions",
        "1000000",
        "--instances",
        "4000000",
    ];
    let rejections: [(&[&str], &str); 7] = [
        (&large, "half of this machine's memory"),
        (&["--what", "module", "--functions", "0"], "--functions"),
        (&["--what", "view", "--front-ends", "many"], "--front-ends"),
        (&["--what", "nothing"], "possible values"),
        (&["--what", "holding", "--held", "5000"], "--held"),
        (&[], "--what"),
        (&["--all", "--seed", "2"], "--all"),
    ];
    for (words, expected) in rejections {
        let out = run(words);
        let errors = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(2), "{words:?}: {errors}");
        assert!(out.stdout.is_empty(), "{words:?}");
        assert_eq!(errors.lines().count(), 1, "{words:?}: {errors}");
        assert!(errors.contains(expected), "{words:?}: {errors}");
    }
}
