//! Stages of one request as a graph: which pieces can be worked on, and which results are there.

use crate::catalog::StageSpec;
use crate::value;

value! {
    /// One piece of a stage.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub struct PieceIndex {
        /// Position of the stage on its route.
        pub stage: usize,
        /// Counts the pieces of the stage from 0.
        pub piece: usize,
    }
}

#[derive(Clone, Debug)]
struct StageState<R> {
    dependencies: Vec<usize>,
    /// `None`: no result yet.
    results: Vec<Option<R>>,
    /// Its pieces were handed out.
    started: bool,
    /// Its results are not needed any more.
    released: bool,
}

/// Progress of one request through its stages. A stage with no pieces counts as done.
#[derive(Clone, Debug)]
pub struct StageGraph<R> {
    stages: Vec<StageState<R>>,
}

impl<R: Clone> StageGraph<R> {
    /// Nothing is done yet. `None`: the counts do not fit the stages.
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

    /// Pieces that can be worked on now and were not handed out before.
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

    /// Keeps a result. `false`: the piece has one already, or does not exist.
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

    /// Results of all stages that a stage needs, in the order of stages and pieces. A stage without
    /// pieces adds nothing.
    pub fn inputs(&self, stage: usize) -> Vec<&R> {
        let dependencies = self.stages.get(stage).map_or(&[][..], |state| &state.dependencies);
        self.collect(dependencies)
    }

    /// Results of the stages that no other stage follows.
    pub fn outputs(&self) -> Vec<&R> {
        let has_dependents =
            |i: usize| self.stages.iter().any(|state| state.dependencies.contains(&i));
        let last: Vec<_> = (0..self.stages.len()).filter(|i| !has_dependents(*i)).collect();
        self.collect(&last)
    }

    /// Results that no piece needs any more, each told once. Those of the last stages are never spent.
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

    /// Longest chain of stages with pieces that are not done.
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
