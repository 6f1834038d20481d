//! A slope as SVG: what was measured, the fit with its interval up to the size asked for, and the budget.

use crate::figures::{Axes, Made, Measured, Slope};
use crate::fit::Fit;
use crate::page::figure;
use plotters::coord::ranged1d::{AsRangedCoord, Ranged, ValueFormatter};
use plotters::prelude::*;

/// Steps of a drawn curve.
const STEPS: usize = 60;

/// The plot's file name.
pub fn name(slope: &Slope) -> String {
    format!("capacity-{}.svg", slope.id.get_ref())
}

/// The plots of all slopes that have one and were measured: file name and SVG.
pub fn all(made: &Made) -> Result<Vec<(String, String)>, String> {
    let mut plots = Vec::new();
    for (slope, measured) in made.defined.slopes.iter().zip(&made.measured) {
        let Some(axes) = slope.plot.filter(|_| !measured.points.is_empty()) else {
            continue;
        };
        let svg = draw(made, slope, measured, axes).map_err(|e| format!("{}: {e}", name(slope)))?;
        plots.push((name(slope), svg));
    }
    Ok(plots)
}

struct Picture<'a> {
    slope: &'a Slope,
    measured: &'a Measured,
    fit: Option<&'a Fit>,
    budget: Option<f64>,
    x: (f64, f64),
    y: (f64, f64),
    curve: Vec<(f64, f64, f64, f64)>,
}

fn draw(
    made: &Made,
    slope: &Slope,
    measured: &Measured,
    axes: Axes,
) -> Result<String, Box<dyn std::error::Error>> {
    let none = crate::figures::Instead::new();
    let asked = made.defined.number(slope.at.get_ref(), &none)?;
    let budget = match &slope.budget {
        Some(b) => Some(made.defined.number(b.get_ref(), &none)?),
        None => None,
    };
    let fit = measured.fit.as_ref().ok();
    let xs = || measured.points.iter().map(|p| p.x);
    let powers = axes != Axes::Plain && xs().all(|x| x > 0.0) && asked > 0.0;
    let least = xs().fold(asked, f64::min);
    let most = xs().fold(asked, f64::max);
    let step = |n: usize| {
        let share = n as f64 / STEPS as f64;
        if powers {
            least * (most / least).powf(share)
        } else {
            least + (most - least) * share
        }
    };
    let id = slope.id.get_ref();
    let on_curve = |n| {
        let x = step(n);
        let (v, _) = made.at(id, x).ok()?;
        Some((x, v.mid, v.low, v.high))
    };
    let curve: Vec<(f64, f64, f64, f64)> = (0..=STEPS).filter_map(on_curve).collect();
    let ys = || {
        measured
            .points
            .iter()
            .map(|p| p.y)
            .chain(curve.iter().flat_map(|c| [c.1, c.3]))
            .chain(budget)
    };
    let top = ys().fold(0.0, f64::max);
    let bottom = ys().filter(|y| *y > 0.0).fold(top, f64::min);
    let logs = axes == Axes::LogLog && bottom > 0.0;
    // Ends of axes a little beyond what is drawn, and never the same.
    let x = if powers {
        (least * 0.9, most.max(least * 1.01) * 1.1)
    } else {
        (0.0, most.max(1e-9) * 1.05)
    };
    let y = if logs {
        (bottom * 0.7, top * 1.4)
    } else {
        (0.0, top.max(1e-9) * 1.1)
    };
    let picture = Picture {
        slope,
        measured,
        fit,
        budget,
        x,
        y,
        curve,
    };
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (720, 420)).into_drawing_area();
        match (powers, logs) {
            (true, true) => picture.on(&area, (x.0..x.1).log_scale(), (y.0..y.1).log_scale())?,
            (true, false) => picture.on(&area, (x.0..x.1).log_scale(), y.0..y.1)?,
            (false, true) => picture.on(&area, x.0..x.1, (y.0..y.1).log_scale())?,
            (false, false) => picture.on(&area, x.0..x.1, y.0..y.1)?,
        }
        area.present()?;
    }
    Ok(svg)
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

impl Picture<'_> {
    fn on<'a, X, Y>(&self, area: &Area<'a>, x: X, y: Y) -> Result<(), Box<dyn std::error::Error>>
    where
        X: AsRangedCoord<Value = f64>,
        Y: AsRangedCoord<Value = f64>,
        X::CoordDescType: Ranged<ValueType = f64> + ValueFormatter<f64>,
        Y::CoordDescType: Ranged<ValueType = f64> + ValueFormatter<f64>,
    {
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(area)
            .caption(&self.slope.what, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(70)
            .build_cartesian_2d(x, y)?;
        let label = |v: &f64| figure(*v);
        chart
            .configure_mesh()
            .x_desc(self.slope.x.replace('_', " "))
            .y_desc(&self.slope.unit)
            .x_label_formatter(&label)
            .y_label_formatter(&label)
            .draw()?;
        let key = |(x, y): (i32, i32), color: RGBColor| {
            PathElement::new(vec![(x, y), (x + 20, y)], color)
        };
        let within = |y: f64| y.clamp(self.y.0, self.y.1);
        if let Some(fit) = self.fit {
            let upper = self.curve.iter().map(|c| (c.0, within(c.3)));
            let lower = self.curve.iter().rev().map(|c| (c.0, within(c.2)));
            chart.draw_series([Polygon::new(
                upper.chain(lower).collect::<Vec<_>>(),
                BLUE.mix(0.15),
            )])?;
            let middle = self.curve.iter().map(|c| (c.0, within(c.1)));
            chart
                .draw_series(LineSeries::new(middle, BLUE))?
                .label(format!(
                    "fit, {}, with its 95% interval",
                    fit.line.form.name()
                ))
                .legend(move |at| key(at, BLUE));
        }
        if let Some(budget) = self.budget {
            chart
                .draw_series(LineSeries::new(
                    [(self.x.0, budget), (self.x.1, budget)],
                    RED,
                ))?
                .label("budget")
                .legend(move |at| key(at, RED));
        }
        let out = self.fit.map(|f| f.hold_out.size);
        let dots = |kept_out: bool| {
            let of = self
                .measured
                .points
                .iter()
                .filter(move |p| (Some(p.x) == out) == kept_out);
            of.map(|p| (p.x, within(p.y)))
        };
        chart
            .draw_series(dots(false).map(|p| Circle::new(p, 3, BLACK.filled())))?
            .label("measured")
            .legend(|(x, y)| Circle::new((x + 10, y), 3, BLACK.filled()));
        if out.is_some() {
            chart
                .draw_series(dots(true).map(|p| Cross::new(p, 4, MAGENTA)))?
                .label("measured, kept out of the fit")
                .legend(|(x, y)| Cross::new((x + 10, y), 4, MAGENTA));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        Ok(())
    }
}
