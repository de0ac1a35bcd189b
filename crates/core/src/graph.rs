//! Stages of one request as a graph: which pieces can be worked on, and which results are there.

use crate::catalog::StageSpec;
use crate::value;

value! {
    /// One piece of a stage.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub struct PieceAt {
        /// Position of the stage on its route.
        pub stage: usize,
        /// Counts the pieces of the stage from 0.
        pub piece: usize,
    }
}

#[derive(Clone, Debug)]
struct Step<R> {
    after: Vec<usize>,
    /// `None`: no result yet.
    results: Vec<Option<R>>,
    /// Its pieces were handed out.
    begun: bool,
    /// Its results are not needed any more.
    spent: bool,
}

/// Progress of one request through its stages. A stage with no pieces counts as done.
#[derive(Clone, Debug)]
pub struct Graph<R> {
    steps: Vec<Step<R>>,
}

impl<R: Clone> Graph<R> {
    /// Nothing is done yet. `None`: the counts do not fit the stages.
    pub fn new(stages: &[StageSpec], counts: &[usize]) -> Option<Self> {
        if stages.len() != counts.len() {
            return None;
        }
        let ordered = stages.iter().enumerate().all(|(i, s)| s.after.iter().all(|a| *a < i));
        let step = |(stage, count): (&StageSpec, &usize)| Step {
            after: stage.after.clone(),
            results: vec![None; *count],
            begun: false,
            spent: false,
        };
        ordered.then(|| Self { steps: stages.iter().zip(counts).map(step).collect() })
    }

    /// Pieces that can be worked on now and were not handed out before.
    pub fn ready(&mut self) -> Vec<PieceAt> {
        let mut out = Vec::new();
        for i in 0..self.steps.len() {
            let open = !self.steps[i].begun && self.steps[i].after.iter().all(|a| self.done(*a));
            if open {
                self.steps[i].begun = true;
                let count = self.steps[i].results.len();
                out.extend((0..count).map(|piece| PieceAt { stage: i, piece }));
            }
        }
        out
    }

    /// Keeps a result. `false`: the piece has one already, or does not exist.
    pub fn finish(&mut self, at: PieceAt, result: R) -> bool {
        let slot = self.steps.get_mut(at.stage).and_then(|step| step.results.get_mut(at.piece));
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
        let after = self.steps.get(stage).map_or(&[][..], |step| &step.after);
        self.collect(after)
    }

    /// Results of the stages that no other stage follows.
    pub fn outputs(&self) -> Vec<&R> {
        let followed = |i: usize| self.steps.iter().any(|step| step.after.contains(&i));
        let last: Vec<_> = (0..self.steps.len()).filter(|i| !followed(*i)).collect();
        self.collect(&last)
    }

    /// Results that no piece needs any more, each told once. Those of the last stages are never spent.
    pub fn spent(&mut self) -> Vec<R> {
        let mut out = Vec::new();
        for i in 0..self.steps.len() {
            let mut followers = (0..self.steps.len()).filter(|f| self.steps[*f].after.contains(&i));
            let followed = followers.clone().next().is_some();
            if followed && !self.steps[i].spent && followers.all(|f| self.done(f)) {
                self.steps[i].spent = true;
                out.extend(self.steps[i].results.iter().flatten().cloned());
            }
        }
        out
    }

    /// Whether all pieces have results.
    pub fn complete(&self) -> bool {
        (0..self.steps.len()).all(|i| self.done(i))
    }

    /// Longest chain of stages with pieces that are not done.
    pub fn depth(&self) -> usize {
        let mut depths: Vec<usize> = Vec::with_capacity(self.steps.len());
        for (i, step) in self.steps.iter().enumerate() {
            let before = step.after.iter().map(|a| depths[*a]).max().unwrap_or(0);
            depths.push(before + usize::from(!self.done(i)));
        }
        depths.into_iter().max().unwrap_or(0)
    }

    fn done(&self, stage: usize) -> bool {
        let step = &self.steps[stage];
        step.results.iter().all(Option::is_some) && step.after.iter().all(|a| self.done(*a))
    }

    fn collect(&self, stages: &[usize]) -> Vec<&R> {
        let mut out = Vec::new();
        for i in stages {
            let step = &self.steps[*i];
            out.extend(step.results.iter().flatten());
        }
        out
    }
}
