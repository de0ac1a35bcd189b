//! Tests of bundle distribution from an operator through the store to entries and sidecars.

#![allow(clippy::unwrap_used, clippy::panic, reason = "used by tests only")]

mod common;

use common::{Authority, loopback, within};
use damaskweir::entry::{EntryDaemon, EntryOptions};
use damaskweir::logs::quiet_logger;
use damaskweir::side::{Backend, SidecarDaemon, SidecarOptions};
use damaskweir::spread::BundleSyncConfig;
use damaskweir_bundle::{SecretKey, parse};
use damaskweir_callers::{Authenticator, Limits};
use damaskweir_core::prelude::*;
use damaskweir_operators::{ApprovalRequest, approve, load_history, rollback};
use damaskweir_services::ServiceSettings;
use damaskweir_standins::service::Service;
use damaskweir_standins::store::{Outage, Store};
use damaskweir_store::{Client, Settings};
use rand_chacha::rand_core::SeedableRng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// An operator's key, stand-ins for the store and a backend server, and the certificate authority of the
/// daemons.
struct TestCluster {
    store: Store,
    service: Service,
    authority: Authority,
    key: SecretKey,
}

impl TestCluster {
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
            read_rate: 1_000,
            write_rate: 1_000,
            burst: 1_000,
            ..Settings::new(&self.store.url())
        };
        Client::new(settings, Rng::seed_from_u64(6)).unwrap()
    }

    fn setup(&self, seeds: &[(&str, SocketAddr)]) -> BundleSyncConfig {
        BundleSyncConfig {
            keys: vec![self.key.public_key()],
            store: Some(self.client()),
            seeds: seeds.iter().map(|(id, side)| (ServerId::from(*id), *side)).collect(),
        }
    }

    async fn side(&self, id: &str) -> SidecarDaemon {
        let settings = ServiceSettings { url: self.service.url(), ..Default::default() };
        let keys = self.authority.keys();
        let backend = Backend::Service(settings);
        let mut options = SidecarOptions::new(id.into(), "a".into(), keys, backend);
        options.check_interval = Duration::from_millis(10);
        let setup = self.setup(&[]);
        within(SidecarDaemon::start_with_sync(options, Some(setup), quiet_logger())).await.unwrap()
    }

    fn entry_options(&self, name: &str) -> EntryOptions {
        EntryOptions {
            instance: name.into(),
            zone: "a".into(),
            core: Default::default(),
            listen: loopback(),
            limits: Limits::default(),
            directory: Authenticator::new(BTreeMap::new(), true),
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
        within(EntryDaemon::start_with_sync(options, Some(setup), quiet_logger())).await.unwrap()
    }

    async fn approve(&self, base: u64, share: u32, sides: &[(&str, SocketAddr)]) -> Version {
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
        let request = self.request(base);
        within(approve(&self.client(), &request, &bundle)).await.unwrap().version
    }

    fn request(&self, base: u64) -> ApprovalRequest<'_> {
        ApprovalRequest {
            key: &self.key,
            base_version: Version(base),
            reason: "test",
            timestamp: 1_800_000_000,
            timeout: Duration::from_secs(60),
        }
    }
}

async fn wait_until(condition: impl Fn() -> bool) {
    within(async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
}

fn side_version(side: &SidecarDaemon) -> u64 {
    side.bundle().map_or(0, |bundle| bundle.version.0)
}

fn workspace_share(bundle: &Bundle) -> u32 {
    bundle.workspaces[&WorkspaceId::from("kollam")].share
}

/// Guards against an approved bundle or a rollback that some process never activates, and against
/// requests that fail after the first bundle is active.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn approval_reaches_entries_and_sides() {
    let cluster = TestCluster::new().await;
    let (one, two) = (cluster.side("enc-1").await, cluster.side("enc-2").await);
    let sides = [("enc-1", one.address()), ("enc-2", two.address())];
    cluster.approve(0, 1, &sides).await;
    let entry = cluster.entry("entry-1", &[]).await;
    assert_eq!(entry.bundle().version, Version(1));
    wait_until(|| entry.is_ready() && side_version(&one) == 1 && side_version(&two) == 1).await;
    let url = format!("http://{}/v1/pipelines/ask", entry.address());
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    let ask = http.post(&url).header("x-workspace", "kollam").body("{\"a\": 1}");
    let ask = ask.header("content-type", "application/json");
    let answer = within(ask.send()).await.unwrap();
    assert_eq!(answer.status(), 200, "{}", answer.text().await.unwrap());
    // Sidecars poll the store only every ten minutes, so they get this version from the entry.
    cluster.approve(1, 7, &sides).await;
    wait_until(|| entry.bundle().version == Version(2)).await;
    wait_until(|| side_version(&one) == 2 && side_version(&two) == 2).await;
    assert_eq!(workspace_share(&one.bundle().unwrap()), 7);
    within(rollback(&cluster.client(), &cluster.request(2), Version(1))).await.unwrap();
    wait_until(|| side_version(&one) == 3 && side_version(&two) == 3).await;
    assert_eq!((workspace_share(&entry.bundle()), workspace_share(&two.bundle().unwrap())), (1, 1));
    assert!(within(load_history(&cluster.client(), None)).await.unwrap().errors.is_empty());
    entry.abort();
    one.abort();
    two.abort();
}

