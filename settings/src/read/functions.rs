//! Functions: those of all settings, and one that is agreed on by itself.

use crate::record::{index_of, texts, RecordReader};
use crate::types::FunctionSettings;
use crate::value::Node;
use tansy_dispatch::FunctionSpec;
use tansy_syntax::Diagnostic;

/// Reads all functions; one with an error is left out.
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
        let help = format!("want one of {}", classes.join(", "));
        errors.push(record.error("class", &path, "no class is named".into(), &help));
        return None;
    }
    Some(FunctionSpec {
        name: name.to_string(),
        class: index_of(record, "class", &path, classes, 0, errors)?,
        lanes: u32::try_from(record.int("lanes")?).ok()?,
        memory_mb: record.int("memory")? as f64 / 1e6,
        load_time: record.int("load_time"),
        versions: texts(record.list("versions")?),
    })
}

/// Reads a function that is agreed on by itself.
pub(crate) fn one_function(node: &Node, errors: &mut Vec<Diagnostic>) -> Option<FunctionSettings> {
    let record = RecordReader::of(node)?;
    let class = record.text("class")?;
    if class.is_empty() {
        let help = "want the name of a class, as class: \"chat\"";
        errors.push(record.error("class", "class", "no class is named".into(), help));
    }
    Some(FunctionSettings {
        class: class.to_string(),
        lanes: u32::try_from(record.int("lanes")?).ok()?,
        memory_mb: record.int("memory")? as f64 / 1e6,
        load_time: record.int("load_time"),
        versions: texts(record.list("versions")?),
    })
}
