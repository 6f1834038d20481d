//! Converts fields to the text of settings.

use tansy_agreement::compatibility::{self, Fields};

/// Converts fields to the text of settings, with nested records for the parts of their paths.
pub fn to_text(fields: &Fields) -> String {
    let mut text = String::new();
    let mut open: Vec<&str> = Vec::new();
    for (path, value) in fields {
        let mut parts: Vec<&str> = path.split('.').collect();
        let last = parts.pop().unwrap_or("");
        let same = open.iter().zip(&parts).take_while(|(a, b)| a == b).count();
        while open.len() > same {
            open.pop();
            text += &format!("{}}}\n", "    ".repeat(open.len()));
        }
        for part in &parts[same..] {
            text += &format!("{}{}: {{\n", "    ".repeat(open.len()), field_label(part));
            open.push(part);
        }
        text += &format!(
            "{}{}: {value}\n",
            "    ".repeat(open.len()),
            field_label(last)
        );
    }
    while open.pop().is_some() {
        text += &format!("{}}}\n", "    ".repeat(open.len()));
    }
    text
}

/// Converts a part of a path to a field label, quoted if necessary.
pub fn field_label(part: &str) -> String {
    let name = compatibility::unescape_name(part);
    let plain = name.starts_with(|letter: char| letter.is_ascii_lowercase())
        && name
            .chars()
            .all(|letter| letter.is_ascii_lowercase() || letter.is_ascii_digit() || letter == '_')
        && !matches!(name.as_str(), "true" | "false" | "null");
    if plain {
        name
    } else {
        compatibility::quote(&name)
    }
}
