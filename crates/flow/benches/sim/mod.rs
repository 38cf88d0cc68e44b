//! A small deterministic simulation: several entries' decisions over one set of fake workers.
//!
//! A fake worker runs 8 requests at once and queues what comes beyond that, which is the overrun
//! that is counted. An entry's requests take a millisecond each way; reports take five.

mod run;
mod score;
mod way;

pub use run::run;

use primroseroute_domain::{account::Class, id, instance::State};
use primroseroute_flow::view::{Member, View};
use std::{collections::BTreeMap, fmt::Debug, str::FromStr, time::Duration};

/// How entries share the workers' slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// The library's: slots are owned and lent.
    Lend,
    /// Slots are owned and never lent: reports are not delivered.
    Own,
    /// The least loaded worker by the peers' last reports.
    LeastLoad,
    /// Each worker belongs to one entry.
    Subset,
}

/// What one account's callers send.
#[derive(Clone, Debug)]
pub struct Account {
    pub name: &'static str,
    pub share: u32,
    /// Part of the whole load.
    pub part: f64,
    /// The one entry that its callers come to; none where they are spread as the case says.
    pub home: Option<usize>,
    pub class: Class,
}

/// One case to run.
#[derive(Clone, Debug)]
pub struct Case {
    pub way: Way,
    pub workers: usize,
    pub entries: usize,
    /// Offered load as a multiple of capacity.
    pub load: f64,
    /// Part of the callers that come to the first entry.
    pub hot: f64,
    pub accounts: Vec<Account>,
    /// The first worker takes ten times as long.
    pub slow: bool,
    /// The first worker fails everything at once from the start of the measurement on.
    pub failing: bool,
    /// Mean service time; service times are exponential.
    pub service: Duration,
    pub patience: Duration,
    pub report_every: Duration,
    pub warm_up: Duration,
    pub measured: Duration,
    pub seed: u64,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            way: Way::Lend,
            workers: 50,
            entries: 7,
            load: 1.2,
            hot: 1.0 / 7.0,
            accounts: even(),
            slow: false,
            failing: false,
            service: Duration::from_millis(50),
            patience: Duration::from_secs(1),
            report_every: Duration::from_millis(200),
            warm_up: Duration::from_secs(5),
            measured: Duration::from_secs(20),
            seed: 1,
        }
    }
}

/// Four accounts of equal load and unequal shares.
pub fn even() -> Vec<Account> {
    let account = |name, share| Account {
        name,
        share,
        part: 0.25,
        home: None,
        class: Class::Urgent,
    };
    vec![
        account("a", 4),
        account("b", 2),
        account("c", 1),
        account("d", 1),
    ]
}

/// One account that sends most of the load, and two small ones of the same share.
pub fn flood() -> Vec<Account> {
    let account = |name, part| Account {
        name,
        share: 1,
        part,
        home: None,
        class: Class::Urgent,
    };
    vec![account("flood", 0.6), account("b", 0.2), account("c", 0.2)]
}

/// Two accounts that each send half of the load, one of them through a single entry.
pub fn single() -> Vec<Account> {
    let mut accounts = flood();
    accounts.truncate(2);
    for account in &mut accounts {
        account.part = 0.5;
    }
    accounts[0].home = Some(0);
    accounts
}

/// What came of a case, over requests that arrived while it was measured.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Good answers in time over what capacity and load allow.
    pub goodput: f64,
    /// The least of the accounts' good answers over their fair part of the capacity.
    pub fairness: f64,
    /// The same over the fair part of what can be reached: a slot stands empty for a millisecond
    /// each way between two requests, since no entry can know sooner that it is free.
    pub reachable: f64,
    /// Reports that an entry makes in a second.
    pub reports: f64,
    /// Part of the requests that started when the worker already ran 8.
    pub overruns: f64,
    /// Wait for a slot, at entry and worker, at the 99th percentile.
    pub wait: Duration,
    /// Part of the requests that the failing worker got from 5 s after it began.
    pub drawn: f64,
    /// Most slots of one worker that all entries together thought theirs.
    pub most_rights: u32,
    /// Good answers by account.
    pub good: BTreeMap<&'static str, u64>,
    /// Refusals by code.
    pub refused: BTreeMap<u16, u64>,
}

pub fn name<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().expect("names of the simulation are valid")
}

fn worker(at: usize) -> id::Instance {
    name(&format!("w{at}"))
}

fn entry(at: usize) -> id::Entry {
    name(&format!("e{at}"))
}

/// The view that all entries share.
pub fn view(case: &Case) -> View {
    let member = |at: usize| Member {
        state: State::Serving,
        zone: name(&format!("zone-{}", at / 4 % 3)),
        rack: name(&format!("rack-{}", at / 4)),
    };
    let share = |account: &Account| (name(account.name), account.share);
    View {
        members: (0..case.workers)
            .map(|at| (worker(at), member(at)))
            .collect(),
        entries: (0..case.entries).map(entry).collect(),
        shares: case.accounts.iter().map(share).collect(),
    }
}
