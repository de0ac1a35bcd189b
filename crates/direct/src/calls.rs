//! Stage execution by the owner: batches pieces of all entries into calls to the servers that it owns.

use crate::http::{Conn, HttpError, ResponseHead};
use crate::log::{Kind, Value};
use crate::memory::BodyBuffer;
use crate::node::Node;
use crate::peers::{GroupRequest, GroupResponse, ResultRelease};
use crate::permits::Permit;
use crate::stages::{PieceFailure, StoredResult};
use crate::wire::{PieceOutcome, PieceRequest, ResponseInfo, SendPath, Wire};
use damaskweir_core::batch::{Batch, CallOutcome, Fullness, PieceId, QueuedPiece, ZoneKey};
use damaskweir_core::catalog::Work;
use damaskweir_core::fleet::Replica;
use damaskweir_core::ids::{PoolId, ServerId};
use damaskweir_core::owner::EntryInfo;
use damaskweir_core::room::ResultKey;
use damaskweir_core::standing::Standing;
use damaskweir_core::time::{Span, Time};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher as _};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep, sleep_until, timeout, timeout_at};

/// Interval at which queued releases are sent. It is short because the servers need the space again
/// soon.
const RELEASE_DELAY: Duration = Duration::from_millis(12);
/// Maximum size in bytes of a server's answer to a call with pieces or to a release.
const RESULTS_BYTES_MAX: usize = 1024 * 1024;
/// Maximum number of repeated answers to calls with pieces that are skipped before the connection is given
/// up.
const REPEATED_ANSWERS_MAX: usize = 3;
/// Timeout of a release call to a server.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// A piece that waits for its result, and the receiver of that result.
#[derive(Debug)]
pub(crate) struct PieceWaiter {
    item: PieceRequest,
    deadline: Time,
    sender: oneshot::Sender<Result<StoredResult, PieceFailure>>,
}

/// Queued releases, grouped by where they are sent.
struct ReleaseTargets {
    /// Results to release directly, by server that this entry owns.
    owned: Vec<(Permit, Vec<ResultRelease>)>,
    /// Releases to send to the owners of the other servers.
    forwarded: Vec<(EntryInfo, Vec<ResultRelease>)>,
}

impl PieceWaiter {
    /// Reports that there is no result. The receiver is gone if the request has ended in the meantime.
    pub(crate) fn fail(self, miss: PieceFailure) {
        drop(self.sender.send(Err(miss)));
    }
}

/// Pieces of one group that are queued or running. Dropping it cancels them.
struct GroupGuard<W: Wire> {
    node: Rc<Node<W>>,
    pool: PoolId,
    ids: Vec<PieceId>,
}

impl<W: Wire> Drop for GroupGuard<W> {
    fn drop(&mut self) {
        let mut state = self.node.state.borrow_mut();
        for id in self.ids.drain(..) {
            state.waiters.remove(&id);
            if let Some(batcher) = state.batchers.get_mut(&self.pool) {
                batcher.cancel(id);
            }
        }
    }
}

