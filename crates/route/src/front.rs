//! The callers' side of an entry: a gotham handler over the request path.

use crate::{Path, backend::Body};
use eyre::Result;
use gotham::{
    anyhow,
    handler::{Handler, HandlerFuture, NewHandler},
    prelude::FromState,
    state::State,
};
use http::{HeaderMap, Method, Uri};
use primroseroute_front::{Options, Server};
use std::{net::SocketAddr, panic::AssertUnwindSafe, pin::Pin, sync::Arc};

/// The running listener for callers.
#[derive(Debug)]
pub struct Front {
    server: Server,
    path: Arc<Path>,
}

/// gotham catches a handler's panic and wants to know that shared state survives it. Locks of the
/// path are held for single decisions, so a panic elsewhere leaves nothing half written.
struct Each(AssertUnwindSafe<Arc<Path>>);

impl NewHandler for Each {
    type Instance = One;

    fn new_handler(&self) -> anyhow::Result<One> {
        Ok(One(Arc::clone(&self.0)))
    }
}

struct One(Arc<Path>);

impl Handler for One {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        let method = Method::take_from(&mut state);
        let uri = Uri::take_from(&mut state);
        let headers = HeaderMap::take_from(&mut state);
        let body = Body::take_from(&mut state);
        Box::pin(async move {
            let response = self.0.serve(method, uri, headers, body).await;
            Ok((state, response))
        })
    }
}

impl Front {
    /// Binds `address` and serves callers on it.
    ///
    /// # Errors
    /// Where the address cannot be bound.
    pub async fn bind(address: SocketAddr, options: Options, path: Arc<Path>) -> Result<Self> {
        let handler = Each(AssertUnwindSafe(Arc::clone(&path)));
        Ok(Self {
            server: Server::bind(address, options, handler).await?,
            path,
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Goes on serving, and closes each connection after its next answer.
    pub fn retire(&self) {
        self.server.retire();
    }

    /// Stops listening and finishes every request in flight, and every claim.
    pub async fn stop(self) {
        self.server.stop().await;
        self.path.settle().await;
    }

    /// Closes at once, as a killed process would.
    pub fn abort(self) {
        self.server.abort();
        self.path.abort();
    }
}
