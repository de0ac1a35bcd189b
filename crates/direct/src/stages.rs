//! Work before a request: pieces of stages, gathered with those of other requests.

use crate::http::HttpError;
use crate::log::{Kind, Value};
use crate::node::Node;
use crate::wire::{Input, Item, PieceEnd, Wire};
use damaskweir_core::batch::{Batch, CallEnd, Load, PieceId, Plan, Waiting};
use damaskweir_core::catalog::Route;
use damaskweir_core::fleet::Replica;
use damaskweir_core::forecast::Forecast;
use damaskweir_core::graph::{Graph, PieceAt};
use damaskweir_core::ids::{AvailabilityZone, PoolId, ServerId};
use damaskweir_core::time::{Span, Time};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{sleep, sleep_until, timeout, timeout_at};

/// Time for which results to give back are gathered.
const FREE_GATHER: Duration = Duration::from_millis(30);
/// Time for an answer to giving results back.
const FREE_WAIT: Duration = Duration::from_secs(1);
/// Time for an answer to a question for a server's load.
const LOAD_WAIT: Duration = Duration::from_millis(60);
/// Calls that one piece may be part of.
const TRIES_MAX: u32 = 3;
/// Pause of a piece for which a server had no room.
const ROOM_PAUSE: Duration = Duration::from_millis(120);

/// Who waits for a piece.
#[derive(Debug)]
pub(crate) struct PieceWaiter {
    at: PieceAt,
    item: Item,
    deadline: Time,
    sender: UnboundedSender<(PieceAt, Result<Made, Miss>)>,
}

/// A result that lies at a server.
#[derive(Clone, Debug)]
pub(crate) struct Made {
    pub(crate) handle: String,
    pub(crate) server: ServerId,
    pub(crate) zone: AvailabilityZone,
    pub(crate) bytes: u64,
}

/// Why there is no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Miss {
    /// Its time has passed.
    Late,
    /// An input is gone.
    Gone,
    /// No room at the server.
    Room,
    /// The server failed, or the call was lost.
    Failed,
    /// Refused as full; nothing was worked on.
    Full,
}

/// Why the stages of a request were not done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StageFault {
    /// They can't be done in time any more.
    Late,
    /// Servers failed and the budget of repeats is used up.
    Failed,
    /// The request does not say how many pieces its stages have.
    Counts,
}

impl StageFault {
    pub(crate) fn cause(self) -> &'static str {
        match self {
            Self::Late => "stage_late",
            Self::Failed => "stage_failed",
            Self::Counts => "stage_counts",
        }
    }
}

/// Results that a request holds; given back when dropped.
pub(crate) struct Held<W: Wire> {
    node: Rc<Node<W>>,
    made: Vec<Made>,
    /// Handles that the request's server fetches.
    pub(crate) outputs: Vec<String>,
    /// Bytes of these by availability zone.
    pub(crate) zones: Vec<(AvailabilityZone, u64)>,
}

impl<W: Wire> Held<W> {
    fn give_back(&mut self, handle: &str) {
        if let Some(i) = self.made.iter().position(|made| made.handle == handle) {
            let made = self.made.swap_remove(i);
            self.node.free(&made.server, made.handle, made.bytes);
        }
    }

    fn give_back_all(&mut self) {
        for made in self.made.drain(..) {
            self.node.free(&made.server, made.handle, made.bytes);
        }
    }
}

impl<W: Wire> Drop for Held<W> {
    fn drop(&mut self) {
        self.give_back_all();
    }
}

/// Pieces of one request that wait or are worked on; forgotten when dropped.
struct Pending<W: Wire> {
    node: Rc<Node<W>>,
    ids: Vec<(PoolId, PieceId)>,
}

impl<W: Wire> Drop for Pending<W> {
    fn drop(&mut self) {
        let mut state = self.node.state.borrow_mut();
        for (pool, id) in self.ids.drain(..) {
            state.waiters.remove(&id);
            if let Some(batcher) = state.batchers.get_mut(&pool) {
                batcher.cancel(id);
            }
        }
    }
}

