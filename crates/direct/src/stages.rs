//! Runs the stages of a request, which precede the request itself, as groups of pieces.

use crate::http::HttpError;
use crate::log::Kind;
use crate::node::Node;
use crate::peers::{GroupRequest, GroupResponse};
use crate::wire::{PieceInput, PieceRequest, Wire};
use damaskweir_core::batch::{Fullness, Lane, QueuePlace};
use damaskweir_core::catalog::{Route, Work};
use damaskweir_core::forecast::Forecast;
use damaskweir_core::graph::{PieceIndex, StageGraph, StagePlan};
use damaskweir_core::ids::{AvailabilityZone, PoolId, ServerId};
use damaskweir_core::owner::{EntryInfo, PieceGroup};
use damaskweir_core::time::{Span, Time};
use rand_core::Rng as _;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout_at};

/// Attempts per piece.
const MAX_PIECE_ATTEMPTS: u32 = 3;
/// Subtracted from the lifetime of stored results, to leave time for the call that fetches them.
const RESULT_TTL_MARGIN: Span = Span::from_millis(600);
/// Share of its slack by which a stage is delayed. The rest absorbs predictions that were too
/// short.
const SLACK_SHARE: f64 = 0.6;
/// Share of a server's result storage above which the inputs of a stage count as large and should
/// be consumed soon.
const LARGE_INPUT_SHARE: f64 = 0.01;
/// Bytes transferred per piece from which waiting for a server in the same availability zone pays
/// off.
const LARGE_TRANSFER_BYTES: u64 = 200_000;
/// Delay before a piece is retried when a server had no room or when the new owner does not know
/// yet that it owns the server.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// A result stored at a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredResult {
    pub(crate) handle: String,
    pub(crate) server: ServerId,
    pub(crate) zone: AvailabilityZone,
    pub(crate) bytes: u64,
}

/// Why a piece has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum PieceFailure {
    /// Its deadline passed.
    Late,
    /// An input is no longer stored.
    Gone,
    /// The server had no room for the result.
    Room,
    /// The server failed or the call was lost.
    Failed,
    /// The server was overloaded and did no work.
    Full,
    /// The server has another owner now; nothing was sent.
    Moved,
    /// It could not be done in time; nothing was sent.
    Overload,
}

/// Outcome of one piece, with its position in the request.
pub(crate) type PieceResult = (PieceIndex, Result<StoredResult, PieceFailure>);

/// Why the stages of a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StageError {
    /// They can no longer be done in time.
    Late,
    /// A piece failed and may not be retried.
    Failed(PieceFailure),
    /// A stage has no available server.
    NoServer,
}

impl StageError {
    pub(crate) fn cause(self) -> &'static str {
        match self {
            Self::Late => "stage_late",
            Self::Failed(PieceFailure::Late) => "stage_late",
            Self::Failed(PieceFailure::Gone) => "stage_input_gone",
            Self::Failed(PieceFailure::Room) => "stage_without_room",
            Self::Failed(PieceFailure::Failed) => "stage_server_failed",
            Self::Failed(PieceFailure::Full) => "stage_server_full",
            Self::Failed(PieceFailure::Moved) => "stage_moved",
            Self::Failed(PieceFailure::Overload) => "stage_overload",
            Self::NoServer => "stage_away",
        }
    }
}

/// Stored results that a request holds; released when dropped.
pub(crate) struct HeldResults<W: Wire> {
    node: Rc<Node<W>>,
    results: Vec<StoredResult>,
    /// Handles of the results that the request's backend server fetches.
    pub(crate) outputs: Vec<String>,
    /// Size and availability zone of each of these results.
    pub(crate) zones: Vec<(AvailabilityZone, u64)>,
}

impl<W: Wire> HeldResults<W> {
    fn release(&mut self, handle: &str) {
        if let Some(i) = self.results.iter().position(|result| result.handle == handle) {
            self.node.queue_release(self.results.swap_remove(i));
        }
    }

