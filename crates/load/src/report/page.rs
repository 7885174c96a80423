//! The HTML page.

use std::fmt::Write as _;

use crate::outcome::{LatencySummary, QUANTILES, RunResult, TimelineRow};

use super::{
    plots::{LinePlot, PlotError, PlotLine},
    table::{FigureTable, customer_names, customer_of, figure_tables},
};

const STYLE: &str = "body{font-family:sans-serif;margin:2em;max-width:1400px}\
    table{border-collapse:collapse;margin:1em 0}\
    td,th{border:1px solid #ccc;padding:.25em .6em;text-align:left}\
    svg{margin:.3em}";

/// Renders an HTML page that shows one or two results side by side.
pub fn report_page(runs: &[&RunResult]) -> Result<String, PlotError> {
    let mut body = String::new();
    for table in figure_tables(runs) {
        body.push_str(&table_html(&table, runs));
    }
    for plot in run_plots(runs) {
        if !plot.is_empty() {
            body.push_str(&plot.draw()?);
        }
    }
    let labels: Vec<String> = runs.iter().map(|it| escape(&it.label)).collect();
    let title = labels.join(" and ");
    Ok(format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\
         <style>{STYLE}</style></head><body><h1>{title}</h1>\n{body}</body></html>\n"
    ))
}

fn table_html(table: &FigureTable, runs: &[&RunResult]) -> String {
    let mut html = format!("<h2>{}</h2>\n<table><tr><th></th>", escape(&table.title));
    for run in runs {
        // Writing to a string can't fail.
        let _ = write!(html, "<th>{}</th>", escape(&run.label));
    }
    html.push_str("</tr>\n");
    for row in &table.rows {
        let _ = write!(html, "<tr><td>{}</td>", escape(&row.name));
        for value in &row.values {
            let _ = write!(html, "<td>{}</td>", escape(value));
        }
        html.push_str("</tr>\n");
    }
    html.push_str("</table>\n");
    html
}

fn run_plots(runs: &[&RunResult]) -> Vec<LinePlot> {
    let mut plots = vec![
        timeline_plot(runs, "TTFT p95 by second", "ms", |it| it.ttft_p95_ms),
        timeline_plot(runs, "Lot items by second", "items", |it| {
            Some(f64::from(it.lot_items))
        }),
        timeline_plot(runs, "Refused calls by second", "calls", |it| {
            Some(f64::from(it.refused))
        }),
    ];
    for name in customer_names(runs) {
        plots.push(curve_plot(runs, &name, "TTFT", |it| &it.ttft));
        plots.push(curve_plot(runs, &name, "Time between tokens", |it| {
            &it.inter_token
        }));
        plots.push(curve_plot(runs, &name, "Whole duration", |it| &it.duration));
    }
    plots
}

fn timeline_plot(
    runs: &[&RunResult],
    title: &str,
    unit: &str,
    figure: impl Fn(&TimelineRow) -> Option<f64>,
) -> LinePlot {
    let lines = runs.iter().map(|run| {
        let rows = run.timeline.iter();
        let points = rows.filter_map(|it| Some((it.second as f64, figure(it)?)));
        PlotLine {
            label: run.label.clone(),
            points: points.collect(),
        }
    });
    LinePlot {
        title: title.to_owned(),
        x_label: "seconds".to_owned(),
        y_label: unit.to_owned(),
        lines: lines.collect(),
    }
}

/// Plots latency over percentile, which shows the tails of both runs in one plot.
fn curve_plot(
    runs: &[&RunResult],
    customer: &str,
    title: &str,
    latency: impl Fn(&crate::outcome::CallResult) -> &LatencySummary,
) -> LinePlot {
    let lines = runs.iter().map(|run| {
        let curve = customer_of(run, customer).map(|it| &latency(&it.live).curve_ms);
        let values = curve.into_iter().flatten();
        let points = QUANTILES.iter().zip(values);
        PlotLine {
            label: run.label.clone(),
            points: points
                .map(|(share, value)| (share * 100.0, *value))
                .collect(),
        }
    });
    LinePlot {
        title: format!("{title} of live calls, customer {customer}"),
        x_label: "percentile".to_owned(),
        y_label: "ms".to_owned(),
        lines: lines.collect(),
    }
}

fn escape(text: &str) -> String {
    let text = text.replace('&', "&amp;").replace('<', "&lt;");
    text.replace('>', "&gt;").replace('"', "&quot;")
}
