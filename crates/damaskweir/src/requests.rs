//! Requests of an entry: the state that its tasks share, and the core's actions carried out.
//!
//! One lock owns the core. All actions are carried out under it, in their order; those that take time
//! become tasks that report back with an event.

use crate::attempts::{SidecarRef, forbid_attempt, run_attempt};
use crate::metrics::EntryMetrics;
use crate::spread::Spread;
use bytes::{Bytes, BytesMut};
use damaskweir_callers::{
    ErrorCode, Execution, Failed, Finished, Form, ReplyEvent, ReplySender, StageTiming,
};
use damaskweir_core::claim::{ClaimRecord, ClaimState};
use damaskweir_core::entry::{
    Answer, ClaimResult, ClaimWrite, Entry, EntryAction, EntryEvent, StageInput,
};
use damaskweir_core::prelude::*;
use damaskweir_store::ClaimWriter;
use damaskweir_wire::{Dialer, Link, Work};
use slog::{Logger, debug, info};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// State that all tasks of an entry share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) state: Mutex<State>,
    pub(crate) start: Instant,
    /// Tells the timer task that a timer is earlier than the one it waits for.
    pub(crate) timer: Notify,
    pub(crate) dialer: Dialer,
    pub(crate) claims: Option<ClaimWriter>,
    pub(crate) metrics: EntryMetrics,
    pub(crate) draining: AtomicBool,
    pub(crate) refusals: AtomicU64,
    pub(crate) incarnation: Incarnation,
    pub(crate) spread: Option<Spread>,
    /// A bundle is in force.
    pub(crate) configured: watch::Sender<bool>,
    pub(crate) log: Logger,
}

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) entry: Entry,
    pub(crate) rng: Rng,
    pub(crate) open: HashMap<RequestId, Open>,
    /// Tasks of attempts that have not ended. Aborting one cancels its attempt.
    pub(crate) running: HashMap<AttemptId, AbortHandle>,
    pub(crate) links: BTreeMap<ServerId, Link>,
    /// What the timer task waits for.
    pub(crate) armed: Option<Time>,
    /// Servers on instances that are leaving.
    pub(crate) leaving: BTreeSet<ServerId>,
}

impl State {
    pub(crate) fn configure(&mut self, bundle: Arc<Bundle>) {
        self.entry.configure(bundle);
        // Servers that the bundle brings back or adds may be leaving already.
        self.mark_leaving();
    }

    pub(crate) fn leave(&mut self, leaving: BTreeSet<ServerId>, log: &Logger) {
        let old = std::mem::replace(&mut self.leaving, leaving);
        for server in self.leaving.difference(&old) {
            info!(log, "instance is leaving; no new work for its server"; "server" => %server);
        }
        self.mark_leaving();
    }

    /// Tells the core of each server of the bundle whether it is leaving.
    fn mark_leaving(&mut self) {
        let bundle = Arc::clone(self.entry.bundle());
        for (id, pool) in &bundle.pools {
            for server in &pool.servers {
                self.entry.set_leaving(id, &server.id, self.leaving.contains(&server.id));
            }
        }
    }
}

/// A request that has no final answer yet.
#[derive(Debug)]
pub(crate) struct Open {
    pub(crate) reply: ReplySender,
    pub(crate) pipeline: PipelineId,
    pub(crate) workspace: WorkspaceId,
    pub(crate) bundle: Arc<Bundle>,
    pub(crate) body: Bytes,
    pub(crate) key: Option<Digest>,
    pub(crate) started: Instant,
    /// Position and start of the current stage.
    pub(crate) stage: Option<(u16, Instant)>,
    /// The last attempt that finished at the current stage.
    pub(crate) winner: Option<AttemptId>,
    pub(crate) timings: Vec<StageTiming>,
    /// Servers of the attempts that were sent or claimed, to name the one that won.
    pub(crate) servers: HashMap<AttemptId, ServerId>,
    /// Outputs by attempt. A repeated call also has the output of the first call's attempt here, so
    /// requests don't share them.
    pub(crate) outputs: HashMap<AttemptId, Output>,
    /// Chunks that were passed on, for attempts that resume the stream.
    pub(crate) emitted: Vec<Bytes>,
}

/// Chunks of an attempt's output.
#[derive(Debug, Default)]
pub(crate) struct Output {
    pub(crate) chunks: Vec<Bytes>,
}

impl Output {
    pub(crate) fn whole(&self) -> Bytes {
        match self.chunks.as_slice() {
            [] => Bytes::new(),
            [one] => one.clone(),
            many => {
                let mut whole = BytesMut::with_capacity(many.iter().map(Bytes::len).sum());
                many.iter().for_each(|chunk| whole.extend_from_slice(chunk));
                whole.freeze()
            }
        }
    }
}