    fn release_all(&mut self) {
        self.results.drain(..).for_each(|result| self.node.queue_release(result));
    }
}

impl<W: Wire> Drop for HeldResults<W> {
    fn drop(&mut self) {
        self.release_all();
    }
}

/// Groups of one request that are in flight; aborted when dropped.
#[derive(Default)]
struct PendingGroups(Vec<AbortHandle>);

impl Drop for PendingGroups {
    fn drop(&mut self) {
        self.0.iter().for_each(AbortHandle::abort);
    }
}

/// Parameters for the stages of one request.
pub(crate) struct StageJob<'a> {
    pub(crate) route: &'a Route,
    pub(crate) id: &'a str,
    pub(crate) plan: &'a StagePlan,
    pub(crate) key: &'a str,
    /// When the stages must be done to meet the latency objective.
    pub(crate) due: Time,
    pub(crate) deadline: Time,
    /// Urgency of the request, or that it will miss its objective anyway.
    pub(crate) lane: Lane,
    /// Availability zone in which the results of the last stages are preferably consumed.
    pub(crate) preferred_zone: Option<AvailabilityZone>,
}

/// State of a request while its stages run.
struct StageRun<'a, W: Wire> {
    node: &'a Rc<Node<W>>,
    job: &'a StageJob<'a>,
    forecast: Forecast,
    graph: StageGraph<'a, StoredResult>,
    held: HeldResults<W>,
    pending: PendingGroups,
    /// Groups with slack, and when to dispatch them. Dispatched earlier, their results would only
    /// occupy storage.
    deferred: Vec<(Time, Vec<PieceIndex>)>,
    attempts: BTreeMap<PieceIndex, u32>,
    sender: UnboundedSender<PieceResult>,
    receiver: UnboundedReceiver<PieceResult>,
    restarted: bool,
}

impl<W: Wire> Node<W> {
    /// Predicts the stage times of a request that arrives now and whose stages are to be done by `due`.
    pub(crate) fn forecast(
        &self,
        route: &Route,
        plan: &StagePlan,
        lane: Lane,
        due: Time,
    ) -> Forecast {
        let now = self.now();
        let state = self.state.borrow();
        let pools = state.catalog.as_ref().map(|catalog| &catalog.pools);
        let call_time = |(i, pieces): (usize, usize)| match pools
            .and_then(|pools| pools.get(&route.stages.get(i)?.pool))?
            .work
        {
            Work::Pieces(spec) => (pieces > 0).then(|| spec.call_time_of(pieces)),
            _ => None,
        };
        let unqueued: Vec<_> = plan.counts().enumerate().map(call_time).collect();
        let tails = Forecast::new(plan, &unqueued).tails;
        let time = |(i, pieces): (usize, usize)| {
            let pool = &route.stages.get(i)?.pool;
            let owners = state.owners.get(pool)?;
            let own = state.batchers.get(pool).map(|batcher| batcher.fullness(now));
            let tail = tails.get(i).copied().unwrap_or_default();
            let place = QueuePlace { lane, due: (due - tail).since(now) };
            let group = PieceGroup { pieces, place };
            (pieces > 0)
                .then(|| owners.predict_time(now, group, &own.unwrap_or_default()))
                .flatten()
        };
        let times: Vec<_> = plan.counts().enumerate().map(time).collect();
        Forecast::new(plan, &times)
    }

    /// Time for which the inputs of a stage are sure to stay stored. A piece that waits longer would be processed
    /// in vain.
    pub(crate) fn input_ttl(&self, route: &Route, plan: &StagePlan, stage: usize) -> Span {
        let state = self.state.borrow();
        let pools = state.catalog.as_ref().map(|catalog| &catalog.pools);
        let keep = |before: &usize| {
            let pool = &route.stages.get(*before)?.pool;
            match pools.and_then(|pools| pools.get(pool))?.work {
                Work::Pieces(spec) => Some(spec.result_ttl.saturating_sub(RESULT_TTL_MARGIN)),
                _ => None,
            }
        };
        plan.dependencies(stage).iter().filter_map(keep).min().unwrap_or(Span(u64::MAX))
    }

