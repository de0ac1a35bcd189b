//! Bundles on their way from an operator to entries and sides.

#![allow(clippy::unwrap_used, clippy::panic, reason = "used by tests only")]

mod common;

use common::{Authority, loopback, within};
use damaskweir::entry::{EntryDaemon, EntryOptions};
use damaskweir::logs::quiet_logger;
use damaskweir::side::{Backend, SideDaemon, SideOptions};
use damaskweir::spread::SpreadSetup;
use damaskweir_bundle::{SecretKey, parse};
use damaskweir_callers::{Directory, Limits};
use damaskweir_core::prelude::*;
use damaskweir_operators::{Request, approve, history, rollback};
use damaskweir_services::ServiceSettings;
use damaskweir_standins::service::Service;
use damaskweir_standins::store::{Outage, Store};
use damaskweir_store::{Client, Settings};
use rand_chacha::rand_core::SeedableRng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// An operator, a store, the stand-in of a backend server, and the processes around it.
struct Bed {
    store: Store,
    service: Service,
    authority: Authority,
    key: SecretKey,
}

impl Bed {
    async fn new() -> Self {
        Self {
            store: Store::start().await.unwrap(),
            service: Service::start().await.unwrap(),
            authority: Authority::new(),
            key: SecretKey::from_seed(&[1; 32]),
        }
    }

    fn client(&self) -> Client {
        let settings = Settings {
            timeout: Span::from_millis(500),
            reads: 1_000,
            writes: 1_000,
            burst: 1_000,
            ..Settings::new(&self.store.url())
        };
        Client::new(settings, Rng::seed_from_u64(6)).unwrap()
    }

    fn setup(&self, seeds: &[(&str, SocketAddr)]) -> SpreadSetup {
        SpreadSetup {
            keys: vec![self.key.public_key()],
            store: Some(self.client()),
            seeds: seeds.iter().map(|(id, side)| (ServerId::from(*id), *side)).collect(),
        }
    }

    async fn side(&self, id: &str) -> SideDaemon {
        let settings = ServiceSettings { url: self.service.url(), ..Default::default() };
        let keys = self.authority.keys();
        let backend = Backend::Service(settings);
        let mut options = SideOptions::new(id.into(), "a".into(), keys, backend);
        options.check = Duration::from_millis(10);
        let setup = self.setup(&[]);
        within(SideDaemon::start_spread(options, Some(setup), quiet_logger())).await.unwrap()
    }

    fn entry_options(&self, name: &str) -> EntryOptions {
        EntryOptions {
            instance: name.into(),
            zone: "a".into(),
            core: Default::default(),
            listen: loopback(),
            limits: Limits::default(),
            directory: Directory::new(BTreeMap::new(), true),
            wire_address: loopback(),
            keys: self.authority.keys(),
            wire: Default::default(),
            bundle: Arc::new(Bundle {
                version: Version(0),
                pools: BTreeMap::new(),
                pipelines: BTreeMap::new(),
                workspaces: BTreeMap::new(),
                operators: BTreeMap::new(),
            }),
            claims: None,
            instances: None,
            drain_grace: Duration::ZERO,
            drain_limit: Duration::from_secs(1),
        }
    }

    async fn entry(&self, name: &str, seeds: &[(&str, SocketAddr)]) -> EntryDaemon {
        let (options, setup) = (self.entry_options(name), self.setup(seeds));
        within(EntryDaemon::start_spread(options, Some(setup), quiet_logger())).await.unwrap()
    }

    async fn approve(&self, seen: u64, share: u32, sides: &[(&str, SocketAddr)]) -> Version {
        let mut text = format!(
            "[operator asha]\nkey = {}\n[pool encoders]\nkind = service\n\
             [pipeline ask]\ndeadline = 3s\nstages = encode\n\
             [stage ask/encode]\npool = encoders\neffect = idempotent\npath = /encode\n\
             expected = 40ms\n[workspace kollam]\nshare = {share}\nlimit = 64\n",
            self.key.public_key()
        );
        for (id, side) in sides {
            text +=
                &format!("[server {id}]\npool = encoders\nzone = a\nside = {side}\nslots = 8\n");
        }
        let bundle = parse("bundle.ini", &text).unwrap();
        let request = self.request(seen);
        within(approve(&self.client(), &request, &bundle)).await.unwrap().version
    }

    fn request(&self, seen: u64) -> Request<'_> {
        Request {
            key: &self.key,
            seen: Version(seen),
            reason: "test",
            at: 1_800_000_000,
            patience: Duration::from_secs(60),
        }
    }
}

