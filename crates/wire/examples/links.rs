//! Measures the cost of idle connections between one entry and its sidecars: CPU time, memory and loopback
//! traffic for three numbers of connections. Both ends run in this process, so each figure is the sum of
//! an entry's and a sidecar's share.

use damaskweir_core::prelude::*;
use damaskweir_wire::{Connection, Dialer, Keys, Limits, Link, Listener, LocalNode, PeerId};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use std::error::Error;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Numbers of connections to measure.
const CONNECTION_COUNTS: [usize; 3] = [48, 96, 192];
/// Time between opening the connections and the start of the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Duration of a measurement.
const MEASURE_TIME: Duration = Duration::from_secs(10);
/// Page size in bytes, the unit of `/proc/self/statm`.
const PAGE_BYTES: u64 = 4096;
/// Clock ticks per second, the unit of times in `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let keys = make_keys()?;
    println!("connections  cpu us/s each  memory KiB each  loopback bytes/s each");
    for size in CONNECTION_COUNTS {
        let memory = resident_bytes()?;
        let sidecars: Vec<_> =
            (0..size).map(|i| start_sidecar(&keys, i)).collect::<Result<_, _>>()?;
        let local =
            LocalNode::new(PeerId::Entry("entry-1".into()), "zone-a".into(), Incarnation(7));
        let dialer = Dialer::bind(loopback(), &keys, local, Limits::default())?;
        let mut links: Vec<Link> = Vec::new();
        for (id, address) in &sidecars {
            links.push(dialer.connect(*address, id).await?);
        }
        tokio::time::sleep(SETTLE_TIME).await;
        let (cpu, bytes) = (cpu_seconds()?, loopback_bytes()?);
        tokio::time::sleep(MEASURE_TIME).await;
        let per_connection = |value: f64| value / size as f64;
        println!(
            "{size:>11}  {:>13.1}  {:>15.1}  {:>21.1}",
            per_connection((cpu_seconds()? - cpu) * 1e6 / MEASURE_TIME.as_secs_f64()),
            per_connection(resident_bytes()?.saturating_sub(memory) as f64 / 1024.0),
            per_connection((loopback_bytes()? - bytes) as f64 / MEASURE_TIME.as_secs_f64()),
        );
        dialer.close().await;
    }
    Ok(())
}

/// Starts a sidecar that accepts connections and sends reports.
fn start_sidecar(keys: &Keys, i: usize) -> Result<(ServerId, SocketAddr), Box<dyn Error>> {
    let id = ServerId::from(format!("server-{i}").as_str());
    let incarnation = Incarnation(i as u64 + 100);
    let local = LocalNode::new(PeerId::Sidecar(id.clone()), "zone-a".into(), incarnation);
    let serial = AtomicU64::new(0);
    let report = move || Report {
        incarnation,
        serial: serial.fetch_add(1, Ordering::Relaxed),
        version: Version(1),
        queued: 0,
        running: 0,
        limit: 8,
        wait: Span::ZERO,
        draining: false,
    };
    let mut listener = Listener::bind(loopback(), keys, local, Limits::default(), report)?;
    let address = listener.address();
    tokio::spawn(async move {
        while let Some(accepted) = listener.accept().await {
            if let Ok(connection) = accepted {
                tokio::spawn(serve(connection));
            }
        }
    });
    Ok((id, address))
}

async fn serve(mut connection: Connection) {
    while connection.next().await.is_some() {}
}

fn make_keys() -> Result<Keys, Box<dyn Error>> {
    let authority_key = KeyPair::generate()?;
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority = params.self_signed(&authority_key)?.pem();
    let issuer = Issuer::new(params, authority_key);
    let key = KeyPair::generate()?;
    let params = CertificateParams::new(vec!["damaskweir".to_owned()])?;
    let certificate = params.signed_by(&key, &issuer)?.pem();
    Ok(Keys::from_pem(
        authority.as_bytes(),
        certificate.as_bytes(),
        key.serialize_pem().as_bytes(),
    )?)
}

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// CPU time of this process in seconds.
fn cpu_seconds() -> Result<f64, Box<dyn Error>> {
    let text = std::fs::read_to_string("/proc/self/stat")?;
    // Splits after the command name, which may contain spaces.
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let user: f64 = fields.get(11).ok_or("no user time")?.parse()?;
    let system: f64 = fields.get(12).ok_or("no system time")?.parse()?;
    Ok((user + system) / TICKS_PER_SECOND)
}

fn resident_bytes() -> Result<u64, Box<dyn Error>> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = text.split_whitespace().nth(1).ok_or("no resident size")?.parse()?;
    Ok(pages * PAGE_BYTES)
}

/// Bytes that the loopback interface has received.
fn loopback_bytes() -> Result<u64, Box<dyn Error>> {
    let text = std::fs::read_to_string("/proc/net/dev")?;
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    Ok(line.and_then(|line| line.split_whitespace().next()).ok_or("no loopback")?.parse()?)
}
