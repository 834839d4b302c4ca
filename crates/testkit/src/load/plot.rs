//! SVG plots of latency over load.

use std::{error::Error, path::Path};

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, IntoLogRange, LineSeries, Palette, Palette99,
    PathElement, SVGBackend, WHITE,
};

// Sizes in pixels.
const SIZE: (u32, u32) = (900, 560);
const MARGIN: u32 = 14;
const LATENCY_LABEL_SIZE: u32 = 70;
const LOAD_LABEL_SIZE: u32 = 50;

/// One line of a plot.
#[derive(Clone, Debug)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Points of load in percent and latency in milliseconds, ordered by load.
    pub points: Vec<(f64, f64)>,
    /// Whether the series is the ideal simulation for the series before it. It is drawn thin in the
    /// same colour.
    pub is_ideal: bool,
}

/// Writes a plot with a logarithmic latency axis.
///
/// # Errors
///
/// Returns an error if the file cannot be written or no series has a point.
pub fn plot_latency(path: &Path, title: &str, series: &[Series]) -> Result<(), Box<dyn Error>> {
    let points = || series.iter().flat_map(|s| &s.points);
    let bounds = |coordinate: fn(&(f64, f64)) -> f64| {
        let low = points().map(coordinate).fold(f64::INFINITY, f64::min);
        let high = points().map(coordinate).fold(0.0, f64::max);
        (low, high)
    };
    let ((left, right), (low, high)) = (bounds(|p| p.0), bounds(|p| p.1));
    if !left.is_finite() {
        return Err("no series of the plot has a point".into());
    }
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let low = low.max(0.1) / 1.5;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(MARGIN)
        .x_label_area_size(LOAD_LABEL_SIZE)
        .y_label_area_size(LATENCY_LABEL_SIZE)
        .build_cartesian_2d(
            left - 2.0..right + 2.0,
            (low..high.max(low) * 1.5).log_scale(),
        )?;
    chart
        .configure_mesh()
        .x_desc("load, % of slot capacity")
        .y_desc("p99 of served calls, ms")
        .draw()?;
    let mut number = 0;
    for line in series {
        number += usize::from(!line.is_ideal);
        let width = if line.is_ideal { 1 } else { 3 };
        let style = Palette99::pick(number).stroke_width(width);
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), style))?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], style));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()?;
    root.present()?;
    Ok(())
}
