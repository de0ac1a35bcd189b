//! Dependency graph of the stages of one request: which pieces each stage has and needs, which are ready
//! to run, and which results are available.

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

/// Maximum number of pieces of one request. Each piece names all results that its stage needs, so the memory
/// of a request grows with the square of its pieces.
pub const PIECES_MAX: usize = 1_000;

/// Why a request can't run the stages of its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// The request does not give a piece count for each stage.
    #[error("the number of piece counts differs from the number of stages")]
    Counts,
    /// A stage depends on itself, a later stage or one that does not exist.
    #[error("stage {0} depends on a stage that does not precede it")]
    Order(usize),
    /// All stages whose results a stage needs are omitted.
    #[error("all stages that stage {0} depends on are omitted")]
    InputsOmitted(usize),
    /// The request has more than [`PIECES_MAX`] pieces.
    #[error("more than {PIECES_MAX} pieces")]
    TooManyPieces,
}

#[derive(Clone, Debug)]
struct PlannedStage {
    count: usize,
    /// Indexes of the stages whose results it needs, in the order of the route: distinct, smaller than its
    /// own, and none of them omitted. Empty only if the route names none, or if it is omitted itself.
    dependencies: Vec<usize>,
    has_dependents: bool,
}

/// The stages of one request: the route's stages, less those that the request omits.
///
/// A stage without pieces is omitted: it has no results, and no other stage precedes it. It is not
/// replaced by the stages before it, because a stage takes results only of the stages that it names.
#[derive(Clone, Debug, Default)]
pub struct StagePlan {
    stages: Vec<PlannedStage>,
}

impl StagePlan {
    /// Plans `counts` pieces per stage.
    pub fn new(stages: &[StageSpec], counts: &[usize]) -> Result<Self, PlanError> {
        if stages.len() != counts.len() {
            return Err(PlanError::Counts);
        }
        let total = counts.iter().fold(0_usize, |sum, count| sum.saturating_add(*count));
        if total > PIECES_MAX {
            return Err(PlanError::TooManyPieces);
        }
        let mut plan = Self { stages: Vec::with_capacity(stages.len()) };
        for (i, (stage, count)) in stages.iter().zip(counts).enumerate() {
            if stage.after.iter().any(|before| *before >= i) {
                return Err(PlanError::Order(i));
            }
            let mut dependencies = Vec::new();
            for before in stage.after.iter().filter(|before| *count > 0 && counts[**before] > 0) {
                if !dependencies.contains(before) {
                    dependencies.push(*before);
                }
            }
            if *count > 0 && dependencies.is_empty() && !stage.after.is_empty() {
                return Err(PlanError::InputsOmitted(i));
            }
            dependencies.iter().for_each(|before| plan.stages[*before].has_dependents = true);
            plan.stages.push(PlannedStage { count: *count, dependencies, has_dependents: false });
        }
        Ok(plan)
    }

    /// Returns the number of stages of the route, including omitted ones.
    pub fn len(&self) -> usize {
        self.stages.len()
    }

    /// Whether the route has no stages.
    pub fn is_empty(&self) -> bool {
        self.stages.is_empty()
    }

    /// Returns the number of pieces of each stage.
    pub fn counts(&self) -> impl Iterator<Item = usize> + '_ {
        self.stages.iter().map(|stage| stage.count)
    }

    /// Returns the number of pieces of a stage.
    pub fn count(&self, stage: usize) -> usize {
        self.stages.get(stage).map_or(0, |stage| stage.count)
    }

    /// Returns the stages whose results a stage needs.
    pub fn dependencies(&self, stage: usize) -> &[usize] {
        self.stages.get(stage).map_or(&[], |stage| &stage.dependencies)
    }

    /// Whether the results of a stage are those of the request, because no other stage needs them.
    pub fn is_output(&self, stage: usize) -> bool {
        self.stages.get(stage).is_some_and(|stage| !stage.has_dependents)
    }
}

#[derive(Clone, Debug)]
struct StageState<R> {
    /// One per piece; `None` until the piece is done.
    results: Vec<Option<R>>,
    /// Its pieces were returned by `take_ready`.
    started: bool,
    /// Its results were returned by `take_unneeded`.
    released: bool,
}

impl<R> StageState<R> {
    fn is_done(&self) -> bool {
        self.results.iter().all(Option::is_some)
    }
}

/// Progress of one request through its stages.
#[derive(Clone, Debug)]
pub struct StageGraph<'a, R> {
    plan: &'a StagePlan,
    stages: Vec<StageState<R>>,
}

impl<'a, R: Clone> StageGraph<'a, R> {
    /// Creates a graph without results.
    pub fn new(plan: &'a StagePlan) -> Self {
        let state =
            |count| StageState { results: vec![None; count], started: false, released: false };
        Self { plan, stages: plan.counts().map(state).collect() }
    }

    /// Returns the pieces that became ready since the last call.
    pub fn take_ready(&mut self) -> Vec<PieceIndex> {
        let mut out = Vec::new();
        for i in 0..self.stages.len() {
            let ready = !self.stages[i].started
                && self.plan.dependencies(i).iter().all(|before| self.stages[*before].is_done());
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

    /// Returns the results that a stage needs, in the order of its dependencies and their pieces.
    pub fn inputs(&self, stage: usize) -> Vec<&R> {
        self.collect(self.plan.dependencies(stage).iter().copied())
    }

    /// Returns the results that no other stage needs, in the order of their stages and pieces.
    pub fn outputs(&self) -> Vec<&R> {
        self.collect((0..self.stages.len()).filter(|i| self.plan.is_output(*i)))
    }

    /// Returns the results that no piece needs any more, each one once. Outputs of the graph are never
    /// returned.
    pub fn take_unneeded(&mut self) -> Vec<R> {
        let mut out = Vec::new();
        for i in 0..self.stages.len() {
            let mut dependents =
                (0..self.stages.len()).filter(|d| self.plan.dependencies(*d).contains(&i));
            let unneeded = !self.plan.is_output(i)
                && !self.stages[i].released
                && dependents.all(|d| self.stages[d].is_done());
            if unneeded {
                self.stages[i].released = true;
                out.extend(self.stages[i].results.iter().flatten().cloned());
            }
        }
        out
    }

    /// Whether all pieces have results.
    pub fn is_complete(&self) -> bool {
        self.stages.iter().all(StageState::is_done)
    }

    /// Returns the largest number of unfinished stages on any path through the graph.
    pub fn remaining_depth(&self) -> usize {
        let mut depths: Vec<usize> = Vec::with_capacity(self.stages.len());
        for (i, state) in self.stages.iter().enumerate() {
            let before = self.plan.dependencies(i).iter().map(|a| depths[*a]).max().unwrap_or(0);
            depths.push(before + usize::from(!state.is_done()));
        }
        depths.into_iter().max().unwrap_or(0)
    }

    fn collect(&self, stages: impl Iterator<Item = usize>) -> Vec<&R> {
        stages.flat_map(|i| self.stages[i].results.iter().flatten()).collect()
    }
}
