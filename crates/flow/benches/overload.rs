//! Compares the ways to share the workers' slots; prints one table per fault.

mod sim;

use sim::{Case, Way, flood, run, single};

const LOADS: [f64; 4] = [0.5, 0.9, 1.2, 2.0];
const WAYS: [Way; 4] = [Way::Lend, Way::Own, Way::LeastLoad, Way::Subset];

fn table(title: &str, case: &Case) {
    println!("\n{title}");
    println!(
        "| way | load | goodput | least fair part | of what can be reached | overruns | wait p99 | drawn by worker 0 | rights | reports/s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    let only = std::env::args().nth(1).filter(|arg| arg == "lend");
    let ways = if only.is_some() {
        &WAYS[..1]
    } else {
        &WAYS[..]
    };
    for &way in ways {
        for load in LOADS {
            let outcome = run(&Case {
                way,
                load,
                ..case.clone()
            });
            println!(
                "| {way:?} | {load} | {:.1}% | {:.1}% | {:.1}% | {:.2}% | {} ms | {:.2}% | {} | {:.2} |",
                outcome.goodput * 100.0,
                outcome.fairness * 100.0,
                outcome.reachable * 100.0,
                outcome.overruns * 100.0,
                outcome.wait.as_millis(),
                outcome.drawn * 100.0,
                outcome.most_rights,
                outcome.reports,
            );
        }
    }
}

/// How far the library's figures move from seed to seed.
fn seeds(title: &str, case: &Case) {
    println!("\n{title}, lend, five seeds");
    println!("| load | seed | goodput | least fair part | of what can be reached | overruns |");
    println!("|---|---|---|---|---|---|");
    for load in LOADS {
        for seed in 1..=5 {
            let outcome = run(&Case {
                load,
                seed,
                ..case.clone()
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
    let plain = Case::default();
    let hot = Case {
        hot: 0.7,
        ..plain.clone()
    };
    let slow = Case {
        slow: true,
        ..plain.clone()
    };
    let failing = Case {
        failing: true,
        ..plain.clone()
    };
    let flood = Case {
        accounts: flood(),
        ..hot.clone()
    };
    let single = Case {
        accounts: single(),
        ..plain.clone()
    };
    let small = Case {
        workers: 8,
        ..plain.clone()
    };
    let small_hot = Case {
        workers: 8,
        ..hot.clone()
    };
    let many = Case {
        entries: 28,
        hot: 1.0 / 28.0,
        ..plain.clone()
    };
    let many_small = Case {
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
    seeds("callers spread evenly", &plain);
    seeds("70% of the callers at one entry", &hot);
}