impl Open {
    pub(crate) fn stages(&self) -> &[Stage] {
        self.bundle.pipelines.get(&self.pipeline).map_or(&[], |pipeline| &pipeline.stages)
    }

    pub(crate) fn stage_of(&self, position: u16) -> Option<&Stage> {
        self.stages().get(usize::from(position))
    }

    pub(crate) fn stage_name(&self) -> Option<String> {
        let (position, _) = self.stage?;
        Some(self.stage_of(position)?.name.clone())
    }

    /// Notes that an attempt works on a stage, and that the stage before has finished.
    pub(crate) fn note(&mut self, attempt: AttemptId, server: &ServerId, now: Instant) {
        self.servers.insert(attempt, server.clone());
        if self.stage.is_some_and(|(position, _)| position == attempt.stage) {
            return;
        }
        self.finish_stage(now);
        self.stage = Some((attempt.stage, now));
    }

    /// Notes an attempt that finished. Late ones of an earlier stage are not the winner of this one.
    pub(crate) fn note_finished(&mut self, attempt: AttemptId) {
        if self.stage.is_some_and(|(position, _)| position == attempt.stage) {
            self.winner = Some(attempt);
        }
    }

    pub(crate) fn finish_stage(&mut self, now: Instant) {
        let Some((position, started)) = self.stage.take() else { return };
        let winner = self.winner.take();
        let Some(stage) = self.stage_of(position) else { return };
        let server = winner.and_then(|winner| self.servers.get(&winner));
        self.timings.push(StageTiming {
            stage: stage.name.clone(),
            server: server.map_or_else(|| "kept".to_owned(), ToString::to_string),
            elapsed: now.saturating_duration_since(started).into(),
        });
    }
}

impl Shared {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> Time {
        Time(0) + Span::from(self.start.elapsed())
    }

    /// Hands an event to the core and carries out what it decides.
    pub(crate) fn event(self: &Arc<Self>, event: EntryEvent) {
        let mut state = self.lock();
        let state = &mut *state;
        let owner = Some(event.request());
        let actions = state.entry.event(self.now(), &mut state.rng, event);
        self.carry_out(state, owner, actions);
    }

    /// Carries out actions; `owner` is the request that caused them, if it was one.
    pub(crate) fn carry_out(
        self: &Arc<Self>,
        state: &mut State,
        owner: Option<RequestId>,
        actions: Vec<EntryAction>,
    ) {
        for action in actions {
            match action {
                EntryAction::Send { server, dispatch, input } => {
                    self.send(state, &server, dispatch, input);
                }
                EntryAction::Cancel(_, attempt) => {
                    if let Some(task) = state.running.remove(&attempt) {
                        task.abort();
                    }
                    self.count_end(state, attempt, "cancelled");
                }
                EntryAction::Claim { request, key, record, write } => {
                    self.claim(state, request, key, record, write);
                }
                EntryAction::Forbid { request, server, attempt, incarnation } => {
                    let link = state.links.get(&server).cloned();
                    let open = state.open.get_mut(&request);
                    let address = open.and_then(|open| {
                        open.servers.insert(attempt, server.clone());
                        open.bundle.server(&server).map(|known| known.side)
                    });
                    let peer = SidecarRef { server, link, address };
                    spawn(forbid_attempt(Arc::clone(self), peer, request, attempt, incarnation));
                }
                EntryAction::RecordOutcome { key, record, revision } => {
                    let open = owner.and_then(|owner| state.open.get(&owner));
                    self.settle(open, key, record, revision);
                }
                EntryAction::SaveOutput(attempt, bytes) => {
                    if let Some(open) = owner.and_then(|owner| state.open.get_mut(&owner)) {
                        open.outputs.insert(attempt, Output { chunks: vec![bytes] });
                        open.note_finished(attempt);
                    }
                }
                EntryAction::ForwardChunk(attempt, index) => self.emit(state, attempt, index),
                EntryAction::Answer(request, answer) => self.answer(state, request, &answer),
            }
        }
        let next = state.entry.next_tick();
        if let Some(next) = next
            && state.armed.is_none_or(|armed| next < armed)
        {
            state.armed = Some(next);
            self.timer.notify_one();
        }
    }

