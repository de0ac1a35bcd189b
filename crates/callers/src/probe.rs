//! Health, readiness and metrics endpoints for the platform.

use crate::api::State;
use crate::gateway::Readiness;
use salvo::http::{StatusCode, header};
use salvo::oapi::{ToSchema, endpoint};
use salvo::writing::{Json, Text};
use salvo::{Depot, Response};
use serde::{Deserialize, Serialize};

/// State of the entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
pub(crate) struct Status {
    /// `ok`, or why no requests are taken.
    pub(crate) status: String,
}

/// The process runs.
#[endpoint(
    tags("probes"),
    responses((status_code = 200, body = Status, description = "The process runs."))
)]
pub(crate) async fn health(res: &mut Response) {
    res.render(Json(Status { status: "ok".to_owned() }));
}

/// The entry takes requests.
#[endpoint(
    tags("probes"),
    responses(
        (status_code = 200, body = Status, description = "Requests are taken."),
        (status_code = 503, body = Status, description = "Send requests elsewhere.")
    )
)]
pub(crate) async fn ready(depot: &mut Depot, res: &mut Response) {
    let readiness = depot.get_typed::<State>().map_or_else(
        |_| Readiness::NotReady("not configured".to_owned()),
        |state| state.gateway.ready(),
    );
    match readiness {
        Readiness::Ready => res.render(Json(Status { status: "ok".to_owned() })),
        Readiness::NotReady(status) => {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            res.render(Json(Status { status }));
        }
    }
}

/// Metrics in the text format of Prometheus.
#[endpoint(
    tags("probes"),
    responses((status_code = 200, content_type = "text/plain", description = "All metrics."))
)]
pub(crate) async fn metrics(depot: &mut Depot, res: &mut Response) {
    let text = depot.get_typed::<State>().map_or_else(|_| String::new(), |s| s.gateway.metrics());
    res.render(Text::Plain(text));
    let format = header::HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
    res.headers_mut().insert(header::CONTENT_TYPE, format);
}
