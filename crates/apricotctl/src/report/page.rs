//! The burn report as an HTML page that needs no other file.

use std::fmt::Write;

use apricotknot_core::objectives::BurnReport;
use apricotknot_core::objectives::BurnWindow;
use apricotknot_core::objectives::ContributorShare;
use apricotknot_core::objectives::SeriesReport;

use super::plot::burn_plot;
use super::text::alert_cell;
use super::text::burn_cell;
use super::text::coverage_line;
use super::text::goal_cell;
use super::text::percentile_cell;
use crate::client::ClientError;

const PAGE_STYLE: &str = "\
body { font: 15px/1.45 system-ui, sans-serif; margin: 2rem auto; max-width: 62rem; color: #222; }
h1 { font-size: 1.6rem; } h2 { font-size: 1.2rem; margin: 2rem 0 .4rem; }
table { border-collapse: collapse; margin: .5rem 0; }
th, td { text-align: left; padding: .25rem .9rem .25rem 0; border-bottom: 1px solid #ddd; }
td.alert, li.missing { color: #b71c1c; font-weight: 600; } td.ok { color: #2e7d32; }
figure { display: inline-block; margin: .4rem 1rem .4rem 0; }
figcaption { color: #555; font-size: .9rem; }
.empty { color: #777; font-style: italic; }";

/// Windows for which a plot is drawn.
const PLOTTED_WINDOWS: [BurnWindow; 2] = [BurnWindow::OneHour, BurnWindow::ThreeDays];

/// Returns the report as an HTML page with its style and plots.
pub(crate) fn burn_page(report: &BurnReport) -> Result<String, ClientError> {
    let mut page = String::new();
    let _ = write!(
        page,
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>Service-level burn</title><style>{PAGE_STYLE}</style></head><body>\n\
         <h1>Service-level burn</h1>\n\
         <p>A burn of 1 uses up the error budget just by the end of the period; above 1 it \
         runs out early. Fast burn: 14.4 or more over 1 h and over 5 min. Slow burn: 1 or more \
         over 3 d and over 6 h.</p>\n"
    );
    write_nodes(&mut page, report);
    write_overview(&mut page, report);
    for series in &report.series {
        write_series(&mut page, series)?;
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

fn write_nodes(page: &mut String, report: &BurnReport) {
    let reached = report.nodes.len() - report.missing().count();
    let _ = write!(page, "<h2>Nodes: {reached} of {} answered</h2>\n<ul>", report.nodes.len());
    for node in &report.nodes {
        let class = if node.missing.is_some() { " class=\"missing\"" } else { "" };
        let _ = write!(page, "<li{class}>{}</li>", escape_html(&coverage_line(node)));
    }
    page.push_str("</ul>\n");
}

fn write_overview(page: &mut String, report: &BurnReport) {
    page.push_str("<h2>Overview</h2>\n");
    if report.series.is_empty() {
        page.push_str("<p class=\"empty\">No requests were counted.</p>\n");
        return;
    }
    page.push_str(
        "<table><tr><th>Service</th><th>Class</th><th>Goal</th><th>5 min</th><th>1 h</th>\
         <th>6 h</th><th>3 d</th><th>Bad of all</th><th>First token p50</th><th>p95</th>\
         <th>Between tokens p95</th><th>Alert</th></tr>\n",
    );
    for series in &report.series {
        write_row(page, series);
    }
    page.push_str("</table>\n");
}

fn write_row(page: &mut String, series: &SeriesReport) {
    let _ = write!(page, "<tr><td>{}</td><td>{}</td>", escape_html(&series.service), series.class);
    let _ = write!(page, "<td>{}</td>", goal_cell(series));
    for report in &series.windows {
        let _ = write!(page, "<td>{}</td>", burn_cell(Some(report)));
    }
    let count = series.windows.last().map(|report| report.count).unwrap_or_default();
    let _ = write!(page, "<td>{} of {}</td>", count.bad, count.total());
    let percentiles = [
        percentile_cell(&series.first_token, 50.0),
        percentile_cell(&series.first_token, 95.0),
        percentile_cell(&series.between_tokens, 95.0),
    ];
    for percentile in percentiles {
        let _ = write!(page, "<td>{percentile}</td>");
    }
    let class = if series.alerts.is_empty() { "ok" } else { "alert" };
    let _ = writeln!(page, "<td class=\"{class}\">{}</td></tr>", alert_cell(&series.alerts));
}

fn write_series(page: &mut String, series: &SeriesReport) -> Result<(), ClientError> {
    let _ = writeln!(page, "<h2>{}, {} prompts</h2>", escape_html(&series.service), series.class);
    let Some(objective) = &series.objective else {
        page.push_str("<p class=\"empty\">No objective is stated, so there is no budget.</p>\n");
        return Ok(());
    };
    let _ = writeln!(
        page,
        "<p>Goal: {} of requests with the first token within {} ms and {} ms between tokens.</p>",
        goal_cell(series),
        objective.first_token_ms,
        objective.between_tokens_ms
    );
    for report in series.windows.iter().filter(|report| PLOTTED_WINDOWS.contains(&report.window)) {
        let name = report.window.name();
        if report.count.total() == 0 {
            let _ =
                writeln!(page, "<p class=\"empty\">Nothing was counted in the last {name}.</p>");
            continue;
        }
        let plot = burn_plot(series, report)?;
        let caption = format!("Burn over the last {name}; no bar where nothing was counted");
        let _ = writeln!(page, "<figure>{plot}<figcaption>{caption}</figcaption></figure>");
    }
    write_contributors(page, &series.contributors);
    Ok(())
}

fn write_contributors(page: &mut String, shares: &[ContributorShare]) {
    if shares.is_empty() {
        page.push_str("<p class=\"empty\">No request was bad.</p>\n");
        return;
    }
    page.push_str("<table><tr><th>Budget used by</th><th></th><th>Bad</th><th>Part</th></tr>\n");
    for share in shares {
        let _ = writeln!(
            page,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}%</td></tr>",
            share.dimension.name(),
            escape_html(&share.name),
            share.bad,
            share.permille / 10
        );
    }
    page.push_str("</table>\n");
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
