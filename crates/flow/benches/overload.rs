//! Compares strategies for sharing the workers' slots between entries; prints one table per scenario.

mod sim;

use sim::{Scenario, Strategy, flood, run, single};

const LOADS: [f64; 4] = [0.5, 0.9, 1.2, 2.0];
const STRATEGIES: [Strategy; 4] = [
    Strategy::Lend,
    Strategy::Own,
    Strategy::LeastLoad,
    Strategy::Subset,
];

fn table(title: &str, scenario: &Scenario) {
    println!("\n{title}");
    println!(
        "| way | load | goodput | least fair part | of what can be reached | overruns | wait p99 | drawn by worker 0 | rights | reports/s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    let only = std::env::args().nth(1).filter(|arg| arg == "lend");
    let strategies = if only.is_some() {
        &STRATEGIES[..1]
    } else {
        &STRATEGIES[..]
    };
    for &strategy in strategies {
        for load in LOADS {
            let outcome = run(&Scenario {
                strategy,
                load,
                ..scenario.clone()
            });
            println!(
                "| {strategy:?} | {load} | {:.1}% | {:.1}% | {:.1}% | {:.2}% | {} ms | {:.2}% | {} | {:.2} |",
                outcome.goodput * 100.0,
                outcome.fairness * 100.0,
                outcome.reachable * 100.0,
                outcome.overruns * 100.0,
                outcome.wait.as_millis(),
                outcome.failing_worker_share * 100.0,
                outcome.max_quota_sum,
                outcome.reports,
            );
        }
    }
}

/// Prints the results of the library's strategy for several seeds, to show their spread.
fn seed_table(title: &str, scenario: &Scenario) {
    println!("\n{title}, lend, five seeds");
    println!("| load | seed | goodput | least fair part | of what can be reached | overruns |");
    println!("|---|---|---|---|---|---|");
    for load in LOADS {
        for seed in 1..=5 {
            let outcome = run(&Scenario {
                load,
                seed,
                ..scenario.clone()
            });
            println!(
                "| {load} | {seed} | {:.1}% | {:.1}% | {:.1}% | {:.2}% |",
                outcome.goodput * 100.0,
                outcome.fairness * 100.0,
                outcome.reachable * 100.0,
                outcome.overruns * 100.0,
            );
        }
    }
}

fn main() {
    let plain = Scenario::default();
    let hot = Scenario {
        hot: 0.7,
        ..plain.clone()
    };
    let slow = Scenario {
        slow: true,
        ..plain.clone()
    };
    let failing = Scenario {
        failing: true,
        ..plain.clone()
    };
    let flood = Scenario {
        accounts: flood(),
        ..hot.clone()
    };
    let single = Scenario {
        accounts: single(),
        ..plain.clone()
    };
    let small = Scenario {
        workers: 8,
        ..plain.clone()
    };
    let small_hot = Scenario {
        workers: 8,
        ..hot.clone()
    };
    let many = Scenario {
        entries: 28,
        hot: 1.0 / 28.0,
        ..plain.clone()
    };
    let many_small = Scenario {
        workers: 8,
        ..many.clone()
    };
    table("50 workers, 7 entries, callers spread evenly", &plain);
    table("70% of the callers at one entry", &hot);
    table("one worker 10 times slow", &slow);
    table("one worker fails everything at once", &failing);
    table(
        "one account floods, 70% of the callers at one entry",
        &flood,
    );
    table(
        "two accounts of equal share, one at a single entry",
        &single,
    );
    table("8 workers", &small);
    table("8 workers, 70% of the callers at one entry", &small_hot);
    table("28 entries", &many);
    table("28 entries, 8 workers", &many_small);
    seed_table("callers spread evenly", &plain);
    seed_table("70% of the callers at one entry", &hot);
}
