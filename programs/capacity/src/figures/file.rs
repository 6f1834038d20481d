//! The format of `figures.toml`.

use serde::Deserialize;
use std::collections::BTreeMap;
use toml::Spanned;

/// The whole file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct File")]
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

/// Something not measured that figures rest on.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumption {
    /// Its name in terms.
    pub id: Spanned<String>,
    /// What it is.
    #[serde(rename = "what")]
    pub description: String,
    /// How much.
    pub value: f64,
    /// Of the value.
    pub unit: String,
    /// The reason for the value.
    #[serde(rename = "why")]
    pub reason: String,
}

impl Assumption {
    /// Its name in terms.
    pub fn id(&self) -> &str {
        self.id.get_ref()
    }
}

/// How one measured output depends on one input.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// Its name in terms.
    pub id: Spanned<String>,
    /// What it is.
    #[serde(rename = "what")]
    pub description: String,
    /// The tool whose runs count.
    pub tool: String,
    /// The input, by its field's name.
    #[serde(rename = "x")]
    pub input: String,
    /// The output, by its field's dotted path.
    #[serde(rename = "y")]
    pub output: String,
    /// Other fields that a run has to have; `"any"` lets one differ.
    #[serde(default)]
    pub filter: BTreeMap<String, toml::Value>,
    /// Of the output.
    pub unit: String,
    /// The size asked for: a number or a given one's name.
    #[serde(rename = "at")]
    pub target_size: Spanned<Number>,
    /// What it may cost there: a number or a given one's name.
    pub budget: Option<Spanned<Number>>,
    /// The size kept out of the fit, if not the largest.
    #[serde(rename = "held_out")]
    pub hold_out: Option<f64>,
    /// Larger sizes are left out: a line for small sizes is not bent by far larger ones.
    #[serde(rename = "most")]
    pub max_size: Option<f64>,
    /// Axes of its plot, if it has one.
    pub plot: Option<Axes>,
}

impl Slope {
    /// Its name in terms.
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
    /// Size on a logarithmic axis.
    LogX,
    /// Both logarithmic.
    LogLog,
}

/// A number, or the name of a given one.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged, expecting = "right is a number, or a name from [given]")]
pub enum Number {
    /// A literal.
    Plain(f64),
    /// The name of a given number or of an assumption.
    Named(String),
}

/// A figure as it is written.
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
