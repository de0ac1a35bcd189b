//! The platform's metadata store, as PROTOCOL.md describes it.

use crate::net::{Conn, Json, Message, base64, decode_query, now_ms, response};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Items in one page of a range.
const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in order: revision, key and item; `None` if it was removed.
    history: Vec<(u64, String, Option<Item>)>,
    /// Time to live and end of each lease.
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
    /// Watches so far.
    watches: u64,
    /// Watches that were cut.
    cuts: u64,
}

/// Decides whether the n-th watch is cut while it waits, and after which time.
pub type CutRule = dyn Fn(u64) -> Option<Duration> + Send + Sync;

pub struct Store {
    pub address: SocketAddr,
    data: Arc<(Mutex<Data>, Condvar)>,
}

impl Store {
    pub fn start(host: std::net::Ipv4Addr, cut: Box<CutRule>) -> Arc<Self> {
        let listener = TcpListener::bind((host, 0)).expect("listen");
        let address = listener.local_addr().expect("local address");
        let data = Data { revision: 1, ..Data::default() };
        let store = Arc::new(Self { address, data: Arc::new((Mutex::new(data), Condvar::new())) });
        let (own, cut) = (store.clone(), Arc::new(cut));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, cut) = (own.clone(), cut.clone());
                thread::spawn(move || store.serve(Conn::new(stream), &**cut));
            }
        });
        let own = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                own.expire();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.0.lock().expect("the store")
    }

    /// Writes a key. Returns when it was acknowledged, in milliseconds of the time of day.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.lock().put(key, base64(value.as_bytes()), 0);
        self.data.1.notify_all();
        now_ms()
    }

    /// Removes a key. Returns when that was acknowledged.
    pub fn remove(&self, key: &str) -> u64 {
        self.lock().remove(key);
        self.data.1.notify_all();
        now_ms()
    }

    /// Number of watches so far, and of those that were cut.
    pub fn watches(&self) -> (u64, u64) {
        let data = self.lock();
        (data.watches, data.cuts)
    }

    fn expire(&self) {
        let mut data = self.lock();
        let now = Instant::now();
        let over: Vec<_> =
            data.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for lease in over {
            data.end_lease(lease);
            self.data.1.notify_all();
        }
    }

    fn serve(&self, mut conn: Conn, cut: &CutRule) {
        while let Ok(Some(request)) = conn.read() {
            let Some((status, body)) = self.respond(&request, cut) else { return };
            let fields = "Content-Type: application/json\r\n";
            if conn.send(response(status, fields, &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the status and body of an answer, or `None` if the connection is cut.
    fn respond(&self, request: &Message, cut: &CutRule) -> Option<(u16, String)> {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let query: BTreeMap<_, _> =
            query.split('&').filter_map(|part| part.split_once('=')).collect();
        let text = |name: &str| decode_query(query.get(name).copied().unwrap_or_default());
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        Some(match (request.method(), path) {
            ("GET", "/-/kv-key") => self.lock().key(&text("key")),
            ("GET", "/-/kv-range") => self.lock().range(&text("path_prefix"), &text("after")),
            ("GET", "/-/kv-watch") => {
                let wait = Duration::from_millis(number("wait_ms").min(30_000));
                return self.watch(&text("path_prefix"), number("after"), wait, cut);
            }
            ("POST", "/-/kv-txn") => {
                let answer = self.lock().transact(&body);
                self.data.1.notify_all();
                answer
            }
            ("POST", "/-/kv-lease") => self.lock().grant(body.get("ttl_ms").number()),
            ("POST", path) if path.starts_with("/-/kv-keep/") => self.lock().keep(&path[11..]),
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                let lease = path[16..].parse().unwrap_or(0);
                self.lock().end_lease(lease);
                self.data.1.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        })
    }

    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
        cut: &CutRule,
    ) -> Option<(u16, String)> {
        let began = Instant::now();
        let mut data = self.lock();
        data.watches += 1;
        let cut = cut(data.watches);
        loop {
            let events: Vec<_> = data
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => format!("{{\"key\":{key:?},\"revision\":{revision},\"removed\":true}}"),
                })
                .collect();
            let waited = began.elapsed();
            if !events.is_empty() || waited >= wait {
                let events = events.join(",");
                let body = format!("{{\"events\":[{events}],\"as_of\":{}}}", data.revision);
                return Some((200, body));
            }
            if cut.is_some_and(|after| waited >= after) {
                data.cuts += 1;
                return None;
            }
            let left = cut.unwrap_or(wait).min(wait).saturating_sub(waited);
            let left = left.max(Duration::from_millis(1));
            data = self.data.1.wait_timeout(data, left).expect("the store").0;
        }
    }
}

impl Data {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        match self.items.get(key) {
            Some(item) => (200, item_json(key, item)),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let listed = |key: &str| key.starts_with(prefix) && (after.is_empty() || key > after);
        let mut items = self.items.iter().filter(|(key, _)| listed(key));
        let page: Vec<_> =
            items.by_ref().take(PAGE_ITEMS).map(|(key, item)| item_json(key, item)).collect();
        let (more, page) = (items.next().is_some(), page.join(","));
        let as_of = self.revision;
        (200, format!("{{\"items\":[{page}],\"has_more\":{more},\"as_of\":{as_of}}}"))
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        let known = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let expected = body.get("expected_rev").list();
        if expected.iter().any(|row| known(row.get("key").text()) != row.get("revision").number()) {
            return (412, "{\"items\":[]}".to_owned());
        }
        let puts = body.get("puts").list();
        let lease = |put: &Json| put.get("lease").number();
        if puts.iter().any(|put| lease(put) > 0 && !self.leases.contains_key(&lease(put))) {
            return (404, "{}".to_owned());
        }
        for put in puts {
            self.put(put.get("key").text(), put.get("value").text().to_owned(), lease(put));
        }
        for key in body.get("remove").list() {
            self.remove(key.text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }

    fn grant(&mut self, ttl_ms: u64) -> (u16, String) {
        let ttl = Duration::from_millis(ttl_ms.max(1_000));
        self.last_lease += 1;
        self.leases.insert(self.last_lease, (ttl, Instant::now() + ttl));
        (200, format!("{{\"lease\":{},\"ttl_ms\":{}}}", self.last_lease, ttl.as_millis()))
    }

    fn keep(&mut self, id: &str) -> (u16, String) {
        match self.leases.get_mut(&id.parse().unwrap_or(0)) {
            Some((ttl, end)) => {
                *end = Instant::now() + *ttl;
                (200, "{}".to_owned())
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held: Vec<_> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease && lease > 0)
            .map(|(key, _)| key.clone())
            .collect();
        held.iter().for_each(|key| self.remove(key));
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    format!(
        "{{\"key\":{key:?},\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\
         \"lease\":{lease}}}"
    )
}
