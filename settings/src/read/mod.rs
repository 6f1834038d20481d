//! Concrete values as the program's own types, with the checks that span several fields.
//!
//! - [`gateway`], [`classes`], [`functions`], [`workers`], [`fleet`]: a part each. [`router`]: the router's settings, from
//!   several.

mod classes;
mod fleet;
mod functions;
mod gateway;
mod router;
mod workers;

pub(crate) use functions::one_function;
pub(crate) use workers::worker_list;

use crate::record::{index_of, texts, RecordReader};
use crate::types::Settings;
use crate::value::Node;
use tansy_dispatch::DispatchConfig;
use tansy_syntax::Diagnostic;

/// The records of the settings that are read by several parts.
struct Sections<'a> {
    all: RecordReader<'a>,
    front: RecordReader<'a>,
    worker: RecordReader<'a>,
    prices: RecordReader<'a>,
    zones: Vec<String>,
    classes: Vec<(&'a str, RecordReader<'a>)>,
    functions: Vec<(&'a str, RecordReader<'a>)>,
    tenants: Vec<(&'a str, RecordReader<'a>)>,
}

/// Reads all settings. Each part reports its own errors; the first that can't be read at all ends the reading.
pub(crate) fn settings(node: &Node, errors: &mut Vec<Diagnostic>) -> Option<Settings> {
    let sections = Sections::of(node)?;
    sections.check_given(errors);
    let (front, zones) = (sections.front, &sections.zones);
    // Errors are reported already where there is no such zone.
    let home_zone = index_of(front, "zone", "front.zone", zones, 0, errors).unwrap_or(0);
    gateway::check_number(front, errors)?;
    let classes = classes::classes(&sections.classes, errors)?;
    let class_names = names(&sections.classes);
    let functions = functions::functions(&sections.functions, &class_names, errors);
    let addresses = gateway::addresses(front, errors);
    let workers = worker_list(node, zones, home_zone, errors)?;
    let settings = router::router_settings(&sections, home_zone, classes)?;
    let gateway = gateway::gateway(front, sections.worker, &addresses)?;
    let fleet = match sections.all.inner("fleet") {
        Some(record) => Some(fleet::fleet(record, errors)?),
        None => None,
    };
    let config = DispatchConfig {
        settings,
        classes: class_names,
        tenants: names(&sections.tenants),
        zones: sections.zones,
        functions,
        max_call_time: front.int("longest")?,
        seed: u64::try_from(front.int("seed")?).ok()?,
    };
    Some(Settings {
        dispatch: config,
        gateway,
        workers,
        fleet,
    })
}

impl<'a> Sections<'a> {
    fn of(node: &'a Node) -> Option<Sections<'a>> {
        let all = RecordReader::of(node)?;
        Some(Sections {
            all,
            front: all.inner("front")?,
            worker: all.inner("worker")?,
            prices: all.inner("prices")?,
            zones: texts(all.list("zones")?),
            classes: all.records("classes")?,
            functions: all.records("functions")?,
            tenants: all.records("tenants")?,
        })
    }

    /// Checks that there are classes and functions.
    fn check_given(&self, errors: &mut Vec<Diagnostic>) {
        if self.classes.is_empty() {
            let help = "want at least one class of calls";
            let problem = "no class is given".into();
            errors.push(self.all.error("classes", "classes", problem, help));
        }
        if self.functions.is_empty() {
            let help = "want at least one function";
            let problem = "no function is given".into();
            errors.push(self.all.error("functions", "functions", problem, help));
        }
    }
}

/// The names of records.
fn names(records: &[(&str, RecordReader<'_>)]) -> Vec<String> {
    records.iter().map(|(name, _)| name.to_string()).collect()
}
