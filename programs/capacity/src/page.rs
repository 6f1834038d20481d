//! The page: a template's prose, with what `{{...}}` asks for put in.
//!
//! | placeholder | becomes |
//! |---|---|
//! | `{{measured}}` | day, machine, runs |
//! | `{{slope ID}}` | form, coefficients, and value at the size asked for |
//! | `{{at ID SIZE}}` | a slope's value at another size, with its interval |
//! | `{{figure ID}}` | a figure's value with its interval |
//! | `{{sum ID}}` | a figure's terms, each with its value |
//! | `{{verdict ID}}` | holds, tight or fails: of a figure, or of a slope that has a budget |
//! | `{{run TOOL FIELD NAME=VALUE...}}` | mean and range of a field over the runs with these inputs |
//! | `{{plot ID}}` | a slope's plot |
//! | `{{table slopes}}`, `{{table commands}}` | all slopes: their fits; how each is measured again |
//! | `{{table ROLE}}` | the figures of a role beside their budgets |
//! | `{{table assumptions}}` | each assumption, and what moves at half and at double of it |
//! | `{{table first}}` | figures by their share of the budget, and the fleet at which it is used up |

use crate::figures::{
    passes, verdict, Definitions, Figure, Instead, Made, Measured, Slope, Told, Verdict,
};
use crate::fit::{Fit, FittedLine, Form, Interval};
use crate::plot;
use crate::runs::Kept;
use std::fmt::Write;

/// What stands first in the page.
const HEAD: &str =
    "<!-- Made by `tansy-scale page` from docs/capacity; change the template there, not this. -->\n";
/// How far the fleet is grown in search of the size at which a budget is used up.
const FARTHEST: f64 = 100.0;

/// The page from its template. Each error is one line: file, line, what, what would be right.
pub fn page(name: &str, template: &str, made: &Made, kept: &Kept) -> Result<String, Vec<String>> {
    let mut page = String::from(HEAD);
    let mut wrong = Vec::new();
    for (n, line) in template.lines().enumerate() {
        let mut rest = line;
        while let Some((before, from)) = rest.split_once("{{") {
            page.push_str(before);
            let Some((asked, after)) = from
                .split_once("}}")
                .filter(|(asked, _)| !asked.contains("{{"))
            else {
                wrong.push(format!(
                    "{name}:{}: {{{{ without }}}}; right is both on one line",
                    n + 1
                ));
                rest = "";
                break;
            };
            match fill(asked.trim(), made, kept) {
                Ok(text) => page.push_str(&text),
                Err(e) => wrong.push(format!("{name}:{}: {{{{{asked}}}}}: {e}", n + 1)),
            }
            rest = after;
        }
        page.push_str(rest);
        page.push('\n');
    }
    if wrong.is_empty() {
        Ok(page)
    } else {
        Err(wrong)
    }
}

fn fill(asked: &str, made: &Made, kept: &Kept) -> Result<String, String> {
    let words: Vec<&str> = asked.split_whitespace().collect();
    let slope = |id: &str| {
        made.slope(id).ok_or_else(|| {
            let all: Vec<&str> = made
                .defined
                .slopes
                .iter()
                .map(|s| s.id.get_ref().as_str())
                .collect();
            format!("{id} is no slope; right is one of {}", all.join(", "))
        })
    };
    match &words[..] {
        ["measured"] => Ok(measured(kept)),
        ["slope", id] => Ok(slope_inline(made, slope(id)?)),
        ["at", id, size] => {
            let (slope, _) = slope(id)?;
            let size = size.replace('_', "").parse().map_err(|_| format!("{size} is no size; right is a number"))?;
            Ok(told(&made.at(id, size), &slope.unit))
        }
        ["figure", id] => {
            let (n, figure) = position(made, id)?;
            Ok(told(&all(made)[n], &figure.unit))
        }
        ["sum", id] => sum(made, id),
        ["verdict", id] => match made.slope(id) {
            Some((slope, _)) => Ok(slope_verdict(made, slope)),
            None => {
                let (n, figure) = position(made, id)?;
                Ok(figure_verdict(&made.defined, figure, &all(made)[n], &Instead::new()))
            }
        },
        ["run", tool, field, inputs @ ..] => run(kept, tool, field, inputs),
        ["plot", id] => {
            let (slope, measured) = slope(id)?;
            match slope.plot {
                None => Err(format!("{id} has no plot; right is plot = \"log-log\", \"log-x\" or \"plain\" in figures.toml")),
                Some(_) if measured.points.is_empty() => Ok(format!("(no plot of {}: not measured)", slope.what)),
                Some(_) => Ok(format!("![{}](img/{})", slope.what, plot::name(slope))),
            }
        }
        ["table", "slopes"] => Ok(slopes_table(made)),
        ["table", "commands"] => Ok(commands_table(made)),
        ["table", "assumptions"] => Ok(assumptions_table(made)),
        ["table", "first"] => Ok(first_table(made)),
        ["table", role @ ..] if !role.is_empty() => role_table(made, &role.join(" ")),
        _ => Err("no such placeholder; right is measured, slope ID, at ID SIZE, figure ID, sum ID, verdict ID, \
                  run TOOL FIELD NAME=VALUE..., plot ID, table slopes, commands, assumptions, first or a role"
            .into()),
    }
}

