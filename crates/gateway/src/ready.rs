//! The load balancer's check whether new connections should come to this entry.

use gotham::{
    anyhow,
    handler::{Handler, HandlerFuture, NewHandler},
    helpers::http::Body,
    state::State,
};
use http::{Response, StatusCode};
use primroseroute_front::problem;
use std::{panic::AssertUnwindSafe, pin::Pin, sync::Arc};

/// Says whether the entry is ready.
pub trait ReadinessCheck: Send + Sync {
    /// Whether it is.
    fn is_ready(&self) -> bool;
}

impl<F: Fn() -> bool + Send + Sync> ReadinessCheck for F {
    fn is_ready(&self) -> bool {
        self()
    }
}

/// The handler of the readiness address.
pub struct Readiness(AssertUnwindSafe<Arc<dyn ReadinessCheck>>);

impl std::fmt::Debug for Readiness {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Readiness").finish_non_exhaustive()
    }
}

impl Readiness {
    /// Answers what `check` says.
    pub fn new(check: Arc<dyn ReadinessCheck>) -> Self {
        Self(AssertUnwindSafe(check))
    }
}

impl NewHandler for Readiness {
    type Instance = Self;

    fn new_handler(&self) -> anyhow::Result<Self> {
        Ok(Self::new(Arc::clone(&self.0)))
    }
}

impl Handler for Readiness {
    fn handle(self, state: State) -> Pin<Box<HandlerFuture>> {
        let mut response: Response<Body> = Response::new(problem::full_body("{}"));
        let headers = response.headers_mut();
        let json = http::HeaderValue::from_static("application/json");
        headers.insert(http::header::CONTENT_TYPE, json);
        if !self.0.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        Box::pin(async move { Ok((state, response)) })
    }
}