impl<W: Wire> Node<W> {
    /// Runs a group of pieces on the servers that this entry owns.
    pub(crate) async fn serve_group(self: &Rc<Self>, call: GroupRequest) -> GroupResponse {
        let now = self.now();
        let pool = call.pool.clone();
        let asked_by = call.load.as_ref().map(|report| report.from);
        self.merge_loads(call.load, Span::ZERO);
        if let Some(told) = &call.roster {
            self.merge_roster(told, Span::ZERO);
        }
        if let Some(told) = &call.evacuations {
            self.merge_evacuations(told);
        }
        if !self.owns_servers(&pool) {
            let others = call.suspects.iter().filter(|name| **name != self.config.entry.name);
            others.for_each(|name| self.suspect_entry(name));
        }
        let mut guard = GroupGuard { node: self.clone(), pool: pool.clone(), ids: Vec::new() };
        let mut receivers = Vec::with_capacity(call.items.len());
        {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            let owned = state.batchers.get_mut(&pool).filter(|batcher| batcher.server_count() > 0);
            let Some(batcher) = owned else {
                return GroupResponse {
                    ends: vec![Err(PieceFailure::Moved); call.items.len()],
                    fullness: Fullness::uniform(1.0),
                    roster: Some(state.roster.statement(now)),
                    evacuations: state
                        .evacuations
                        .as_of()
                        .map(|_| state.evacuations.statement(now)),
                    loads: state.loads_for(now, asked_by),
                    held: Span::ZERO,
                };
            };
            let group = state.last_piece + 1;
            let preferred_zone = call.toward.as_ref().map(ZoneKey::from);
            for item in call.items {
                state.last_piece += 1;
                let id = PieceId(state.last_piece);
                let (sender, receiver) = oneshot::channel();
                receivers.push(receiver);
                guard.ids.push(id);
                let deadline = now + call.left;
                state.waiters.insert(id, PieceWaiter { item, deadline, sender });
                let (due, bytes) = (now + call.due, call.bytes);
                let refuse_after = call.refusable.map(|limit| now + limit);
                batcher.push(QueuedPiece {
                    id,
                    group,
                    lane: call.lane,
                    refuse_after,
                    due,
                    deadline,
                    bytes,
                    large_inputs: call.holding,
                    preferred_zone,
                    arrived: now,
                });
            }
        }
        self.dispatch_due(&pool);
        let mut ends = Vec::with_capacity(receivers.len());
        for receiver in receivers {
            // A waiter that was dropped without a result means that its call was lost.
            ends.push(receiver.await.unwrap_or(Err(PieceFailure::Failed)));
        }
        let (received, now) = (now, self.now());
        let state = self.state.borrow();
        let fullness = state.batchers.get(&pool).map(|batcher| batcher.fullness(now));
        let fullness = fullness.unwrap_or_default();
        let loads = state.loads_for(now, asked_by);
        GroupResponse {
            ends,
            fullness,
            roster: None,
            evacuations: None,
            loads,
            held: now.since(received),
        }
    }

    fn owns_servers(&self, pool: &PoolId) -> bool {
        let state = self.state.borrow();
        state.batchers.get(pool).is_some_and(|batcher| batcher.server_count() > 0)
    }

    /// Starts the calls of a pool that are due, and schedules the next check.
    pub(crate) fn dispatch_due(self: &Rc<Self>, pool: &PoolId) {
        let now = self.now();
        loop {
            let mut state = self.state.borrow_mut();
            state.set_paces(pool, now, &self.config);
            let Some(batcher) = state.batchers.get_mut(pool) else { return };
            let expired = batcher.take_expired(now);
            let refused = batcher.shed(now);
            let batch = batcher.next_batch(now);
            expired.iter().for_each(|id| state.fail_piece(*id, PieceFailure::Late));
            refused.iter().for_each(|id| state.fail_piece(*id, PieceFailure::Overload));
            drop(state);
            let Some(batch) = batch else { break };
            // The pace that was set before the batch was taken allows one call.
            let Some(permit) = self.permit_locally(&batch.server, SendPath::Piece) else {
                self.return_batch(now, pool, &batch);
                break;
            };
            let (node, pool) = (self.clone(), pool.clone());
            tokio::task::spawn_local(async move {
                node.call_server(now, &pool, permit, batch).await;
            });
        }
        let mut state = self.state.borrow_mut();
        let wake = state.batchers.get(pool).and_then(|batcher| batcher.next_wakeup(now));
        let Some(wake) = wake else { return };
        let planned = state.wakeups.get(pool).is_some_and(|at| *at > now && *at <= wake);
        if !planned {
            state.wakeups.insert(pool.clone(), wake);
            let (node, pool) = (self.clone(), pool.clone());
            tokio::task::spawn_local(async move {
                sleep_until(node.instant(wake)).await;
                node.state.borrow_mut().wakeups.remove(&pool);
                node.dispatch_due(&pool);
            });
        }
    }

