//! Rendering of the page from a Markdown template, in which placeholders `{{...}}` are expanded.
//!
//! | placeholder | expansion |
//! |---|---|
//! | `{{measured}}` | date of the last recorded run, machine, number of runs |
//! | `{{slope ID}}` | a slope's form, coefficients, and value at the target size |
//! | `{{at ID SIZE}}` | a slope's value at another size, with its interval |
//! | `{{figure ID}}` | a figure's value with its interval |
//! | `{{sum ID}}` | a figure's terms, each with its value |
//! | `{{verdict ID}}` | the verdict on a figure or slope |
//! | `{{run TOOL FIELD NAME=VALUE...}}` | mean and range of a field over the runs with these inputs |
//! | `{{plot ID}}` | a slope's plot |
//! | `{{table slopes}}` | the fits of all slopes |
//! | `{{table commands}}` | the commands that repeat the measurements of all slopes |
//! | `{{table ROLE}}` | the figures of a role with their budgets |
//! | `{{table assumptions}}` | each assumption, with the figures that change if it is halved or doubled |
//! | `{{table first}}` | figures by their share of the budget, and the fleet size at which the budget is used up |

mod budget;
mod figure_tables;
mod inline;
mod placeholder;
mod slope_tables;
mod table;

pub use placeholder::PlaceholderError;

use crate::error::{CapacityError, Errors};
use crate::figures::Evaluation;
use crate::runs::RunStore;
use thiserror::Error;

/// The first line of the page, which warns against manual edits.
const GENERATED_NOTICE: &str =
    "<!-- Made by `tansy-scale page` from docs/capacity; change the template there, not this. -->\n";

/// An error in a template.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum TemplateError {
    /// A placeholder does not end on its line.
    #[error("{{{{ without }}}}; expected both on one line")]
    Unclosed,
    /// A placeholder can't be expanded.
    #[error("{{{{{text}}}}}: {source}")]
    Placeholder {
        /// The text between the braces.
        text: String,
        /// The cause.
        source: PlaceholderError,
    },
}

/// Renders the page from its template. `name` is the template's file name, for errors.
pub fn render(
    name: &str,
    template: &str,
    evaluation: &Evaluation,
    store: &RunStore,
) -> Result<String, Errors> {
    let mut page = String::from(GENERATED_NOTICE);
    let mut errors = Errors::default();
    for (index, line) in template.lines().enumerate() {
        for source in expand_line(line, evaluation, store, &mut page) {
            errors.push(CapacityError::Template {
                file: name.into(),
                line: index + 1,
                source,
            });
        }
        page.push('\n');
    }
    errors.into_result(page)
}

/// Appends a line with its placeholders expanded to the page, and returns the errors in them.
fn expand_line(
    line: &str,
    evaluation: &Evaluation,
    store: &RunStore,
    page: &mut String,
) -> Vec<TemplateError> {
    let mut errors = Vec::new();
    let mut rest = line;
    while let Some((before, after_open)) = rest.split_once("{{") {
        page.push_str(before);
        let closed = after_open
            .split_once("}}")
            .filter(|(text, _)| !text.contains("{{"));
        let Some((text, after)) = closed else {
            errors.push(TemplateError::Unclosed);
            return errors;
        };
        match placeholder::expand(text.trim(), evaluation, store) {
            Ok(expansion) => page.push_str(&expansion),
            Err(source) => errors.push(TemplateError::Placeholder {
                text: text.into(),
                source,
            }),
        }
        rest = after;
    }
    page.push_str(rest);
    errors
}
