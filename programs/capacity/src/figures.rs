//! What the page tells: slopes, assumptions and figures, as `figures.toml` defines them, and their values.
//!
//! A figure is a sum of terms, each a product of factors joined by `*` and `/`, the first perhaps after `-`. A factor is
//! a number, a given size, an assumption, an earlier figure, or a slope at a size: `bytes(front_ends)`, `seat(15000)`.

use crate::fit::{fit, Fit, FitError, Interval, Point};
use crate::runs::{known_tool, Run};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use toml::Spanned;

/// A figure over this share of its budget is tight.
const TIGHT: f64 = 2.0 / 3.0;
/// The inputs of a run: runs of one slope differ in none but its x, unless its filter says so.
const INPUTS: [&str; 28] = [
    "front_ends",
    "functions",
    "instances",
    "changes_hour",
    "away_hour",
    "dead",
    "tier",
    "regions",
    "cut_regions",
    "real",
    "what",
    "seats",
    "stay",
    "stay_seconds",
    "lease_ms",
    "strict_every",
    "burst",
    "cut_seconds",
    "unlisted",
    "changes",
    "by_scope",
    "scopes",
    "rack",
    "zone",
    "rolling",
    "evenly",
    "held",
    "held_by_dead",
];

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    given: BTreeMap<String, f64>,
    #[serde(default)]
    assumptions: Vec<Assumption>,
    #[serde(default)]
    slopes: Vec<Slope>,
    #[serde(default)]
    figures: Vec<FigureFile>,
}

/// Something not measured that figures rest on.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumption {
    /// Its name in terms.
    pub id: Spanned<String>,
    /// What it is.
    pub what: String,
    /// How much.
    pub value: f64,
    /// Of what.
    pub unit: String,
    /// Why so much.
    pub why: String,
}

/// How one measured output depends on one input.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// Its name in terms.
    pub id: Spanned<String>,
    /// What it is.
    pub what: String,
    /// The tool whose runs count.
    pub tool: String,
    /// The input, by its field's name.
    pub x: String,
    /// The output, by its field's dotted path.
    pub y: String,
    /// Other fields that a run has to have; `"any"` lets one differ.
    #[serde(default)]
    pub filter: BTreeMap<String, toml::Value>,
    /// Of the output.
    pub unit: String,
    /// The size asked for: a number or a given one's name.
    pub at: Spanned<Number>,
    /// What it may cost there: a number or a given one's name.
    pub budget: Option<Spanned<Number>>,
    /// The size kept out of the fit, if not the largest.
    pub held_out: Option<f64>,
    /// Sizes beyond are left out: a line that is to tell of small sizes is not bent by far larger ones.
    pub most: Option<f64>,
    /// Axes of its plot, if it has one.
    pub plot: Option<Axes>,
}

/// Axes of a plot.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Axes {
    /// Both plain.
    Plain,
    /// Size in powers.
    LogX,
    /// Both in powers.
    LogLog,
}

/// A number, or the name of a given one.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged, expecting = "right is a number, or a name from [given]")]
pub enum Number {
    /// As it stands.
    Plain(f64),
    /// Of `given`.
    Named(String),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FigureFile {
    id: Spanned<String>,
    role: String,
    what: String,
    unit: String,
    budget: Option<Spanned<Number>>,
    by: String,
    terms: Vec<Spanned<String>>,
}

/// A line of a role's table.
#[derive(Debug)]
pub struct Figure {
    /// Its name in terms.
    pub id: String,
    /// Whose cost it is.
    pub role: String,
    /// What it is.
    pub what: String,
    /// Of its value.
    pub unit: String,
    /// What it may be: a number or a given one's name.
    pub budget: Option<Number>,
    /// The mechanism that carries it.
    pub by: String,
    /// Its terms, as written.
    pub written: Vec<String>,
    terms: Vec<Term>,
}

#[derive(Debug)]
struct Term {
    minus: bool,
    /// Whether it divides, and what.
    factors: Vec<(bool, Factor)>,
}

#[derive(Debug)]
enum Factor {
    Plain(f64),
    /// Of `given` or of the assumptions.
    Known(String),
    Figure(usize),
    Slope(String, Number),
}

/// What `figures.toml` defines.
#[derive(Debug)]
pub struct Definitions {
    /// Sizes and budgets of the issue.
    pub given: BTreeMap<String, f64>,
    /// What is assumed.
    pub assumptions: Vec<Assumption>,
    /// What is measured.
    pub slopes: Vec<Slope>,
    /// What is told of each role.
    pub figures: Vec<Figure>,
}

/// What a figure beside its budget comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// At most two thirds of the budget, with its whole interval under it.
    Holds,
    /// Over two thirds of the budget, or its interval crosses it, or a fit beneath it missed the size kept out.
    Tight,
    /// Over the budget.
    Fails,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Verdict::Holds => "holds",
            Verdict::Tight => "**tight**",
            Verdict::Fails => "**fails**",
        })
    }
}

