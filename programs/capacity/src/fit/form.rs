//! The forms of growth that are tried, each `a + b z(x)`.

/// How a cost grows, simplest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// `a`.
    Constant,
    /// `a + b ln x`.
    Logarithmic,
    /// `a + b x`.
    Linear,
    /// `a + b x ln x`: worse than linear.
    Linearithmic,
    /// `a + b x^2`: worse than linear, as when each has to do with each.
    Quadratic,
}

impl Form {
    /// All, simplest first.
    pub const ALL: [Form; 5] = [
        Form::Constant,
        Form::Logarithmic,
        Form::Linear,
        Form::Linearithmic,
        Form::Quadratic,
    ];

    /// `z(x)`, the transformed size that the coefficient `b` multiplies.
    pub(super) fn transform(self, size: f64) -> f64 {
        match self {
            Form::Constant => 0.0,
            Form::Logarithmic => size.ln(),
            Form::Linear => size,
            Form::Linearithmic => size * size.ln(),
            Form::Quadratic => size * size,
        }
    }

    /// Whether it is defined at a size.
    pub fn is_defined_at(self, size: f64) -> bool {
        size > 0.0 || !matches!(self, Form::Logarithmic | Form::Linearithmic)
    }

    /// Its word on the page.
    pub fn name(self) -> &'static str {
        match self {
            Form::Constant => "flat",
            Form::Logarithmic => "log",
            Form::Linear => "linear",
            Form::Linearithmic | Form::Quadratic => "worse",
        }
    }

    /// `z(x)` as a formula shows it.
    pub fn term(self) -> &'static str {
        match self {
            Form::Constant => "",
            Form::Logarithmic => "ln x",
            Form::Linear => "x",
            Form::Linearithmic => "x ln x",
            Form::Quadratic => "x^2",
        }
    }
}
