//! The functional forms of the regression, each `a + b z(x)`.

/// How a cost grows with size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// `a`.
    Constant,
    /// `a + b ln x`.
    Logarithmic,
    /// `a + b x`.
    Linear,
    /// `a + b x ln x`.
    Linearithmic,
    /// `a + b x^2`, as when every member communicates with every other.
    Quadratic,
}

impl Form {
    /// All forms, simplest first.
    pub const ALL: [Form; 5] = [
        Form::Constant,
        Form::Logarithmic,
        Form::Linear,
        Form::Linearithmic,
        Form::Quadratic,
    ];

    /// The regressor `z(x)`.
    pub(super) fn transform(self, size: f64) -> f64 {
        match self {
            Form::Constant => 0.0,
            Form::Logarithmic => size.ln(),
            Form::Linear => size,
            Form::Linearithmic => size * size.ln(),
            Form::Quadratic => size * size,
        }
    }

    /// Whether `z` is defined at a size.
    pub fn is_defined_at(self, size: f64) -> bool {
        size > 0.0 || !matches!(self, Form::Logarithmic | Form::Linearithmic)
    }

    /// The name shown on the page.
    pub fn name(self) -> &'static str {
        match self {
            Form::Constant => "flat",
            Form::Logarithmic => "log",
            Form::Linear => "linear",
            Form::Linearithmic | Form::Quadratic => "worse",
        }
    }

    /// `z(x)` as shown in formulas.
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
