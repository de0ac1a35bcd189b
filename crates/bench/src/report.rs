//! HTML page with plots.

use crate::experiment::Findings;
use crate::output::{Document, text};
use plotters::prelude::*;
use std::fmt::Write as _;

const SIZE: (u32, u32) = (760, 300);

type Plot = Result<(), Box<dyn std::error::Error>>;

/// Builds the page.
pub(crate) fn page(document: &Document) -> Result<String, Box<dyn std::error::Error>> {
    let title = format!("damaskweir bench: {}, seed {}", document.deployment, document.seed);
    let mut out = format!(
        "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title>\n\
         <h1>{title}</h1>\n"
    );
    for policy in &document.policies {
        for findings in &policy.experiments {
            writeln!(out, "<h2>{}, {}</h2>", findings.experiment, policy.policy)?;
            let (mut rate, mut curve) = (String::new(), String::new());
            draw_rate(&mut rate, findings)?;
            draw_curve(&mut curve, findings)?;
            out.push_str(&rate);
            out.push_str(&curve);
        }
    }
    write!(out, "<pre>{}</pre>\n</html>\n", escape(&text(document)))?;
    Ok(out)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Calls per second, and those answered completely in time.
fn draw_rate(out: &mut String, findings: &Findings) -> Plot {
    let timeline = &findings.run.timeline;
    let top = timeline.iter().map(|(all, _)| *all).max().unwrap_or(1) as f64 * 1.1;
    let root = SVGBackend::with_string(out, SIZE).into_drawing_area();
    let mut chart = ChartBuilder::on(&root)
        .caption("calls per second: all, answered in time", ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..timeline.len() as f64, 0.0..top)?;
    chart.configure_mesh().x_desc("s").draw()?;
    let points = |pick: fn(&(u64, u64)) -> u64| {
        timeline.iter().enumerate().map(move |(i, point)| (i as f64, pick(point) as f64))
    };
    chart.draw_series(LineSeries::new(points(|p| p.0), &BLACK))?;
    chart.draw_series(LineSeries::new(points(|p| p.1), &BLUE))?;
    root.present()?;
    Ok(())
}

/// Latency of short calls at each percent, with the reference run in red.
fn draw_curve(out: &mut String, findings: &Findings) -> Plot {
    let curve = &findings.run.curve;
    let empty = Vec::new();
    let other = findings.reference.as_ref().map_or(&empty, |reference| &reference.curve);
    let top = curve.iter().chain(other).fold(1.0f64, |top, value| top.max(*value)) * 1.1;
    let root = SVGBackend::with_string(out, SIZE).into_drawing_area();
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
    chart.draw_series(LineSeries::new(points(other), &RED))?;
    root.present()?;
    Ok(())
}