/// What the stages of one request need to know.
pub(crate) struct StageJob<'a> {
    pub(crate) route: &'a Route,
    pub(crate) id: &'a str,
    pub(crate) counts: &'a [usize],
    pub(crate) key: &'a str,
    /// When the first part of the answer is due.
    pub(crate) due: Time,
    pub(crate) deadline: Time,
}

impl<W: Wire> Node<W> {
    /// Predicted times of the stages of a request that comes now.
    pub(crate) fn forecast(&self, route: &Route, counts: &[usize]) -> Forecast {
        let now = self.now();
        let state = self.state.borrow();
        let time = |(i, stage): (usize, &damaskweir_core::catalog::StageSpec)| {
            let count = counts.get(i).copied().unwrap_or(0);
            let batcher = state.batchers.get(&stage.pool)?;
            (count > 0).then(|| batcher.predict(now, count)).flatten()
        };
        let times: Vec<_> = route.stages.iter().enumerate().map(time).collect();
        Forecast::new(&route.stages, &times)
    }

    /// Takes a request through its stages.
    pub(crate) async fn prepare(
        self: &Rc<Self>,
        job: &StageJob<'_>,
    ) -> Result<Held<W>, StageFault> {
        let forecast = self.forecast(job.route, job.counts);
        let mut graph =
            Graph::<Made>::new(&job.route.stages, job.counts).ok_or(StageFault::Counts)?;
        let (mut sender, mut receiver) = unbounded_channel();
        let mut held =
            Held { node: self.clone(), made: Vec::new(), outputs: Vec::new(), zones: Vec::new() };
        let mut pending = Pending { node: self.clone(), ids: Vec::new() };
        let mut tries = std::collections::BTreeMap::<PieceAt, u32>::new();
        let mut restarted = false;
        loop {
            for at in graph.ready() {
                self.queue(job, &forecast, &graph, (at, true), &sender, &mut pending);
            }
            if graph.complete() {
                break;
            }
            let (at, end) = next(&mut receiver).await;
            match end {
                Ok(made) => {
                    held.made.push(made.clone());
                    graph.finish(at, made);
                    for spent in graph.spent() {
                        held.give_back(&spent.handle);
                    }
                }
                Err(Miss::Late) => return Err(StageFault::Late),
                Err(Miss::Gone) if !restarted => {
                    restarted = true;
                    held.give_back_all();
                    // What is on its way belongs to the graph before.
                    (sender, receiver) = unbounded_channel();
                    drop(std::mem::replace(
                        &mut pending,
                        Pending { node: self.clone(), ids: Vec::new() },
                    ));
                    graph = Graph::new(&job.route.stages, job.counts).ok_or(StageFault::Counts)?;
                }
                Err(miss) => {
                    let tried = tries.entry(at).or_insert(1);
                    *tried += 1;
                    let pool = &job.route.stages[at.stage].pool;
                    if *tried > TRIES_MAX || !self.withdraw(pool) {
                        return Err(StageFault::Failed);
                    }
                    if miss == Miss::Room {
                        sleep(ROOM_PAUSE).await;
                    }
                    self.queue(job, &forecast, &graph, (at, false), &sender, &mut pending);
                }
            }
        }
        for made in graph.outputs() {
            held.outputs.push(made.handle.clone());
            held.zones.push((made.zone.clone(), made.bytes));
        }
        Ok(held)
    }

