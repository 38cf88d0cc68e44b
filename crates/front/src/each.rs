//! A gotham handler over something that answers whole requests.

use gotham::{
    anyhow,
    handler::{Handler, HandlerFuture, NewHandler},
    helpers::http::Body,
    prelude::FromState,
    state::State,
};
use http::{HeaderMap, Method, Response, Uri};
use std::{panic::AssertUnwindSafe, pin::Pin, sync::Arc};

/// A request, taken apart.
#[derive(Debug)]
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Its target.
    pub uri: Uri,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body, which may still be on its way.
    pub body: Body,
}

/// Answers each request by a call of `serve` on what all of them share.
///
/// gotham catches a handler's panic and wants to know that shared state survives it. What is shared must
/// hold its locks for single decisions only, so that a panic elsewhere leaves nothing half written.
pub fn each<T, S, A>(shared: Arc<T>, serve: S) -> impl NewHandler + 'static
where
    T: Send + Sync + 'static,
    S: Fn(Arc<T>, Call) -> A + Send + Sync + 'static,
    A: Future<Output = Response<Body>> + Send + 'static,
{
    Each(AssertUnwindSafe(Arc::new((shared, serve))))
}

struct Each<T>(AssertUnwindSafe<Arc<T>>);

impl<T, S, A> NewHandler for Each<(Arc<T>, S)>
where
    T: Send + Sync + 'static,
    S: Fn(Arc<T>, Call) -> A + Send + Sync + 'static,
    A: Future<Output = Response<Body>> + Send + 'static,
{
    type Instance = One<(Arc<T>, S)>;

    fn new_handler(&self) -> anyhow::Result<Self::Instance> {
        Ok(One(Arc::clone(&self.0)))
    }
}

struct One<T>(Arc<T>);

impl<T, S, A> Handler for One<(Arc<T>, S)>
where
    T: Send + Sync + 'static,
    S: Fn(Arc<T>, Call) -> A + Send + Sync + 'static,
    A: Future<Output = Response<Body>> + Send + 'static,
{
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        let call = Call {
            method: Method::take_from(&mut state),
            uri: Uri::take_from(&mut state),
            headers: HeaderMap::take_from(&mut state),
            body: Body::take_from(&mut state),
        };
        Box::pin(async move {
            let (shared, serve) = &*self.0;
            let response = serve(Arc::clone(shared), call).await;
            Ok((state, response))
        })
    }
}
