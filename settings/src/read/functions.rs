//! Reads functions: the list in the settings, and a single function whose settings a fleet agrees on separately.

use crate::record::{index_of, strings, RecordReader};
use crate::types::FunctionSettings;
use crate::value::Node;
use tansy_dispatch::FunctionSpec;
use tansy_syntax::Diagnostic;

/// Reads all functions, and leaves out those with errors.
pub(super) fn functions(
    records: &[(&str, RecordReader<'_>)],
    classes: &[String],
    errors: &mut Vec<Diagnostic>,
) -> Vec<FunctionSpec> {
    records
        .iter()
        .filter_map(|(name, record)| function(name, *record, classes, errors))
        .collect()
}

fn function(
    name: &str,
    record: RecordReader<'_>,
    classes: &[String],
    errors: &mut Vec<Diagnostic>,
) -> Option<FunctionSpec> {
    let path = format!("functions.{name}.class");
    if record.text("class") == Some("") {
        let help = format!("expected one of {}", classes.join(", "));
        errors.push(record.error("class", &path, "the class is empty".into(), &help));
        return None;
    }
    Some(FunctionSpec {
        name: name.to_string(),
        class: index_of(record, "class", &path, classes, 0, errors)?,
        lanes: u32::try_from(record.int("lanes")?).ok()?,
        memory_mb: record.int("memory")? as f64 / 1e6,
        load_time: record.int("load_time"),
        versions: strings(record.list("versions")?),
    })
}

/// Reads a function whose settings a fleet agrees on separately.
pub(crate) fn function_settings(
    node: &Node,
    errors: &mut Vec<Diagnostic>,
) -> Option<FunctionSettings> {
    let record = RecordReader::new(node)?;
    let class = record.text("class")?;
    if class.is_empty() {
        let help = "expected the name of a class, for example class: \"chat\"";
        errors.push(record.error("class", "class", "the class is empty".into(), help));
    }
    Some(FunctionSettings {
        class: class.to_string(),
        lanes: u32::try_from(record.int("lanes")?).ok()?,
        memory_mb: record.int("memory")? as f64 / 1e6,
        load_time: record.int("load_time"),
        versions: strings(record.list("versions")?),
    })
}
