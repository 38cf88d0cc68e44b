//! Gotham handler that serves the metrics.

use gotham::{
    anyhow,
    handler::{Handler, HandlerFuture, NewHandler},
    helpers::http::Body,
    state::State,
};
use http::{HeaderValue, Response, StatusCode, header::CONTENT_TYPE};
use primroseroute_front::{connections::Registry, problem};
use primroseroute_telemetry::site::Meter;
use std::{panic::AssertUnwindSafe, pin::Pin};

/// Media type of the Prometheus text format.
const MEDIA_TYPE: &str = "text/plain; version=0.0.4";

/// Responds to every request with the metrics.
pub(crate) struct MetricsHandler(AssertUnwindSafe<(Meter, Registry)>);

impl MetricsHandler {
    pub(crate) fn new(meter: Meter, connections: Registry) -> Self {
        Self(AssertUnwindSafe((meter, connections)))
    }
}

impl NewHandler for MetricsHandler {
    type Instance = Self;

    fn new_handler(&self) -> anyhow::Result<Self> {
        let (meter, connections) = &*self.0;
        Ok(Self::new(meter.clone(), connections.clone()))
    }
}

impl Handler for MetricsHandler {
    fn handle(self, state: State) -> Pin<Box<HandlerFuture>> {
        let (meter, connections) = &*self.0;
        let usage = connections.usage();
        meter.connections_open(usage.connections as u64);
        meter.connections_held(usage.bytes as u64, usage.limit as u64);
        let (status, text) = match meter.render() {
            Ok(text) => (StatusCode::OK, text),
            Err(error) => {
                log::error!(error:% = error; "failed to render metrics");
                (StatusCode::INTERNAL_SERVER_ERROR, error.to_string())
            }
        };
        let mut response: Response<Body> = Response::new(problem::full_body(text));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(MEDIA_TYPE));
        Box::pin(async move { Ok((state, response)) })
    }
}
