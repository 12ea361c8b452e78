//! Plots of the burn rate over time.

use std::io;

use apricotknot_core::objectives::SeriesReport;
use apricotknot_core::objectives::WindowReport;
use plotters::chart::ChartBuilder;
use plotters::drawing::DrawingAreaErrorKind;
use plotters::drawing::IntoDrawingArea;
use plotters::element::PathElement;
use plotters::element::Rectangle;
use plotters::prelude::SVGBackend;
use plotters::style::Color;
use plotters::style::RGBColor;
use plotters::style::WHITE;

use crate::client::ClientError;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (460, 220);

/// Minimum of the upper end of the burn axis.
const MIN_BURN_AXIS: f64 = 2.0;

const GOOD_COLOUR: RGBColor = RGBColor(46, 125, 50);
const BAD_COLOUR: RGBColor = RGBColor(198, 40, 40);
const LIMIT_COLOUR: RGBColor = RGBColor(97, 97, 97);

/// Error of the plotting library.
type PlotError = DrawingAreaErrorKind<io::Error>;

/// Returns a bar chart of the burn rates of one window as SVG, with the newest slot at the right.
///
/// The chart is empty if the series has no objective.
pub(super) fn burn_plot(
    series: &SeriesReport,
    report: &WindowReport,
) -> Result<String, ClientError> {
    let mut svg = String::new();
    draw(&mut svg, series, report)?;
    Ok(svg)
}

fn draw(svg: &mut String, series: &SeriesReport, report: &WindowReport) -> Result<(), PlotError> {
    let Some(objective) = &series.objective else {
        return Ok(());
    };
    let burns = report.slot_burn_rates(objective);
    let max_burn = burns.iter().flatten().fold(MIN_BURN_AXIS, |max_burn, burn| max_burn.max(*burn));
    let minutes = report.window.length().as_secs_f64() / 60.0;
    let slot = minutes / burns.len().max(1) as f64;
    let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(8)
        .x_label_area_size(34)
        .y_label_area_size(44)
        .build_cartesian_2d(-minutes..0.0, 0.0..max_burn * 1.1)?;
    let mut mesh = chart.configure_mesh();
    mesh.disable_x_mesh().x_desc("minutes ago").y_desc("burn").x_labels(6).y_labels(5);
    mesh.x_label_formatter(&|minutes| format!("{:.0}", minutes.abs()));
    mesh.draw()?;
    let bars = burns.iter().enumerate().filter_map(|(index, burn)| {
        let (start, burn) = (-minutes + slot * index as f64, (*burn)?);
        let colour = if burn > 1.0 { BAD_COLOUR } else { GOOD_COLOUR };
        let corners = [(start + slot * 0.1, 0.0), (start + slot * 0.9, burn.max(0.01))];
        Some(Rectangle::new(corners, colour.filled()))
    });
    chart.draw_series(bars)?;
    let limit = PathElement::new(vec![(-minutes, 1.0), (0.0, 1.0)], LIMIT_COLOUR.stroke_width(1));
    chart.draw_series([limit])?;
    area.present()
}
