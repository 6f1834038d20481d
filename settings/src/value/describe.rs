//! Descriptions of values and constraints for error messages.

use super::{Bound, Kind, Node, Scalar};

/// Describes the values that a node allows.
pub fn describe(node: &Node) -> String {
    match &node.kind {
        Kind::Any => "any value".into(),
        Kind::Scalar(scalar) => scalar.to_string(),
        Kind::Typed(scalar_type, bounds) => {
            let described = scalar_type.map(|scalar_type| scalar_type.describe());
            let mut words = described.unwrap_or("a value").to_string();
            if !bounds.is_empty() {
                let bounds: Vec<String> = bounds.iter().map(Bound::to_string).collect();
                words.push_str(&format!(", {}", bounds.join(" and ")));
            }
            words
        }
        Kind::Record(_) => "a record in { }".into(),
        Kind::List(..) => "a list in [ ]".into(),
        Kind::Or(alternatives) => describe_alternatives(alternatives),
        Kind::Invalid => "something else".into(),
    }
}

fn describe_alternatives(alternatives: &[(bool, Node)]) -> String {
    let is_scalar = |node: &Node| matches!(node.kind, Kind::Scalar(_));
    let all_scalars = alternatives.iter().all(|(_, node)| is_scalar(node));
    // A default next to a type is left out, since it allows no further value.
    let shown = alternatives
        .iter()
        .filter(|(default, node)| all_scalars || !*default || !is_scalar(node));
    let shown: Vec<String> = shown.map(|(_, node)| describe(node)).collect();
    shown.join(" or ")
}

/// Describes a value that is written in a file.
pub(super) fn describe_written(node: &Node) -> String {
    match &node.kind {
        Kind::Scalar(Scalar::Text(text)) => format!("the string {text:?}"),
        Kind::Record(_) => "a record".into(),
        Kind::List(..) => "a list".into(),
        _ => describe(node),
    }
}

/// A suggestion of a similar known name, or an empty string.
pub(super) fn suggest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> String {
    let scored = known.map(|known| (strsim::damerau_levenshtein(name, known), known));
    let nearest = scored
        .min()
        .filter(|(distance, known)| *distance <= (known.len() / 3).clamp(1, 3));
    match nearest {
        Some((_, known)) => format!("did you mean `{known}`?"),
        None => String::new(),
    }
}