/// Guards against a server that still accepts work after a bundle removed it, and against one that stays
/// unused after a later bundle adds it again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn removed_server_gets_no_work() {
    let cluster = TestCluster::new().await;
    let (one, two) = (cluster.side("enc-1").await, cluster.side("enc-2").await);
    let sides = [("enc-1", one.address()), ("enc-2", two.address())];
    cluster.approve(0, 1, &sides).await;
    let entry = cluster.entry("entry-1", &[]).await;
    wait_until(|| entry.is_ready() && one.accepts_work() && two.accepts_work()).await;
    cluster.approve(1, 1, &sides[..1]).await;
    wait_until(|| side_version(&two) == 2 && !two.accepts_work()).await;
    assert!(one.accepts_work());
    cluster.approve(2, 1, &sides).await;
    wait_until(|| side_version(&two) == 3 && two.accepts_work()).await;
    entry.abort();
    one.abort();
    two.abort();
}

/// Guards against a process that is restarted during a store outage and accepts work with an old or no
/// bundle, or waits for the store. The store is down while an entry is restarted and a sidecar and another
/// entry start.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restart_during_outage_catches_up_from_peers() {
    let cluster = TestCluster::new().await;
    let (one, two) = (cluster.side("enc-1").await, cluster.side("enc-2").await);
    let sides = [("enc-1", one.address()), ("enc-2", two.address())];
    cluster.approve(0, 1, &sides).await;
    let entry = cluster.entry("entry-1", &[]).await;
    cluster.approve(1, 5, &sides).await;
    wait_until(|| entry.bundle().version == Version(2)).await;
    wait_until(|| side_version(&one) == 2 && side_version(&two) == 2).await;
    cluster.store.set_outage(Some(Outage::Refuse));
    entry.abort();
    // The restarted entry connects to one sidecar, which is a seed in its settings.
    let again = cluster.entry("entry-1", &sides[..1]).await;
    assert_eq!((again.bundle().version, workspace_share(&again.bundle())), (Version(2), 5));
    wait_until(|| again.is_ready()).await;
    // A sidecar without a bundle receives it from an entry that connects to it.
    let fresh = cluster.side("enc-3").await;
    assert_eq!(side_version(&fresh), 0);
    let third = cluster.entry("entry-2", &[sides[0], ("enc-3", fresh.address())]).await;
    wait_until(|| side_version(&fresh) == 2).await;
    assert_eq!(third.bundle().version, Version(2));
    again.abort();
    third.abort();
    [one, two, fresh].into_iter().for_each(SidecarDaemon::abort);
}

/// Guards against accepting a manifest with an invalid signature, or an older manifest that is written to
/// the store again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn forged_and_replayed_manifests_are_rejected() {
    let cluster = TestCluster::new().await;
    let side = cluster.side("enc-1").await;
    let sides = [("enc-1", side.address())];
    cluster.approve(0, 1, &sides).await;
    let manifest = damaskweir_operators::MANIFEST_KEY;
    let (old, _) = cluster.store.peek(manifest).unwrap();
    let entry = cluster.entry("entry-1", &[]).await;
    cluster.approve(1, 2, &sides).await;
    wait_until(|| entry.bundle().version == Version(2) && side_version(&side) == 2).await;
    let (good, _) = cluster.store.peek(manifest).unwrap();
    let mut forged = good.clone();
    *forged.last_mut().unwrap() ^= 1;
    for value in [&old, &forged] {
        cluster.store.write_directly(manifest, Some(value));
    }
    cluster.store.write_directly(manifest, Some(&good));
    // Watch events arrive in order, so once a later approval is active, the invalid manifests were seen
    // and rejected.
    cluster.approve(2, 3, &sides).await;
    wait_until(|| entry.bundle().version == Version(3) && side_version(&side) == 3).await;
    assert_eq!(workspace_share(&entry.bundle()), 3);
    entry.abort();
    side.abort();
}

/// Guards against a watch that no longer delivers events and is mistaken for one without changes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_watch_does_not_miss_an_approval() {
    let cluster = TestCluster::new().await;
    let side = cluster.side("enc-1").await;
    let sides = [("enc-1", side.address())];
    cluster.approve(0, 1, &sides).await;
    let entry = cluster.entry("entry-1", &[]).await;
    wait_until(|| {
        entry.is_ready() && side_version(&side) == 1 && cluster.store.calls().watches > 0
    })
    .await;
    // Until there is a bundle, polls are 1 s apart. Waits so that none of them delivers the approval.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    cluster.store.stall_watches();
    cluster.approve(1, 2, &sides).await;
    let approved = Instant::now();
    wait_until(|| entry.bundle().version == Version(2) && side_version(&side) == 2).await;
    // An approved bundle must be active on every process within 4 s.
    assert!(approved.elapsed() < Duration::from_secs(4), "{:?}", approved.elapsed());
    entry.abort();
    side.abort();
}
