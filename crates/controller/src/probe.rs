//! Health checks of workers.

use async_trait::async_trait;
use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::{fmt, net::SocketAddr, pin::pin, sync::Arc, time::Duration};
use tokio::{net::TcpStream, time::timeout};

/// Longest time of one check: a worker that needs longer for nothing is of no use to callers.
const LIMIT: Duration = Duration::from_secs(1);

/// Checks whether a worker can serve.
#[async_trait]
pub trait Probe: Send + Sync + fmt::Debug {
    /// Whether the worker at `address` is well.
    async fn is_well(&self, address: SocketAddr) -> bool;
}

/// Asks for a path over HTTP and wants a 2xx answer, whole and in time.
#[derive(Clone, Debug)]
pub struct HttpProbe {
    path: Arc<str>,
}

impl HttpProbe {
    /// A probe that asks for `path`, such as `/healthz`.
    pub fn open(path: impl Into<Arc<str>>) -> Self {
        Self { path: path.into() }
    }

    async fn ask(&self, address: SocketAddr) -> eyre::Result<StatusCode> {
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
        // The connection has no task of its own: it ends with the check, whatever happens. It may
        // end before the exchange has taken the answer that it brought, and that is no failure.
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
    async fn is_well(&self, address: SocketAddr) -> bool {
        match timeout(LIMIT, self.ask(address)).await {
            Ok(Ok(status)) => status.is_success(),
            Ok(Err(error)) => {
                log::debug!("check of {address} failed: {error}");
                false
            }
            Err(_elapsed) => false,
        }
    }
}
