//! A small stand-in for the platform's balancer: it sends callers to entries that say they are ready.
//!
//! Between the death of an entry and the next check, callers still get its address and are refused
//! the connection. Nothing was sent then, so a caller asks for another entry and goes on.

use http::{Method, StatusCode};
use parking_lot::Mutex;
use primroseroute_api::path;
use primroseroute_domain::id;
use primroseroute_testbed::Caller;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::sleep;

/// Between two checks of one entry: half of the grace that a stopping entry gives its balancer.
const CHECK: Duration = Duration::from_millis(100);

/// Longest wait for the answer to a check.
const CHECK_LIMIT: Duration = Duration::from_millis(300);

/// One entry behind the balancer.
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

/// The balancer; clones are the same one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Balancer(Arc<Mutex<State>>);

impl Balancer {
    /// Puts an entry behind the balancer; it gets callers once a check finds it ready.
    pub(crate) fn add(&self, entry: id::Entry, callers: SocketAddr, admin: SocketAddr) {
        let target = Target {
            callers,
            admin,
            ready: false,
        };
        self.0.lock().targets.insert(entry, target);
    }

    /// Another ready entry than `last`, in turn; `last` itself where there is no other.
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

    /// Whether every entry is ready.
    pub(crate) fn all_ready(&self) -> bool {
        let state = self.0.lock();
        !state.targets.is_empty() && state.targets.values().all(|target| target.ready)
    }

    /// Checks every entry again and again, until it is aborted.
    pub(crate) async fn run(self) {
        let checker = Caller::open("");
        loop {
            let targets = self.0.lock().targets.clone();
            let mut checks = tokio::task::JoinSet::new();
            for (entry, target) in targets {
                checks.spawn(check(checker.clone(), entry, target));
            }
            while let Some(done) = checks.join_next().await {
                if let Ok(Checked { entry, ready }) = done {
                    self.note(&entry, ready);
                }
            }
            sleep(CHECK).await;
        }
    }

    fn note(&self, entry: &id::Entry, ready: bool) {
        if let Some(target) = self.0.lock().targets.get_mut(entry) {
            target.ready = ready;
        }
    }
}

struct Checked {
    entry: id::Entry,
    ready: bool,
}

async fn check(checker: Caller, entry: id::Entry, target: Target) -> Checked {
    let answer = checker
        .send(
            target.admin,
            Method::GET,
            path::READYZ,
            &[],
            "",
            CHECK_LIMIT,
        )
        .await;
    Checked {
        entry,
        ready: answer.status == Some(StatusCode::OK),
    }
}
