//! The HTTP server for callers: a gotham handler over the request path.

use crate::RequestHandler;
use eyre::Result;
use primroseroute_front::{IncomingRequest, Options, Server, handler_fn};
use std::{net::SocketAddr, sync::Arc};

/// The running HTTP server for callers.
#[derive(Debug)]
pub struct CallerServer {
    server: Server,
    handler: Arc<RequestHandler>,
}

impl CallerServer {
    /// Binds `address` and serves callers on it.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        options: Options,
        handler: Arc<RequestHandler>,
    ) -> Result<Self> {
        let service = handler_fn(
            Arc::clone(&handler),
            |handler, request: IncomingRequest| async move {
                let IncomingRequest {
                    method,
                    uri,
                    headers,
                    body,
                } = request;
                handler.serve(method, uri, headers, body).await
            },
        );
        Ok(Self {
            server: Server::bind(address, options, service).await?,
            handler,
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Continues to serve, but closes each connection after its next response.
    pub fn disable_keep_alive(&self) {
        self.server.disable_keep_alive();
    }

    /// Stops listening; waits for requests in flight and for claims to be settled.
    pub async fn stop(self) {
        self.server.stop().await;
        self.handler.drain().await;
    }

    /// Closes immediately, as a killed process would.
    pub fn abort(self) {
        self.server.abort();
        self.handler.abort();
    }
}