fn all(made: &Made) -> Vec<Told> {
    made.figures(&Instead::new())
}

fn position<'a>(made: &'a Made, id: &str) -> Result<(usize, &'a Figure), String> {
    let figures = &made.defined.figures;
    figures
        .iter()
        .enumerate()
        .find(|(_, f)| f.id == id)
        .ok_or_else(|| {
            let all: Vec<&str> = figures.iter().map(|f| f.id.as_str()).collect();
            format!("{id} is no figure; right is one of {}", all.join(", "))
        })
}

/// A number as the page shows it, with commas: three digits that count below 100, whole from there, four that count from
/// 100,000 on.
pub fn figure(value: f64) -> String {
    if value == 0.0 {
        return "0".into();
    }
    let digits = 2 - value.abs().log10().floor() as i32;
    let scale = 10f64.powi(-1 - digits);
    let value = if value.abs() >= 1e5 {
        (value / scale).round() * scale
    } else {
        value
    };
    if digits > 9 {
        return format!("{value:.2e}");
    }
    let text = format!("{value:.*}", digits.max(0) as usize);
    let (whole, part) = text.split_once('.').unwrap_or((&text, ""));
    let part = part.trim_end_matches('0');
    let (sign, whole) = whole.strip_prefix('-').map_or(("", whole), |w| ("-", w));
    let mut commas = String::new();
    for (n, digit) in whole.chars().enumerate() {
        if n > 0 && (whole.len() - n).is_multiple_of(3) {
            commas.push(',');
        }
        commas.push(digit);
    }
    if part.is_empty() {
        format!("{sign}{commas}")
    } else {
        format!("{sign}{commas}.{part}")
    }
}

fn percent(share: f64) -> String {
    if share < 10.0 {
        format!("{:.1}%", share * 100.0)
    } else {
        format!("{} times", figure(share))
    }
}

fn interval(v: Interval) -> String {
    match v.low == v.high {
        true => figure(v.mid),
        false => format!(
            "{} ({} to {})",
            figure(v.mid),
            figure(v.low),
            figure(v.high)
        ),
    }
}

fn told(value: &Told, unit: &str) -> String {
    match value {
        Ok((v, false)) => format!("{} {unit}", interval(*v)),
        Ok((v, true)) => format!(
            "{} {unit}, by a fit that missed the size kept out",
            interval(*v)
        ),
        Err(why) => format!("not told: {why}"),
    }
}

fn measured(kept: &Kept) -> String {
    let ok = kept.runs.iter().filter(|r| r.ok()).count();
    let (m, n) = (&kept.machine, kept.runs.len());
    format!(
        "{}, {} cores, {} GiB, {n} runs, {ok} of them ok",
        kept.day, m.cores, m.memory_gb
    )
}

fn formula(fit: &Fit) -> String {
    let line = &fit.line;
    match line.form {
        Form::Flat => figure(line.intercept),
        form => {
            let sign = if line.coefficient < 0.0 { '-' } else { '+' };
            format!(
                "{} {sign} {} {}",
                figure(line.intercept),
                figure(line.coefficient.abs()),
                form.term()
            )
        }
    }
}

fn asked(made: &Made, slope: &Slope) -> f64 {
    made.defined
        .number(slope.at.get_ref(), &Instead::new())
        .unwrap_or(f64::NAN)
}