    fn queue(
        self: &Rc<Self>,
        job: &StageJob<'_>,
        forecast: &Forecast,
        graph: &Graph<Made>,
        (at, first): (PieceAt, bool),
        sender: &UnboundedSender<(PieceAt, Result<Made, Miss>)>,
        pending: &mut Pending<W>,
    ) {
        let now = self.now();
        let stage = &job.route.stages[at.stage];
        let source = if stage.after.is_empty() {
            Input::Key(job.key.to_owned())
        } else {
            Input::Results(graph.inputs(at.stage).iter().map(|m| m.handle.clone()).collect())
        };
        let left = job.deadline.since(now);
        let item = Item { id: job.id.to_owned(), stage: at.stage, piece: at.piece, left, source };
        let tail = forecast.tails.get(at.stage).copied().unwrap_or(Span::ZERO);
        {
            let mut state = self.state.borrow_mut();
            state.next_piece += 1;
            let id = PieceId(state.next_piece);
            if first {
                let budget = state.budgets.get_mut(&stage.pool);
                budget.into_iter().for_each(|budget| budget.count(now));
            }
            let waiter = PieceWaiter { at, item, deadline: job.deadline, sender: sender.clone() };
            state.waiters.insert(id, waiter);
            pending.ids.push((stage.pool.clone(), id));
            let (due, deadline) = (job.due - tail, job.deadline - tail);
            let waiting = Waiting { id, due, deadline, bytes: stage.bytes, arrived: now };
            match state.batchers.get_mut(&stage.pool) {
                Some(batcher) => batcher.push(waiting),
                None => {
                    // A pool without servers; the sender outlives this call.
                    if sender.send((at, Err(Miss::Late))).is_err() {
                        self.log.request(Kind::Failed, job.id, &[("cause", "no_receiver".into())]);
                    }
                }
            }
        }
        self.pump(&stage.pool);
    }

    /// Makes the calls of a pool that are due.
    pub(crate) fn pump(self: &Rc<Self>, pool: &PoolId) {
        let now = self.now();
        loop {
            let mut state = self.state.borrow_mut();
            let Some(batcher) = state.batchers.get_mut(pool) else { return };
            let expired = batcher.expired(now);
            let plan = batcher.plan(now);
            for id in expired {
                if let Some(waiter) = state.waiters.remove(&id) {
                    waiter.miss(Miss::Late);
                }
            }
            drop(state);
            let (node, pool) = (self.clone(), pool.clone());
            match plan {
                Plan::Call(batch) => {
                    tokio::task::spawn_local(async move { node.call(now, &pool, batch).await });
                }
                Plan::Ask(servers) => {
                    tokio::task::spawn_local(async move { node.ask_loads(&pool, &servers).await });
                    break;
                }
                Plan::Wait => break,
            }
        }
        let mut state = self.state.borrow_mut();
        let wake = state.batchers.get(pool).and_then(|batcher| batcher.wake(now));
        let Some(wake) = wake else { return };
        let planned = state.wakes.get(pool).is_some_and(|at| *at > now && *at <= wake);
        if !planned {
            state.wakes.insert(pool.clone(), wake);
            let (node, pool) = (self.clone(), pool.clone());
            tokio::task::spawn_local(async move {
                sleep_until(node.instant(wake)).await;
                node.state.borrow_mut().wakes.remove(&pool);
                node.pump(&pool);
            });
        }
    }

    /// Asks servers for their load and plans again.
    async fn ask_loads(self: Rc<Self>, pool: &PoolId, servers: &[Replica]) {
        let ask = |server| timeout(LOAD_WAIT, self.ask_load(server));
        let loads = futures::future::join_all(servers.iter().map(ask)).await;
        let now = self.now();
        if let Some(batcher) = self.state.borrow_mut().batchers.get_mut(pool) {
            for (server, load) in servers.iter().zip(loads) {
                // A server that does not answer in time is not idle.
                batcher.told(now, &server.id, load.ok().and_then(Result::ok).flatten());
            }
        }
        self.pump(pool);
    }

    async fn ask_load(&self, server: &Replica) -> Result<Option<Load>, HttpError> {
        let mut conn = self.connection(server).await?;
        conn.send(&self.wire.load_call(server), &[]).await?;
        let head = conn.head(|_| true).await?;
        let body = conn.body().await?;
        self.keep(&server.id, conn);
        Ok(self.wire.load(&body).filter(|_| head.status.is_success()))
    }

