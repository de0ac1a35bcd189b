//! Requests of an entry: the state that its tasks share, and execution of the state machine's actions.
//!
//! A single mutex guards the state machine. Actions are executed in order while it is held; those that
//! wait for I/O are spawned as tasks, which report their result as an event.

use crate::attempts::{SidecarRef, forbid_attempt, run_attempt};
use crate::metrics::EntryMetrics;
use crate::spread::BundleSync;
use bytes::{Bytes, BytesMut};
use damaskweir_callers::{
    ErrorCode, Execution, Failed, Finished, OutputFormat, ReplyEvent, ReplySender, StageTiming,
};
use damaskweir_core::claim::{ClaimRecord, ClaimState};
use damaskweir_core::entry::{
    Answer, ClaimResult, ClaimWrite, Entry, EntryAction, EntryEvent, StageInput,
};
use damaskweir_core::prelude::*;
use damaskweir_store::ClaimWriter;
use damaskweir_wire::{Dialer, Link, Payload};
use slog::{Logger, debug, info};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// State shared by all tasks of an entry.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) state: Mutex<State>,
    pub(crate) start: Instant,
    /// Wakes the timer task when a timer is due earlier than the one it waits for.
    pub(crate) timer_changed: Notify,
    pub(crate) dialer: Dialer,
    pub(crate) claims: Option<ClaimWriter>,
    pub(crate) metrics: EntryMetrics,
    pub(crate) draining: AtomicBool,
    pub(crate) refusals: AtomicU64,
    pub(crate) incarnation: Incarnation,
    pub(crate) sync: Option<BundleSync>,
    /// Whether a bundle received at run time is active.
    pub(crate) has_bundle: watch::Sender<bool>,
    pub(crate) log: Logger,
}

/// The entry's state machine and the state that is updated with it.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) entry: Entry,
    pub(crate) rng: Rng,
    pub(crate) pending: HashMap<RequestId, PendingRequest>,
    /// Tasks of attempts in progress. Aborting a task cancels its attempt.
    pub(crate) running: HashMap<AttemptId, AbortHandle>,
    pub(crate) links: BTreeMap<ServerId, Link>,
    /// Time that the timer task waits for.
    pub(crate) next_timer: Option<Time>,
    /// Servers on leaving instances.
    pub(crate) leaving: BTreeSet<ServerId>,
}

impl State {
    pub(crate) fn configure(&mut self, bundle: Arc<Bundle>) {
        self.entry.configure(bundle);
        // The state machine has no leaving mark yet for servers that this bundle adds or brings
        // back.
        self.apply_leaving();
    }

    pub(crate) fn set_leaving(&mut self, leaving: BTreeSet<ServerId>, log: &Logger) {
        let old = std::mem::replace(&mut self.leaving, leaving);
        for server in self.leaving.difference(&old) {
            info!(log, "instance is leaving; its server gets no new attempts"; "server" => %server);
        }
        self.apply_leaving();
    }

    /// Updates the leaving mark of each server of the active bundle.
    fn apply_leaving(&mut self) {
        let bundle = Arc::clone(self.entry.bundle());
        for (id, pool) in &bundle.pools {
            for server in &pool.servers {
                self.entry.set_leaving(id, &server.id, self.leaving.contains(&server.id));
            }
        }
    }
}

/// A request without a final answer.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub(crate) reply: ReplySender,
    pub(crate) pipeline: PipelineId,
    pub(crate) workspace: WorkspaceId,
    pub(crate) bundle: Arc<Bundle>,
    pub(crate) body: Bytes,
    pub(crate) key: Option<Digest>,
    pub(crate) started: Instant,
    /// Position and start time of the current stage.
    pub(crate) stage: Option<(u16, Instant)>,
    /// Last attempt that finished at the current stage.
    pub(crate) winner: Option<AttemptId>,
    pub(crate) timings: Vec<StageTiming>,
    /// Servers of the attempts that were sent or claimed, to report the server of the winner.
    pub(crate) servers: HashMap<AttemptId, ServerId>,
    /// Outputs by attempt. A repeated call also stores the output of the original call's attempt here,
    /// so outputs can't be shared between requests.
    pub(crate) outputs: HashMap<AttemptId, Output>,
    /// Chunks forwarded to the caller. Attempts that resume the stream start with them.
    pub(crate) forwarded: Vec<Bytes>,
}

/// Output of an attempt.
#[derive(Debug, Default)]
pub(crate) struct Output {
    pub(crate) chunks: Vec<Bytes>,
}

