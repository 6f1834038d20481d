//! Capacity planning from measurements: records benchmark runs, fits how costs grow with size, compares the extrapolated
//! costs with their budgets, and generates a Markdown page with plots. CI checks that the page matches the recorded runs.
//!
//! The crate measures nothing: `tansy-scale` and `tansy-sim` print the runs, one JSON object a line. It reads the given
//! run files, and reads and writes files under a documentation folder.
//!
//! - [`runs`]: parsing of runs, and the file of recorded runs.
//! - [`fit`]: the regression of a cost on size.
//! - [`figures`]: the definitions in `figures.toml` and their evaluation. A *slope* is a measured output as a function of
//!   one input; a *figure* is a value computed from slopes, assumptions and given numbers.
//! - [`page`], [`plot`]: rendering of the page and its plots.
//!
//! The commands are available as `tansy-capacity` and as subcommands of `tansy-scale`, which includes [`Command`].
//!
//! ```
//! use tansy_capacity::figures::{Definitions, Evaluation, Overrides};
//! use tansy_capacity::runs::parse_runs;
//!
//! let definitions = r#"
//! [[slopes]]
//! id = "bytes"
//! what = "Bytes a second"
//! tool = "virtual"
//! x = "front_ends"
//! y = "bytes_s"
//! unit = "bytes/s"
//! at = 8_000
//!
//! [[figures]]
//! id = "both_ways"
//! role = "front end"
//! what = "bytes in and out"
//! unit = "bytes/s"
//! by = "leases"
//! terms = ["2 * bytes(8_000)"]
//! "#;
//! let lines: Vec<String> = [100, 200, 400, 800, 1_600]
//!     .map(|size| format!(
//!         r#"{{"tool": "virtual", "command": "tansy-sim size", "ok": true, "seed": 1, "front_ends": {size}, "bytes_s": {}}}"#,
//!         3 * size,
//!     ))
//!     .to_vec();
//!
//! let runs = parse_runs("runs.jsonl", &lines.join("\n"))?;
//! let definitions = Definitions::parse("figures.toml", definitions)?;
//! let evaluation = Evaluation::new("figures.toml", definitions, &runs)?;
//! let both_ways = evaluation.estimate_figures(&Overrides::new()).remove(0).expect("five sizes are enough");
//! assert!((both_ways.interval.mid - 48_000.0).abs() < 1e-6);
//! # Ok::<(), tansy_capacity::Errors>(())
//! ```

mod check;
mod command;
mod error;
pub mod figures;
mod files;
pub mod fit;
mod format;
mod generate;
pub mod page;
pub mod plot;
mod record;
pub mod runs;

pub use check::{check, CheckSummary, Difference};
pub use command::{Command, PageArgs, RecordArgs};
pub use error::{CapacityError, Errors};
pub use generate::{generate, PageSummary};
pub use record::{record, RecordSummary};
