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

/// A number that was not measured and that figures depend on.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumption {
    /// Its name in terms.
    pub id: Spanned<String>,
    /// Its title on the page.
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
    /// Its title on the page.
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
    /// The unit of the output.
    pub unit: String,
    /// The size that is planned for: a number or the name of a given one.
    #[serde(rename = "at")]
    pub target_size: Spanned<Number>,
    /// The budget there: a number or the name of a given one.
    pub budget: Option<Spanned<Number>>,
    /// The hold-out size of the fit, if not the largest.
    #[serde(rename = "held_out")]
    pub hold_out: Option<f64>,
    /// Runs of larger sizes are ignored, so that they do not bend a line for small ones.
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
