//! Compares the ways to share the workers' slots; prints one table per fault.

mod sim;

use sim::{Case, Way, flood, run};

const LOADS: [f64; 4] = [0.5, 0.9, 1.2, 2.0];
const WAYS: [Way; 4] = [Way::Lend, Way::Own, Way::LeastLoad, Way::Subset];

fn table(title: &str, case: &Case) {
    println!("\n{title}");
    println!(
        "| way | load | goodput | least fair part | overruns | wait p99 | drawn by worker 0 | rights |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for way in WAYS {
        for load in LOADS {
            let outcome = run(&Case {
                way,
                load,
                ..case.clone()
            });
            println!(
                "| {way:?} | {load} | {:.1}% | {:.1}% | {:.2}% | {} ms | {:.2}% | {} |",
                outcome.goodput * 100.0,
                outcome.fairness * 100.0,
                outcome.overruns * 100.0,
                outcome.wait.as_millis(),
                outcome.drawn * 100.0,
                outcome.most_rights,
            );
        }
    }
}

fn main() {
    let plain = Case::default();
    table("50 workers, 7 entries, callers spread evenly", &plain);
    table(
        "70% of the callers at one entry",
        &Case {
            hot: 0.7,
            ..plain.clone()
        },
    );
    table(
        "one worker 10 times slow",
        &Case {
            slow: true,
            ..plain.clone()
        },
    );
    table(
        "one worker fails everything at once",
        &Case {
            failing: true,
            ..plain.clone()
        },
    );
    let flood = Case {
        accounts: flood(),
        hot: 0.7,
        ..plain.clone()
    };
    table(
        "one account floods, 70% of the callers at one entry",
        &flood,
    );
    table(
        "8 workers",
        &Case {
            workers: 8,
            ..plain.clone()
        },
    );
    table(
        "8 workers, 70% of the callers at one entry",
        &Case {
            workers: 8,
            hot: 0.7,
            ..plain
        },
    );
}