/// A value that rests on fits, and whether one of them missed the size that it was to predict; or why there is none.
pub type Told = Result<(Interval, bool), String>;

/// The verdict on a value beside a budget.
pub fn verdict((value, missed): (Interval, bool), budget: f64) -> Verdict {
    match () {
        _ if value.mid > budget => Verdict::Fails,
        _ if value.mid > budget * TIGHT || value.high > budget || missed => Verdict::Tight,
        _ => Verdict::Holds,
    }
}

/// Names in terms whose values are taken in place of their own.
pub type Instead<'a> = BTreeMap<&'a str, f64>;

impl Definitions {
    /// Reads `figures.toml`. Each error is one line: file, line, what, what would be right.
    pub fn read(name: &str, text: &str) -> Result<Definitions, Vec<String>> {
        let line = |at: usize| {
            text.get(..at)
                .map_or(1, |before| before.matches('\n').count() + 1)
        };
        let file: File = toml::from_str(text).map_err(|e| {
            let at = e.span().map_or(1, |s| line(s.start));
            vec![format!("{name}:{at}: {}", e.message().replace('\n', "; "))]
        })?;
        let mut wrong: Vec<String> = Vec::new();
        let mut names: Vec<String> = file.given.keys().cloned().collect();
        let ids = file
            .assumptions
            .iter()
            .map(|a| &a.id)
            .chain(file.slopes.iter().map(|s| &s.id));
        for id in ids.chain(file.figures.iter().map(|f| &f.id)) {
            let at = line(id.span().start);
            let id = id.get_ref();
            if !word(id) {
                wrong.push(format!(
                    "{name}:{at}: {id:?} is no name; right are letters, digits and _, such as memory_mb"
                ));
            }
            if names.contains(id) {
                wrong.push(format!(
                    "{name}:{at}: {id} is there twice; right is a name of its own"
                ));
            }
            names.push(id.clone());
        }
        let mut made = Definitions {
            given: file.given,
            assumptions: file.assumptions,
            slopes: file.slopes,
            figures: Vec::new(),
        };
        for slope in &made.slopes {
            if let Err(e) = known_tool(&slope.tool) {
                wrong.push(format!(
                    "{name}:{}: {}: {e}",
                    line(slope.id.span().start),
                    slope.id.get_ref()
                ));
            }
            for number in slope.budget.iter().chain([&slope.at]) {
                if let Err(e) = made.number(number.get_ref(), &Instead::new()) {
                    wrong.push(format!("{name}:{}: {e}", line(number.span().start)));
                }
            }
        }
        for figure in file.figures {
            let mut terms = Vec::new();
            for term in &figure.terms {
                match made.term(term.get_ref()) {
                    Ok(term) => terms.push(term),
                    Err(e) => {
                        let at = line(term.span().start);
                        wrong.push(format!("{name}:{at}: {:?}: {e}", term.get_ref()));
                    }
                }
            }
            if figure.terms.is_empty() {
                let at = line(figure.id.span().start);
                wrong.push(format!(
                    "{name}:{at}: {} has no terms; right is at least one",
                    figure.id.get_ref()
                ));
            }
            if let Some(number) = &figure.budget {
                if let Err(e) = made.number(number.get_ref(), &Instead::new()) {
                    wrong.push(format!("{name}:{}: {e}", line(number.span().start)));
                }
            }
            made.figures.push(Figure {
                id: figure.id.into_inner(),
                role: figure.role,
                what: figure.what,
                unit: figure.unit,
                budget: figure.budget.map(Spanned::into_inner),
                by: figure.by,
                written: figure.terms.into_iter().map(Spanned::into_inner).collect(),
                terms,
            });
        }
        if wrong.is_empty() {
            Ok(made)
        } else {
            Err(wrong)
        }
    }