    /// Calls a server with one batch and delivers the results.
    async fn call_server(self: Rc<Self>, sent: Time, pool: &PoolId, permit: Permit, batch: Batch) {
        if self.is_catching_up() {
            // The wait must not count as the server's time to answer.
            self.wait_caught_up().await;
            self.return_batch(self.now(), pool, &batch);
            return self.dispatch_due(pool);
        }
        let server = &batch.server;
        let (items, wanted) = self.waiting_items(&batch);
        let limit = self.instant(batch.timeout_at);
        let (end, ends) = match timeout_at(limit, self.exchange(permit, &items)).await {
            Ok(Ok((CallOutcome::Done { .. }, ends))) => {
                let dropped_bytes = rejected_bytes(&batch, &wanted, &ends);
                (CallOutcome::Done { dropped_bytes }, ends)
            }
            Ok(Ok(ended)) => ended,
            Ok(Err(HttpError::Declined)) => {
                self.log_call(server, &batch, CallOutcome::Full, &[], self.now().since(sent));
                self.return_batch(self.now(), pool, &batch);
                return self.dispatch_due(pool);
            }
            Ok(Err(error)) => {
                let text = error.to_string();
                let fields =
                    [("server", server.id.as_str().into()), ("error", Value::from(text.as_str()))];
                self.log.process(Kind::StageFailed, &fields);
                (CallOutcome::Failed, Vec::new())
            }
            Err(_) => (CallOutcome::TimedOut, Vec::new()),
        };
        let now = self.now();
        self.log_call(server, &batch, end, &ends, now.since(sent));
        let mut unprocessed = Vec::new();
        for piece in &batch.pieces {
            let position = wanted.iter().position(|id| *id == piece.id);
            match position.and_then(|i| ends.get(i)) {
                Some(PieceOutcome::Done(handle)) => {
                    if let Some(batcher) = self.state.borrow_mut().batchers.get_mut(pool) {
                        let key = ResultKey::from(handle.as_str());
                        batcher.result_stored(now, &server.id, key, piece.bytes);
                    }
                    let made = StoredResult {
                        handle: handle.clone(),
                        server: server.id.clone(),
                        zone: server.zone.clone(),
                        bytes: piece.bytes,
                    };
                    self.deliver(piece.id, made);
                }
                other => {
                    let miss = miss_reason(end, other);
                    let mut state = self.state.borrow_mut();
                    if matches!(miss, PieceFailure::Full | PieceFailure::Room) && position.is_some()
                    {
                        unprocessed.push(*piece);
                    } else {
                        state.fail_piece(piece.id, miss);
                    }
                }
            }
        }
        self.requeue(pool, &unprocessed);
        if let Some(batcher) = self.state.borrow_mut().batchers.get_mut(pool) {
            batcher.call_ended(now, &server.id, batch.pieces.len(), end);
        }
        self.dispatch_due(pool);
    }

