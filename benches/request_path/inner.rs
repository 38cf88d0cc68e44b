//! CPU cost of the request path without sockets: sequential requests on one thread.

use crate::{
    fixture::{OWNER, owner_template},
    results::Measurement,
};
use async_trait::async_trait;
use eyre::Result;
use http::{HeaderMap, HeaderValue, Method, Request, Response, Uri, header};
use primroseroute_claims::{Claims, Options as ClaimOptions};
use primroseroute_domain::{
    account::Template,
    change::Seq,
    id,
    instance::{Row, State},
    outcome::Code,
    time,
};
use primroseroute_flow::limits::Limits;
use primroseroute_ledger::{Versioned, key};
use primroseroute_route::{
    Components, Dispatchers, Finished, Observer, Options, RequestHandler,
    backend::{Backend, Body, Failure},
    problem,
};
use primroseroute_telemetry::{Meter, meter};
use primroseroute_testbed::{caller_token, platform::Platform, template};
use primroseroute_view::{Snapshot, SnapshotCell};
use serde::Serialize;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Number of requests per batch.
const BATCH_SIZE: u32 = 2000;

/// Number of batches; the fastest one counts, since other load on the machine only slows batches down.
const BATCHES: usize = 50;

/// Number of workers in the pool.
const WORKERS: u16 = 50;

/// Number of additional accounts on the larger site; the token of each request is compared with theirs.
const GUESTS: u32 = 300;

/// A backend server that responds immediately.
#[derive(Debug)]
struct ImmediateBackend;

#[async_trait]
impl Backend for ImmediateBackend {
    async fn send(
        &self,
        _: SocketAddr,
        _: Request<Body>,
        _: Instant,
    ) -> Result<Response<Body>, Failure> {
        let mut response = Response::new(problem::full_body("beds"));
        let length = HeaderValue::from_static("4");
        response
            .headers_mut()
            .insert(header::CONTENT_LENGTH, length);
        Ok(response)
    }

    fn sweep(&self) {}
}

/// Records the same metrics as a complete entry.
#[derive(Debug)]
struct Metered(Meter);

impl Observer for Metered {
    fn finished(&self, finished: &Finished) {
        self.0.request(meter::Request {
            account: finished.account.as_ref(),
            service: finished.service.as_ref(),
            code: finished.code,
            verdict: finished.verdict,
            duration: finished.latency,
        });
    }

    fn retried(&self, service: &id::Service, code: Code) {
        self.0.retry(service, code);
    }
}

fn stored_row<T: Serialize>(key: Arc<str>, value: T) -> Result<(Arc<str>, Arc<str>)> {
    let row = Versioned {
        version: Seq(1),
        value,
    };
    Ok((key, serde_json::to_string(&row)?.into()))
}

fn snapshot(guests: u32) -> Result<Snapshot> {
    let account = OWNER.parse()?;
    let mut own_template = owner_template(1, WORKERS.into());
    own_template.pools[0].services[0].callers.clear();
    let mut rows = vec![stored_row(key::account(&account), own_template)?];
    for number in 0..guests {
        let name = format!("guest-{number}");
        let guest = Template {
            pools: Vec::new(),
            ..template(&name, 1, 1)
        };
        rows.push(stored_row(key::account(&name.parse()?), guest)?);
    }
    for number in 0..WORKERS {
        let id: id::Instance = format!("stay-{number}").parse()?;
        let row = Row {
            address: SocketAddr::from(([127, 0, 0, 1], 1024 + number)),
            zone: "zone-0".parse()?,
            rack: "rack-0".parse()?,
            pool: Some(OWNER.parse()?),
            state: State::Serving,
            purpose: None,
            since: time::Instant(0),
            maintained: None,
            id,
        };
        rows.push(stored_row(key::instance(&row.id), &row)?);
    }
    Ok(Snapshot::from_rows(Seq(1), rows)?)
}

fn handler(guests: u32) -> Result<RequestHandler> {
    let cell = Arc::new(SnapshotCell::default());
    cell.publish_if_newer(snapshot(guests)?);
    let entry: id::Entry = "entry-0".parse()?;
    let dispatchers = Dispatchers::new(entry.clone(), 1, Limits::default(), 1);
    dispatchers.apply_view(&cell.current(), &[entry].into());
    let platform = Platform::open(1, primroseroute_testbed::platform::Options::default());
    Ok(RequestHandler::new(Components {
        cell,
        dispatchers: Arc::new(dispatchers),
        backend: Arc::new(ImmediateBackend),
        claims: Claims::spawn(
            Arc::new(platform),
            Arc::new(time::SystemClock),
            ClaimOptions::default(),
            [7; 32],
        ),
        observer: Arc::new(Metered(Meter::open()?)),
        options: Options::default(),
    }))
}

fn headers() -> Result<HeaderMap> {
    let mut headers = HeaderMap::new();
    let token = format!("Bearer {}", caller_token(OWNER));
    headers.insert(header::AUTHORIZATION, token.parse()?);
    headers.insert(header::HOST, "127.0.0.1:8080".parse()?);
    headers.insert("request-timeout-ms", "1000".parse()?);
    headers.insert("x-request-id", "3f2c9f60-9a8e-4a55".parse()?);
    Ok(headers)
}

/// Measures the request path with one account and with many.
pub async fn measure(_seed: u64) -> Result<Vec<Measurement>> {
    let name = "path's own work for a read";
    let (one, many) = (fastest_batch(0).await?, fastest_batch(GUESTS).await?);
    Ok(vec![
        Measurement::new(name, "us", one),
        Measurement::new(format!("{name}, 300 more accounts"), "us", many),
    ])
}

/// Microseconds per request in the fastest batch.
async fn fastest_batch(guests: u32) -> Result<f64> {
    let handler = Arc::new(handler(guests)?);
    let headers = headers()?;
    let uri = Uri::from_static("/stay/beds");
    let mut fastest = Duration::MAX;
    for _ in 0..BATCHES {
        let started = Instant::now();
        for _ in 0..BATCH_SIZE {
            let (headers, uri) = (headers.clone(), uri.clone());
            let response = handler
                .serve(Method::GET, uri, headers, problem::full_body(""))
                .await;
            assert!(response.status().is_success(), "{:?}", response.headers());
        }
        fastest = fastest.min(started.elapsed() / BATCH_SIZE);
    }
    Ok(fastest.as_secs_f64() * 1e6)
}
