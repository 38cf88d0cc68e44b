//! A gotham handler that calls an async function for each request.

use crate::Upload;
use gotham::{
    anyhow,
    handler::{Handler, HandlerFuture, NewHandler},
    helpers::http::Body,
    prelude::FromState,
    state::State,
};
use http::{HeaderMap, Method, Response, Uri};
use std::{panic::AssertUnwindSafe, pin::Pin, sync::Arc};

/// The components of a request.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Its method.
    pub method: Method,
    /// Its target.
    pub uri: Uri,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body, which may not have been received completely.
    pub body: Upload,
}

/// Creates a handler that responds to each request by calling `serve` with the shared state.
///
/// gotham catches panics of handlers and requires shared state to be unwind safe. The shared state must
/// hold its locks for single operations only, so that a panic elsewhere leaves nothing half written.
pub fn handler_fn<T, S, F>(shared: Arc<T>, serve: S) -> impl NewHandler + 'static
where
    T: Send + Sync + 'static,
    S: Fn(Arc<T>, IncomingRequest) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    SharedHandler(AssertUnwindSafe(Arc::new((shared, serve))))
}

struct SharedHandler<T>(AssertUnwindSafe<Arc<T>>);

impl<T, S, F> NewHandler for SharedHandler<(Arc<T>, S)>
where
    T: Send + Sync + 'static,
    S: Fn(Arc<T>, IncomingRequest) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    type Instance = RequestHandler<(Arc<T>, S)>;

    fn new_handler(&self) -> anyhow::Result<Self::Instance> {
        Ok(RequestHandler(Arc::clone(&self.0)))
    }
}

struct RequestHandler<T>(Arc<T>);

impl<T, S, F> Handler for RequestHandler<(Arc<T>, S)>
where
    T: Send + Sync + 'static,
    S: Fn(Arc<T>, IncomingRequest) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        let request = IncomingRequest {
            method: Method::take_from(&mut state),
            uri: Uri::take_from(&mut state),
            headers: HeaderMap::take_from(&mut state),
            body: Upload::take_from(&mut state),
        };
        Box::pin(async move {
            let (shared, serve) = &*self.0;
            let response = serve(Arc::clone(shared), request).await;
            Ok((state, response))
        })
    }
}
