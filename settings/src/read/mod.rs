//! Converts concrete values to Rust types, and checks the constraints between fields.
//!
//! - [`gateway`], [`classes`], [`functions`], [`workers`], [`fleet`]: one section of the settings each.
//! - [`router`]: the router's settings, which come from several sections.

mod classes;
mod fleet;
mod functions;
mod gateway;
mod router;
mod workers;

pub(crate) use functions::function_settings;
pub(crate) use workers::worker_list;

use crate::record::{index_of, strings, RecordReader};
use crate::types::Settings;
use crate::value::Node;
use tansy_dispatch::DispatchConfig;
use tansy_syntax::Diagnostic;

/// The records of the settings that are used in more than one place.
struct Sections<'a> {
    root: RecordReader<'a>,
    front: RecordReader<'a>,
    worker: RecordReader<'a>,
    prices: RecordReader<'a>,
    zones: Vec<String>,
    classes: Vec<(&'a str, RecordReader<'a>)>,
    functions: Vec<(&'a str, RecordReader<'a>)>,
    tenants: Vec<(&'a str, RecordReader<'a>)>,
}

/// Reads all settings. Each section reports all of its errors; a section that can't be read at all ends the reading.
pub(crate) fn settings(node: &Node, errors: &mut Vec<Diagnostic>) -> Option<Settings> {
    let sections = Sections::new(node)?;
    sections.check_not_empty(errors);
    let (front, zones) = (sections.front, &sections.zones);
    // The error of an unknown zone has been reported, so any index serves to find further errors.
    let home_zone = index_of(front, "zone", "front.zone", zones, 0, errors).unwrap_or(0);
    gateway::check_index(front, errors)?;
    let classes = classes::classes(&sections.classes, errors)?;
    let class_names = names(&sections.classes);
    let functions = functions::functions(&sections.functions, &class_names, errors);
    let addresses = gateway::addresses(front, errors);
    let workers = worker_list(node, zones, home_zone, errors)?;
    let settings = router::router_settings(&sections, home_zone, classes)?;
    let gateway = gateway::gateway(front, sections.worker, &addresses)?;
    let fleet = match sections.root.record("fleet") {
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
    fn new(node: &'a Node) -> Option<Sections<'a>> {
        let root = RecordReader::new(node)?;
        Some(Sections {
            root,
            front: root.record("front")?,
            worker: root.record("worker")?,
            prices: root.record("prices")?,
            zones: strings(root.list("zones")?),
            classes: root.records("classes")?,
            functions: root.records("functions")?,
            tenants: root.records("tenants")?,
        })
    }

    /// Checks that the settings have at least one class and one function.
    fn check_not_empty(&self, errors: &mut Vec<Diagnostic>) {
        if self.classes.is_empty() {
            let help = "expected at least one class of calls";
            let problem = "no class is defined".into();
            errors.push(self.root.error("classes", "classes", problem, help));
        }
        if self.functions.is_empty() {
            let help = "expected at least one function";
            let problem = "no function is defined".into();
            errors.push(self.root.error("functions", "functions", problem, help));
        }
    }
}

/// The names of records.
fn names(records: &[(&str, RecordReader<'_>)]) -> Vec<String> {
    records.iter().map(|(name, _)| name.to_string()).collect()
}