    /// A number, by name if need be.
    pub fn number(&self, number: &Number, instead: &Instead) -> Result<f64, String> {
        match number {
            Number::Plain(n) => Ok(*n),
            Number::Named(name) => self
                .known(name, instead)
                .ok_or_else(|| format!("{name}: right is a number, {}", self.names())),
        }
    }

    fn known(&self, name: &str, instead: &Instead) -> Option<f64> {
        let assumed = || {
            self.assumptions
                .iter()
                .find(|a| a.id.get_ref() == name)
                .map(|a| a.value)
        };
        instead
            .get(name)
            .copied()
            .or_else(|| self.given.get(name).copied())
            .or_else(assumed)
    }

    fn names(&self) -> String {
        let given = self.given.keys().map(String::as_str);
        let all: Vec<&str> = given
            .chain(self.assumptions.iter().map(|a| a.id.get_ref().as_str()))
            .collect();
        format!("or one of {}", all.join(", "))
    }

    fn term(&self, text: &str) -> Result<Term, String> {
        let all = text.trim();
        let (minus, all) = all
            .strip_prefix('-')
            .map_or((false, all), |rest| (true, rest));
        let mut factors = Vec::new();
        let mut rest = all;
        let mut divide = false;
        loop {
            let end = rest.find(['*', '/']).unwrap_or(rest.len());
            factors.push((divide, self.factor(rest[..end].trim())?));
            let Some(sign) = rest[end..].chars().next() else {
                break;
            };
            divide = sign == '/';
            rest = &rest[end + 1..];
        }
        Ok(Term { minus, factors })
    }

    fn factor(&self, text: &str) -> Result<Factor, String> {
        let plain = |t: &str| {
            t.replace('_', "")
                .parse::<f64>()
                .ok()
                .filter(|n| n.is_finite())
        };
        if let Some((slope, size)) = text.strip_suffix(')').and_then(|t| t.split_once('(')) {
            if !self.slopes.iter().any(|s| s.id.get_ref() == slope) {
                let all: Vec<&str> = self
                    .slopes
                    .iter()
                    .map(|s| s.id.get_ref().as_str())
                    .collect();
                return Err(format!(
                    "{slope} is no slope; right is one of {}",
                    all.join(", ")
                ));
            }
            let size = plain(size).map_or_else(|| Number::Named(size.trim().into()), Number::Plain);
            self.number(&size, &Instead::new())?;
            return Ok(Factor::Slope(slope.into(), size));
        }
        if let Some(number) = plain(text).filter(|_| text.starts_with(|c: char| c.is_ascii_digit()))
        {
            return Ok(Factor::Plain(number));
        }
        if let Some(n) = self.figures.iter().position(|f| f.id == text) {
            return Ok(Factor::Figure(n));
        }
        self.known(text, &Instead::new()).map(|_| Factor::Known(text.into())).ok_or_else(|| {
            format!(
                "{text:?} is no factor; right is a number, a slope at a size as in bytes(15000), an earlier figure, {}",
                self.names()
            )
        })
    }
}

fn word(text: &str) -> bool {
    !text.is_empty() && text.chars().all(|c| c.is_ascii_alphanumeric() || c == '_')
}

/// A slope's runs and what was made of them.
#[derive(Debug)]
pub struct Measured {
    /// A point for each run.
    pub points: Vec<Point>,
    /// Runs left out because they did not go as they should.
    pub not_ok: usize,
    /// Runs left out because they do not tell the input or the output.
    pub without: usize,
    /// The command of the run at the largest size.
    pub command: String,
    /// The form, or why there is none.
    pub fit: Result<Fit, FitError>,
}