fn slope_inline(made: &Made, (slope, measured): (&Slope, &Measured)) -> String {
    match &measured.fit {
        Err(why) => why.to_string(),
        Ok(fit) => {
            let x = asked(made, slope);
            let value = told(&made.at(slope.id.get_ref(), x), &slope.unit);
            format!(
                "{}, {}; at {}: {value}",
                fit.line.form.name(),
                formula(fit),
                figure(x)
            )
        }
    }
}

fn slope_verdict(made: &Made, slope: &Slope) -> String {
    let Some(budget) = &slope.budget else {
        return "no budget".into();
    };
    let budget = made.defined.number(budget.get_ref(), &Instead::new());
    match (made.at(slope.id.get_ref(), asked(made, slope)), budget) {
        (Ok(value), Ok(budget)) => verdict(value, budget).to_string(),
        _ => "not told".into(),
    }
}

fn judged(
    defined: &Definitions,
    figure: &Figure,
    value: &Told,
    instead: &Instead,
) -> Option<(Verdict, f64)> {
    let budget = defined.number(figure.budget.as_ref()?, instead).ok()?;
    let value = *value.as_ref().ok()?;
    Some((verdict(value, budget), value.0.mid / budget))
}

fn figure_verdict(
    defined: &Definitions,
    figure: &Figure,
    value: &Told,
    instead: &Instead,
) -> String {
    match (judged(defined, figure, value, instead), &figure.budget) {
        (Some((verdict, _)), _) => verdict.to_string(),
        (None, None) => "no budget".into(),
        (None, Some(_)) => "not told".into(),
    }
}

fn budget(made: &Made, figure_: &Figure) -> String {
    let number = figure_
        .budget
        .as_ref()
        .and_then(|b| made.defined.number(b, &Instead::new()).ok());
    number.map_or_else(|| "-".into(), |b| format!("{} {}", figure(b), figure_.unit))
}

fn sum(made: &Made, id: &str) -> Result<String, String> {
    let (n, figure_) = position(made, id)?;
    let mut text = String::new();
    for (n, (written, value)) in made.terms(n).into_iter().enumerate() {
        let (minus, written) = written
            .trim()
            .strip_prefix('-')
            .map_or((false, written), |rest| (true, rest.trim()));
        let sign = match (n, minus) {
            (0, false) => "",
            (0, true) => "-",
            (_, true) => " - ",
            (_, false) => " + ",
        };
        let value = value.map_or_else(|why| why, |(v, _)| figure(v.mid));
        let _ = write!(text, "{sign}`{written}` ({value})");
    }
    Ok(format!("{text} = {}", told(&all(made)[n], &figure_.unit)))
}

fn run(kept: &Kept, tool: &str, field: &str, inputs: &[&str]) -> Result<String, String> {
    let mut wanted = vec![("tool", toml::Value::from(tool))];
    for input in inputs {
        let (name, value) = input
            .split_once('=')
            .ok_or_else(|| format!("{input} is no input; right is NAME=VALUE"))?;
        let value = match (value.parse::<f64>(), value.parse::<bool>()) {
            (Ok(n), _) => toml::Value::from(n),
            (_, Ok(b)) => toml::Value::from(b),
            _ => toml::Value::from(value),
        };
        wanted.push((name, value));
    }
    let these = kept
        .runs
        .iter()
        .filter(|r| wanted.iter().all(|(name, w)| passes(r.value.get(*name), w)));
    let values: Vec<f64> = these.filter_map(|r| r.number(field)).collect();
    let Some(least) = values.iter().copied().reduce(f64::min) else {
        return Ok("not measured".into());
    };
    let most = values.iter().copied().fold(least, f64::max);
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    Ok(match values.len() {
        1 => format!("{} (1 run)", figure(mean)),
        n => format!(
            "{} ({} to {}, {n} runs)",
            figure(mean),
            figure(least),
            figure(most)
        ),
    })
}

fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut text = format!("| {} |\n|{}", head.join(" | "), "---|".repeat(head.len()));
    for row in rows {
        let _ = write!(
            text,
            "\n| {} |",
            row.iter()
                .map(|c| c.replace('|', "\\|"))
                .collect::<Vec<_>>()
                .join(" | ")
        );
    }
    text
}