    /// Queues the pieces of a batch again that was not sent. If this entry no longer owns a server for them,
    /// they are sent to another owner.
    fn return_batch(&self, now: Time, pool: &PoolId, batch: &Batch) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let Some(batcher) = state.batchers.get_mut(pool) else { return };
        let owns = batcher.server_count() > 0;
        let waiting = batch.pieces.iter().filter(|piece| state.waiters.contains_key(&piece.id));
        let (kept, moved): (Vec<_>, Vec<_>) = waiting.copied().partition(|_| owns);
        kept.into_iter().for_each(|piece| batcher.push(piece));
        batcher.call_ended(now, &batch.server.id, batch.pieces.len(), CallOutcome::Full);
        moved.iter().for_each(|piece| state.fail_piece(piece.id, PieceFailure::Moved));
    }

    /// Queues pieces again that a server did not run, if the retry budget allows it.
    fn requeue(&self, pool: &PoolId, pieces: &[QueuedPiece]) {
        if pieces.is_empty() {
            return;
        }
        let budgeted = self.withdraw_retry(pool);
        let mut state = self.state.borrow_mut();
        for piece in pieces {
            match state.batchers.get_mut(pool) {
                Some(batcher) if budgeted && batcher.server_count() > 0 => batcher.push(*piece),
                _ => state.fail_piece(piece.id, PieceFailure::Full),
            }
        }
    }

    /// Returns the items and ids of the pieces that have not been cancelled.
    fn waiting_items(&self, batch: &Batch) -> (Vec<PieceRequest>, Vec<PieceId>) {
        let now = self.now();
        let state = self.state.borrow();
        let mut items = Vec::with_capacity(batch.pieces.len());
        let mut ids = Vec::with_capacity(batch.pieces.len());
        for piece in &batch.pieces {
            if let Some(waiter) = state.waiters.get(&piece.id) {
                let left = waiter.deadline.since(now);
                items.push(PieceRequest { left, ..waiter.item.clone() });
                ids.push(piece.id);
            }
        }
        (items, ids)
    }

    async fn exchange(
        self: &Rc<Self>,
        permit: Permit,
        items: &[PieceRequest],
    ) -> Result<(CallOutcome, Vec<PieceOutcome>), HttpError> {
        if items.is_empty() {
            return Ok((CallOutcome::Done { dropped_bytes: 0 }, Vec::new()));
        }
        let server = &permit.server().clone();
        let mut conn = self.connection(permit).await?;
        conn.send(&self.wire.encode_stage_call(server, items), &[]).await?;
        let (info, ends) = self.read_results(server, &mut conn, items).await?;
        self.keep_connection(&server.id, conn);
        Ok(match ends {
            Some(ends) => (CallOutcome::Done { dropped_bytes: 0 }, ends),
            None if info.not_run => (CallOutcome::Full, Vec::new()),
            None => (CallOutcome::Failed, Vec::new()),
        })
    }

    /// Reads the answer to a call with pieces. Returns no results if the call failed.
    async fn read_results(
        self: &Rc<Self>,
        server: &Replica,
        conn: &mut Conn,
        items: &[PieceRequest],
    ) -> Result<(ResponseInfo, Option<Vec<PieceOutcome>>), HttpError> {
        let call = digest(items.iter().map(|item| (&item.id, item.stage, item.piece)));
        let accept = |head: &ResponseHead, ends: Option<Vec<_>>| match head.status.is_success() {
            true => ends.filter(|ends| ends.len() == items.len()).map(Some),
            false => Some(None),
        };
        let (_, info, ends, is_repeated) = self.read_answer(server, conn, call, accept).await?;
        match ends.as_deref().is_some_and(has_handle) && !is_repeated {
            true => conn.clear_doubt(),
            // It may be of another call, whose server sends the answer to this one on this connection.
            false if is_repeated || conn.is_doubtful() => conn.close_after_response(),
            false => {}
        }
        Ok((info, ends))
    }

    /// Reads the answer to a call that names no request, and skips copies of earlier answers on the connection that
    /// can't be its own: those that `accept` refuses, given the outcomes of pieces in them, and results of other
    /// pieces, since a result has the same handle only for the same piece. Other answers may be the same as an earlier one by right; returns whether this
    /// one is. The connection is finished if the answer is understood.
    async fn read_answer<T>(
        self: &Rc<Self>,
        server: &Replica,
        conn: &mut Conn,
        call: u64,
        accept: impl Fn(&ResponseHead, Option<Vec<PieceOutcome>>) -> Option<T>,
    ) -> Result<(ResponseHead, ResponseInfo, T, bool), HttpError> {
        for _ in 0..=REPEATED_ANSWERS_MAX {
            let head = conn.read_head(|_| true).await?;
            let info = self.record_answer(server, &head);
            let buffer = BodyBuffer::new(RESULTS_BYTES_MAX, &self.memory);
            let body = conn.read_body(buffer).await?.finish();
            let earlier = conn.record_answer(call, &body);
            let ends = self.wire.parse_stage_results(&body);
            if earlier.is_some_and(|earlier| earlier != call)
                && ends.as_deref().is_some_and(has_handle)
            {
                continue;
            }
            match accept(&head, ends) {
                Some(answer) => {
                    conn.finish();
                    return Ok((head, info, answer, earlier.is_some()));
                }
                None if earlier.is_some() => {}
                None => return Err(HttpError::Malformed("unexpected answer to a call")),
            }
        }
        Err(HttpError::Malformed("too many repeated answers"))
    }

    fn deliver(&self, id: PieceId, made: StoredResult) {
        let waiter = self.state.borrow_mut().waiters.remove(&id);
        let unused = match waiter {
            Some(waiter) => waiter.sender.send(Ok(made)).err(),
            None => Some(Ok(made)),
        };
        if let Some(Ok(made)) = unused {
            self.metrics.unused_results.add(1, &[]);
            self.queue_release(made);
        }
    }

    fn log_call(
        &self,
        server: &Replica,
        batch: &Batch,
        end: CallOutcome,
        ends: &[PieceOutcome],
        took: Span,
    ) {
        let outcome = match end {
            CallOutcome::Done { .. } => "done",
            CallOutcome::Full => "full",
            CallOutcome::Failed => "failed",
            CallOutcome::TimedOut => "late",
        };
        let count = |wanted: PieceOutcome| ends.iter().filter(|end| **end == wanted).count() as u64;
        let fields = [
            ("server", server.id.as_str().into()),
            ("pool", server.pool.as_str().into()),
            ("no_room", count(PieceOutcome::NoRoom).into()),
            ("inputs_gone", count(PieceOutcome::InputGone).into()),
            ("pieces", (batch.pieces.len() as u64).into()),
            ("took_ms", took.as_millis().into()),
            ("outcome", outcome.into()),
        ];
        self.log.process(Kind::StageCall, &fields);
        self.metrics.stage_call(server.pool.as_str(), outcome, took);
    }

    /// Queues the release of a result.
    pub(crate) fn queue_release(&self, made: StoredResult) {
        let StoredResult { server, handle, bytes, .. } = made;
        self.state.borrow_mut().releases.push(ResultRelease { server, handle, bytes });
    }

    /// Queues the release of results on behalf of another entry.
    pub(crate) fn queue_releases(&self, releases: Vec<ResultRelease>) {
        self.state.borrow_mut().releases.extend(releases);
    }

    /// Sends queued releases for as long as the process runs.
    pub async fn release_results(self: Rc<Self>) {
        loop {
            sleep(RELEASE_DELAY).await;
            let ReleaseTargets { owned, forwarded } = self.release_targets();
            for (permit, releases) in owned {
                let node = self.clone();
                tokio::task::spawn_local(async move {
                    let server = permit.server().clone();
                    let release = node.release_at(permit, &releases);
                    let released = matches!(timeout(RELEASE_TIMEOUT, release).await, Ok(Ok(())));
                    node.log_release(server.id.as_str(), released);
                    if released {
                        node.record_releases(&server, &releases);
                        node.dispatch_due(&server.pool);
                    }
                });
            }
            for (owner, releases) in forwarded {
                let node = self.clone();
                tokio::task::spawn_local(async move {
                    let released = node.forward_releases(&owner, &releases).await;
                    node.log_release(&owner.name, released.is_ok());
                });
            }
        }
    }

    /// Takes the queued releases and groups them into direct ones and those for other owners. Releases
    /// at a server whose limit allows no call now stay queued.
    fn release_targets(&self) -> ReleaseTargets {
        let releases = std::mem::take(&mut self.state.borrow_mut().releases);
        let mut permits = BTreeMap::<ServerId, Option<(Permit, Vec<ResultRelease>)>>::new();
        let mut forwarded = BTreeMap::<EntryInfo, Vec<ResultRelease>>::new();
        for release in releases {
            // The results of a removed server no longer exist, and those of one that leaves end with it. One in
            // an evacuated zone gets no call, and drops them when their time is over.
            let replica = self.state.borrow().fleet.get(&release.server).cloned();
            let accepts = |server: &Replica| self.state.borrow().accepts_calls(server);
            let Some(replica) = replica.filter(accepts) else { continue };
            if let Some(owner) = self.other_owner(&replica) {
                forwarded.entry(owner).or_default().push(release);
                continue;
            }
            if self.expires_before_release(&replica) {
                continue;
            }
            let permit = permits.entry(replica.id.clone()).or_insert_with(|| {
                self.permit_locally(&replica, SendPath::Release).map(|permit| (permit, Vec::new()))
            });
            match permit {
                Some((_, releases)) => releases.push(release),
                None => self.state.borrow_mut().releases.push(release),
            }
        }
        ReleaseTargets {
            owned: permits.into_values().flatten().collect(),
            forwarded: forwarded.into_iter().collect(),
        }
    }

    /// Counts results as released. Their memory can be used again only once the server has confirmed it: a call
    /// that arrives before the release finds no room.
    fn record_releases(&self, server: &Replica, releases: &[ResultRelease]) {
        let mut state = self.state.borrow_mut();
        let Some(batcher) = state.batchers.get_mut(&server.pool) else { return };
        for release in releases {
            let key = ResultKey::from(release.handle.as_str());
            batcher.result_released(&server.id, key, release.bytes);
        }
    }

    /// Whether the results at a server expire before it accepts a call that releases them.
    fn expires_before_release(&self, server: &Replica) -> bool {
        let now = self.now();
        let state = self.state.borrow();
        let Standing::Backoff(until) = state.standings.standing(now, server) else { return false };
        let pool = state.catalog.as_ref().and_then(|catalog| catalog.pools.get(&server.pool));
        match pool.map(|pool| &pool.work) {
            Some(Work::Pieces(spec)) => until.since(now) > spec.result_ttl,
            _ => true,
        }
    }

    /// Returns the owner of a server if it is another entry.
    fn other_owner(&self, server: &Replica) -> Option<EntryInfo> {
        let state = self.state.borrow();
        let owner = state.owners.get(&server.pool).and_then(|owners| owners.owner_of(&server.id));
        owner.filter(|owner| owner.name != self.config.entry.name).cloned()
    }

    async fn release_at(
        self: &Rc<Self>,
        permit: Permit,
        releases: &[ResultRelease],
    ) -> Result<(), HttpError> {
        let server = &permit.server().clone();
        let handles: Vec<_> = releases.iter().map(|release| release.handle.clone()).collect();
        let mut conn = self.connection(permit).await?;
        conn.send(&self.wire.encode_release(server, &handles), &[]).await?;
        // The answer to a call with pieces has results in place of nothing.
        let accept = |_: &ResponseHead, ends: Option<Vec<_>>| ends.is_none().then_some(());
        let call = digest(&handles);
        let (head, _, (), is_repeated) = self.read_answer(server, &mut conn, call, accept).await?;
        if is_repeated {
            // Answers to releases are all the same.
            conn.doubt();
        }
        if !head.status.is_success() {
            return Err(HttpError::Malformed("the release was refused"));
        }
        self.keep_connection(&server.id, conn);
        Ok(())
    }

    /// Logs a failed release. It is not repeated, because servers drop unreleased results after a while.
    fn log_release(&self, peer: &str, released: bool) {
        if !released {
            let fields = [("peer", peer.into()), ("error", "failed to release results".into())];
            self.log.process(Kind::StageFailed, &fields);
        }
    }
}

