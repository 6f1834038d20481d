//! The schema of `figures.toml`.

use serde::Deserialize;
use std::collections::BTreeMap;
use toml::Spanned;

/// The root table.
#[derive(Deserialize)]
#[serde(
    deny_unknown_fields,
    expecting = "tables given, assumptions, slopes and figures"
)]
pub(super) struct FiguresFile {
    #[serde(default)]
    pub(super) given: BTreeMap<String, f64>,
    #[serde(default)]
    pub(super) assumptions: Vec<Assumption>,
    #[serde(default)]
    pub(super) slopes: Vec<Slope>,
    #[serde(default)]
    pub(super) figures: Vec<FigureFile>,
}

/// An input of figures that was not measured.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumption {
    /// The name by which terms refer to it.
    pub id: Spanned<String>,
    /// The description on the page.
    #[serde(rename = "what")]
    pub description: String,
    /// The number.
    pub value: f64,
    /// The unit of the value.
    pub unit: String,
    /// The reason for the value.
    #[serde(rename = "why")]
    pub reason: String,
}

impl Assumption {
    /// The id without its position in the file.
    pub fn id(&self) -> &str {
        self.id.get_ref()
    }
}

/// A measured output as a function of an input.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// The name by which terms refer to it.
    pub id: Spanned<String>,
    /// The description on the page.
    #[serde(rename = "what")]
    pub description: String,
    /// The tool whose runs are used.
    pub tool: String,
    /// The field of the input, as a dotted path.
    #[serde(rename = "x")]
    pub input: String,
    /// The field of the output, as a dotted path.
    #[serde(rename = "y")]
    pub output: String,
    /// Required values of other fields; `"any"` accepts all values.
    #[serde(default)]
    pub filter: BTreeMap<String, toml::Value>,
    /// The unit of the output.
    pub unit: String,
    /// The size at which the output is predicted.
    #[serde(rename = "at")]
    pub target_size: Spanned<Number>,
    /// The budget at the target size.
    pub budget: Option<Spanned<Number>>,
    /// The hold-out size of the fit; the largest size by default.
    #[serde(rename = "held_out")]
    pub hold_out: Option<f64>,
    /// Runs of larger sizes are ignored.
    #[serde(rename = "most")]
    pub max_size: Option<f64>,
    /// The axes of the plot; no plot is generated if absent.
    pub plot: Option<Axes>,
}

impl Slope {
    /// The id without its position in the file.
    pub fn id(&self) -> &str {
        self.id.get_ref()
    }
}

/// Axes of a plot.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Axes {
    /// Both linear.
    Plain,
    /// The size logarithmic, the output linear.
    LogX,
    /// Both logarithmic.
    LogLog,
}

/// A literal number, or the name of one.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged, expecting = "expected a number, or a name from [given]")]
pub enum Number {
    /// A literal.
    Plain(f64),
    /// The name of a given number or of an assumption.
    Named(String),
}

/// A figure whose terms are not yet parsed.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FigureFile {
    pub(super) id: Spanned<String>,
    pub(super) role: String,
    #[serde(rename = "what")]
    pub(super) description: String,
    pub(super) unit: String,
    pub(super) budget: Option<Spanned<Number>>,
    #[serde(rename = "by")]
    pub(super) mechanism: String,
    pub(super) terms: Vec<Spanned<String>>,
}