    /// Runs all stages of a request and returns their results.
    pub(crate) async fn run_stages(
        self: &Rc<Self>,
        job: &StageJob<'_>,
    ) -> Result<HeldResults<W>, StageError> {
        let (sender, receiver) = unbounded_channel();
        let mut progress = StageRun {
            node: self,
            job,
            forecast: self.forecast(job.route, job.plan, job.lane, job.due),
            graph: StageGraph::new(job.plan),
            held: HeldResults {
                node: self.clone(),
                results: Vec::new(),
                outputs: Vec::new(),
                zones: Vec::new(),
            },
            pending: PendingGroups::default(),
            deferred: Vec::new(),
            attempts: BTreeMap::new(),
            sender,
            receiver,
            restarted: false,
        };
        progress.run().await?;
        let StageRun { graph, mut held, .. } = progress;
        for result in graph.outputs() {
            held.outputs.push(result.handle.clone());
            held.zones.push((result.zone.clone(), result.bytes));
        }
        Ok(held)
    }
}

impl<W: Wire> StageRun<'_, W> {
    async fn run(&mut self) -> Result<(), StageError> {
        loop {
            let ready = self.graph.take_ready();
            for group in ready.chunk_by(|a, b| a.stage == b.stage) {
                let slack = self.forecast.slacks.get(group[0].stage).copied();
                let wait = slack.unwrap_or(Span::ZERO).scale(SLACK_SHARE);
                self.deferred.push((self.node.now() + wait, group.to_vec()));
            }
            self.dispatch_due()?;
            if self.graph.is_complete() {
                return Ok(());
            }
            let next = self.deferred.iter().map(|(at, _)| *at).min();
            let received = match next {
                Some(at) => timeout_at(self.node.instant(at), self.receiver.recv()).await,
                None => Ok(self.receiver.recv().await),
            };
            // A timeout means that a deferred group is due.
            let Ok(received) = received else { continue };
            // Unreachable: `self.sender` keeps the channel open.
            let Some((at, end)) = received else {
                return Err(StageError::Failed(PieceFailure::Failed));
            };
            match end {
                Ok(result) => self.finish_piece(at, result),
                Err(PieceFailure::Late) => return Err(StageError::Late),
                Err(PieceFailure::Overload) => {
                    return Err(StageError::Failed(PieceFailure::Overload));
                }
                Err(PieceFailure::Gone) if !self.restarted => self.restart(),
                Err(failure) => self.retry_piece(at, failure).await?,
            }
        }
    }

    /// Dispatches the deferred groups that are due, or all of them if no later stage is left to
    /// wait for.
    fn dispatch_due(&mut self) -> Result<(), StageError> {
        let now = self.node.now();
        let last = self.graph.remaining_depth() <= 1;
        let due = |(at, _): &mut (Time, Vec<PieceIndex>)| last || *at <= now;
        for (_, group) in self.deferred.extract_if(.., due).collect::<Vec<_>>() {
            self.dispatch(&group, true)?;
        }
        Ok(())
    }

    fn finish_piece(&mut self, at: PieceIndex, result: StoredResult) {
        self.held.results.push(result.clone());
        self.graph.finish(at, result);
        for spent in self.graph.take_unneeded() {
            self.held.release(&spent.handle);
        }
    }

    /// Starts over after a stored result was lost. Replaces the channel too, so that results of the
    /// old graph are not received.
    fn restart(&mut self) {
        self.restarted = true;
        self.held.release_all();
        self.pending = PendingGroups::default();
        self.deferred.clear();
        (self.sender, self.receiver) = unbounded_channel();
        self.graph = StageGraph::new(self.job.plan);
    }

    async fn retry_piece(
        &mut self,
        at: PieceIndex,
        failure: PieceFailure,
    ) -> Result<(), StageError> {
        let attempts = self.attempts.entry(at).or_insert(1);
        *attempts += 1;
        let pool = &self.job.route.stages[at.stage].pool;
        let allowed = failure == PieceFailure::Moved || self.node.withdraw_retry(pool);
        if *attempts > MAX_PIECE_ATTEMPTS || !allowed {
            return Err(StageError::Failed(failure));
        }
        if matches!(failure, PieceFailure::Room | PieceFailure::Moved) {
            sleep(RETRY_DELAY).await;
        }
        self.dispatch(&[at], false)
    }

    /// Sends pieces of one stage to the owner that is expected to finish them first.
    fn dispatch(&mut self, group: &[PieceIndex], first: bool) -> Result<(), StageError> {
        let node = self.node;
        let now = node.now();
        let tail = self.forecast.tails.get(group[0].stage).copied().unwrap_or(Span::ZERO);
        let due = (self.job.due - tail).since(now);
        let size =
            PieceGroup { pieces: group.len(), place: QueuePlace { lane: self.job.lane, due } };
        let stage = &self.job.route.stages[group[0].stage];
        let transfers = self.transfers_by_zone(group[0].stage);
        let (owner, expected, suspects) = {
            let mut state = node.state.borrow_mut();
            let state = &mut *state;
            if first {
                let budget = state.retry_budgets.get_mut(&stage.pool);
                budget.into_iter().for_each(|b| group.iter().for_each(|_| b.record_request(now)));
            }
            let own = state.batchers.get(&stage.pool).map(|batcher| batcher.fullness(now));
            let owners = state.owners.get_mut(&stage.pool).ok_or(StageError::NoServer)?;
            let draw = state.rng.next_u64();
            let own = own.unwrap_or_default();
            let chosen = owners.choose(now, size, &transfers, &own, draw).cloned();
            let chosen = chosen.ok_or(StageError::NoServer)?;
            let expected = owners.pieces_sent(now, &chosen.name, size, &own);
            (chosen, expected, state.suspects.keys().cloned().collect())
        };
        let input_ttl = node.input_ttl(self.job.route, self.job.plan, group[0].stage);
        let left = Span((self.job.deadline - tail).since(now).0.min(input_ttl.0));
        let untouched = first && self.needs_no_results(group[0].stage) && !self.restarted;
        let call = GroupRequest {
            pool: stage.pool.clone(),
            items: self.piece_requests(group, now),
            due,
            left,
            bytes: stage.bytes,
            holding: self.has_large_inputs(group[0].stage),
            toward: heaviest_zone(&transfers),
            lane: self.job.lane,
            refusable: untouched.then_some(left),
            suspects,
            roster: None,
            evacuations: None,
            load: None,
        };
        let (node, sender, group) = (node.clone(), self.sender.clone(), group.to_vec());
        let task = tokio::task::spawn_local(async move {
            node.run_group(&owner, call, &group, expected, &sender).await;
        });
        self.pending.0.push(task.abort_handle());
        Ok(())
    }

    /// Returns the calls for pieces of one stage.
    fn piece_requests(&self, group: &[PieceIndex], now: Time) -> Vec<PieceRequest> {
        let stage = group[0].stage;
        let source = if self.needs_no_results(stage) {
            PieceInput::Key(self.job.key.to_owned())
        } else {
            let inputs = self.graph.inputs(stage);
            PieceInput::Results(inputs.iter().map(|result| result.handle.clone()).collect())
        };
        let left = self.job.deadline.since(now);
        let request = |at: &PieceIndex| PieceRequest {
            id: self.job.id.to_owned(),
            stage,
            piece: at.piece,
            left,
            source: source.clone(),
        };
        group.iter().map(request).collect()
    }

    /// Whether the pieces of a stage get the request's own data.
    fn needs_no_results(&self, stage: usize) -> bool {
        self.job.plan.dependencies(stage).is_empty()
    }

    /// Whether the inputs of a stage take a large share of the result storage of their servers.
    fn has_large_inputs(&self, stage: usize) -> bool {
        let state = self.node.state.borrow();
        let pools = state.catalog.as_ref().map(|catalog| &catalog.pools);
        let stages = &self.job.route.stages;
        let part = |before: &usize| match pools.and_then(|p| p.get(&stages[*before].pool))?.work {
            Work::Pieces(spec) => {
                let bytes =
                    stages[*before].bytes.saturating_mul(self.job.plan.count(*before) as u64);
                Some(bytes as f64 / spec.result_bytes.max(1) as f64)
            }
            _ => None,
        };
        let mut parts = self.job.plan.dependencies(stage).iter().filter_map(part);
        parts.any(|part| part >= LARGE_INPUT_SHARE)
    }

    /// Bytes that each piece of a stage fetches or passes on, by availability zone.
    fn transfers_by_zone(&self, stage: usize) -> Vec<(AvailabilityZone, u64)> {
        let inputs = self.graph.inputs(stage);
        let mut transfers: Vec<_> =
            inputs.iter().map(|result| (result.zone.clone(), result.bytes)).collect();
        if self.job.plan.is_output(stage) {
            let bytes = self.job.route.stages[stage].bytes;
            transfers.extend(self.job.preferred_zone.clone().map(|zone| (zone, bytes)));
        }
        transfers
    }
}

