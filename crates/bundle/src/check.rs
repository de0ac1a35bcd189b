//! Checks across the sections of a bundle file.

use crate::file::{Draft, Problem, SectionKind};
use damaskweir_core::prelude::*;
use std::collections::BTreeMap;

type ReportFn<'a> = dyn FnMut(&str, Option<&str>, Problem) + 'a;

/// Reports references to sections that the file does not contain, and conflicts between sections.
/// A section with errors still counts as present, so that a single mistake is reported only once.
pub(crate) fn check_references(draft: &Draft, report: &mut ReportFn<'_>) {
    let declared = |kind: SectionKind, name: &str| draft.headers.contains(&(kind, name.to_owned()));
    check_servers(draft, &declared, report);
    check_stages(draft, &declared, report);
    check_pipelines(draft, &declared, report);
    check_operators(draft, report);
}

fn check_servers(
    draft: &Draft,
    declared: &dyn Fn(SectionKind, &str) -> bool,
    report: &mut ReportFn<'_>,
) {
    let mut addresses = BTreeMap::new();
    for (id, (pool, server)) in &draft.servers {
        let section = format!("server {id}");
        if !declared(SectionKind::Pool, pool.as_str()) {
            let accepted = "the name of a pool in this file".to_owned();
            report(&section, Some("pool"), Problem::InvalidValue(pool.to_string(), accepted));
        }
        if let Some(other) = addresses.insert(server.side, id) {
            let accepted = format!("a unique address; [server {other}] has the same one");
            report(
                &section,
                Some("side"),
                Problem::InvalidValue(server.side.to_string(), accepted),
            );
        }
    }
}

fn check_stages(
    draft: &Draft,
    declared: &dyn Fn(SectionKind, &str) -> bool,
    report: &mut ReportFn<'_>,
) {
    for ((pipeline, name), stage) in &draft.stages {
        let section = format!("stage {pipeline}/{name}");
        if !declared(SectionKind::Pool, stage.pool.as_str()) {
            let accepted = "the name of a pool in this file".to_owned();
            report(&section, Some("pool"), Problem::InvalidValue(stage.pool.to_string(), accepted));
        }
        match draft.pipelines.get(pipeline) {
            Some((_, names)) if !names.contains(name) => {
                let text = format!("not listed in stages of [pipeline {pipeline}]");
                report(&section, None, Problem::Other(text));
            }
            None if !declared(SectionKind::Pipeline, pipeline.as_str()) => {
                let text = format!("section [pipeline {pipeline}] does not exist");
                report(&section, None, Problem::Other(text));
            }
            _ => {}
        }
    }
}

fn check_pipelines(
    draft: &Draft,
    declared: &dyn Fn(SectionKind, &str) -> bool,
    report: &mut ReportFn<'_>,
) {
    let mut server_counts: BTreeMap<&PoolId, usize> = BTreeMap::new();
    for (pool, _) in draft.servers.values() {
        *server_counts.entry(pool).or_default() += 1;
    }
    for (id, (deadline, names)) in &draft.pipelines {
        let section = format!("pipeline {id}");
        let mut expected = Span::ZERO;
        for name in names {
            if !declared(SectionKind::Stage, &format!("{id}/{name}")) {
                let accepted = format!("names of stages that have a section [stage {id}/NAME]");
                report(&section, Some("stages"), Problem::InvalidValue(name.clone(), accepted));
            }
            let Some(stage) = draft.stages.get(&(id.clone(), name.clone())) else { continue };
            expected += stage.expected;
            // A pool counts as empty only if every server section parsed without errors, because a
            // server with errors may belong to it.
            let servers =
                draft.headers.iter().filter(|(kind, _)| *kind == SectionKind::Server).count();
            if draft.pools.contains_key(&stage.pool)
                && !server_counts.contains_key(&stage.pool)
                && servers == draft.servers.len()
            {
                let accepted = "a pool that has at least one server".to_owned();
                let value = stage.pool.to_string();
                report(
                    &format!("stage {id}/{name}"),
                    Some("pool"),
                    Problem::InvalidValue(value, accepted),
                );
            }
        }
        if expected > *deadline {
            let value = format!("{}ms", deadline.as_millis());
            let accepted = format!(
                "at least {}ms, the sum of the expected times of its stages",
                expected.as_millis()
            );
            report(&section, Some("deadline"), Problem::InvalidValue(value, accepted));
        }
    }
}

fn check_operators(draft: &Draft, report: &mut ReportFn<'_>) {
    if !draft.headers.iter().any(|(kind, _)| *kind == SectionKind::Operator) {
        let text =
            "no section [operator NAME]; expected at least one, whose key can sign the next bundle";
        report("", None, Problem::Other(text.to_owned()));
    }
    let mut keys = BTreeMap::new();
    for (name, operator) in &draft.operators {
        if let Some(other) = keys.insert(operator.key, name) {
            let accepted = format!("a unique key; [operator {other}] has the same one");
            let value = crate::PublicKey(operator.key).to_string();
            report(
                &format!("operator {name}"),
                Some("key"),
                Problem::InvalidValue(value, accepted),
            );
        }
    }
}
