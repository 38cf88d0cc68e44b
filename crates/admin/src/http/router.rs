//! Routes of the admin API.

use super::{Shared, job, read, reply, wave, write};
use gotham::{
    handler::HandlerFuture,
    helpers::http::Body,
    middleware::{Middleware, NewMiddleware, state::StateMiddleware},
    pipeline::{PipelineHandleChain, new_pipeline, single_pipeline},
    prelude::{DefineSingleRoute, DrawRoutes, FromState},
    router::{
        Router,
        builder::{RouterBuilder, build_router},
        response::StaticResponseExtender,
    },
    state::{State, StateData},
};
use http::{HeaderMap, Response, StatusCode, Uri};
use primroseroute_api::path;
use primroseroute_domain::outcome::{Code, Refusal};
use serde::{Deserialize, Serialize};
use std::{future::ready, panic::RefUnwindSafe, pin::Pin};

/// The parameter of a path such as `/v1/accounts/:name`.
#[derive(Debug, Deserialize, StateData)]
pub(super) struct NamePath {
    pub(super) name: String,
}

impl StaticResponseExtender for NamePath {
    type ResBody = Body;

    fn extend(_state: &mut State, response: &mut Response<Body>) {
        *response.status_mut() = StatusCode::NOT_FOUND;
    }
}

/// Query parameters of `/v1/audit`.
#[derive(Debug, Deserialize, StateData)]
pub(super) struct AuditFilter {
    pub(super) after: Option<u64>,
    pub(super) limit: Option<u32>,
    pub(super) actor: Option<String>,
    pub(super) key: Option<String>,
}

impl StaticResponseExtender for AuditFilter {
    type ResBody = Body;

    fn extend(_state: &mut State, response: &mut Response<Body>) {
        *response.status_mut() = StatusCode::BAD_REQUEST;
    }
}

/// Refuses paths with percent escapes.
///
/// gotham drops a path segment that is not valid UTF-8 once unescaped, so a request for one account
/// with such a name would return all accounts. No path of this API needs an escape, since names
/// consist of characters that need none.
#[derive(Clone, Copy, Debug, NewMiddleware)]
struct RejectEscapes;

impl Middleware for RejectEscapes {
    fn call<Chain>(self, state: State, chain: Chain) -> Pin<Box<HandlerFuture>>
    where
        Chain: FnOnce(State) -> Pin<Box<HandlerFuture>> + Send + 'static,
    {
        if !Uri::borrow_from(&state).path().contains('%') {
            return chain(state);
        }
        let refusal = Refusal::new(Code::MalformedRequest, "a path without escapes");
        let response = reply::json::<()>(Err(refusal));
        Box::pin(ready(Ok((state, response))))
    }
}

/// A read handler.
type ReadHandler<T> = fn(&Shared, &State) -> Result<T, Refusal>;

/// Runs `read` if the request carries an operator's token.
fn authorized_read<T: Serialize + 'static>(state: &State, read: ReadHandler<T>) -> Response<Body> {
    let shared = Shared::borrow_from(state);
    let headers = HeaderMap::borrow_from(state);
    reply::json(super::auth::operator(shared, headers).and_then(|_operator| read(shared, state)))
}

macro_rules! read_route {
    ($read:path) => {
        |state: State| {
            let response = authorized_read(&state, $read);
            (state, response)
        }
    };
}

fn add_job_routes<C, P>(route: &mut RouterBuilder<'_, C, P>)
where
    C: PipelineHandleChain<P> + Copy + Send + Sync + 'static,
    P: RefUnwindSafe + Send + Sync + 'static,
{
    route
        .get(path::JOBS)
        .with_query_string_extractor::<job::JobFilter>()
        .to(read_route!(job::jobs));
    route.post(path::JOBS).to_async(job::submit);
    route.post(path::CANCEL).to_async(job::cancel);
    route
        .get(&format!("{}/:name", path::JOBS))
        .with_path_extractor::<NamePath>()
        .to(read_route!(job::one));
    route
        .post(&format!("{}/:name/release", path::JOBS))
        .with_path_extractor::<NamePath>()
        .to_async(job::release);
}

pub(super) fn build(shared: Shared) -> Router {
    let middleware = new_pipeline()
        .add(RejectEscapes)
        .add(StateMiddleware::new(shared));
    let (chain, pipelines) = single_pipeline(middleware.build());
    build_router(chain, pipelines, |route| {
        route.get(path::HEALTHZ).to(read::healthz);
        route.get(path::READYZ).to(read::readyz);
        route.get(path::METRICS).to(read::metrics);
        route.get(path::STATUS).to_async(read::status);
        route.get(path::SERVICES).to(read_route!(read::services));
        route.get(path::POOLS).to(read_route!(read::pools));
        route.get(path::INSTANCES).to(read_route!(read::instances));
        route.get(path::ACCOUNTS).to(read_route!(read::accounts));
        route
            .get(&format!("{}/:name", path::ACCOUNTS))
            .with_path_extractor::<NamePath>()
            .to(read_route!(read::account));
        route
            .get(path::AUDIT)
            .with_query_string_extractor::<AuditFilter>()
            .to_async(read::audit);
        add_job_routes(route);
        route.post(path::DIFF).to_async(write::diff);
        route
            .put(&format!("{}/:name", path::ACCOUNTS))
            .with_path_extractor::<NamePath>()
            .to_async(write::apply);
        route
            .post(&format!("{}/:name/drain", path::INSTANCES))
            .with_path_extractor::<NamePath>()
            .to_async(write::drain);
        route
            .post(&format!("{}/:name/release", path::INSTANCES))
            .with_path_extractor::<NamePath>()
            .to_async(write::release);
        route
            .post(&format!("{}/:name/move", path::INSTANCES))
            .with_path_extractor::<NamePath>()
            .to_async(write::move_to);
        route.get(path::WAVES).to(read_route!(wave::list));
        route.post(path::WAVES).to_async(wave::start);
        route.post(path::WAVE_PLAN).to_async(wave::plan);
        route
            .post(&format!("{}/:name/pause", path::WAVES))
            .with_path_extractor::<NamePath>()
            .to_async(wave::pause);
        route
            .post(&format!("{}/:name/resume", path::WAVES))
            .with_path_extractor::<NamePath>()
            .to_async(wave::resume);
        route
            .post(&format!("{}/:name/abort", path::WAVES))
            .with_path_extractor::<NamePath>()
            .to_async(wave::abort);
        route
            .post(&format!("{}/:name/remove", path::ENTRIES))
            .with_path_extractor::<NamePath>()
            .to_async(write::remove);
    })
}

/// Parses the name in the path as an id.
pub(super) fn name_in_path<I>(state: &State) -> Result<I, Refusal>
where
    I: std::str::FromStr<Err = primroseroute_domain::id::Malformed>,
{
    let NamePath { name } = NamePath::borrow_from(state);
    name.parse()
        .map_err(|error: primroseroute_domain::id::Malformed| {
            Refusal::new(
                primroseroute_domain::outcome::Code::NotFound,
                error.to_string(),
            )
        })
}

/// The [`Shared`] components from a request's state.
pub(super) fn shared(state: &State) -> Shared {
    Shared::borrow_from(state).clone()
}
