//! Traffic that reports cause on a node, in bytes and messages, at several sizes.
//!
//! One node exchanges reports with all of its peers, round by round, on links whose own timers are
//! set to an hour. A round represents one exchange interval; every load changes in every round, which
//! is the worst case. Counts do not depend on any clock.

use crate::{
    cases,
    fake::{Entry, identity, instance},
    node::{Node, settings, wait_until},
};
use primroseroute_domain::change::Seq;
use primroseroute_peer::{
    Link as _,
    report::{Drain, Load, Report},
    schedule::{self, EXCHANGE_BYTES, ExchangeSchedule, MAX_BYTES_PER_SECOND},
};
use std::time::Duration;

/// Number of measured rounds.
const MEASURED_ROUNDS: u16 = 10;

/// Rounds after which every instance has been named, at every size tested here.
const NAMING_ROUNDS: u16 = 130;

/// Rounds after which every pending change has been sent, at every size tested here.
const SETTLING_ROUNDS: u16 = 30;

/// Required limit of one node's control traffic in bytes per second, which also covers pushes, pulls
/// and the store.
const REQUIRED_BYTES_PER_SECOND: u64 = 14_000;

/// Bytes that one node sends and receives per second, without TCP and IP headers.
#[derive(Debug)]
struct Cost {
    /// While the instances are named for the first time.
    naming: u64,
    /// While every load changes in every round.
    busy: u64,
    /// While nothing changes.
    idle: u64,
}

/// A group of nodes; the first has the lowest name and connects to all others.
struct Bench {
    nodes: Vec<Node>,
    schedule: ExchangeSchedule,
}

impl Bench {
    async fn open(entries: usize) -> Self {
        let schedule = schedule::for_peers(entries - 1);
        let mut nodes = Vec::new();
        for index in (0..entries).rev() {
            let identity = identity(&format!("entry-{index:02}"), 1);
            let peers: Vec<_> = nodes
                .iter()
                .map(|node: &Node| node.link.address())
                .collect();
            let known: &[_] = if index == 0 { &peers } else { &[] };
            let mut slow = settings(identity.clone(), known);
            slow.limits.unresponsive_after = Duration::from_secs(7200);
            slow.limits.schedule = Some(ExchangeSchedule {
                interval: Duration::from_secs(3600),
                ..schedule
            });
            nodes.push(Node::bind(Entry::open(identity), slow));
        }
        nodes.reverse();
        nodes[0].wait_for_reports(entries - 1).await;
        Self { nodes, schedule }
    }

    /// Sets reports with a load on each instance that differs from the previous round, and three drains.
    fn load(&self, instances: usize, round: u16) {
        for node in &self.nodes {
            let mut report = Report::new(node.entry.identity.clone());
            for index in 0..instances {
                let load = Load {
                    in_flight: 1 + round % 2,
                    demand: 1 + round,
                };
                report.loads.insert(instance(index), load);
            }
            for index in 0..3.min(instances) {
                let drain = Drain {
                    seq: Seq(1 + u64::from(round)),
                    in_flight: 1,
                };
                report.drains.insert(instance(index), drain);
            }
            node.entry.state.lock().report = Some(report);
        }
    }

    async fn round(&self) {
        let peers = u64::try_from(self.nodes.len() - 1).unwrap();
        let before = self.nodes[0].link.traffic().exchanges;
        self.nodes[0].link.exchange_now();
        wait_until(|| self.nodes[0].link.traffic().exchanges == before + peers).await;
    }

    /// Measures the bytes per second over several rounds.
    async fn rate(&self, rounds: u16, before_round: impl Fn(u16)) -> u64 {
        let bytes = || {
            let traffic = self.nodes[0].link.traffic();
            traffic.sent + traffic.received
        };
        let before = bytes();
        for round in 0..rounds {
            before_round(round);
            self.round().await;
        }
        (bytes() - before) / u64::from(rounds) / self.schedule.interval.as_secs()
    }
}

async fn measure(entries: usize, instances: usize) -> Cost {
    let bench = Bench::open(entries).await;
    let naming = bench
        .rate(MEASURED_ROUNDS, |round| bench.load(instances, round))
        .await;
    for round in 0..NAMING_ROUNDS {
        bench.load(instances, round);
        bench.round().await;
    }
    let busy = bench
        .rate(MEASURED_ROUNDS, |round| bench.load(instances, 1000 + round))
        .await;
    for _ in 0..SETTLING_ROUNDS {
        bench.round().await;
    }
    let idle = bench.rate(MEASURED_ROUNDS, |_| {}).await;
    Cost { naming, busy, idle }
}

/// 28 entries and 1,200 instances, with every load changing in every round, must stay within the
/// required budget, and so must every smaller size.
async fn within_budget(entries: usize, instances: usize) {
    let cost = measure(entries, instances).await;
    println!("{entries} entries, {instances} instances: {cost:?}");
    let budget = u64::try_from(MAX_BYTES_PER_SECOND).unwrap();
    assert!(budget < REQUIRED_BYTES_PER_SECOND);
    assert!(cost.naming <= budget, "{cost:?}");
    assert!(cost.busy <= budget, "{cost:?}");
    let peers = u64::try_from(entries - 1).unwrap();
    let empty = u64::try_from(EXCHANGE_BYTES).unwrap() * peers;
    let seconds = schedule::for_peers(entries - 1).interval.as_secs();
    assert!(cost.idle <= empty / seconds, "{cost:?}");
}

/// The schedule alone, for every number of peers up to far more than planned.
fn schedule_is_capped() {
    for peers in 1..=200 {
        let schedule = schedule::for_peers(peers);
        let exchange = EXCHANGE_BYTES + 2 * schedule.max_loads * schedule::LOAD_BYTES;
        let seconds = usize::try_from(schedule.interval.as_secs()).unwrap();
        assert!(
            peers * exchange <= MAX_BYTES_PER_SECOND * seconds,
            "{peers} peers"
        );
        assert!(schedule.max_loads > 8, "{peers} peers");
    }
    let seconds = [2, 6, 13, 27].map(|peers| schedule::for_peers(peers).interval.as_secs());
    assert_eq!(seconds, [1, 1, 2, 4]);
}

cases! {
    schedule_stays_within_budget_at_any_size => schedule_is_capped();
}

macro_rules! sizes {
    ($($name:ident => $entries:literal, $instances:literal;)+) => {
        $(#[tokio::test] async fn $name() { within_budget($entries, $instances).await; })+
    };
}

sizes! {
    reports_of_3_entries_and_50_instances => 3, 50;
    reports_of_7_entries_and_50_instances => 7, 50;
    reports_of_7_entries_and_1200_instances => 7, 1200;
    reports_of_14_entries_and_1200_instances => 14, 1200;
    reports_of_28_entries_and_1200_instances => 28, 1200;
}
