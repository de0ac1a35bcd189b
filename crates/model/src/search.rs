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
pub(crate) struct Fingerprint(Xxh3);

impl Fingerprint {
    pub(crate) fn add(&mut self, value: &dyn fmt::Debug) {
        // Writing to a hash can't fail.
        let _ = fmt::write(self, format_args!("{value:?};"));
    }

    pub(crate) fn finish(&self) -> u128 {
        self.0.digest128()
    }
}

impl fmt::Write for Fingerprint {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.update(text.as_bytes());
        Ok(())
    }
}

/// Part of a state, shared between the states that it is equal in, with its digest.
#[derive(Clone, Debug)]
pub(crate) struct Shared<T> {
    value: Rc<T>,
    fingerprint: OnceCell<u128>,
}

impl<T: fmt::Debug> Shared<T> {
    pub(crate) fn new(value: T) -> Self {
        Self { value: Rc::new(value), fingerprint: OnceCell::new() }
    }

    pub(crate) fn fingerprint(&self) -> u128 {
        *self.fingerprint.get_or_init(|| {
            let mut fingerprint = Fingerprint::default();
            fingerprint.add(&self.value);
            fingerprint.finish()
        })
    }
}

impl<T> Deref for Shared<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

impl<T: Clone> DerefMut for Shared<T> {
    fn deref_mut(&mut self) -> &mut T {
        self.fingerprint = OnceCell::new();
        Rc::make_mut(&mut self.value)
    }
}

/// A specification: its digest, its steps and what is broken in a state.
pub(crate) struct Spec<S, T> {
    pub(crate) fingerprint: fn(&S) -> u128,
    pub(crate) steps: fn(&S) -> Vec<(T, S)>,
    pub(crate) violation_in: fn(&S) -> Option<Violation>,
}

/// Explores everything that can be reached from `start`.
pub(crate) fn explore<S: Clone, T: fmt::Display>(
    size: Size,
    initial: S,
    spec: &Spec<S, T>,
    target: Option<Violation>,
) -> Report {
    let started = Instant::now();
    let root = (spec.fingerprint)(&initial);
    // Only the worlds that still have to be expanded are kept whole.
    let mut frontier = HashMap::from([(root, initial.clone())]);
    // Parent, number of the step there, depth.
    let mut parents: HashMap<u128, (u128, u16, u16)> = HashMap::from([(root, (root, 0, 0))]);
    let mut found = None;
    let mut depth = 0;
    let mut complete = true;
    {
        let successors = |key: &u128| {
            let mut next = Vec::new();
            let Some(state) = frontier.remove(key) else { return next };
            let level = parents.get(key).map_or(0, |parent| parent.2) + 1;
            if found.is_some() || parents.len() > STATE_LIMIT {
                complete = false;
                return next;
            }
            for (i, (_, after)) in (spec.steps)(&state).into_iter().enumerate() {
                let fingerprint = (spec.fingerprint)(&after);
                if parents.contains_key(&fingerprint) {
                    continue;
                }
                parents.insert(fingerprint, (*key, i as u16, level));
                depth = depth.max(usize::from(level));
                match (spec.violation_in)(&after) {
                    Some(violation) if target.is_none_or(|target| target == violation) => {
                        found = found.or(Some((violation, fingerprint)));
                    }
                    // What follows a violation that is not looked for says nothing.
                    Some(_) => {}
                    None => {
                        frontier.insert(fingerprint, after);
                        next.push(fingerprint);
                    }
                }
            }
            next
        };
        bfs_reach(root, successors).for_each(drop);
    }
    let states = parents.len();
    let violation = found.map(|(violation, fingerprint)| {
        (violation, trace(root, fingerprint, initial, spec, &parents))
    });
    Report { size, states, depth, elapsed: started.elapsed(), violation, complete }
}

/// Repeats the way to a state and names its steps.
fn trace<S: Clone, T: fmt::Display>(
    root: u128,
    mut fingerprint: u128,
    initial: S,
    spec: &Spec<S, T>,
    parents: &HashMap<u128, (u128, u16, u16)>,
) -> Vec<String> {
    let mut path = Vec::new();
    while fingerprint != root {
        let Some((parent, step, _)) = parents.get(&fingerprint) else { break };
        path.push(*step);
        fingerprint = *parent;
    }
    let mut state = initial;
    path.iter()
        .rev()
        .filter_map(|i| {
            let (step, after) = (spec.steps)(&state).into_iter().nth(usize::from(*i))?;
            state = after;
            Some(step.to_string())
        })
        .collect()
}