/// The definitions with what the runs say.
#[derive(Debug)]
pub struct Made {
    /// What was asked for.
    pub defined: Definitions,
    /// For each slope, in their order.
    pub measured: Vec<Measured>,
}

impl Made {
    /// Fits each slope to the runs that it is about.
    pub fn new(name: &str, defined: Definitions, runs: &[Run]) -> Result<Made, Vec<String>> {
        let mut wrong = Vec::new();
        let mut measured = Vec::new();
        for slope in &defined.slopes {
            match measure(slope, runs) {
                Ok(m) => measured.push(m),
                Err(e) => wrong.push(format!("{name}: slope {}: {e}", slope.id.get_ref())),
            }
        }
        if wrong.is_empty() {
            Ok(Made { defined, measured })
        } else {
            Err(wrong)
        }
    }

    /// A slope and what was measured of it.
    pub fn slope(&self, id: &str) -> Option<(&Slope, &Measured)> {
        self.defined
            .slopes
            .iter()
            .zip(&self.measured)
            .find(|(s, _)| s.id.get_ref() == id)
    }

    /// A slope's value at a size.
    pub fn at(&self, id: &str, x: f64) -> Told {
        let (_, measured) = self.slope(id).ok_or_else(|| format!("{id} is no slope"))?;
        let fit = measured.fit.as_ref().map_err(|e| format!("{id}: {}", e))?;
        let value = fit
            .line
            .predict_interval(x)
            .ok_or_else(|| format!("{id}: no {} at {x}", fit.line.form.name()))?;
        // A cost is never under nothing, whatever a straight line says.
        let floor = |y: f64| y.max(0.0);
        Ok((
            Interval {
                mid: floor(value.mid),
                low: floor(value.low),
                high: floor(value.high),
            },
            fit.hold_out.missed(),
        ))
    }

    /// All figures, in their order.
    pub fn figures(&self, instead: &Instead) -> Vec<Told> {
        let mut told: Vec<Told> = Vec::new();
        for figure in &self.defined.figures {
            let sum = figure
                .terms
                .iter()
                .try_fold((exact(0.0), false), |(sum, missed), term| {
                    let (v, m) = self.term(term, instead, &told)?;
                    let v = if term.minus {
                        Interval {
                            mid: -v.mid,
                            low: -v.high,
                            high: -v.low,
                        }
                    } else {
                        v
                    };
                    let sum = Interval {
                        mid: sum.mid + v.mid,
                        low: sum.low + v.low,
                        high: sum.high + v.high,
                    };
                    Ok::<_, String>((sum, missed || m))
                });
            told.push(sum);
        }
        told
    }

    /// Each term of a figure with its value.
    pub fn terms(&self, figure: usize) -> Vec<(&str, Told)> {
        let told = self.figures(&Instead::new());
        let Some(figure) = self.defined.figures.get(figure) else {
            return Vec::new();
        };
        let values = figure
            .terms
            .iter()
            .map(|t| self.term(t, &Instead::new(), &told));
        figure
            .written
            .iter()
            .map(String::as_str)
            .zip(values)
            .collect()
    }

    /// The slopes that a figure rests on, through other figures too.
    pub fn rests_on<'a>(&'a self, figure: &'a Figure) -> Vec<&'a str> {
        let mut all: Vec<&str> = Vec::new();
        for (_, factor) in figure.terms.iter().flat_map(|t| &t.factors) {
            let more = match factor {
                Factor::Slope(id, _) => vec![id.as_str()],
                Factor::Figure(n) => self
                    .defined
                    .figures
                    .get(*n)
                    .map_or(vec![], |f| self.rests_on(f)),
                _ => vec![],
            };
            for id in more {
                if !all.contains(&id) {
                    all.push(id);
                }
            }
        }
        all
    }

