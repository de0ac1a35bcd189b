//! Breadth-first search of a state space, with counterexample traces.

use crate::{Report, STATE_LIMIT, Size, Violation};
use pathfinding::directed::bfs::bfs_reach;
use std::cell::OnceCell;
use std::collections::HashMap;
use std::fmt;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use std::time::Instant;
use xxhash_rust::xxh3::Xxh3;

/// Computes the 128-bit hash of the `Debug` output of values.
///
/// The `Debug` output of the core's types includes all their fields, so states with equal output are
/// equal. Among 2^24 states the probability of a collision is below 2^-80.
#[derive(Default)]
pub(crate) struct Fingerprint(Xxh3);

impl Fingerprint {
    pub(crate) fn add(&mut self, value: &dyn fmt::Debug) {
        // Writing to a hash cannot fail.
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

/// Copy-on-write component of a state with a cached fingerprint. A state and its successors share the
/// components that the step between them does not modify.
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

/// Specification of a transition system with states `S` and steps `T`.
pub(crate) struct Spec<S, T> {
    pub(crate) fingerprint: fn(&S) -> u128,
    /// Returns the enabled steps of a state and the states that they lead to, in a fixed order.
    pub(crate) steps: fn(&S) -> Vec<(T, S)>,
    /// Returns the invariant that a state violates.
    pub(crate) violation_in: fn(&S) -> Option<Violation>,
}

/// Explores the states that are reachable from `initial`, up to `STATE_LIMIT`.
pub(crate) fn explore<S: Clone, T: fmt::Display>(
    size: Size,
    initial: S,
    spec: &Spec<S, T>,
    target: Option<Violation>,
) -> Report {
    let started = Instant::now();
    let root = (spec.fingerprint)(&initial);
    // Complete states are kept only until they are expanded, to save memory.
    let mut frontier = HashMap::from([(root, initial.clone())]);
    // Parent, index of the step in `spec.steps` of the parent, depth.
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
                    // Successors of another violation prove nothing about the target.
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

/// Replays the path from the initial state to a given one and returns the text of its steps.
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
