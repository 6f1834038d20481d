//! How a cost grows with size: one of a few forms, by least squares over all points, without I/O.
//!
//! Each form is `a + b z(x)`. A form other than flat counts when `b` is above nothing at the 97.5% level by Student's t;
//! of those that count the one is taken that predicts best a size left out of it (RMS over sizes, against the mean of the
//! size), and a simpler one whose error is at most a tenth larger is taken before it. A cost that falls with size is
//! credited nothing: flat.

use statrs::distribution::{ContinuousCDF, StudentsT};

/// Sizes measured without which a slope says nothing: one is kept out, and a line through two has no residual.
pub const LEAST_SIZES: usize = 4;
/// A simpler form is taken when its error is at most this many times that of the best.
const NEAR_TIE: f64 = 1.1;
/// Of the prediction interval, both sides.
const LEVEL: f64 = 0.95;

/// One run: what was measured at a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The size.
    pub x: f64,
    /// What it cost.
    pub y: f64,
}

/// How a cost grows, simplest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// `a`.
    Flat,
    /// `a + b ln x`.
    Log,
    /// `a + b x`.
    Linear,
    /// `a + b x ln x`: worse than linear.
    LinearLog,
    /// `a + b x^2`: worse than linear, as when each has to do with each.
    Square,
}

impl Form {
    /// All, simplest first.
    pub const ALL: [Form; 5] = [
        Form::Flat,
        Form::Log,
        Form::Linear,
        Form::LinearLog,
        Form::Square,
    ];

    fn z(self, x: f64) -> f64 {
        match self {
            Form::Flat => 0.0,
            Form::Log => x.ln(),
            Form::Linear => x,
            Form::LinearLog => x * x.ln(),
            Form::Square => x * x,
        }
    }

    /// Whether it is defined at a size.
    pub fn holds_at(self, x: f64) -> bool {
        x > 0.0 || !matches!(self, Form::Log | Form::LinearLog)
    }

    /// Its word on the page.
    pub fn name(self) -> &'static str {
        match self {
            Form::Flat => "flat",
            Form::Log => "log",
            Form::Linear => "linear",
            Form::LinearLog | Form::Square => "worse",
        }
    }

    /// What `b` is multiplied by.
    pub fn of_x(self) -> &'static str {
        match self {
            Form::Flat => "",
            Form::Log => "ln x",
            Form::Linear => "x",
            Form::LinearLog => "x ln x",
            Form::Square => "x^2",
        }
    }
}

/// A form with its coefficients and what the interval is made from.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    /// The form.
    pub form: Form,
    /// What is there at `z = 0`.
    pub a: f64,
    /// What `z` is multiplied by; 0 when flat.
    pub b: f64,
    /// Root of the mean square of the residuals, in units of y.
    pub rms: f64,
    points: f64,
    mean_z: f64,
    spread_z: f64,
    deviation: f64,
    /// Of Student's t, for both sides of the interval; not a number when no point is left over.
    t: f64,
}

/// A value with its 95% prediction interval: where a further run would lie.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Value {
    /// What is predicted.
    pub mid: f64,
    /// The interval's lower end.
    pub low: f64,
    /// The interval's upper end.
    pub high: f64,
}

impl Line {
    /// Least squares over all points, each run counted once. None if the points are too few for the form.
    pub fn through(form: Form, points: &[Point]) -> Option<Line> {
        let n = points.len() as f64;
        let freedom = n - if form == Form::Flat { 1.0 } else { 2.0 };
        if freedom < 0.0 || points.iter().any(|p| !form.holds_at(p.x)) {
            return None;
        }
        let mean_z = points.iter().map(|p| form.z(p.x)).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.y).sum::<f64>() / n;
        let spread_z = points
            .iter()
            .map(|p| (form.z(p.x) - mean_z).powi(2))
            .sum::<f64>();
        let b = match form {
            Form::Flat => 0.0,
            _ if spread_z <= 0.0 => return None,
            _ => {
                points
                    .iter()
                    .map(|p| (form.z(p.x) - mean_z) * (p.y - mean_y))
                    .sum::<f64>()
                    / spread_z
            }
        };
        let a = mean_y - b * mean_z;
        let squares = points
            .iter()
            .map(|p| (p.y - a - b * form.z(p.x)).powi(2))
            .sum::<f64>();
        let deviation = if freedom > 0.0 {
            (squares / freedom).sqrt()
        } else {
            f64::NAN
        };
        let student = StudentsT::new(0.0, 1.0, freedom);
        let t = student.map_or(f64::NAN, |s| s.inverse_cdf((1.0 + LEVEL) / 2.0));
        Some(Line {
            form,
            a,
            b,
            rms: (squares / n).sqrt(),
            points: n,
            mean_z,
            spread_z,
            deviation,
            t,
        })
    }

    /// What is predicted at a size.
    pub fn at(&self, x: f64) -> f64 {
        match self.form {
            Form::Flat => self.a,
            form => self.a + self.b * form.z(x),
        }
    }

    /// What is predicted at a size, and the interval in which a further run lies 95 times of 100. None where the form is
    /// not defined, or nothing is left over to tell the spread from.
    pub fn value(&self, x: f64) -> Option<Value> {
        if !self.form.holds_at(x) || !self.deviation.is_finite() || !self.t.is_finite() {
            return None;
        }
        let lever = match self.form {
            Form::Flat => 0.0,
            form => (form.z(x) - self.mean_z).powi(2) / self.spread_z,
        };
        let half = self.t * self.deviation * (1.0 + 1.0 / self.points + lever).sqrt();
        let mid = self.at(x);
        Some(Value {
            mid,
            low: mid - half,
            high: mid + half,
        })
    }

    /// Whether the cost grows, at the 97.5% level.
    fn grows(&self) -> bool {
        let error = self.deviation / self.spread_z.sqrt();
        self.form == Form::Flat || self.b > self.t * error
    }
}

