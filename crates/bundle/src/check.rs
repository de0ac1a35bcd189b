//! Checks that need the whole bundle.

use crate::file::{Draft, Kind, Problem};
use damaskweir_core::prelude::*;
use std::collections::BTreeMap;

type Find<'a> = dyn FnMut(&str, Option<&str>, Problem) + 'a;

/// Reports references to what the file does not hold. A section that has errors of its own still
/// counts as held, so that one mistake is reported once.
pub(crate) fn check_references(draft: &Draft, find: &mut Find<'_>) {
    let holds = |kind: Kind, name: &str| draft.heads.contains(&(kind, name.to_owned()));
    check_servers(draft, &holds, find);
    check_stages(draft, &holds, find);
    check_pipelines(draft, &holds, find);
    check_operators(draft, find);
}

fn check_servers(draft: &Draft, holds: &dyn Fn(Kind, &str) -> bool, find: &mut Find<'_>) {
    let mut sides = BTreeMap::new();
    for (id, (pool, server)) in &draft.servers {
        let section = format!("server {id}");
        if !holds(Kind::Pool, pool.as_str()) {
            let accepted = "the name of a pool in this file".to_owned();
            find(&section, Some("pool"), Problem::Value(pool.to_string(), accepted));
        }
        if let Some(other) = sides.insert(server.side, id) {
            let accepted = format!("an address of its own; [server {other}] has this one");
            find(&section, Some("side"), Problem::Value(server.side.to_string(), accepted));
        }
    }
}

fn check_stages(draft: &Draft, holds: &dyn Fn(Kind, &str) -> bool, find: &mut Find<'_>) {
    for ((pipeline, name), stage) in &draft.stages {
        let section = format!("stage {pipeline}/{name}");
        if !holds(Kind::Pool, stage.pool.as_str()) {
            let accepted = "the name of a pool in this file".to_owned();
            find(&section, Some("pool"), Problem::Value(stage.pool.to_string(), accepted));
        }
        match draft.pipelines.get(pipeline) {
            Some((_, names)) if !names.contains(name) => {
                let text = format!("not listed in stages of [pipeline {pipeline}]");
                find(&section, None, Problem::Whole(text));
            }
            None if !holds(Kind::Pipeline, pipeline.as_str()) => {
                let text = format!("there is no [pipeline {pipeline}]");
                find(&section, None, Problem::Whole(text));
            }
            _ => {}
        }
    }
}

fn check_pipelines(draft: &Draft, holds: &dyn Fn(Kind, &str) -> bool, find: &mut Find<'_>) {
    let mut filled: BTreeMap<&PoolId, usize> = BTreeMap::new();
    for (pool, _) in draft.servers.values() {
        *filled.entry(pool).or_default() += 1;
    }
    for (id, (deadline, names)) in &draft.pipelines {
        let section = format!("pipeline {id}");
        let mut expected = Span::ZERO;
        for name in names {
            if !holds(Kind::Stage, &format!("{id}/{name}")) {
                let accepted = format!("names that have a section [stage {id}/NAME]");
                find(&section, Some("stages"), Problem::Value(name.clone(), accepted));
            }
            let Some(stage) = draft.stages.get(&(id.clone(), name.clone())) else { continue };
            expected += stage.expected;
            // Without any server that was read in full, a server with errors may be the missing one.
            let servers = draft.heads.iter().filter(|(kind, _)| *kind == Kind::Server).count();
            if draft.pools.contains_key(&stage.pool)
                && !filled.contains_key(&stage.pool)
                && servers == draft.servers.len()
            {
                let accepted = "a pool that has at least one server".to_owned();
                let value = stage.pool.to_string();
                find(&format!("stage {id}/{name}"), Some("pool"), Problem::Value(value, accepted));
            }
        }
        if expected > *deadline {
            let value = format!("{}ms", deadline.as_millis());
            let accepted = format!(
                "at least {}ms, the sum of what its stages are expected to take",
                expected.as_millis()
            );
            find(&section, Some("deadline"), Problem::Value(value, accepted));
        }
    }
}

fn check_operators(draft: &Draft, find: &mut Find<'_>) {
    if !draft.heads.iter().any(|(kind, _)| *kind == Kind::Operator) {
        let text = "no [operator NAME]; accepted: at least one, whose key may sign the next bundle";
        find("", None, Problem::Whole(text.to_owned()));
    }
    let mut keys = BTreeMap::new();
    for (name, operator) in &draft.operators {
        if let Some(other) = keys.insert(operator.key, name) {
            let accepted = format!("a key of its own; [operator {other}] has this one");
            let value = crate::PublicKey(operator.key).to_string();
            find(&format!("operator {name}"), Some("key"), Problem::Value(value, accepted));
        }
    }
}