fn slopes_table(made: &Made) -> String {
    let head = [
        "slope",
        "against",
        "form",
        "residual",
        "sizes (runs)",
        "kept out",
        "predicted, measured",
        "error",
        "at the size asked for",
        "next best form there",
        "budget",
        "verdict",
    ];
    let row = |(slope, measured): (&Slope, &Measured)| {
        let x = asked(made, slope);
        let most = slope
            .most
            .map_or_else(String::new, |m| format!(" up to {}", figure(m)));
        let mut row = vec![
            format!("`{}`: {}", slope.id.get_ref(), slope.what),
            format!("`{}`{most}", slope.x),
        ];
        match &measured.fit {
            Err(why) => {
                row.extend([why.to_string(), "-".into()]);
                row.push(format!("({})", measured.points.len()));
                row.extend([
                    "-".into(),
                    "-".into(),
                    "-".into(),
                    "not told".into(),
                    "-".into(),
                ]);
            }
            Ok(fit) => {
                let held = &fit.hold_out;
                row.push(format!("{}: {}", fit.line.form.name(), formula(fit)));
                row.push(format!(
                    "{} ({})",
                    figure(fit.line.rms),
                    percent(fit.relative_rms)
                ));
                let (least, most) = fit.size_range;
                row.push(format!(
                    "{}, {} to {} ({})",
                    fit.size_count - 1,
                    figure(least),
                    figure(most),
                    fit.run_count
                ));
                row.push(figure(held.size));
                row.push(format!(
                    "{}, {}",
                    interval(held.predicted),
                    figure(held.measured)
                ));
                let missed = if held.missed() { ", **missed**" } else { "" };
                row.push(format!("{}{missed}", percent(held.error())));
                let far = if x > most {
                    format!(", {} times the fit's largest", figure(x / most))
                } else {
                    String::new()
                };
                let value = made.at(slope.id.get_ref(), x).map(|(v, _)| (v, false));
                let value = told(&value, &slope.unit);
                row.push(format!("{value} at {}{far}", figure(x)));
                let next = |l: &FittedLine| {
                    format!(
                        "{} ({})",
                        figure(l.predict(x).max(0.0)),
                        if l.form == Form::Flat {
                            "flat"
                        } else {
                            l.form.term()
                        }
                    )
                };
                row.push(fit.runner_up.as_ref().map_or_else(|| "-".into(), next));
            }
        }
        let number = slope
            .budget
            .as_ref()
            .and_then(|b| made.defined.number(b.get_ref(), &Instead::new()).ok());
        row.push(number.map_or_else(|| "-".into(), |b| format!("{} {}", figure(b), slope.unit)));
        row.push(slope_verdict(made, slope));
        row
    };
    table(
        &head,
        &made
            .defined
            .slopes
            .iter()
            .zip(&made.measured)
            .map(row)
            .collect::<Vec<_>>(),
    )
}

fn commands_table(made: &Made) -> String {
    let count = |n: usize| if n == 0 { "-".into() } else { n.to_string() };
    let row = |(slope, m): (&Slope, &Measured)| {
        let command = if m.command.is_empty() {
            "not measured".into()
        } else {
            format!("`{}`", m.command)
        };
        let left = count(m.not_ok);
        vec![
            format!("`{}`", slope.id.get_ref()),
            command,
            m.points.len().to_string(),
            left,
            count(m.without),
        ]
    };
    let rows: Vec<_> = made
        .defined
        .slopes
        .iter()
        .zip(&made.measured)
        .map(row)
        .collect();
    table(
        &[
            "slope",
            "measured with (its largest size)",
            "runs",
            "left out, not ok",
            "left out, without the field",
        ],
        &rows,
    )
}

