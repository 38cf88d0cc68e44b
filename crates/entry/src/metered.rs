//! Metrics of the request path and of calls to the store.

use async_trait::async_trait;
use primroseroute_domain::{id, outcome::Code};
use primroseroute_platform::{
    error::Error,
    table::{Commit, Key, Page, Row, Scan, Table, Txn},
};
use primroseroute_route::{Finished, Observer};
use primroseroute_telemetry::{
    Meter,
    meter::{Request, StoreCall},
};
use std::sync::Arc;
use tokio::time::Instant;

/// Counts finished requests.
#[derive(Debug)]
pub(crate) struct MetricsObserver(pub(crate) Meter);

impl Observer for MetricsObserver {
    fn finished(&self, finished: &Finished) {
        self.0.request(Request {
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

/// A table that counts and times its calls.
#[derive(Debug)]
pub(crate) struct MeteredTable {
    table: Arc<dyn Table>,
    meter: Meter,
}

impl MeteredTable {
    pub(crate) fn wrap(table: Arc<dyn Table>, meter: Meter) -> Arc<dyn Table> {
        Arc::new(Self { table, meter })
    }

    fn record<T>(&self, call: StoreCall, started: Instant, result: &Result<T, Error>) {
        self.meter
            .store_call(call, result.as_ref().err(), started.elapsed());
    }
}

#[async_trait]
impl Table for MeteredTable {
    async fn read(&self, key: &Key) -> Result<Option<Row>, Error> {
        let started = Instant::now();
        let result = self.table.read(key).await;
        self.record(StoreCall::Read, started, &result);
        result
    }

    async fn scan(&self, scan: Scan) -> Result<Page, Error> {
        let started = Instant::now();
        let result = self.table.scan(scan).await;
        self.record(StoreCall::Scan, started, &result);
        result
    }

    async fn commit(&self, txn: Txn) -> Result<Commit, Error> {
        let started = Instant::now();
        let result = self.table.commit(txn).await;
        self.record(StoreCall::Commit, started, &result);
        result
    }
}
