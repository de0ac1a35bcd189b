//! Client that polls the instance list.

use crate::list::{Instance, InstanceList};
use damaskweir_core::prelude::*;
use damaskweir_core::retry::Backoff;
use rand_core::Rng as _;
use serde::Deserialize;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::sleep;

/// Number of consecutive polls with a lower revision after which the list is taken to have restarted
/// its revisions. Fewer are attributed to a lagging replica and ignored.
const REGRESSIONS_MAX: u32 = 10;
/// Minimum delay after a failed poll.
const RETRY_DELAY_MIN: Span = Span::from_millis(500);
/// Maximum delay after a failed poll.
const RETRY_DELAY_MAX: Span = Span::from_secs(10);

/// Settings of an [`InstancesClient`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstancesSettings {
    /// URL of the platform without a path.
    pub url: String,
    /// Mean delay between polls. Together with the lag of the list, it determines how soon a leaving
    /// instance is detected.
    pub poll_interval: Duration,
    /// Timeout of one poll.
    pub timeout: Duration,
}

impl Default for InstancesSettings {
    fn default() -> Self {
        Self {
            url: "http://127.0.0.1:8500".to_owned(),
            poll_interval: Duration::from_secs(1),
            timeout: Duration::from_secs(1),
        }
    }
}

/// Error of an [`InstancesClient`].
#[derive(Debug, Error)]
pub enum InstancesError {
    /// The HTTP request failed or its response is not a valid list.
    #[error("request for the instance list failed: {0}")]
    Request(#[from] reqwest::Error),
}

/// Polls the instance list in a background task, which ends when the client is dropped.
#[derive(Debug)]
pub struct InstancesClient {
    lists: watch::Receiver<Arc<InstanceList>>,
    task: AbortHandle,
}

impl Drop for InstancesClient {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Body of the response to `GET /instances`.
#[derive(Deserialize)]
struct ListResponse {
    revision: u64,
    instances: Vec<Instance>,
}

impl InstancesClient {
    /// Starts polling on the current tokio runtime. `on_error` is called for each failed poll; the last
    /// list remains valid.
    pub fn spawn(
        settings: InstancesSettings,
        rng: Rng,
        on_error: impl Fn(&InstancesError) + Send + Sync + 'static,
    ) -> Result<Self, InstancesError> {
        let client = reqwest::Client::builder().timeout(settings.timeout).no_proxy().build()?;
        let (sender, lists) = watch::channel(Arc::new(InstanceList::default()));
        let task = tokio::spawn(poll_loop(client, settings, rng, on_error, sender)).abort_handle();
        Ok(Self { lists, task })
    }

    /// Returns a receiver of the latest list, which is empty until the first successful poll.
    pub fn subscribe(&self) -> watch::Receiver<Arc<InstanceList>> {
        self.lists.clone()
    }
}

async fn poll_loop(
    client: reqwest::Client,
    settings: InstancesSettings,
    mut rng: Rng,
    on_error: impl Fn(&InstancesError) + Send + Sync,
    lists: watch::Sender<Arc<InstanceList>>,
) {
    let url = format!("{}/instances", settings.url);
    let mut backoff = Backoff::new(RETRY_DELAY_MIN, RETRY_DELAY_MAX);
    let mut regressions = 0;
    loop {
        let delay = match fetch(&client, &url).await {
            Ok(list) => {
                backoff = Backoff::new(RETRY_DELAY_MIN, RETRY_DELAY_MAX);
                let current_revision = lists.borrow().revision;
                regressions = if list.revision < current_revision { regressions + 1 } else { 0 };
                if regressions == 0 || regressions >= REGRESSIONS_MAX {
                    regressions = 0;
                    lists.send_if_modified(|current| {
                        let changed = **current != list;
                        *current = Arc::new(list);
                        changed
                    });
                }
                jitter(&mut rng, settings.poll_interval)
            }
            Err(error) => {
                on_error(&error);
                backoff.next_delay(&mut rng).into()
            }
        };
        sleep(delay).await;
    }
}

async fn fetch(client: &reqwest::Client, url: &str) -> Result<InstanceList, InstancesError> {
    let response: ListResponse = client.get(url).send().await?.error_for_status()?.json().await?;
    let instances = response.instances.into_iter().map(|instance| (instance.id.clone(), instance));
    Ok(InstanceList { revision: response.revision, instances: instances.collect() })
}

/// Returns a uniformly distributed delay between 0.5 and 1.5 times the period, so that the polls of
/// several processes don't synchronize.
fn jitter(rng: &mut Rng, period: Duration) -> Duration {
    let period = u64::try_from(period.as_micros()).unwrap_or(u64::MAX / 2).max(1);
    Duration::from_micros(period / 2 + rng.next_u64() % period)
}