/// Returns the availability zone that exchanges the most bytes with a piece, if they reach
/// [`LARGE_TRANSFER_BYTES`].
fn heaviest_zone(transfers: &[(AvailabilityZone, u64)]) -> Option<AvailabilityZone> {
    let mut zones = BTreeMap::<&AvailabilityZone, u64>::new();
    transfers.iter().for_each(|(zone, bytes)| *zones.entry(zone).or_default() += bytes);
    let (zone, bytes) = zones.into_iter().max_by_key(|(_, bytes)| *bytes)?;
    (bytes >= LARGE_TRANSFER_BYTES).then(|| zone.clone())
}

/// Counts pieces as open at an owner until dropped.
struct OpenPieces<W: Wire> {
    node: Rc<Node<W>>,
    pool: PoolId,
    owner: String,
    pieces: usize,
    lane: Lane,
    due: Time,
    fullness: Option<Fullness>,
}

impl<W: Wire> Drop for OpenPieces<W> {
    fn drop(&mut self) {
        let now = self.node.now();
        let mut state = self.node.state.borrow_mut();
        if let Some(owners) = state.owners.get_mut(&self.pool) {
            let place = QueuePlace { lane: self.lane, due: self.due.since(now) };
            let group = PieceGroup { pieces: self.pieces, place };
            owners.pieces_ended(now, &self.owner, group, self.fullness);
        }
    }
}

