//! Formats results as text and as JSON.

use crate::experiment::{Findings, Measure};
use crate::summary::{LatencyQuantiles, Summary, round};
use serde::Serialize;
use std::fmt::Write as _;

/// Results of all experiments under one policy.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub(crate) struct PolicyResults {
    pub(crate) policy: &'static str,
    pub(crate) experiments: Vec<Findings>,
}

/// Ratio of a measure under the policy to the same measure under the baseline.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub(crate) struct Ratio {
    pub(crate) experiment: &'static str,
    pub(crate) measure: &'static str,
    /// `None` if the measure is 0 under the baseline.
    pub(crate) ratio: Option<f64>,
}

/// All results of one invocation.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub(crate) struct Document {
    pub(crate) deployment: String,
    pub(crate) seed: u64,
    pub(crate) seconds: u64,
    pub(crate) policies: Vec<PolicyResults>,
    /// Empty unless both the policy and the baseline were run.
    pub(crate) ratios: Vec<Ratio>,
}

/// Divides the measures of the first policy by those of the second. Returns nothing unless there are
/// exactly two policies.
pub(crate) fn policy_ratios(policies: &[PolicyResults]) -> Vec<Ratio> {
    let [first, second] = policies else { return Vec::new() };
    let pairs = first.experiments.iter().zip(&second.experiments);
    pairs
        .flat_map(|(a, b)| {
            a.measures.iter().zip(&b.measures).map(|(x, y)| Ratio {
                experiment: a.experiment,
                measure: x.name,
                ratio: (y.value != 0.0).then(|| round(x.value / y.value)),
            })
        })
        .collect()
}

/// Formats the document as JSON.
pub(crate) fn to_json(document: &Document) -> Result<String, serde_json::Error> {
    serde_json::to_string_pretty(document).map(|text| text + "\n")
}

/// Formats the document as text.
pub(crate) fn to_text(document: &Document) -> String {
    let mut out = String::new();
    let Document { deployment, seed, seconds, .. } = document;
    let _ = writeln!(out, "deployment {deployment}, seed {seed}, {seconds} s");
    for policy in &document.policies {
        for findings in &policy.experiments {
            write_findings(&mut out, policy.policy, findings);
        }
    }
    if !document.ratios.is_empty() {
        let _ = writeln!(out, "\nratios to the baseline");
    }
    for Ratio { experiment, measure, ratio } in &document.ratios {
        let ratio = ratio.map_or("-".to_owned(), |ratio| format!("{ratio:.4}"));
        let _ = writeln!(out, "  {experiment:<9} {measure:<26} {ratio}");
    }
    out
}

fn write_findings(out: &mut String, policy: &str, findings: &Findings) {
    let _ = writeln!(out, "\n{} [{policy}]", findings.experiment);
    for measure in &findings.measures {
        let _ = writeln!(out, "  {}", format_measure(measure));
    }
    write_summary(out, "run", &findings.run);
    if let Some(reference) = &findings.reference {
        write_summary(out, "reference", reference);
    }
}

fn format_measure(measure: &Measure) -> String {
    let Measure { name, value, target, at_least, met } = measure;
    let Some(target) = target else { return format!("{name:<26} {value:>10}") };
    let sign = if *at_least { ">=" } else { "<=" };
    let verdict = if *met { "met" } else { "NOT MET" };
    format!("{name:<26} {value:>10}  target {sign} {target}: {verdict}")
}

fn write_summary(out: &mut String, title: &str, summary: &Summary) {
    let percentiles =
        |l: &LatencyQuantiles| format!("p50 {} p99 {} p99.9 {} ms", l.p50, l.p99, l.p999);
    let _ = writeln!(
        out,
        "  {title}: calls {}, attainment {}, attempts {}, prefix hits {}, store calls {}",
        summary.calls,
        summary.attainment,
        summary.attempts,
        summary.prefix_hits,
        summary.store_calls
    );
    let _ = writeln!(
        out,
        "    short {}; long {}",
        percentiles(&summary.short),
        percentiles(&summary.long)
    );
    let _ = writeln!(out, "    wasted {}, hedging {}", summary.wasted_share, summary.hedging_share);
    for stage in &summary.stages {
        let _ = writeln!(
            out,
            "    {:<18} {:<10} work {:>10.2} s, wasted {:>8.2}, hedging {:>8.2}",
            stage.stage, stage.pool, stage.work, stage.wasted, stage.hedging
        );
    }
    for (code, count) in &summary.refused {
        let _ = writeln!(out, "    {code}: {count}");
    }
}
