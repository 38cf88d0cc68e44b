//! The request path's ends, counted.

use primroseroute_route::{Finished, Observer};
use primroseroute_telemetry::{Meter, meter::Request};

/// Counts every request that has ended.
#[derive(Debug)]
pub(crate) struct Metered(pub(crate) Meter);

impl Observer for Metered {
    fn finished(&self, finished: &Finished) {
        self.0.request(Request {
            account: finished.account.as_ref(),
            service: finished.service.as_ref(),
            code: finished.code,
            verdict: finished.verdict,
            took: finished.latency,
        });
    }
}