/// Returns a digest of what a call is for: pieces, or results.
fn digest(subjects: impl IntoIterator<Item: Hash>) -> u64 {
    let mut hasher = DefaultHasher::new();
    subjects.into_iter().for_each(|subject| subject.hash(&mut hasher));
    hasher.finish()
}

/// Whether a piece has a result.
fn has_handle(ends: &[PieceOutcome]) -> bool {
    ends.iter().any(|end| matches!(end, PieceOutcome::Done(_)))
}

/// Returns the total size of the results that their server had no space for.
fn rejected_bytes(batch: &Batch, wanted: &[PieceId], ends: &[PieceOutcome]) -> u64 {
    let rejected = wanted.iter().zip(ends).filter(|(_, end)| **end == PieceOutcome::NoRoom);
    let bytes = |id: &PieceId| batch.pieces.iter().find(|piece| piece.id == *id).map(|p| p.bytes);
    rejected.filter_map(|(id, _)| bytes(id)).sum()
}

fn miss_reason(end: CallOutcome, piece: Option<&PieceOutcome>) -> PieceFailure {
    match (end, piece) {
        (CallOutcome::Done { .. }, Some(PieceOutcome::Expired)) => PieceFailure::Late,
        (CallOutcome::Done { .. }, Some(PieceOutcome::InputGone)) => PieceFailure::Gone,
        (CallOutcome::Done { .. }, Some(PieceOutcome::NoRoom)) => PieceFailure::Room,
        (CallOutcome::Full, _) => PieceFailure::Full,
        _ => PieceFailure::Failed,
    }
}
