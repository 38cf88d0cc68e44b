//! A minimal load balancer in place of the platform's: sends callers to entries that report ready.
//!
//! Between the death of an entry and the next readiness check, callers still get its address and their
//! connections are refused. Nothing was sent in that case, so a caller tries another entry.

use http::{Method, StatusCode};
use parking_lot::Mutex;
use primroseroute_api::path;
use primroseroute_domain::id;
use primroseroute_testbed::Caller;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::sleep;

/// Interval between readiness checks: half of the grace period that a stopping entry gives its balancer.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// An entry behind the balancer.
#[derive(Clone, Copy, Debug)]
struct Target {
    callers: SocketAddr,
    admin: SocketAddr,
    ready: bool,
}

#[derive(Debug, Default)]
struct State {
    targets: BTreeMap<id::Entry, Target>,
    next: usize,
}

/// The load balancer; clones share their state.
#[derive(Clone, Debug, Default)]
pub(crate) struct Balancer(Arc<Mutex<State>>);

impl Balancer {
    /// Adds an entry, which gets callers once a check finds it ready.
    pub(crate) fn add(&self, entry: id::Entry, callers: SocketAddr, admin: SocketAddr) {
        let target = Target {
            callers,
            admin,
            ready: false,
        };
        self.0.lock().targets.insert(entry, target);
    }

    /// Picks a ready entry other than `last`, round robin; `last` itself if no other entry is ready.
    pub(crate) fn pick(&self, last: Option<SocketAddr>) -> Option<SocketAddr> {
        let mut state = self.0.lock();
        state.next = state.next.wrapping_add(1);
        let ready = || state.targets.values().filter(|target| target.ready);
        let others: Vec<SocketAddr> = ready()
            .map(|target| target.callers)
            .filter(|callers| Some(*callers) != last)
            .collect();
        if others.is_empty() {
            return ready().map(|target| target.callers).next();
        }
        Some(others[state.next % others.len()])
    }

    /// Whether there are entries and all of them are ready.
    pub(crate) fn all_ready(&self) -> bool {
        let state = self.0.lock();
        !state.targets.is_empty() && state.targets.values().all(|target| target.ready)
    }

    /// Checks every entry periodically until the task is aborted.
    pub(crate) async fn run(self) {
        let checker = Caller::open("");
        loop {
            let targets = self.0.lock().targets.clone();
            let mut checks = tokio::task::JoinSet::new();
            for (entry, target) in targets {
                checks.spawn(check(checker.clone(), entry, target));
            }
            while let Some(done) = checks.join_next().await {
                if let Ok(CheckResult { entry, ready }) = done {
                    self.set_ready(&entry, ready);
                }
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    fn set_ready(&self, entry: &id::Entry, ready: bool) {
        if let Some(target) = self.0.lock().targets.get_mut(entry) {
            target.ready = ready;
        }
    }
}

struct CheckResult {
    entry: id::Entry,
    ready: bool,
}

async fn check(checker: Caller, entry: id::Entry, target: Target) -> CheckResult {
    let answer = checker
        .send(
            target.admin,
            Method::GET,
            path::READYZ,
            &[],
            "",
            CHECK_TIMEOUT,
        )
        .await;
    CheckResult {
        entry,
        ready: answer.status == Some(StatusCode::OK),
    }
}