    pub(crate) fn send(
        self: &Arc<Self>,
        state: &mut State,
        server: &ServerId,
        dispatch: Dispatch,
        input: StageInput,
    ) {
        let attempt = dispatch.attempt;
        let now = Instant::now();
        let link = state.links.get(server).cloned();
        let Some(open) = state.open.get_mut(&attempt.request) else { return };
        open.note(attempt, server, now);
        let body = match input {
            StageInput::Caller => Some(open.body.clone()),
            StageInput::Attempt(winner) => open.outputs.get(&winner).map(Output::whole),
        };
        let Some(body) = body else {
            // The kept answer of a finished call was lost, so its next stage has no input.
            self.lose_answer(state, attempt.request);
            return;
        };
        let path = open.stage_of(attempt.stage).map_or_else(String::new, |s| s.path.clone());
        let prefix = open.emitted.iter().take(dispatch.resume as usize).cloned().collect();
        open.outputs.insert(attempt, Output { chunks: prefix });
        let work = Work { path, key: open.key, body };
        debug!(self.log, "attempt sent"; "request" => %attempt.request,
            "workspace" => %open.workspace, "stage" => open.stage_name(),
            "attempt" => %attempt, "server" => %server);
        let task = spawn(run_attempt(Arc::clone(self), link, dispatch, work));
        state.running.insert(attempt, task);
    }

    pub(crate) fn claim(
        self: &Arc<Self>,
        state: &mut State,
        request: RequestId,
        key: Digest,
        record: ClaimRecord,
        write: ClaimWrite,
    ) {
        if let Some(open) = state.open.get_mut(&request)
            && record.attempt.request == request
        {
            // An entry claims before it sends; the stage starts here.
            open.note(record.attempt, &record.server, Instant::now());
        }
        let shared = Arc::clone(self);
        spawn(async move {
            let answer = match &shared.claims {
                Some(writer) => writer.claim(key, record, write).await,
                None => ClaimResult::Unavailable,
            };
            shared.metrics.claimed(match &answer {
                ClaimResult::Written(_) => "won",
                ClaimResult::Conflict(..) => "found",
                ClaimResult::Unavailable => "down",
            });
            shared.event(EntryEvent::Claimed(request, answer));
        });
    }

    pub(crate) fn settle(
        &self,
        open: Option<&Open>,
        key: Digest,
        mut record: ClaimRecord,
        revision: u64,
    ) {
        let Some(writer) = &self.claims else { return };
        if let ClaimState::Ended { outcome: Outcome::Finished, answer } = &mut record.state {
            *answer = open.and_then(|open| open.outputs.get(&record.attempt)).map(Output::whole);
        }
        writer.settle(key, record, revision);
    }

    pub(crate) fn emit(&self, state: &mut State, attempt: AttemptId, index: u32) {
        let Some(open) = state.open.get_mut(&attempt.request) else { return };
        let output = open.outputs.get(&attempt);
        let Some(chunk) = output.and_then(|o| o.chunks.get(index as usize)).cloned() else {
            return;
        };
        if open.emitted.is_empty() {
            self.metrics.first_chunk(open.pipeline.as_str(), open.started.elapsed());
        }
        open.emitted.push(chunk.clone());
        // The API reports a caller that is gone by itself.
        let _ = open.reply.send(ReplyEvent::Chunk(chunk));
    }

    pub(crate) fn answer(&self, state: &mut State, request: RequestId, answer: &Answer) {
        let Some(mut open) = state.open.remove(&request) else { return };
        let stage = open.stage_name();
        let event = match answer {
            Answer::Complete(winner) => {
                let form = last_form(&open);
                open.finish_stage(Instant::now());
                match open.outputs.get(winner) {
                    Some(output) => ReplyEvent::Finished(Finished {
                        output: output.whole(),
                        form,
                        stages: open.timings.clone(),
                    }),
                    None => ReplyEvent::Failed(lost_answer(stage.clone())),
                }
            }
            Answer::Error { code, execution, retry } => ReplyEvent::Failed(Failed {
                code: (*code).into(),
                execution: (*execution).into(),
                stage: stage.clone(),
                retry: *retry,
            }),
        };
        self.close(request, &open, stage, event);
    }

    /// Gives the last event of a request.
    pub(crate) fn close(
        &self,
        request: RequestId,
        open: &Open,
        stage: Option<String>,
        event: ReplyEvent,
    ) {
        let elapsed = open.started.elapsed();
        let code = match &event {
            ReplyEvent::Failed(failed) => failed.code.as_str(),
            _ => "ok",
        };
        self.metrics.answered(open.pipeline.as_str(), code, elapsed);
        if let ReplyEvent::Finished(finished) = &event {
            for timing in &finished.stages {
                let elapsed = timing.elapsed.into();
                self.metrics.stage_finished(open.pipeline.as_str(), &timing.stage, elapsed);
            }
        }
        info!(self.log, "request answered"; "request" => %request,
            "workspace" => %open.workspace, "stage" => stage,
            "pipeline" => %open.pipeline, "code" => code, "ms" => elapsed.as_secs_f64() * 1e3);
        let _ = open.reply.send(event);
    }