async fn until(condition: impl Fn() -> bool) {
    within(async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
}

fn version(side: &SideDaemon) -> u64 {
    side.bundle().map_or(0, |bundle| bundle.version.0)
}

fn share(bundle: &Bundle) -> u32 {
    bundle.workspaces[&WorkspaceId::from("kollam")].share
}

/// Guards against an approved bundle that some process never puts into force, a rollback that does
/// not arrive, and requests that are answered under no bundle.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn approval_reaches_entries_and_sides() {
    let bed = Bed::new().await;
    let (one, two) = (bed.side("enc-1").await, bed.side("enc-2").await);
    let sides = [("enc-1", one.address()), ("enc-2", two.address())];
    bed.approve(0, 1, &sides).await;
    let entry = bed.entry("entry-1", &[]).await;
    assert_eq!(entry.bundle().version, Version(1));
    until(|| entry.is_ready() && version(&one) == 1 && version(&two) == 1).await;
    let url = format!("http://{}/v1/pipelines/ask", entry.address());
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    let ask = http.post(&url).header("x-workspace", "kollam").body("{\"a\": 1}");
    let ask = ask.header("content-type", "application/json");
    let answer = within(ask.send()).await.unwrap();
    assert_eq!(answer.status(), 200, "{}", answer.text().await.unwrap());
    // Sides poll every ten minutes, so they hear of this from the entry.
    bed.approve(1, 7, &sides).await;
    until(|| entry.bundle().version == Version(2)).await;
    until(|| version(&one) == 2 && version(&two) == 2).await;
    assert_eq!(share(&one.bundle().unwrap()), 7);
    within(rollback(&bed.client(), &bed.request(2), Version(1))).await.unwrap();
    until(|| version(&one) == 3 && version(&two) == 3).await;
    assert_eq!((share(&entry.bundle()), share(&two.bundle().unwrap())), (1, 1));
    assert!(within(history(&bed.client(), None)).await.unwrap().flaws.is_empty());
    entry.abort();
    one.abort();
    two.abort();
}

/// Guards against a server that goes on to get work after a bundle without it is in force, and against
/// one that stays out after a later bundle brings it back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn removed_server_takes_no_work() {
    let bed = Bed::new().await;
    let (one, two) = (bed.side("enc-1").await, bed.side("enc-2").await);
    let sides = [("enc-1", one.address()), ("enc-2", two.address())];
    bed.approve(0, 1, &sides).await;
    let entry = bed.entry("entry-1", &[]).await;
    until(|| entry.is_ready() && one.takes_work() && two.takes_work()).await;
    bed.approve(1, 1, &sides[..1]).await;
    until(|| version(&two) == 2 && !two.takes_work()).await;
    assert!(one.takes_work());
    bed.approve(2, 1, &sides).await;
    until(|| version(&two) == 3 && two.takes_work()).await;
    entry.abort();
    one.abort();
    two.abort();
}

/// Guards against a restart during a store outage that takes work under an old or no bundle, or that
/// waits for the store. Pair of failures: the store is down and an entry and a side are restarted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restart_during_outage_catches_up_from_peers() {
    let bed = Bed::new().await;
    let (one, two) = (bed.side("enc-1").await, bed.side("enc-2").await);
    let sides = [("enc-1", one.address()), ("enc-2", two.address())];
    bed.approve(0, 1, &sides).await;
    let entry = bed.entry("entry-1", &[]).await;
    bed.approve(1, 5, &sides).await;
    until(|| entry.bundle().version == Version(2)).await;
    until(|| version(&one) == 2 && version(&two) == 2).await;
    bed.store.set_outage(Some(Outage::Refuse));
    entry.abort();
    // The new entry knows one side from its settings.
    let again = bed.entry("entry-1", &sides[..1]).await;
    assert_eq!((again.bundle().version, share(&again.bundle())), (Version(2), 5));
    until(|| again.is_ready()).await;
    // A side without a bundle learns it from the entry, and takes no work before.
    let fresh = bed.side("enc-3").await;
    assert_eq!(version(&fresh), 0);
    let third = bed.entry("entry-2", &[sides[0], ("enc-3", fresh.address())]).await;
    until(|| version(&fresh) == 2).await;
    assert_eq!(third.bundle().version, Version(2));
    again.abort();
    third.abort();
    [one, two, fresh].into_iter().for_each(SideDaemon::abort);
}

/// Guards against a manifest in the store that no operator signed, or an older one that is put back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn forged_and_replayed_manifests_stay_out() {
    let bed = Bed::new().await;
    let side = bed.side("enc-1").await;
    let sides = [("enc-1", side.address())];
    bed.approve(0, 1, &sides).await;
    let manifest = damaskweir_operators::MANIFEST_KEY;
    let (old, _) = bed.store.peek(manifest).unwrap();
    let entry = bed.entry("entry-1", &[]).await;
    bed.approve(1, 2, &sides).await;
    until(|| entry.bundle().version == Version(2) && version(&side) == 2).await;
    let (good, _) = bed.store.peek(manifest).unwrap();
    let mut forged = good.clone();
    *forged.last_mut().unwrap() ^= 1;
    for value in [&old, &forged] {
        bed.store.poke(manifest, Some(value));
    }
    bed.store.poke(manifest, Some(&good));
    // What follows the bad ones still arrives, so they were seen and refused.
    bed.approve(2, 3, &sides).await;
    until(|| entry.bundle().version == Version(3) && version(&side) == 3).await;
    assert_eq!(share(&entry.bundle()), 3);
    entry.abort();
    side.abort();
}

/// Guards against a watch that has fallen silent and is taken for one without changes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_watch_hides_no_approval() {
    let bed = Bed::new().await;
    let side = bed.side("enc-1").await;
    let sides = [("enc-1", side.address())];
    bed.approve(0, 1, &sides).await;
    let entry = bed.entry("entry-1", &[]).await;
    until(|| entry.is_ready() && version(&side) == 1 && bed.store.calls().watches > 0).await;
    // Polls are a second apart until there is a bundle.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    bed.store.silence_watches();
    bed.approve(1, 2, &sides).await;
    let approved = Instant::now();
    until(|| entry.bundle().version == Version(2) && version(&side) == 2).await;
    // Approved bundles are in force everywhere within 4 s.
    assert!(approved.elapsed() < Duration::from_secs(4), "{:?}", approved.elapsed());
    entry.abort();
    side.abort();
}
