//! Formatting of numbers for the page and its plots.

use crate::figures::EstimateResult;
use crate::fit::{Fit, Form, Interval};

/// Ratios from this value on are shown as multiples instead of percentages.
const LARGE_SHARE: f64 = 10.0;
/// Numbers that need more decimal places are shown in scientific notation.
const MAX_DECIMALS: i32 = 9;
/// Numbers from this value on are rounded to four significant digits.
const ROUNDED_FROM: f64 = 1e5;

/// A number with digits grouped by commas: three significant digits below 100, an integer from there, and four
/// significant digits from 100,000 on.
pub(crate) fn number(value: f64) -> String {
    if value == 0.0 {
        return "0".into();
    }
    let decimals = 2 - value.abs().log10().floor() as i32;
    let scale = 10f64.powi(-1 - decimals);
    let value = if value.abs() >= ROUNDED_FROM {
        (value / scale).round() * scale
    } else {
        value
    };
    if decimals > MAX_DECIMALS {
        return format!("{value:.2e}");
    }
    let text = format!("{value:.*}", decimals.max(0) as usize);
    let (whole, fraction) = text.split_once('.').unwrap_or((&text, ""));
    let fraction = fraction.trim_end_matches('0');
    let whole = with_commas(whole);
    if fraction.is_empty() {
        whole
    } else {
        format!("{whole}.{fraction}")
    }
}

/// Groups the digits of an integer with an optional minus sign by threes.
fn with_commas(text: &str) -> String {
    let (sign, digits) = match text.strip_prefix('-') {
        Some(digits) => ("-", digits),
        None => ("", text),
    };
    let mut grouped = String::from(sign);
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    grouped
}

/// A ratio in percent, or as a multiple if it is large.
pub(crate) fn share(share: f64) -> String {
    if share < LARGE_SHARE {
        format!("{:.1}%", share * 100.0)
    } else {
        format!("{} times", number(share))
    }
}

/// A value, followed by its interval unless the value is exact.
pub(crate) fn interval(value: Interval) -> String {
    let mid = number(value.mid);
    if value.low == value.high {
        return mid;
    }
    format!("{mid} ({} to {})", number(value.low), number(value.high))
}

/// An estimate with its unit and a note if a fit missed its hold-out, or the error.
pub(crate) fn estimate(estimate: &EstimateResult, unit: &str) -> String {
    match estimate {
        Ok(estimate) => {
            let value = interval(estimate.interval);
            let remark = if estimate.missed_hold_out {
                ", by a fit that missed the size kept out"
            } else {
                ""
            };
            format!("{value} {unit}{remark}")
        }
        Err(error) => format!("not told: {error}"),
    }
}

/// The fitted equation, such as `11 + 2 x`.
pub(crate) fn formula(fit: &Fit) -> String {
    let line = &fit.line;
    if line.form == Form::Constant {
        return number(line.intercept);
    }
    let sign = if line.coefficient < 0.0 { '-' } else { '+' };
    format!(
        "{} {sign} {} {}",
        number(line.intercept),
        number(line.coefficient.abs()),
        line.form.term()
    )
}

/// A budget with its unit, or `-` if absent.
pub(crate) fn budget(value: Option<f64>, unit: &str) -> String {
    value.map_or_else(|| "-".into(), |budget| format!("{} {unit}", number(budget)))
}
