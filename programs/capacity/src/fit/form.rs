//! The forms of growth that are tried, each `a + b z(x)`.

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

    /// `z(x)`, the transformed size that the coefficient `b` multiplies.
    pub(super) fn transform(self, size: f64) -> f64 {
        match self {
            Form::Flat => 0.0,
            Form::Log => size.ln(),
            Form::Linear => size,
            Form::LinearLog => size * size.ln(),
            Form::Square => size * size,
        }
    }

    /// Whether it is defined at a size.
    pub fn is_defined_at(self, size: f64) -> bool {
        size > 0.0 || !matches!(self, Form::Log | Form::LinearLog)
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

    /// `z(x)` as a formula shows it.
    pub fn term(self) -> &'static str {
        match self {
            Form::Flat => "",
            Form::Log => "ln x",
            Form::Linear => "x",
            Form::LinearLog => "x ln x",
            Form::Square => "x^2",
        }
    }
}