fn role_table(made: &Made, role: &str) -> Result<String, String> {
    let values = all(made);
    let of: Vec<(&Figure, &Told)> = made
        .defined
        .figures
        .iter()
        .zip(&values)
        .filter(|(f, _)| f.role == role)
        .collect();
    if of.is_empty() {
        let mut roles: Vec<&str> = made
            .defined
            .figures
            .iter()
            .map(|f| f.role.as_str())
            .collect();
        roles.dedup();
        return Err(format!(
            "{role} is no table; right is slopes, commands, assumptions, first, {}",
            roles.join(", ")
        ));
    }
    let row = |(figure, value): (&Figure, &Told)| {
        let slopes: Vec<String> = made
            .rests_on(figure)
            .iter()
            .map(|s| format!("`{s}`"))
            .collect();
        vec![
            figure.what.clone(),
            told(value, &figure.unit),
            budget(made, figure),
            figure_verdict(&made.defined, figure, value, &Instead::new()),
            if slopes.is_empty() {
                "no slope".into()
            } else {
                slopes.join(", ")
            },
            figure.by.clone(),
        ]
    };
    let head = [
        "what",
        "at the size",
        "budget",
        "verdict",
        "from",
        "carried by",
    ];
    Ok(table(&head, &of.into_iter().map(row).collect::<Vec<_>>()))
}

fn assumptions_table(made: &Made) -> String {
    let now = all(made);
    let moved = |id: &str, value: f64| {
        let instead = Instead::from([(id, value)]);
        let then = made.figures(&instead);
        let mut text = Vec::new();
        for ((f, was), is) in made.defined.figures.iter().zip(&now).zip(&then) {
            if was != is {
                let judged = figure_verdict(&made.defined, f, is, &instead);
                let mid = is.as_ref().map_or_else(Clone::clone, |(v, _)| {
                    format!("{} {}", figure(v.mid), f.unit)
                });
                text.push(format!("`{}` {mid}, {judged}", f.id));
            }
        }
        if text.is_empty() {
            "nothing moves".into()
        } else {
            text.join("; ")
        }
    };
    let rows: Vec<Vec<String>> = made
        .defined
        .assumptions
        .iter()
        .map(|a| {
            let id = a.id.get_ref();
            let value = format!("{} {}", figure(a.value), a.unit);
            let (half, double) = (moved(id, a.value / 2.0), moved(id, a.value * 2.0));
            vec![
                format!("`{id}`: {}", a.what),
                value,
                a.why.clone(),
                half,
                double,
            ]
        })
        .collect();
    table(
        &["assumption", "value", "why", "at half", "at double"],
        &rows,
    )
}

fn first_table(made: &Made) -> String {
    let defined = &made.defined;
    let values = all(made);
    let mut rows: Vec<(f64, Vec<String>)> = Vec::new();
    for (n, (f, value)) in defined.figures.iter().zip(&values).enumerate() {
        if let Some((verdict, share)) = judged(defined, f, value, &Instead::new()) {
            let row = vec![
                format!("`{}`: {}, {}", f.id, f.role, f.what),
                percent(share),
                verdict.to_string(),
                used_up(made, n),
            ];
            rows.push((share, row));
        }
    }
    if rows.is_empty() {
        return "No figure with a budget has been measured.".into();
    }
    rows.sort_by(|a, b| b.0.total_cmp(&a.0));
    let rows: Vec<Vec<String>> = rows.into_iter().map(|(_, row)| row).collect();
    table(
        &[
            "figure",
            "share of the budget",
            "verdict",
            "front ends at which it is used up, all else as given",
        ],
        &rows,
    )
}

/// The fleet at which a figure reaches its budget, by halving between nothing and a hundred times the given one.
fn used_up(made: &Made, n: usize) -> String {
    let Some(given) = made.defined.given.get("front_ends").copied() else {
        return "-".into();
    };
    let share = |times: f64| {
        let instead = Instead::from([("front_ends", given * times)]);
        let figure = made.defined.figures.get(n)?;
        judged(
            &made.defined,
            figure,
            made.figures(&instead).get(n)?,
            &instead,
        )
        .map(|(_, share)| share)
    };
    let (low, high) = (1.0 / given, FARTHEST);
    match (share(low), share(high)) {
        (Some(a), Some(b)) if a == b => "does not depend on it".into(),
        (Some(a), _) if a > 1.0 => "at any".into(),
        (_, Some(b)) if b <= 1.0 => format!("over {}", figure(given * FARTHEST)),
        (Some(_), Some(_)) => {
            let (mut low, mut high) = (low, high);
            for _ in 0..60 {
                let middle = (low * high).sqrt();
                match share(middle) {
                    Some(s) if s <= 1.0 => low = middle,
                    _ => high = middle,
                }
            }
            figure((given * low).floor())
        }
        _ => "-".into(),
    }
}
