//! The burn report as text, and the cells that the page shares with it.

use std::fmt::Write;

use apricotknot_core::objectives::BurnAlert;
use apricotknot_core::objectives::BurnReport;
use apricotknot_core::objectives::BurnWindow;
use apricotknot_core::objectives::HistogramSnapshot;
use apricotknot_core::objectives::NodeCoverage;
use apricotknot_core::objectives::SeriesReport;
use apricotknot_core::objectives::WindowReport;

use crate::output::TextTable;

const MS_PER_MINUTE: u64 = 60_000;

/// Returns the report as text.
pub(crate) fn burn_text(report: &BurnReport) -> String {
    let mut text = String::new();
    let reached = report.nodes.len() - report.missing().count();
    let _ = writeln!(text, "nodes: {reached} of {} answered", report.nodes.len());
    for node in &report.nodes {
        let _ = writeln!(text, "  {}", coverage_line(node));
    }
    if report.series.is_empty() {
        text.push_str("no requests were counted\n");
        return text;
    }
    let mut table = TextTable::new([
        "SERVICE", "CLASS", "GOAL", "5m", "1h", "6h", "3d", "BAD/ALL", "TTFT-P50", "TTFT-P95",
        "ITL-P95", "ALERT",
    ]);
    for series in &report.series {
        table.add_row(series_row(series));
    }
    let _ = write!(text, "{table}");
    for series in &report.series {
        for share in &series.contributors {
            let _ = writeln!(
                text,
                "{} {}: {} {} had {} bad requests, {}% of them",
                series.service,
                series.class,
                share.dimension.name(),
                share.name,
                share.bad,
                share.permille / 10
            );
        }
    }
    text
}

/// Returns the name of a node, and which part of the windows its counts cover.
pub(super) fn coverage_line(node: &NodeCoverage) -> String {
    if let Some(reason) = &node.missing {
        return format!("{}: NOT REACHED, its requests are missing: {reason}", node.node);
    }
    let minutes = node.uptime_ms.unwrap_or_default() / MS_PER_MINUTE;
    let partial: Vec<_> = node.partial.iter().map(|window| window.name()).collect();
    if partial.is_empty() {
        return format!("{}: up {minutes} min", node.node);
    }
    let windows = partial.join(", ");
    format!("{}: counts reset {minutes} min ago; covers only part of {windows}", node.node)
}

fn series_row(series: &SeriesReport) -> [String; 12] {
    let burn = |window| burn_cell(series.windows.iter().find(|report| report.window == window));
    let last = series.windows.last().map(|report| report.count).unwrap_or_default();
    [
        series.service.to_string(),
        series.class.to_string(),
        goal_cell(series),
        burn(BurnWindow::FiveMinutes),
        burn(BurnWindow::OneHour),
        burn(BurnWindow::SixHours),
        burn(BurnWindow::ThreeDays),
        format!("{}/{}", last.bad, last.total()),
        percentile_cell(&series.first_token, 50.0),
        percentile_cell(&series.first_token, 95.0),
        percentile_cell(&series.between_tokens, 95.0),
        alert_cell(&series.alerts),
    ]
}

/// Returns the goal of a series as a percentage, or `none` without an objective.
pub(super) fn goal_cell(series: &SeriesReport) -> String {
    let Some(objective) = &series.objective else {
        return "none".to_owned();
    };
    format!("{:.1}%", f64::from(objective.good_permille) / 10.0)
}

/// Returns the burn rate over a window, `empty` if it counts no requests, or `-` if unknown.
pub(super) fn burn_cell(report: Option<&WindowReport>) -> String {
    match report {
        Some(report) if report.count.total() == 0 => "empty".to_owned(),
        Some(WindowReport { burn: Some(burn), .. }) => format!("{burn:.2}x"),
        _ => "-".to_owned(),
    }
}

/// Returns a percentile in milliseconds, or `-` if there are no values.
pub(super) fn percentile_cell(histogram: &HistogramSnapshot, percentile: f64) -> String {
    let value = histogram.percentile(percentile);
    value.map_or_else(|| "-".to_owned(), |value| format!("{value} ms"))
}

/// Returns the names of the alerts in upper case, or `ok` if there are none.
pub(super) fn alert_cell(alerts: &[BurnAlert]) -> String {
    let names: Vec<_> = alerts.iter().map(|alert| alert.name()).collect();
    if names.is_empty() { "ok".to_owned() } else { names.join(", ").to_uppercase() }
}