    /// Makes one call and hands out its results.
    async fn call(self: Rc<Self>, sent: Time, pool: &PoolId, batch: Batch) {
        let server = &batch.server;
        let (items, wanted) = self.items(&batch);
        let mut end = CallEnd::Done(None);
        let mut ends = Vec::new();
        if !items.is_empty() {
            let late = self.instant(batch.late);
            match timeout_at(late, self.exchange(server, &items)).await {
                Ok(Ok((replied, results))) => (end, ends) = (replied, results),
                Ok(Err(error)) => {
                    end = CallEnd::Failed;
                    let text = error.to_string();
                    let fields = [
                        ("server", server.id.as_str().into()),
                        ("error", Value::from(text.as_str())),
                    ];
                    self.log.process(Kind::StageEnd, &fields);
                }
                Err(_) => end = CallEnd::Late,
            }
        }
        let now = self.now();
        self.note_call(server, &batch, end, &ends, now.since(sent));
        for (i, id) in wanted.iter().enumerate() {
            let bytes = batch.pieces.iter().find(|p| p.id == *id).map_or(0, |p| p.bytes);
            let miss = match (end, ends.get(i)) {
                (CallEnd::Done(_), Some(PieceEnd::Made(handle))) => {
                    let made = Made {
                        handle: handle.clone(),
                        server: server.id.clone(),
                        zone: server.zone.clone(),
                        bytes,
                    };
                    self.deliver(*id, made);
                    continue;
                }
                (CallEnd::Done(_), Some(PieceEnd::Late)) => Miss::Late,
                (CallEnd::Done(_), Some(PieceEnd::Gone)) => Miss::Gone,
                (CallEnd::Done(_), Some(PieceEnd::Room)) => Miss::Room,
                (CallEnd::Full, _) => Miss::Full,
                _ => Miss::Failed,
            };
            let mut state = self.state.borrow_mut();
            if let Some(batcher) = state.batchers.get_mut(pool) {
                batcher.freed(&server.id, bytes);
            }
            if let Some(waiter) = state.waiters.remove(id) {
                waiter.miss(miss);
            }
        }
        {
            let mut state = self.state.borrow_mut();
            let cancelled = batch.pieces.iter().filter(|p| !wanted.contains(&p.id));
            let bytes = cancelled.map(|piece| piece.bytes).sum();
            if let Some(batcher) = state.batchers.get_mut(pool) {
                batcher.freed(&server.id, bytes);
                if !ends.is_empty() {
                    batcher.roomy(!ends.contains(&PieceEnd::Room));
                }
                batcher.ended(now, &server.id, sent, batch.pieces.len(), end);
            }
        }
        self.pump(pool);
    }

    /// Items of the pieces that are still wanted, and their ids.
    fn items(&self, batch: &Batch) -> (Vec<Item>, Vec<PieceId>) {
        let now = self.now();
        let state = self.state.borrow();
        let mut items = Vec::with_capacity(batch.pieces.len());
        let mut ids = Vec::with_capacity(batch.pieces.len());
        for piece in &batch.pieces {
            if let Some(waiter) = state.waiters.get(&piece.id) {
                let left = waiter.deadline.since(now);
                items.push(Item { left, ..waiter.item.clone() });
                ids.push(piece.id);
            }
        }
        (items, ids)
    }

    async fn exchange(
        &self,
        server: &Replica,
        items: &[Item],
    ) -> Result<(CallEnd, Vec<PieceEnd>), HttpError> {
        let mut conn = self.connection(server).await?;
        conn.send(&self.wire.stage_call(server, items), &[]).await?;
        let head = conn.head(|_| true).await?;
        let body = conn.body().await?;
        self.keep(&server.id, conn);
        let reply = self.wire.reply(&head);
        if head.status.is_success() {
            let ends = self.wire.stage_ends(&body).filter(|ends| ends.len() == items.len());
            let ends = ends.ok_or(HttpError::Malformed("bad results of a stage call"))?;
            return Ok((CallEnd::Done(reply.load), ends));
        }
        let end = if reply.skipped { CallEnd::Full } else { CallEnd::Failed };
        Ok((end, Vec::new()))
    }