impl<W: Wire> Node<W> {
    /// Sends a group to another entry. If the two have different lists of entries or evacuated zones and the
    /// receiver refuses the group, the later list replaces the other, and a receiver that was behind gets the
    /// group once more.
    async fn request_and_reconcile(
        self: &Rc<Self>,
        owner: &EntryInfo,
        mut call: GroupRequest,
    ) -> Result<GroupResponse, HttpError> {
        let sent = self.now();
        call.load = self.take_own_load();
        let mut answer = self.request_group(owner, &call).await?;
        let delay = self.now().since(sent + answer.held);
        self.merge_loads(std::mem::take(&mut answer.loads), delay);
        let Some(told) = &answer.roster else { return Ok(answer) };
        let (own, took) =
            (self.state.borrow().roster.statement(self.now()), self.now().since(sent));
        call.evacuations = answer.evacuations.as_ref().and_then(|told| {
            self.merge_evacuations(told);
            let state = self.state.borrow();
            state.evacuations.changed_since(told.as_of).then(|| state.evacuations.statement(sent))
        });
        if own.mark.revision() <= told.mark.revision() || own.mark.digest == told.mark.digest {
            self.merge_roster(told, took);
        } else {
            call.roster = Some(own);
        }
        if call.roster.is_none() && call.evacuations.is_none() {
            return Ok(answer);
        }
        call.load = None;
        call.due = call.due.saturating_sub(took);
        call.left = call.left.saturating_sub(took);
        self.request_group(owner, &call).await
    }

