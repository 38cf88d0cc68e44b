//! Measures the request path: `cargo bench --bench request_path`.
//!
//! Whole entries, workers' stand-ins and callers run in this process over sockets on loopback. All
//! ratios come from one run; the command makes three and prints each with their median. The table
//! goes to the standard output, the same figures as JSON to `target/request_path.json`.
//! `docs/measurements.md` says how each figure is made. A name of a part as an argument, such as
//! `path` or `overload`, runs only that part: `cargo bench --bench request_path -- path`.

mod bed;
mod change;
mod figure;
mod inner;
mod overload;
mod path;
mod store;

use eyre::Result;
use figure::{Figure, Sheet};
use std::{env, fs, pin::Pin};
use tokio::runtime::{Builder, Runtime};

/// Runs whose figures are shown beside each other.
const RUNS: u64 = 3;

/// Threads that callers, entries and workers share, both through an entry and direct.
const THREADS: usize = 4;

type Measured = Pin<Box<dyn Future<Output = Result<Vec<Figure>>>>>;

/// A part of the benchmark: its name, and what measures it with a seed.
type Part = (&'static str, fn(u64) -> Measured);

const PARTS: [Part; 5] = [
    ("inner", |seed| Box::pin(inner::measure(seed))),
    ("path", |seed| Box::pin(path::measure(seed))),
    ("overload", |seed| Box::pin(overload::measure(seed))),
    ("change", |seed| Box::pin(change::measure(seed))),
    ("store", |seed| Box::pin(store::measure(seed))),
];

fn runtime() -> Result<Runtime> {
    Ok(Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build()?)
}

fn main() -> Result<()> {
    let asked: Vec<String> = env::args()
        .skip(1)
        .filter(|a| !a.starts_with('-'))
        .collect();
    let mut sheet = Sheet::open()?;
    for run in 0..RUNS {
        for (name, measure) in PARTS {
            if !asked.is_empty() && !asked.iter().any(|part| part == name) {
                continue;
            }
            eprintln!("run {} of {RUNS}: {name}", run + 1);
            // A runtime of its own for each part: nothing of an earlier one runs on.
            let figures = runtime()?.block_on(measure(run + 1))?;
            sheet.add(figures);
        }
    }
    println!("{}", sheet.table());
    let json = concat!(env!("CARGO_MANIFEST_DIR"), "/target/request_path.json");
    fs::write(json, sheet.json()?)?;
    println!("The same as JSON: {json}");
    Ok(())
}
