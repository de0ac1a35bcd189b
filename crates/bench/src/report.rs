//! Renders results as an HTML page with plots.

use crate::experiment::Findings;
use crate::output::{Document, to_text};
use plotters::prelude::*;
use std::fmt::Write as _;

/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (760, 300);

type PlotResult = Result<(), Box<dyn std::error::Error>>;

/// Renders the page, with the text output below the plots.
pub(crate) fn render_page(document: &Document) -> Result<String, Box<dyn std::error::Error>> {
    let title = format!("damaskweir bench: {}, seed {}", document.deployment, document.seed);
    let mut out = format!(
        "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title>\n\
         <h1>{title}</h1>\n"
    );
    for policy in &document.policies {
        for findings in &policy.experiments {
            writeln!(out, "<h2>{}, {}</h2>", findings.experiment, policy.policy)?;
            let (mut call_rate, mut latency) = (String::new(), String::new());
            draw_call_rate(&mut call_rate, findings)?;
            draw_latency(&mut latency, findings)?;
            out.push_str(&call_rate);
            out.push_str(&latency);
        }
    }
    write!(out, "<pre>{}</pre>\n</html>\n", escape_html(&to_text(document)))?;
    Ok(out)
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Draws the calls per second: all in black, those answered completely and in time in blue.
fn draw_call_rate(out: &mut String, findings: &Findings) -> PlotResult {
    let timeline = &findings.run.timeline;
    let top = timeline.iter().map(|(all, _)| *all).max().unwrap_or(1) as f64 * 1.1;
    let root = SVGBackend::with_string(out, PLOT_SIZE).into_drawing_area();
    let mut chart = ChartBuilder::on(&root)
        .caption("calls per second: all, answered in time", ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..timeline.len() as f64, 0.0..top)?;
    chart.configure_mesh().x_desc("s").draw()?;
    let points = |select: fn(&(u64, u64)) -> u64| {
        timeline.iter().enumerate().map(move |(i, point)| (i as f64, select(point) as f64))
    };
    chart.draw_series(LineSeries::new(points(|p| p.0), &BLACK))?;
    chart.draw_series(LineSeries::new(points(|p| p.1), &BLUE))?;
    root.present()?;
    Ok(())
}

/// Draws the latency of short calls by percentile: this run in blue, the reference run in red.
fn draw_latency(out: &mut String, findings: &Findings) -> PlotResult {
    let curve = &findings.run.curve;
    let empty = Vec::new();
    let reference = findings.reference.as_ref().map_or(&empty, |reference| &reference.curve);
    let top = curve.iter().chain(reference).fold(1.0f64, |top, value| top.max(*value)) * 1.1;
    let root = SVGBackend::with_string(out, PLOT_SIZE).into_drawing_area();
    let mut chart = ChartBuilder::on(&root)
        .caption("latency of short calls, ms, by percent", ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..100.0, 0.0..top)?;
    chart.configure_mesh().x_desc("%").draw()?;
    let points =
        |curve: &[f64]| curve.iter().enumerate().map(|(i, v)| (i as f64, *v)).collect::<Vec<_>>();
    chart.draw_series(LineSeries::new(points(curve), &BLUE))?;
    chart.draw_series(LineSeries::new(points(reference), &RED))?;
    root.present()?;
    Ok(())
}
