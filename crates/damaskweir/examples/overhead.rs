//! Measures the latency and CPU time that entry and sidecar add to a call to a stand-in server.
//!
//! The load generator, the entry, the sidecars and the stand-ins run in one process. Direct calls and calls
//! through entry and sidecar alternate, so that other load on the machine affects both alike. The CPU time
//! of the load generator and the stand-ins is the same in both and cancels out in the difference.
//!
//! Usage: overhead [RATE [SECONDS [ROUNDS]]]

use damaskweir::demo::{Demo, DemoOptions};
use damaskweir::load::{LoadOptions, LoadReport, run_load};
use damaskweir::logs::quiet_logger;
use std::error::Error;
use std::time::Duration;

/// Clock ticks per second of `/proc/self/stat` on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Measurements of one call path, direct or through entry and sidecar; one value per round.
/// Latencies are in microseconds.
#[derive(Default)]
struct Series {
    p50: Vec<f64>,
    p99: Vec<f64>,
    /// CPU time per request in microseconds.
    cpu: Vec<f64>,
}

impl Series {
    fn add(&mut self, report: &LoadReport, cpu: f64) {
        self.p50.push(report.micros.p50 as f64);
        self.p99.push(report.micros.p99 as f64);
        self.cpu.push(cpu * 1e6 / report.due as f64);
    }
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Vec<u32> =
        std::env::args().skip(1).map(|a| a.parse()).collect::<Result<_, _>>()?;
    let option = |i: usize, default| arguments.get(i).copied().unwrap_or(default);
    let (rate, seconds, rounds) = (option(0, 200), option(1, 5), option(2, 5));
    let demo =
        DemoOptions { entries: 1, engines: 1, services: 1, slots: 256, ..Default::default() };
    let demo = DemoOptions { token_time: Duration::ZERO, call_time: Duration::ZERO, ..demo };
    let demo = Demo::start(demo, &quiet_logger()).await?;
    let (engine, service, entry) =
        (&demo.engine_urls()[0], &demo.service_urls()[0], &demo.urls()[0]);
    println!("rate {rate}/s, {rounds} rounds of {seconds} s each way, {}", load_average()?);
    let cases = [
        ("service", format!("{service}/retrieve"), "lookup", 0),
        ("engine, 1 token", format!("{engine}/v1/completions"), "complete", 1),
        ("engine, 16 tokens", format!("{engine}/v1/completions"), "complete", 16),
    ];
    for (name, direct, pipeline, tokens) in cases {
        let through = format!("{entry}/v1/pipelines/{pipeline}");
        let mut series = [Series::default(), Series::default()];
        for _ in 0..rounds {
            for (series, target) in series.iter_mut().zip([&direct, &through]) {
                let options = LoadOptions {
                    target: target.parse()?,
                    rate,
                    seconds,
                    warmup: 0,
                    in_flight: 512,
                    body: format!(r#"{{"prompt": "overhead", "max_tokens": {tokens}}}"#),
                    workspace: "kollam".to_owned(),
                };
                // Warms up connections and caches.
                run_load(&LoadOptions { seconds: 1, ..options.clone() }).await?;
                let before = cpu_seconds()?;
                let report = run_load(&options).await?;
                let cpu = cpu_seconds()? - before;
                if !report.is_clean() {
                    return Err(format!(
                        "some requests were not answered with status 200: {report}"
                    )
                    .into());
                }
                series.add(&report, cpu);
            }
        }
        print_series(name, &series);
    }
    println!("{}", load_average()?);
    Ok(demo.stop().await?)
}

fn print_series(name: &str, series: &[Series; 2]) {
    println!("{name}: medians over the rounds, smallest and largest in brackets");
    let [direct, through] = series;
    let rows = [
        ("p50 us", &direct.p50, &through.p50),
        ("p99 us", &direct.p99, &through.p99),
        ("CPU us per request", &direct.cpu, &through.cpu),
    ];
    for (name, direct, through) in rows {
        let (direct, through) = (min_median_max(direct), min_median_max(through));
        println!(
            "  {name}: direct {:.0} [{:.0} {:.0}], through {:.0} [{:.0} {:.0}], added {:.0}",
            direct.1,
            direct.0,
            direct.2,
            through.1,
            through.0,
            through.2,
            through.1 - direct.1
        );
    }
}

/// Returns the smallest value, the median and the largest value.
fn min_median_max(values: &[f64]) -> (f64, f64, f64) {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    let at = |i: usize| values.get(i).copied().unwrap_or(f64::NAN);
    (at(0), at(values.len() / 2), at(values.len().saturating_sub(1)))
}

/// User and system CPU time of this process, in seconds.
fn cpu_seconds() -> Result<f64, Box<dyn Error>> {
    let stat = std::fs::read_to_string("/proc/self/stat")?;
    // The second field is the program's name in parentheses; user and system time are fields 14 and 15.
    let rest = stat.rsplit_once(')').ok_or("unreadable /proc/self/stat")?.1;
    let fields: Vec<_> = rest.split_whitespace().collect();
    let field = |i: usize| fields.get(i).ok_or("short /proc/self/stat").map(|f| f.parse::<f64>());
    Ok((field(11)?? + field(12)??) / TICKS_PER_SECOND)
}

fn load_average() -> Result<String, Box<dyn Error>> {
    let text = std::fs::read_to_string("/proc/loadavg")?;
    Ok(format!("load average {}", text.split_whitespace().next().unwrap_or("?")))
}