    /// Ends a request whose finished call has no answer any more.
    pub(crate) fn lose_answer(&self, state: &mut State, request: RequestId) {
        let event = EntryEvent::CallerGone(request);
        let actions = state.entry.event(self.now(), &mut state.rng, event);
        for action in actions {
            if let EntryAction::Cancel(_, attempt) = action
                && let Some(task) = state.running.remove(&attempt)
            {
                task.abort();
            }
        }
        if let Some(open) = state.open.remove(&request) {
            let stage = open.stage_name();
            let event = ReplyEvent::Failed(lost_answer(stage.clone()));
            self.close(request, &open, stage, event);
        }
    }

    pub(crate) fn gone(self: &Arc<Self>, request: RequestId) {
        let mut state = self.lock();
        let state = &mut *state;
        let actions =
            state.entry.event(self.now(), &mut state.rng, EntryEvent::CallerGone(request));
        self.carry_out(state, Some(request), actions);
        if let Some(open) = state.open.remove(&request) {
            self.metrics.answered(open.pipeline.as_str(), "caller_gone", open.started.elapsed());
            info!(self.log, "caller went away"; "request" => %request,
                "workspace" => %open.workspace, "stage" => open.stage_name());
        }
    }

    pub(crate) fn count_end(&self, state: &State, attempt: AttemptId, end: &'static str) {
        let pool = state
            .open
            .get(&attempt.request)
            .and_then(|open| open.stage_of(attempt.stage).map(|stage| stage.pool.clone()));
        if let Some(pool) = pool {
            self.metrics.attempt_ended(pool.as_str(), end);
        }
    }

    /// The end of an attempt's task.
    pub(crate) fn ended(
        self: &Arc<Self>,
        attempt: AttemptId,
        end: &'static str,
        event: EntryEvent,
    ) {
        let mut state = self.lock();
        let state = &mut *state;
        state.running.remove(&attempt);
        if let EntryEvent::Done(_, Outcome::Finished) = event
            && let Some(open) = state.open.get_mut(&attempt.request)
        {
            open.note_finished(attempt);
        }
        self.count_end(state, attempt, end);
        let actions = state.entry.event(self.now(), &mut state.rng, event);
        self.carry_out(state, Some(attempt.request), actions);
    }

    /// Keeps a chunk and reports it. False: a chunk is missing, so the attempt can't be used.
    pub(crate) fn chunk(self: &Arc<Self>, attempt: AttemptId, index: u32, data: Bytes) -> bool {
        let mut state = self.lock();
        let state = &mut *state;
        let open = state.open.get_mut(&attempt.request);
        let Some(output) = open.and_then(|open| open.outputs.get_mut(&attempt)) else {
            return true;
        };
        let next = output.chunks.len();
        match (index as usize).cmp(&next) {
            std::cmp::Ordering::Less => return true,
            std::cmp::Ordering::Greater => return false,
            std::cmp::Ordering::Equal => output.chunks.push(data),
        }
        let event = EntryEvent::Chunk(attempt, index);
        let actions = state.entry.event(self.now(), &mut state.rng, event);
        self.carry_out(state, Some(attempt.request), actions);
        true
    }
}

pub(crate) fn last_form(open: &Open) -> Form {
    let pool = open.stages().last().and_then(|stage| open.bundle.pools.get(&stage.pool));
    match pool.map(|pool| pool.kind) {
        Some(PoolKind::Engine) => Form::Text,
        _ => Form::Json,
    }
}

/// The call ran and its answer is nowhere any more.
pub(crate) fn lost_answer(stage: Option<String>) -> Failed {
    Failed { code: ErrorCode::StageFailed, execution: Execution::Ran, stage, retry: None }
}

/// Runs the core's timers.
pub(crate) async fn run_timers(shared: Arc<Shared>) {
    loop {
        let next = {
            let mut state = shared.lock();
            let state = &mut *state;
            let actions = state.entry.tick(shared.now(), &mut state.rng);
            shared.carry_out(state, None, actions);
            state.armed = state.entry.next_tick();
            state.armed
        };
        match next {
            Some(at) => {
                let at = shared.start + Duration::from_micros(at.0);
                tokio::select! {
                    () = tokio::time::sleep_until(at) => {}
                    () = shared.timer.notified() => {}
                }
            }
            None => shared.timer.notified().await,
        }
    }
}

pub(crate) fn spawn(task: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
    tokio::spawn(task).abort_handle()
}
