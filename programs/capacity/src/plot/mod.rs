//! SVG plots of slopes: measurements, the fit with its prediction interval up to the target size, and the budget.

mod data;
mod draw;

use crate::error::{CapacityError, Errors};
use crate::figures::{Evaluation, Slope, UnknownNumber};
use data::PlotData;
use plotters::drawing::DrawingAreaErrorKind;
use std::io;
use thiserror::Error;

/// A rendered plot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plot {
    /// The file name in the `img` folder.
    pub file_name: String,
    /// The SVG document.
    pub svg: String,
}

/// An error in drawing a plot.
#[derive(Debug, Error)]
pub enum PlotError {
    /// The target size or the budget is an undefined name.
    #[error(transparent)]
    UnknownNumber(#[from] UnknownNumber),
    /// The drawing library failed.
    #[error(transparent)]
    Drawing(#[from] DrawingAreaErrorKind<io::Error>),
}

/// The file name of a slope's plot.
pub fn file_name(slope: &Slope) -> String {
    format!("capacity-{}.svg", slope.id())
}

/// Renders the plots of all measured slopes that define one.
pub fn render_all(evaluation: &Evaluation) -> Result<Vec<Plot>, Errors> {
    let mut plots = Vec::new();
    for (slope, measurement) in evaluation.slopes() {
        let Some(axes) = slope.plot.filter(|_| !measurement.points.is_empty()) else {
            continue;
        };
        let file_name = file_name(slope);
        let svg = PlotData::new(evaluation, slope, measurement, axes)
            .map_err(PlotError::from)
            .and_then(|data| data.to_svg());
        match svg {
            Ok(svg) => plots.push(Plot { file_name, svg }),
            Err(source) => {
                return Err(Errors::from(CapacityError::Plot {
                    file: file_name,
                    source,
                }))
            }
        }
    }
    Ok(plots)
}