/// The size kept out of a fit, predicted by it.
#[derive(Clone, Copy, Debug)]
pub struct Held {
    /// The size.
    pub x: f64,
    /// Mean of what was measured there.
    pub measured: f64,
    /// What the fit says.
    pub predicted: Value,
}

impl Held {
    /// Predicted against measured, as a share of the measured: 0.1 is a tenth too much.
    pub fn error(&self) -> f64 {
        (self.predicted.mid - self.measured) / self.measured.abs().max(f64::MIN_POSITIVE)
    }

    /// Whether the fit missed it: outside the interval, and by more than a tenth.
    pub fn missed(&self) -> bool {
        let within = self.predicted.low <= self.measured && self.measured <= self.predicted.high;
        !within && self.error().abs() > 0.1
    }
}

/// A form chosen, and what speaks for it.
#[derive(Clone, Debug)]
pub struct Fit {
    /// The form taken, fitted to all sizes but the one kept out.
    pub line: Line,
    /// RMS of the residuals as a share of the mean.
    pub relative: f64,
    /// RMS of the errors at sizes left out one by one, in units of y, of each form that could be tried.
    pub errors: Vec<(Form, f64)>,
    /// The form with the least error beside the one taken, of those that count: what another choice would say.
    pub next: Option<Line>,
    /// The size kept out.
    pub held: Held,
    /// Sizes measured, the one kept out among them.
    pub sizes: usize,
    /// Runs in the fit.
    pub runs: usize,
    /// The least and the largest size in the fit.
    pub span: (f64, f64),
}

/// Why there is no fit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Unfit {
    /// So many sizes were measured.
    TooFew(usize),
    /// The size to be kept out was not measured.
    NotMeasured(f64),
}

/// Chooses the form for points, with one size kept out: the given one, or else the largest.
pub fn fit(points: &[Point], keep_out: Option<f64>) -> Result<Fit, Unfit> {
    let sizes = sizes(points);
    let Some(&largest) = sizes.last() else {
        return Err(Unfit::TooFew(0));
    };
    let out = keep_out.unwrap_or(largest);
    if !sizes.contains(&out) {
        return Err(Unfit::NotMeasured(out));
    }
    if sizes.len() < LEAST_SIZES {
        return Err(Unfit::TooFew(sizes.len()));
    }
    let (held, used): (Vec<Point>, Vec<Point>) = points.iter().partition(|p| p.x == out);
    let left: Vec<f64> = sizes.iter().copied().filter(|x| *x != out).collect();
    let errors: Vec<(Form, f64)> = Form::ALL
        .into_iter()
        .filter_map(|f| Some((f, left_out(f, &used, &left)?)))
        .collect();
    let counts = |f: Form| Line::through(f, &used).filter(|l| l.grows() && l.value(out).is_some());
    let able: Vec<(Line, f64)> = errors
        .iter()
        .filter_map(|(f, e)| Some((counts(*f)?, *e)))
        .collect();
    let best = able.iter().map(|(_, e)| *e).fold(f64::INFINITY, f64::min);
    let scale = mean(&used).abs();
    let near = |e: f64| e <= best * NEAR_TIE + scale * 1e-9;
    let unfit = Unfit::TooFew(sizes.len());
    let line = able
        .iter()
        .find(|(_, e)| near(*e))
        .map(|(l, _)| *l)
        .ok_or(unfit)?;
    let others = able.iter().filter(|(l, _)| l.form != line.form);
    let next = others.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(l, _)| *l);
    let predicted = line.value(out).ok_or(unfit)?;
    Ok(Fit {
        line,
        relative: line.rms / scale.max(f64::MIN_POSITIVE),
        errors,
        next,
        held: Held {
            x: out,
            measured: mean(&held),
            predicted,
        },
        sizes: sizes.len(),
        runs: used.len(),
        span: (left[0], left[left.len() - 1]),
    })
}

/// The sizes of points, least first.
pub fn sizes(points: &[Point]) -> Vec<f64> {
    let mut sizes: Vec<f64> = points.iter().map(|p| p.x).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    sizes
}

fn mean(points: &[Point]) -> f64 {
    points.iter().map(|p| p.y).sum::<f64>() / points.len().max(1) as f64
}

/// Leaves out size after size and predicts its mean from the rest.
fn left_out(form: Form, points: &[Point], sizes: &[f64]) -> Option<f64> {
    let mut squares = 0.0;
    for x in sizes {
        let (out, rest): (Vec<Point>, Vec<Point>) = points.iter().partition(|p| p.x == *x);
        squares += (Line::through(form, &rest)?.at(*x) - mean(&out)).powi(2);
    }
    Some((squares / sizes.len() as f64).sqrt())
}
