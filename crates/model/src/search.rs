//! Breadth-first search with traces.

use crate::{Report, STATE_LIMIT, Size, Violation};
use pathfinding::directed::bfs::bfs_reach;
use std::cell::OnceCell;
use std::collections::HashMap;
use std::fmt;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use std::time::Instant;
use xxhash_rust::xxh3::Xxh3;

/// 128-bit digest of a value's debug text.
///
/// The debug text of the core's types shows all their fields, so states with equal texts are equal.
/// With 2^24 states the chance that two different ones share a digest is below 2^-80.
#[derive(Default)]
pub(crate) struct Print(Xxh3);

impl Print {
    pub(crate) fn add(&mut self, value: &dyn fmt::Debug) {
        // Writing to a hash can't fail.
        let _ = fmt::write(self, format_args!("{value:?};"));
    }

    pub(crate) fn finish(&self) -> u128 {
        self.0.digest128()
    }
}

impl fmt::Write for Print {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.update(text.as_bytes());
        Ok(())
    }
}

/// Part of a state, shared between the states that it is equal in, with its digest.
#[derive(Clone, Debug)]
pub(crate) struct Part<T> {
    value: Rc<T>,
    print: OnceCell<u128>,
}

impl<T: fmt::Debug> Part<T> {
    pub(crate) fn new(value: T) -> Self {
        Self { value: Rc::new(value), print: OnceCell::new() }
    }

    pub(crate) fn print(&self) -> u128 {
        *self.print.get_or_init(|| {
            let mut print = Print::default();
            print.add(&self.value);
            print.finish()
        })
    }
}

impl<T> Deref for Part<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

impl<T: Clone> DerefMut for Part<T> {
    fn deref_mut(&mut self) -> &mut T {
        self.print = OnceCell::new();
        Rc::make_mut(&mut self.value)
    }
}

/// A specification: its digest, its steps and what is broken in a state.
pub(crate) struct Spec<W, S> {
    pub(crate) print: fn(&W) -> u128,
    pub(crate) steps: fn(&W) -> Vec<(S, W)>,
    pub(crate) broken: fn(&W) -> Option<Violation>,
}

/// Explores everything that can be reached from `start`.
pub(crate) fn explore<W: Clone, S: fmt::Display>(
    size: Size,
    start: W,
    spec: &Spec<W, S>,
    wanted: Option<Violation>,
) -> Report {
    let began = Instant::now();
    let root = (spec.print)(&start);
    // Only the worlds that still have to be expanded are kept whole.
    let mut frontier = HashMap::from([(root, start.clone())]);
    // Parent, number of the step there, depth.
    let mut parents: HashMap<u128, (u128, u16, u16)> = HashMap::from([(root, (root, 0, 0))]);
    let mut found = None;
    let mut depth = 0;
    let mut complete = true;
    {
        let successors = |key: &u128| {
            let mut next = Vec::new();
            let Some(world) = frontier.remove(key) else { return next };
            let level = parents.get(key).map_or(0, |parent| parent.2) + 1;
            if found.is_some() || parents.len() > STATE_LIMIT {
                complete = false;
                return next;
            }
            for (i, (_, after)) in (spec.steps)(&world).into_iter().enumerate() {
                let print = (spec.print)(&after);
                if parents.contains_key(&print) {
                    continue;
                }
                parents.insert(print, (*key, i as u16, level));
                depth = depth.max(usize::from(level));
                match (spec.broken)(&after) {
                    Some(violation) if wanted.is_none_or(|wanted| wanted == violation) => {
                        found = found.or(Some((violation, print)));
                    }
                    // What follows a violation that is not looked for says nothing.
                    Some(_) => {}
                    None => {
                        frontier.insert(print, after);
                        next.push(print);
                    }
                }
            }
            next
        };
        bfs_reach(root, successors).for_each(drop);
    }
    let states = parents.len();
    let violation =
        found.map(|(violation, print)| (violation, trace(root, print, start, spec, &parents)));
    Report { size, states, depth, took: began.elapsed(), violation, complete }
}

/// Repeats the way to a state and names its steps.
fn trace<W: Clone, S: fmt::Display>(
    root: u128,
    mut print: u128,
    start: W,
    spec: &Spec<W, S>,
    parents: &HashMap<u128, (u128, u16, u16)>,
) -> Vec<String> {
    let mut path = Vec::new();
    while print != root {
        let Some((parent, step, _)) = parents.get(&print) else { break };
        path.push(*step);
        print = *parent;
    }
    let mut world = start;
    path.iter()
        .rev()
        .filter_map(|i| {
            let (step, after) = (spec.steps)(&world).into_iter().nth(usize::from(*i))?;
            world = after;
            Some(step.to_string())
        })
        .collect()
}
