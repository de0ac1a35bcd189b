//! Dependency graph of the stages of one request: tracks which pieces are ready to run and which
//! results are available.

use crate::catalog::StageSpec;
use crate::value;

value! {
    /// Position of a piece in the graph.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub struct PieceIndex {
        /// Index of the stage in its route.
        pub stage: usize,
        /// Index of the piece in its stage.
        pub piece: usize,
    }
}

#[derive(Clone, Debug)]
struct StageState<R> {
    dependencies: Vec<usize>,
    /// One per piece; `None` until the piece is done.
    results: Vec<Option<R>>,
    /// Its pieces were returned by `take_ready`.
    started: bool,
    /// Its results were returned by `take_unneeded`.
    released: bool,
}

/// Progress of one request through its stages. A stage without pieces is done as soon as its
/// dependencies are.
#[derive(Clone, Debug)]
pub struct StageGraph<R> {
    stages: Vec<StageState<R>>,
}

impl<R: Clone> StageGraph<R> {
    /// Creates a graph with `counts` pieces per stage. Returns `None` if there is not one count for each
    /// stage, or if a stage depends on itself or on a later one.
    pub fn new(stages: &[StageSpec], counts: &[usize]) -> Option<Self> {
        if stages.len() != counts.len() {
            return None;
        }
        let ordered = stages.iter().enumerate().all(|(i, s)| s.after.iter().all(|a| *a < i));
        let state = |(stage, count): (&StageSpec, &usize)| StageState {
            dependencies: stage.after.clone(),
            results: vec![None; *count],
            started: false,
            released: false,
        };
        ordered.then(|| Self { stages: stages.iter().zip(counts).map(state).collect() })
    }

    /// Returns the pieces that became ready since the last call.
    pub fn take_ready(&mut self) -> Vec<PieceIndex> {
        let mut out = Vec::new();
        for i in 0..self.stages.len() {
            let ready = !self.stages[i].started
                && self.stages[i].dependencies.iter().all(|a| self.is_done(*a));
            if ready {
                self.stages[i].started = true;
                let count = self.stages[i].results.len();
                out.extend((0..count).map(|piece| PieceIndex { stage: i, piece }));
            }
        }
        out
    }

    /// Stores a result. Returns `false` if the piece already has one or does not exist.
    pub fn finish(&mut self, at: PieceIndex, result: R) -> bool {
        let slot = self.stages.get_mut(at.stage).and_then(|state| state.results.get_mut(at.piece));
        match slot {
            Some(slot) if slot.is_none() => {
                *slot = Some(result);
                true
            }
            _ => false,
        }
    }

    /// Returns the results of the direct dependencies of a stage, in the order of its dependencies and
    /// their pieces. A dependency without pieces adds nothing.
    pub fn inputs(&self, stage: usize) -> Vec<&R> {
        let dependencies = self.stages.get(stage).map_or(&[][..], |state| &state.dependencies);
        self.collect(dependencies)
    }

    /// Returns the results of the stages on which no other stage depends.
    pub fn outputs(&self) -> Vec<&R> {
        let has_dependents =
            |i: usize| self.stages.iter().any(|state| state.dependencies.contains(&i));
        let last: Vec<_> = (0..self.stages.len()).filter(|i| !has_dependents(*i)).collect();
        self.collect(&last)
    }

    /// Returns the results that no piece needs any more, each one once. Outputs of the graph are never
    /// returned.
    pub fn take_unneeded(&mut self) -> Vec<R> {
        let mut out = Vec::new();
        for i in 0..self.stages.len() {
            let mut dependents =
                (0..self.stages.len()).filter(|d| self.stages[*d].dependencies.contains(&i));
            let has_dependents = dependents.clone().next().is_some();
            if has_dependents && !self.stages[i].released && dependents.all(|d| self.is_done(d)) {
                self.stages[i].released = true;
                out.extend(self.stages[i].results.iter().flatten().cloned());
            }
        }
        out
    }

    /// Whether all pieces have results.
    pub fn is_complete(&self) -> bool {
        (0..self.stages.len()).all(|i| self.is_done(i))
    }

    /// Returns the largest number of unfinished stages on any path through the graph.
    pub fn remaining_depth(&self) -> usize {
        let mut depths: Vec<usize> = Vec::with_capacity(self.stages.len());
        for (i, state) in self.stages.iter().enumerate() {
            let before = state.dependencies.iter().map(|a| depths[*a]).max().unwrap_or(0);
            depths.push(before + usize::from(!self.is_done(i)));
        }
        depths.into_iter().max().unwrap_or(0)
    }

    fn is_done(&self, stage: usize) -> bool {
        let state = &self.stages[stage];
        state.results.iter().all(Option::is_some)
            && state.dependencies.iter().all(|a| self.is_done(*a))
    }

    fn collect(&self, stages: &[usize]) -> Vec<&R> {
        let mut out = Vec::new();
        for i in stages {
            let state = &self.stages[*i];
            out.extend(state.results.iter().flatten());
        }
        out
    }
}
