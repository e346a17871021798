//! The admin listener: target announcements, health checks and metrics.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use crate::metrics::Metrics;
use crate::node::components::{ActiveConfig, Freshness};
use crate::node::in_flight::{DrainStage, InFlight};
use crate::node::local::{AnnounceResult, Announcement, LocalTargets};

/// Maximum size of an announcement.
const ANNOUNCEMENT_MAX_BYTES: usize = 16 * 1024;

/// The HTTP handler of the admin listener.
#[derive(Debug)]
pub struct Admin<F> {
    announce: bool,
    local: Arc<LocalTargets>,
    config: Arc<ActiveConfig>,
    freshness: Arc<F>,
    metrics: Metrics,
    in_flight: InFlight,
}

impl<F: Freshness> Admin<F> {
    /// Creates the handler; it accepts target announcements if `announce` is set.
    pub fn new(
        announce: bool,
        local: Arc<LocalTargets>,
        config: Arc<ActiveConfig>,
        freshness: Arc<F>,
        metrics: Metrics,
        in_flight: InFlight,
    ) -> Admin<F> {
        Admin {
            announce,
            local,
            config,
            freshness,
            metrics,
            in_flight,
        }
    }

    /// Serves one request.
    ///
    /// # Errors
    ///
    /// Never fails; each outcome is a response.
    pub async fn serve(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        Ok(match (method, path.as_str()) {
            (Method::POST, "/announce") if self.announce => {
                self.announce(request.into_body()).await
            }
            (Method::GET, "/live") => text(StatusCode::OK, "live\n"),
            (Method::GET, "/ready") => self.ready(),
            (Method::GET, "/metrics") => text(StatusCode::OK, self.metrics.render()),
            (_, "/announce" | "/live" | "/ready" | "/metrics") => {
                text(StatusCode::METHOD_NOT_ALLOWED, "method not allowed\n")
            }
            _ => text(StatusCode::NOT_FOUND, "not found\n"),
        })
    }

    fn ready(&self) -> Response<Full<Bytes>> {
        let unready = StatusCode::SERVICE_UNAVAILABLE;
        if self.in_flight.stage() != DrainStage::Serving {
            text(unready, "draining\n")
        } else if self.config.load().is_none() {
            text(unready, "starting\n")
        } else if !self.freshness.is_fresh() {
            text(unready, "stale-config\n")
        } else {
            text(StatusCode::OK, "ready\n")
        }
    }

    async fn announce(&self, body: Incoming) -> Response<Full<Bytes>> {
        let body = Limited::new(body, ANNOUNCEMENT_MAX_BYTES).collect().await;
        let Ok(body) = body else {
            return text(StatusCode::PAYLOAD_TOO_LARGE, "announcement is too large\n");
        };
        match parse(&body.to_bytes()) {
            Ok(announcement) => match self.apply(&announcement).await {
                AnnounceResult::Accepted => text(StatusCode::OK, "announced\n"),
                AnnounceResult::Stale => text(StatusCode::OK, "late, not taken over\n"),
                AnnounceResult::Full => text(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "too many targets on this VM\n",
                ),
                AnnounceResult::Unreplicated => text(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "too few other nodes hold the leave\n",
                ),
            },
            Err(message) => text(StatusCode::BAD_REQUEST, message),
        }
    }
}

impl<F> Admin<F> {
    async fn apply(&self, announcement: &Announcement) -> AnnounceResult {
        let result = self.local.announce_durably(announcement).await;
        if announcement.draining {
            self.metrics.count(&result.drain_counter());
        }
        result
    }
}

fn parse(body: &[u8]) -> Result<Announcement, String> {
    let announcement: Announcement =
        serde_json::from_slice(body).map_err(|e| format!("announcement: {e}\n"))?;
    let checked = announcement.check();
    checked.map_err(|e| format!("announcement: {e}\n"))?;
    Ok(announcement)
}

fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, plain);
    response
}
