//! Time and memory of one control cycle's decisions at 50 to 5,000 workers, with 270 pools at
//! 1,200.
//!
//! `cargo bench -p primroseroute-fleet --bench fleet` prints one line per decision and size, the
//! peak resident memory after each size, and the wave rate that the budgets allow at 1,200 workers.

use criterion::{BenchmarkId, Criterion};
use primroseroute_domain::{
    account::{Budget, Survive},
    change::Seq,
    instance::{Row, State},
    time::Instant,
};
use primroseroute_fleet::{
    Fleet,
    lifecycle::{self, Input, Limits},
    placement::{self, Weights},
    wave,
};
use primroseroute_platform::fleet::{Listed, Phase};
use std::{collections::BTreeMap, fs, hint::black_box, net::SocketAddr, time::Duration};

/// Fleet sizes in workers.
const SIZES: [u32; 4] = [50, 300, 1_200, 5_000];

const WORKERS_PER_RACK: u32 = 4;

/// Number of availability zones.
const ZONES: u32 = 5;

fn pools(workers: u32) -> u32 {
    workers * 270 / 1_200
}

/// A fleet of spares and budgets for pools of 3 to 5 members, each with headroom for one. A tenth
/// of the workers stays spare.
fn arrivals(workers: u32) -> Fleet {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let row = |index: u32| Row {
        id: format!("i{index:05}").parse().expect("a name"),
        address,
        zone: format!("z{}", index / WORKERS_PER_RACK % ZONES)
            .parse()
            .expect("a name"),
        rack: format!("r{}", index / WORKERS_PER_RACK)
            .parse()
            .expect("a name"),
        pool: None,
        state: State::Probation,
        purpose: None,
        since: Instant(0),
        maintained: None,
    };
    let budget = |index: u32| Budget {
        promised: 1 + index % 3,
        max_absent: 1,
        survive: Survive::Rack,
    };
    Fleet {
        rows: (0..workers)
            .map(row)
            .map(|row| (row.id.clone(), row))
            .collect(),
        budgets: (0..pools(workers))
            .map(|index| {
                (
                    format!("p{index:04}").parse().expect("a name"),
                    budget(index),
                )
            })
            .collect(),
        ..Fleet::default()
    }
}

/// The fleet with all pools placed and serving.
fn placed(workers: u32) -> Fleet {
    let mut fleet = arrivals(workers);
    let plan = placement::plan(&fleet, Weights::default());
    assert!(plan.unmet.is_empty(), "{:?}", plan.score);
    for row in placement::start_moves(&fleet, &plan, Instant(0)) {
        let state = State::Serving;
        fleet.rows.insert(row.id.clone(), Row { state, ..row });
    }
    fleet
}

/// The fleet after the loss of one rack.
fn without_a_rack(workers: u32) -> Fleet {
    let mut fleet = placed(workers);
    for row in fleet.rows.values_mut().take(WORKERS_PER_RACK as usize) {
        row.state = State::Quarantined;
    }
    fleet
}

fn order() -> wave::Order {
    wave::Order {
        id: "w".parse().expect("a name"),
        scope: wave::Scope::default(),
        window: wave::Window::default(),
        limits: wave::Limits::default(),
    }
}

fn lifecycle_step(
    fleet: &Fleet,
    listed: &BTreeMap<primroseroute_domain::id::Instance, Listed>,
) -> usize {
    let empty = BTreeMap::new();
    let versions = fleet.rows.keys().map(|id| (id.clone(), Seq(1))).collect();
    let input = Input {
        rows: &fleet.rows,
        versions: &versions,
        listed,
        checks: &BTreeMap::new(),
        marks: &empty,
        entries: &[],
        limits: Limits::default(),
        now: Instant(1),
    };
    lifecycle::step(&input).len()
}

fn listed(fleet: &Fleet) -> BTreeMap<primroseroute_domain::id::Instance, Listed> {
    let line = |row: &Row| Listed {
        id: row.id.clone(),
        address: row.address,
        zone: row.zone.clone(),
        rack: row.rack.clone(),
        phase: Phase::Live,
        boots: 1,
    };
    fleet
        .rows
        .values()
        .map(|row| (row.id.clone(), line(row)))
        .collect()
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("fleet");
    group
        .sample_size(10)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    for workers in SIZES {
        let weights = Weights::default();
        let (first, steady, lost) = (arrivals(workers), placed(workers), without_a_rack(workers));
        let lines = listed(&steady);
        let wave = wave::Row::begin(order(), Instant(1));
        let mut grown = wave.clone();
        grown.order.limits.first = workers;
        group.bench_function(BenchmarkId::new("placement, first day", workers), |b| {
            b.iter(|| placement::plan(black_box(&first), weights));
        });
        group.bench_function(BenchmarkId::new("placement, at rest", workers), |b| {
            b.iter(|| placement::plan(black_box(&steady), weights));
        });
        group.bench_function(BenchmarkId::new("placement, rack lost", workers), |b| {
            b.iter(|| placement::plan(black_box(&lost), weights));
        });
        group.bench_function(BenchmarkId::new("wave step, full width", workers), |b| {
            b.iter(|| wave::step(black_box(&steady), &grown, Instant(1)));
        });
        group.bench_function(BenchmarkId::new("wave dry run", workers), |b| {
            b.iter(|| wave::plan(black_box(&steady), weights, &order(), &[], Instant(1)));
        });
        group.bench_function(BenchmarkId::new("lifecycle step", workers), |b| {
            b.iter(|| lifecycle_step(black_box(&steady), &lines));
        });
        println!(
            "peak resident memory of the process after {workers} workers: {}",
            peak()
        );
    }
    group.finish();
}

/// Peak resident memory of this process, an upper bound for that of the decisions.
fn peak() -> String {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmHWM"));
    line.unwrap_or("not known").to_owned()
}

/// Prints the wave rate that the budgets allow at 1,200 workers, and the rate needed to maintain
/// each once in four weeks.
fn rate() {
    let fleet = placed(1_200);
    let plan =
        wave::plan(&fleet, Weights::default(), &order(), &[], Instant(0)).expect("it can finish");
    let hours = plan.rollout_seconds as f64 / 3_600.0;
    let needed = 1_200.0 / (28.0 * 24.0);
    println!(
        "a wave over 1,200 workers: {} batches, {hours:.2} h, {:.0} instances an hour; once in 4 weeks needs {needed:.2}",
        plan.batches.len(),
        1_200.0 / hours,
    );
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    rate();
    decisions(&mut criterion);
    criterion.final_summary();
}