    fn deliver(&self, id: PieceId, made: Made) {
        let waiter = self.state.borrow_mut().waiters.remove(&id);
        let unused = match waiter {
            Some(waiter) => waiter.sender.send((waiter.at, Ok(made))).err().map(|e| e.0.1),
            None => Some(Ok(made)),
        };
        if let Some(Ok(made)) = unused {
            self.metrics.unused.add(1, &[]);
            self.free(&made.server, made.handle, made.bytes);
        }
    }

    fn note_call(
        &self,
        server: &Replica,
        batch: &Batch,
        end: CallEnd,
        ends: &[PieceEnd],
        took: Span,
    ) {
        let outcome = match end {
            CallEnd::Done(_) => "done",
            CallEnd::Full => "full",
            CallEnd::Failed => "failed",
            CallEnd::Late => "late",
        };
        let count = |wanted: PieceEnd| ends.iter().filter(|end| **end == wanted).count() as u64;
        let fields = [
            ("server", server.id.as_str().into()),
            ("pool", server.pool.as_str().into()),
            ("no_room", count(PieceEnd::Room).into()),
            ("inputs_gone", count(PieceEnd::Gone).into()),
            ("pieces", (batch.pieces.len() as u64).into()),
            ("took_ms", took.as_millis().into()),
            ("outcome", outcome.into()),
        ];
        self.log.process(Kind::StageCall, &fields);
        self.metrics.stage_call(server.pool.as_str(), outcome, took);
    }

    /// Gives a result back.
    pub(crate) fn free(&self, server: &ServerId, handle: String, bytes: u64) {
        let mut state = self.state.borrow_mut();
        if let Some(pool) = state.fleet.get(server).map(|replica| replica.pool.clone()) {
            if let Some(batcher) = state.batchers.get_mut(&pool) {
                batcher.freed(server, bytes);
            }
            state.frees.entry(server.clone()).or_default().push((handle, bytes));
        }
    }

    /// Gives results back for as long as the process runs.
    pub async fn free_results(self: Rc<Self>) {
        loop {
            sleep(FREE_GATHER).await;
            let due = std::mem::take(&mut self.state.borrow_mut().frees);
            for (id, handles) in due {
                let server = self.state.borrow().fleet.get(&id).cloned();
                let Some(server) = server else { continue };
                let node = self.clone();
                tokio::task::spawn_local(async move {
                    let handles: Vec<_> = handles.into_iter().map(|(handle, _)| handle).collect();
                    let wait = timeout(FREE_WAIT, node.release(&server, &handles));
                    // Results that stay are dropped by their maker after a while.
                    if !matches!(wait.await, Ok(Ok(()))) {
                        let id = server.id.as_str();
                        node.log.process(
                            Kind::StageEnd,
                            &[("server", id.into()), ("error", "results not given back".into())],
                        );
                    }
                });
            }
        }
    }

    async fn release(&self, server: &Replica, handles: &[String]) -> Result<(), HttpError> {
        let mut conn = self.connection(server).await?;
        conn.send(&self.wire.release(server, handles), &[]).await?;
        conn.head(|_| true).await?;
        conn.body().await?;
        self.keep(&server.id, conn);
        Ok(())
    }
}

impl PieceWaiter {
    fn miss(self, miss: Miss) {
        // The receiver is gone when the request has ended meanwhile.
        self.sender.send((self.at, Err(miss))).unwrap_or_default();
    }
}

async fn next(
    receiver: &mut UnboundedReceiver<(PieceAt, Result<Made, Miss>)>,
) -> (PieceAt, Result<Made, Miss>) {
    // The caller holds a sender, so that the channel never closes.
    match receiver.recv().await {
        Some(end) => end,
        None => std::future::pending().await,
    }
}