    fn term(&self, term: &Term, instead: &Instead, figures: &[Told]) -> Told {
        let mut product = exact(1.0);
        let mut missed = false;
        for (divide, factor) in &term.factors {
            let (value, m) = match factor {
                Factor::Plain(n) => (exact(*n), false),
                Factor::Known(name) => (
                    exact(self.defined.number(&Number::Named(name.clone()), instead)?),
                    false,
                ),
                Factor::Figure(n) => figures
                    .get(*n)
                    .cloned()
                    .unwrap_or(Err("no such figure".into()))?,
                Factor::Slope(id, size) => self.at(id, self.defined.number(size, instead)?)?,
            };
            missed |= m;
            let value = match divide {
                true if value.low <= 0.0 && value.high >= 0.0 => {
                    return Err("divides by what may be nothing".into())
                }
                true => Interval {
                    mid: 1.0 / value.mid,
                    low: 1.0 / value.high,
                    high: 1.0 / value.low,
                },
                false => value,
            };
            product = times(product, value);
        }
        Ok((product, missed))
    }
}

fn exact(n: f64) -> Interval {
    Interval {
        mid: n,
        low: n,
        high: n,
    }
}

fn times(a: Interval, b: Interval) -> Interval {
    let ends = [
        a.low * b.low,
        a.low * b.high,
        a.high * b.low,
        a.high * b.high,
    ];
    let (low, high) = (
        ends.iter().copied().fold(f64::INFINITY, f64::min),
        ends.iter().copied().fold(f64::NEG_INFINITY, f64::max),
    );
    Interval {
        mid: a.mid * b.mid,
        low,
        high,
    }
}

/// Whether a run's field is what a filter asks for.
pub fn passes(field: Option<&serde_json::Value>, wanted: &toml::Value) -> bool {
    match (field, wanted) {
        (_, toml::Value::String(any)) if any == "any" => true,
        // An input that came later was nought before.
        (None, toml::Value::Integer(0)) => true,
        (Some(serde_json::Value::String(s)), toml::Value::String(w)) => s == w,
        (Some(serde_json::Value::Bool(b)), toml::Value::Boolean(w)) => b == w,
        (Some(v), toml::Value::Integer(w)) => v.as_f64() == Some(*w as f64),
        (Some(v), toml::Value::Float(w)) => v.as_f64() == Some(*w),
        _ => false,
    }
}

fn measure(slope: &Slope, runs: &[Run]) -> Result<Measured, String> {
    let about = |r: &&Run| {
        let small = slope
            .most
            .is_none_or(|most| r.number(&slope.x).is_none_or(|x| x <= most));
        small
            && r.tool() == slope.tool
            && slope
                .filter
                .iter()
                .all(|(name, wanted)| passes(r.value.get(name), wanted))
    };
    let point = |r: &Run| {
        Some(Point {
            x: r.number(&slope.x)?,
            y: r.number(&slope.y)?,
        })
    };
    let without = runs
        .iter()
        .filter(about)
        .filter(|r| r.ok() && point(r).is_none())
        .count();
    let all: Vec<(&Run, Point)> = runs
        .iter()
        .filter(about)
        .filter_map(|r| Some((r, point(r)?)))
        .collect();
    let not_ok = all.iter().filter(|(r, _)| !r.ok()).count();
    let used: Vec<(&Run, Point)> = all.into_iter().filter(|(r, _)| r.ok()).collect();
    for input in INPUTS
        .into_iter()
        .filter(|i| *i != slope.x && !slope.filter.contains_key(*i))
    {
        let mut values: Vec<String> = used
            .iter()
            .map(|(r, _)| {
                r.value
                    .get(input)
                    .map_or_else(|| "nothing".into(), ToString::to_string)
            })
            .collect();
        values.sort();
        values.dedup();
        if let [one, other, ..] = &values[..] {
            return Err(format!(
                "its runs differ in {input} ({one}, {other}); right is one value of it in filter, or \"any\""
            ));
        }
    }
    let largest = used.iter().max_by(|a, b| a.1.x.total_cmp(&b.1.x));
    let points: Vec<Point> = used.iter().map(|(_, p)| *p).collect();
    Ok(Measured {
        not_ok,
        without,
        command: largest.map_or_else(String::new, |(r, _)| r.command().into()),
        fit: fit(&points, slope.held_out),
        points,
    })
}