impl Output {
    pub(crate) fn concat(&self) -> Bytes {
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

impl PendingRequest {
    pub(crate) fn stages(&self) -> &[Stage] {
        self.bundle.pipelines.get(&self.pipeline).map_or(&[], |pipeline| &pipeline.stages)
    }

    pub(crate) fn stage_at(&self, position: u16) -> Option<&Stage> {
        self.stages().get(usize::from(position))
    }

    pub(crate) fn stage_name(&self) -> Option<String> {
        let (position, _) = self.stage?;
        Some(self.stage_at(position)?.name.clone())
    }

    /// Records the server of an attempt. If it is the first of its stage, finishes the previous stage.
    pub(crate) fn record_attempt(&mut self, attempt: AttemptId, server: &ServerId, now: Instant) {
        self.servers.insert(attempt, server.clone());
        if self.stage.is_some_and(|(position, _)| position == attempt.stage) {
            return;
        }
        self.finish_stage(now);
        self.stage = Some((attempt.stage, now));
    }

    /// Records the winner of the current stage. Ignores late attempts of earlier stages.
    pub(crate) fn record_finished(&mut self, attempt: AttemptId) {
        if self.stage.is_some_and(|(position, _)| position == attempt.stage) {
            self.winner = Some(attempt);
        }
    }

    pub(crate) fn finish_stage(&mut self, now: Instant) {
        let Some((position, started)) = self.stage.take() else { return };
        let winner = self.winner.take();
        let Some(stage) = self.stage_at(position) else { return };
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

    /// Passes an event to the state machine and executes the resulting actions.
    pub(crate) fn handle_event(self: &Arc<Self>, event: EntryEvent) {
        let mut state = self.lock();
        let state = &mut *state;
        let owner = Some(event.request());
        let actions = state.entry.event(self.now(), &mut state.rng, event);
        self.execute(state, owner, actions);
    }

    /// Executes actions. `owner` is the request that caused them, or `None` for timers.
    pub(crate) fn execute(
        self: &Arc<Self>,
        state: &mut State,
        owner: Option<RequestId>,
        actions: Vec<EntryAction>,
    ) {
        for action in actions {
            match action {
                EntryAction::Send { server, dispatch, input } => {
                    self.send_attempt(state, &server, dispatch, input);
                }
                EntryAction::Cancel(_, attempt) => {
                    if let Some(task) = state.running.remove(&attempt) {
                        task.abort();
                    }
                    self.count_attempt(state, attempt, "cancelled");
                }
                EntryAction::Claim { request, key, record, write } => {
                    self.write_claim(state, request, key, record, write);
                }
                EntryAction::Forbid { request, server, attempt, incarnation } => {
                    let link = state.links.get(&server).cloned();
                    let pending = state.pending.get_mut(&request);
                    let address = pending.and_then(|pending| {
                        pending.servers.insert(attempt, server.clone());
                        pending.bundle.server(&server).map(|known| known.side)
                    });
                    let peer = SidecarRef { server, link, address };
                    spawn(forbid_attempt(Arc::clone(self), peer, request, attempt, incarnation));
                }
                EntryAction::RecordOutcome { key, record, revision } => {
                    let pending = owner.and_then(|owner| state.pending.get(&owner));
                    self.record_outcome(pending, key, record, revision);
                }
                EntryAction::SaveOutput(attempt, bytes) => {
                    if let Some(pending) = owner.and_then(|owner| state.pending.get_mut(&owner)) {
                        pending.outputs.insert(attempt, Output { chunks: vec![bytes] });
                        pending.record_finished(attempt);
                    }
                }
                EntryAction::ForwardChunk(attempt, index) => {
                    self.forward_chunk(state, attempt, index)
                }
                EntryAction::Answer(request, answer) => self.send_answer(state, request, &answer),
            }
        }
        let next = state.entry.next_tick();
        if let Some(next) = next
            && state.next_timer.is_none_or(|next_timer| next < next_timer)
        {
            state.next_timer = Some(next);
            self.timer_changed.notify_one();
        }
    }

    pub(crate) fn send_attempt(
        self: &Arc<Self>,
        state: &mut State,
        server: &ServerId,
        dispatch: Dispatch,
        input: StageInput,
    ) {
        let attempt = dispatch.attempt;
        let now = Instant::now();
        let link = state.links.get(server).cloned();
        let Some(pending) = state.pending.get_mut(&attempt.request) else { return };
        pending.record_attempt(attempt, server, now);
        let body = match input {
            StageInput::Caller => Some(pending.body.clone()),
            StageInput::Attempt(winner) => pending.outputs.get(&winner).map(Output::concat),
        };
        let Some(body) = body else {
            // The stored answer of a finished call was lost, so the next stage has no input.
            self.fail_request(state, attempt.request);
            return;
        };
        let path = pending.stage_at(attempt.stage).map_or_else(String::new, |s| s.path.clone());
        let prefix = pending.forwarded.iter().take(dispatch.resume as usize).cloned().collect();
        pending.outputs.insert(attempt, Output { chunks: prefix });
        let payload = Payload { path, key: pending.key, body };
        debug!(self.log, "attempt sent"; "request" => %attempt.request,
            "workspace" => %pending.workspace, "stage" => pending.stage_name(),
            "attempt" => %attempt, "server" => %server);
        let task = spawn(run_attempt(Arc::clone(self), link, dispatch, payload));
        state.running.insert(attempt, task);
    }

    pub(crate) fn write_claim(
        self: &Arc<Self>,
        state: &mut State,
        request: RequestId,
        key: Digest,
        record: ClaimRecord,
        write: ClaimWrite,
    ) {
        if let Some(pending) = state.pending.get_mut(&request)
            && record.attempt.request == request
        {
            // The claim is written before the attempt is sent, so the stage starts now.
            pending.record_attempt(record.attempt, &record.server, Instant::now());
        }
        let shared = Arc::clone(self);
        spawn(async move {
            let answer = match &shared.claims {
                Some(writer) => writer.claim(key, record, write).await,
                None => ClaimResult::Unavailable,
            };
            shared.metrics.claim_answered(match &answer {
                ClaimResult::Written(_) => "won",
                ClaimResult::Conflict(..) => "found",
                ClaimResult::Unavailable => "down",
            });
            shared.handle_event(EntryEvent::Claimed(request, answer));
        });
    }

    pub(crate) fn record_outcome(
        &self,
        pending: Option<&PendingRequest>,
        key: Digest,
        mut record: ClaimRecord,
        revision: u64,
    ) {
        let Some(writer) = &self.claims else { return };
        if let ClaimState::Ended { outcome: Outcome::Finished, answer } = &mut record.state {
            *answer = pending
                .and_then(|pending| pending.outputs.get(&record.attempt))
                .map(Output::concat);
        }
        writer.write_outcome(key, record, revision);
    }

    pub(crate) fn forward_chunk(&self, state: &mut State, attempt: AttemptId, index: u32) {
        let Some(pending) = state.pending.get_mut(&attempt.request) else { return };
        let output = pending.outputs.get(&attempt);
        let Some(chunk) = output.and_then(|o| o.chunks.get(index as usize)).cloned() else {
            return;
        };
        if pending.forwarded.is_empty() {
            self.metrics.first_chunk(pending.pipeline.as_str(), pending.started.elapsed());
        }
        pending.forwarded.push(chunk.clone());
        // A send error means that the caller disconnected, which the API reports separately.
        let _ = pending.reply.send(ReplyEvent::Chunk(chunk));
    }

    pub(crate) fn send_answer(&self, state: &mut State, request: RequestId, answer: &Answer) {
        let Some(mut pending) = state.pending.remove(&request) else { return };
        let stage = pending.stage_name();
        let event = match answer {
            Answer::Complete(winner) => {
                let form = output_form(&pending);
                pending.finish_stage(Instant::now());
                match pending.outputs.get(winner) {
                    Some(output) => ReplyEvent::Finished(Finished {
                        output: output.concat(),
                        format: form,
                        stages: pending.timings.clone(),
                    }),
                    None => ReplyEvent::Failed(missing_answer(stage.clone())),
                }
            }
            Answer::Error { code, execution, retry } => ReplyEvent::Failed(Failed {
                code: (*code).into(),
                execution: (*execution).into(),
                stage: stage.clone(),
                retry_after: *retry,
            }),
        };
        self.finish_request(request, &pending, stage, event);
    }

    /// Sends the last event of a request, and records its metrics and log line.
    pub(crate) fn finish_request(
        &self,
        request: RequestId,
        pending: &PendingRequest,
        stage: Option<String>,
        event: ReplyEvent,
    ) {
        let elapsed = pending.started.elapsed();
        let code = match &event {
            ReplyEvent::Failed(failed) => failed.code.as_str(),
            _ => "ok",
        };
        self.metrics.request_answered(pending.pipeline.as_str(), code, elapsed);
        if let ReplyEvent::Finished(finished) = &event {
            for timing in &finished.stages {
                let elapsed = timing.elapsed.into();
                self.metrics.stage_finished(pending.pipeline.as_str(), &timing.stage, elapsed);
            }
        }
        info!(self.log, "request answered"; "request" => %request,
            "workspace" => %pending.workspace, "stage" => stage,
            "pipeline" => %pending.pipeline, "code" => code, "ms" => elapsed.as_secs_f64() * 1e3);
        let _ = pending.reply.send(event);
    }

    /// Fails a request whose call finished but whose answer is lost.
    pub(crate) fn fail_request(&self, state: &mut State, request: RequestId) {
        let event = EntryEvent::CallerGone(request);
        let actions = state.entry.event(self.now(), &mut state.rng, event);
        for action in actions {
            if let EntryAction::Cancel(_, attempt) = action
                && let Some(task) = state.running.remove(&attempt)
            {
                task.abort();
            }
        }
        if let Some(pending) = state.pending.remove(&request) {
            let stage = pending.stage_name();
            let event = ReplyEvent::Failed(missing_answer(stage.clone()));
            self.finish_request(request, &pending, stage, event);
        }
    }

    /// Cancels a request whose caller disconnected.
    pub(crate) fn handle_disconnect(self: &Arc<Self>, request: RequestId) {
        let mut state = self.lock();
        let state = &mut *state;
        let actions =
            state.entry.event(self.now(), &mut state.rng, EntryEvent::CallerGone(request));
        self.execute(state, Some(request), actions);
        if let Some(pending) = state.pending.remove(&request) {
            self.metrics.request_answered(
                pending.pipeline.as_str(),
                "caller_gone",
                pending.started.elapsed(),
            );
            info!(self.log, "caller disconnected"; "request" => %request,
                "workspace" => %pending.workspace, "stage" => pending.stage_name());
        }
    }

    /// Counts an ended attempt in the metrics.
    pub(crate) fn count_attempt(&self, state: &State, attempt: AttemptId, end: &'static str) {
        let pool = state
            .pending
            .get(&attempt.request)
            .and_then(|pending| pending.stage_at(attempt.stage).map(|stage| stage.pool.clone()));
        if let Some(pool) = pool {
            self.metrics.attempt_ended(pool.as_str(), end);
        }
    }

    /// Removes the task of an ended attempt, and reports `event` to the state machine.
    pub(crate) fn end_attempt(
        self: &Arc<Self>,
        attempt: AttemptId,
        end: &'static str,
        event: EntryEvent,
    ) {
        let mut state = self.lock();
        let state = &mut *state;
        state.running.remove(&attempt);
        if let EntryEvent::Done(_, Outcome::Finished) = event
            && let Some(pending) = state.pending.get_mut(&attempt.request)
        {
            pending.record_finished(attempt);
        }
        self.count_attempt(state, attempt, end);
        let actions = state.entry.event(self.now(), &mut state.rng, event);
        self.execute(state, Some(attempt.request), actions);
    }

    /// Stores a chunk and reports it to the state machine; ignores duplicates. Returns `false` if an
    /// earlier chunk is missing, in which case the attempt is unusable.
    pub(crate) fn receive_chunk(
        self: &Arc<Self>,
        attempt: AttemptId,
        index: u32,
        data: Bytes,
    ) -> bool {
        let mut state = self.lock();
        let state = &mut *state;
        let pending = state.pending.get_mut(&attempt.request);
        let Some(output) = pending.and_then(|pending| pending.outputs.get_mut(&attempt)) else {
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
        self.execute(state, Some(attempt.request), actions);
        true
    }
}

pub(crate) fn output_form(pending: &PendingRequest) -> OutputFormat {
    let pool = pending.stages().last().and_then(|stage| pending.bundle.pools.get(&stage.pool));
    match pool.map(|pool| pool.kind) {
        Some(PoolKind::Engine) => OutputFormat::Text,
        _ => OutputFormat::Json,
    }
}

/// Error for a call that ran but whose answer is lost.
pub(crate) fn missing_answer(stage: Option<String>) -> Failed {
    Failed { code: ErrorCode::StageFailed, execution: Execution::Ran, stage, retry_after: None }
}

/// Runs the state machine's timers.
pub(crate) async fn run_timers(shared: Arc<Shared>) {
    loop {
        let next = {
            let mut state = shared.lock();
            let state = &mut *state;
            let actions = state.entry.tick(shared.now(), &mut state.rng);
            shared.execute(state, None, actions);
            state.next_timer = state.entry.next_tick();
            state.next_timer
        };
        match next {
            Some(at) => {
                let at = shared.start + Duration::from_micros(at.0);
                tokio::select! {
                    () = tokio::time::sleep_until(at) => {}
                    () = shared.timer_changed.notified() => {}
                }
            }
            None => shared.timer_changed.notified().await,
        }
    }
}

pub(crate) fn spawn(task: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
    tokio::spawn(task).abort_handle()
}
