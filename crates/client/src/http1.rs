//! A single HTTP/1 exchange with a timeout.

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use std::time::Duration;
use tokio::time::timeout;

/// How an exchange failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Failure {
    /// No connection was established, so nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(String),
    /// The exchange failed or timed out after the request may have been sent.
    #[error("response lost: {0}")]
    Lost(String),
}

pub(crate) type Http = Client<HttpConnector, Full<Bytes>>;

pub(crate) fn new_client() -> Http {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    // A retry inside the library could send a request twice without the caller's knowledge.
    Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .build(connector)
}

pub(crate) async fn exchange(
    http: &Http,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<Response<Bytes>, Failure> {
    let response = async {
        let response = http.request(request).await.map_err(|error| {
            let text = format!("{error:?}");
            if error.is_connect() {
                Failure::Connect(text)
            } else {
                Failure::Lost(text)
            }
        })?;
        let (parts, body) = response.into_parts();
        let bytes = body
            .collect()
            .await
            .map_err(|error| Failure::Lost(error.to_string()))?;
        Ok(Response::from_parts(parts, bytes.to_bytes()))
    };
    timeout(limit, response)
        .await
        .unwrap_or_else(|elapsed| Err(Failure::Lost(elapsed.to_string())))
}
