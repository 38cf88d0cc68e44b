//! A small deterministic simulation of several entries that share one set of simulated workers.
//!
//! A simulated worker runs 8 requests at once and queues further ones, which are counted as overruns. The
//! network latency between an entry and a worker is 1 ms each way; reports take 5 ms.

mod run;
mod score;
mod strategy;

pub use run::run;

use primroseroute_domain::{account::Class, id, instance::State};
use primroseroute_flow::view::{Member, View};
use std::{collections::BTreeMap, fmt::Debug, str::FromStr, time::Duration};

/// How entries share the workers' slots. Variant names are printed in the tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// The library's strategy: slots are owned and lent.
    Lend,
    /// Slots are owned and never lent: reports aren't delivered.
    Own,
    /// The worker with the lowest load according to the peers' last reports.
    LeastLoad,
    /// Each worker is used by a single entry.
    Subset,
}

/// The load of one account's callers.
#[derive(Clone, Debug)]
pub struct Account {
    pub name: &'static str,
    pub share: u32,
    /// Fraction of the total load.
    pub load_fraction: f64,
    /// The entry that all of its callers use; `None` if they are spread as the scenario defines.
    pub fixed_entry: Option<usize>,
    pub class: Class,
}

/// A scenario to simulate.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub strategy: Strategy,
    pub workers: usize,
    pub entries: usize,
    /// Offered load as a multiple of capacity.
    pub load: f64,
    /// Fraction of the callers at the first entry.
    pub hot: f64,
    pub accounts: Vec<Account>,
    /// The first worker is ten times slower.
    pub slow: bool,
    /// The first worker immediately fails every request from the start of the measurement on.
    pub failing: bool,
    /// Mean of the exponentially distributed service time.
    pub service: Duration,
    pub request_timeout: Duration,
    pub report_interval: Duration,
    pub warm_up: Duration,
    pub measured: Duration,
    pub seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            strategy: Strategy::Lend,
            workers: 50,
            entries: 7,
            load: 1.2,
            hot: 1.0 / 7.0,
            accounts: even(),
            slow: false,
            failing: false,
            service: Duration::from_millis(50),
            request_timeout: Duration::from_secs(1),
            report_interval: Duration::from_millis(200),
            warm_up: Duration::from_secs(5),
            measured: Duration::from_secs(20),
            seed: 1,
        }
    }
}

/// Four accounts with equal load and unequal shares.
pub fn even() -> Vec<Account> {
    let account = |name, share| Account {
        name,
        share,
        load_fraction: 0.25,
        fixed_entry: None,
        class: Class::Urgent,
    };
    vec![
        account("a", 4),
        account("b", 2),
        account("c", 1),
        account("d", 1),
    ]
}

/// One account that sends most of the load, and two with less load and the same share.
pub fn flood() -> Vec<Account> {
    let account = |name, load_fraction| Account {
        name,
        share: 1,
        load_fraction,
        fixed_entry: None,
        class: Class::Urgent,
    };
    vec![account("flood", 0.6), account("b", 0.2), account("c", 0.2)]
}

/// Two accounts that each send half of the load, one of them through a single entry.
pub fn single() -> Vec<Account> {
    let mut accounts = flood();
    accounts.truncate(2);
    for account in &mut accounts {
        account.load_fraction = 0.5;
    }
    accounts[0].fixed_entry = Some(0);
    accounts
}

/// Results of a scenario, over the requests that arrived in the measurement period.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Successful responses in time, relative to the maximum that capacity and load allow.
    pub goodput: f64,
    /// The minimum over the accounts of successful responses relative to the fair allocation of the capacity.
    pub fairness: f64,
    /// The same relative to the fair allocation of the reachable capacity: between two requests a slot is
    /// idle for a millisecond each way, since no entry can know earlier that it is free.
    pub reachable: f64,
    /// Reports per second and entry.
    pub reports: f64,
    /// Fraction of the requests that reached a worker that already ran 8.
    pub overruns: f64,
    /// 99th percentile of the wait for a slot, at entry and worker.
    pub wait: Duration,
    /// Fraction of the requests that reached the first worker, from 5 s after the measurement starts.
    pub failing_worker_share: f64,
    /// Maximum over the workers of the sum of all entries' quotas.
    pub max_quota_sum: u32,
    /// Successful responses by account.
    pub successes: BTreeMap<&'static str, u64>,
    /// Rejected requests by result code.
    pub rejections: BTreeMap<u16, u64>,
}

pub fn name<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().expect("simulation names are valid")
}

fn worker(at: usize) -> id::Instance {
    name(&format!("w{at}"))
}

fn entry(at: usize) -> id::Entry {
    name(&format!("e{at}"))
}

/// The view of all entries.
pub fn view(scenario: &Scenario) -> View {
    let member = |at: usize| Member {
        state: State::Serving,
        zone: name(&format!("zone-{}", at / 4 % 3)),
        rack: name(&format!("rack-{}", at / 4)),
    };
    let share = |account: &Account| (name(account.name), account.share);
    View {
        members: (0..scenario.workers)
            .map(|at| (worker(at), member(at)))
            .collect(),
        entries: (0..scenario.entries).map(entry).collect(),
        shares: scenario.accounts.iter().map(share).collect(),
    }
}
