//! Numbers as the page and its plots show them.

use crate::figures::EstimateResult;
use crate::fit::{Fit, Form, Interval};

/// Shares from here on are shown as multiples.
const LARGE_SHARE: f64 = 10.0;
/// Numbers with more decimal places are shown in powers of ten.
const MAX_DECIMALS: i32 = 9;
/// From here on four digits count, the rest is rounded away.
const ROUNDED_FROM: f64 = 1e5;

/// A number with commas: three significant digits below 100, whole from there, four significant digits from 100,000 on.
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

/// An integer's digits, perhaps after a sign, in groups of three.
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

/// A share in percent, or as a multiple if it is large.
pub(crate) fn share(share: f64) -> String {
    if share < LARGE_SHARE {
        format!("{:.1}%", share * 100.0)
    } else {
        format!("{} times", number(share))
    }
}

/// A value with its interval, if that is not empty.
pub(crate) fn interval(value: Interval) -> String {
    let mid = number(value.mid);
    if value.low == value.high {
        return mid;
    }
    format!("{mid} ({} to {})", number(value.low), number(value.high))
}

/// An estimate with its unit and a remark if a fit missed, or the reason that there is none.
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

/// A fit's form with its coefficients.
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

/// A budget with its unit, or a dash.
pub(crate) fn budget(value: Option<f64>, unit: &str) -> String {
    value.map_or_else(|| "-".into(), |budget| format!("{} {unit}", number(budget)))
}
