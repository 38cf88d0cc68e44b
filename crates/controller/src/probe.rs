//! Health checks of workers.

use async_trait::async_trait;
use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::{fmt, net::SocketAddr, pin::pin, sync::Arc, time::Duration};
use tokio::{net::TcpStream, time::timeout};

/// Timeout of one check: a worker that is slower without any work is of no use to callers.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Checks whether a worker can serve.
#[async_trait]
pub trait Probe: Send + Sync + fmt::Debug {
    /// Whether the worker at `address` is healthy.
    async fn is_healthy(&self, address: SocketAddr) -> bool;
}

/// Requests a path over HTTP and expects a complete 2xx response within the timeout.
#[derive(Clone, Debug)]
pub struct HttpProbe {
    path: Arc<str>,
}

impl HttpProbe {
    /// A probe that requests `path`, such as `/healthz`.
    pub fn new(path: impl Into<Arc<str>>) -> Self {
        Self { path: path.into() }
    }

    async fn request_path(&self, address: SocketAddr) -> eyre::Result<StatusCode> {
        let socket = TcpStream::connect(address).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(socket)).await?;
        let request = Request::builder()
            .uri(self.path.as_ref())
            .header(header::HOST, address.to_string())
            .header(header::CONNECTION, "close")
            .body(Empty::<Bytes>::new())?;
        let exchange = async {
            let response = sender.send_request(request).await?;
            let status = response.status();
            response.into_body().collect().await?;
            eyre::Ok(status)
        };
        let mut exchange = pin!(exchange);
        // The connection is polled here instead of in its own task, so it always ends with the
        // check. It may complete before the exchange has read the response, which is not a failure.
        tokio::select! {
            status = &mut exchange => status,
            ended = connection => {
                ended?;
                exchange.await
            }
        }
    }
}

#[async_trait]
impl Probe for HttpProbe {
    async fn is_healthy(&self, address: SocketAddr) -> bool {
        match timeout(CHECK_TIMEOUT, self.request_path(address)).await {
            Ok(Ok(status)) => status.is_success(),
            Ok(Err(error)) => {
                log::debug!("health check of {address} failed: {error}");
                false
            }
            Err(_elapsed) => false,
        }
    }
}