    /// Has a group run by its owner and sends the outcome of each piece to `sender`.
    async fn run_group(
        self: &Rc<Self>,
        owner: &EntryInfo,
        call: GroupRequest,
        group: &[PieceIndex],
        expected: Span,
        sender: &UnboundedSender<PieceResult>,
    ) {
        let lane = call.lane;
        let place = QueuePlace { lane, due: call.due };
        let mut open = OpenPieces {
            node: self.clone(),
            pool: call.pool.clone(),
            owner: owner.name.clone(),
            pieces: group.len(),
            lane,
            due: self.now() + call.due,
            fullness: None,
        };
        let (began, pool) = (self.now(), call.pool.clone());
        let own = owner.name == self.config.entry.name;
        let id = call.items.first().map(|item| item.id.clone()).unwrap_or_default();
        let inputs = call.items.first().map_or(0, |item| item.source.result_count());
        let answer = if own {
            Ok(self.serve_group(call).await)
        } else {
            self.request_and_reconcile(owner, call).await
        };
        let mut refused_by = None;
        let ends = match answer {
            Ok(GroupResponse { ends, fullness, roster, .. }) if ends.len() == group.len() => {
                open.fullness = Some(fullness);
                refused_by = roster.map(|told| told.mark);
                ends
            }
            Ok(_) => vec![Err(PieceFailure::Failed); group.len()],
            Err(error) => {
                let text = error.to_string();
                let fields = [
                    ("dependency", "entry".into()),
                    ("entry", owner.name.as_str().into()),
                    ("error", text.as_str().into()),
                ];
                self.log.request(Kind::DependencyLost, &id, &fields);
                // A reset connection does not show that the entry is down; the next attempt will
                // tell.
                if matches!(error, HttpError::TimedOut | HttpError::Connect(_)) {
                    self.suspect_entry(&owner.name);
                }
                // Without a connection the owner received nothing, so a retry repeats no work.
                let connected = !matches!(error, HttpError::Connect(_));
                vec![
                    Err(if connected { PieceFailure::Failed } else { PieceFailure::Moved });
                    group.len()
                ]
            }
        };
        let reported = open.fullness;
        drop(open);
        let took = self.now().since(began);
        if lane != Lane::Late && ends.iter().all(Result::is_ok) {
            let mut state = self.state.borrow_mut();
            let owners = state.owners.get_mut(&pool);
            owners.into_iter().for_each(|o| o.record_time(lane, took, expected));
        }
        let failed = ends.iter().filter(|end| end.is_err()).count();
        let mut fields = vec![
            ("pool", pool.as_str().into()),
            ("stage", (group[0].stage as u64).into()),
            ("pieces", (group.len() as u64).into()),
            ("inputs", (inputs as u64).into()),
            ("failed", (failed as u64).into()),
            ("owner", owner.name.as_str().into()),
            (
                "fullness_percent",
                ((reported.unwrap_or_default().ahead_of(place) * 100.0) as u64).into(),
            ),
            ("expected_ms", expected.as_millis().into()),
            ("took_ms", took.as_millis().into()),
        ];
        if let Some(mark) = refused_by {
            fields.push(("peer_as_of", mark.as_of.into()));
            fields.push(("peer_age_ms", mark.age.unwrap_or_default().as_millis().into()));
        }
        self.log.request(Kind::StageDone, &id, &fields);
        for (at, end) in group.iter().zip(ends) {
            // The request ended meanwhile, so its result is unused.
            if let Err(unused) = sender.send((*at, end))
                && let Ok(result) = unused.0.1
            {
                self.metrics.unused_results.add(1, &[]);
                self.queue_release(result);
            }
        }
    }
}
