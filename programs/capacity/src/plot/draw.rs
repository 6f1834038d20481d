//! Drawing of a plot as SVG.

use super::data::{CurvePoint, PlotData};
use super::PlotError;
use crate::format;
use plotters::coord::ranged1d::{AsRangedCoord, Ranged, ValueFormatter};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::io;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (720, 420);
/// Length of a line in the legend, in pixels.
const LEGEND_LINE_LENGTH: i32 = 20;

type Area<'b> = DrawingArea<SVGBackend<'b>, Shift>;
type Chart<'a, 'b, X, Y> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<X, Y>>;
type DrawResult = Result<(), DrawingAreaErrorKind<io::Error>>;

/// A numeric axis, linear or logarithmic.
trait NumberAxis: Ranged<ValueType = f64> + ValueFormatter<f64> {}
impl<T: Ranged<ValueType = f64> + ValueFormatter<f64>> NumberAxis for T {}

impl PlotData<'_> {
    /// Renders the plot as an SVG document.
    pub(super) fn to_svg(&self) -> Result<String, PlotError> {
        let mut svg = String::new();
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        let x_range = self.x_axis.low..self.x_axis.high;
        let y_range = self.y_axis.low..self.y_axis.high;
        match (self.x_axis.is_log, self.y_axis.is_log) {
            (true, true) => self.draw(&area, x_range.log_scale(), y_range.log_scale())?,
            (true, false) => self.draw(&area, x_range.log_scale(), y_range)?,
            (false, true) => self.draw(&area, x_range, y_range.log_scale())?,
            (false, false) => self.draw(&area, x_range, y_range)?,
        }
        area.present()?;
        drop(area);
        Ok(svg)
    }

    fn draw<X, Y>(&self, area: &Area<'_>, x_range: X, y_range: Y) -> DrawResult
    where
        X: AsRangedCoord<Value = f64, CoordDescType: NumberAxis>,
        Y: AsRangedCoord<Value = f64, CoordDescType: NumberAxis>,
    {
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(area)
            .caption(&self.slope.description, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(70)
            .build_cartesian_2d(x_range, y_range)?;
        self.draw_mesh(&mut chart)?;
        self.draw_fit(&mut chart)?;
        self.draw_budget(&mut chart)?;
        self.draw_points(&mut chart)?;
        draw_legend(&mut chart)
    }

    fn draw_mesh<'b: 'a, 'a, X: NumberAxis, Y: NumberAxis>(
        &self,
        chart: &mut Chart<'a, 'b, X, Y>,
    ) -> DrawResult {
        let label = |value: &f64| format::number(*value);
        chart
            .configure_mesh()
            .x_desc(self.slope.input.replace('_', " "))
            .y_desc(&self.slope.unit)
            .x_label_formatter(&label)
            .y_label_formatter(&label)
            .draw()
    }

    /// Draws the prediction interval as an area and the predictions as a line.
    fn draw_fit<'b: 'a, 'a, X: NumberAxis, Y: NumberAxis>(
        &self,
        chart: &mut Chart<'a, 'b, X, Y>,
    ) -> DrawResult {
        let Some(fit) = self.fit else {
            return Ok(());
        };
        let on_curve = |point: &CurvePoint, output: f64| (point.size, self.clamp(output));
        let upper = self.curve.iter().map(|p| on_curve(p, p.interval.high));
        let lower = self.curve.iter().map(|p| on_curve(p, p.interval.low));
        let outline: Vec<(f64, f64)> = upper.chain(lower.rev()).collect();
        chart.draw_series([Polygon::new(outline, BLUE.mix(0.15))])?;
        let middle = self.curve.iter().map(|p| on_curve(p, p.interval.mid));
        let form = fit.line.form.name();
        chart
            .draw_series(LineSeries::new(middle, BLUE))?
            .label(format!("fit, {form}, with its 95% interval"))
            .legend(|position| legend_line(position, BLUE));
        Ok(())
    }

    fn draw_budget<'b: 'a, 'a, X: NumberAxis, Y: NumberAxis>(
        &self,
        chart: &mut Chart<'a, 'b, X, Y>,
    ) -> DrawResult {
        let Some(budget) = self.budget else {
            return Ok(());
        };
        let ends = [(self.x_axis.low, budget), (self.x_axis.high, budget)];
        chart
            .draw_series(LineSeries::new(ends, RED))?
            .label("budget")
            .legend(|position| legend_line(position, RED));
        Ok(())
    }

    /// Draws the measurements; those at the hold-out size are marked with crosses.
    fn draw_points<'b: 'a, 'a, X: NumberAxis, Y: NumberAxis>(
        &self,
        chart: &mut Chart<'a, 'b, X, Y>,
    ) -> DrawResult {
        let hold_out = self.fit.map(|fit| fit.hold_out.size);
        let (held_out, fitted): (Vec<_>, Vec<_>) = self
            .measurement
            .points
            .iter()
            .map(|point| (point.x, self.clamp(point.y)))
            .partition(|(size, _)| Some(*size) == hold_out);
        let circles = fitted
            .into_iter()
            .map(|p| Circle::new(p, 3, BLACK.filled()));
        chart
            .draw_series(circles)?
            .label("measured")
            .legend(|(x, y)| Circle::new((x + LEGEND_LINE_LENGTH / 2, y), 3, BLACK.filled()));
        if hold_out.is_some() {
            let crosses = held_out.into_iter().map(|p| Cross::new(p, 4, MAGENTA));
            chart
                .draw_series(crosses)?
                .label("measured, kept out of the fit")
                .legend(|(x, y)| Cross::new((x + LEGEND_LINE_LENGTH / 2, y), 4, MAGENTA));
        }
        Ok(())
    }

    /// Clamps an output to the range of the axis.
    fn clamp(&self, output: f64) -> f64 {
        output.clamp(self.y_axis.low, self.y_axis.high)
    }
}

fn draw_legend<'b: 'a, 'a, X: NumberAxis, Y: NumberAxis>(
    chart: &mut Chart<'a, 'b, X, Y>,
) -> DrawResult {
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
}

fn legend_line((x, y): (i32, i32), color: RGBColor) -> PathElement<(i32, i32)> {
    PathElement::new(vec![(x, y), (x + LEGEND_LINE_LENGTH, y)], color)
}
