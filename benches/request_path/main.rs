//! Measures the request path: `cargo bench --bench request_path`.
//!
//! Complete entries, simulated workers and callers run in this process over loopback sockets. Each ratio
//! comes from a single run; the command makes three runs and prints the value of each and the median.
//! The table is written to standard output and the same results as JSON to `target/request_path.json`.
//! `docs/measurements.md` describes how each value is measured. The name of a part as an argument, such
//! as `path` or `overload`, runs only that part: `cargo bench --bench request_path -- path`.

mod change;
mod fixture;
mod inner;
mod overload;
mod path;
mod results;
mod store;

use eyre::Result;
use results::{Measurement, Results};
use std::{env, fs, pin::Pin};
use tokio::runtime::{Builder, Runtime};

/// Number of runs, whose results are shown side by side.
const RUNS: u64 = 3;

/// Threads shared by callers, entries and workers, for requests through an entry and direct ones alike.
const THREADS: usize = 4;

type PartFuture = Pin<Box<dyn Future<Output = Result<Vec<Measurement>>>>>;

/// A part of the benchmark: its name and the function that measures it with a seed.
type Part = (&'static str, fn(u64) -> PartFuture);

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
    let mut results = Results::new()?;
    for run in 0..RUNS {
        for (name, measure) in PARTS {
            if !asked.is_empty() && !asked.iter().any(|part| part == name) {
                continue;
            }
            eprintln!("run {} of {RUNS}: {name}", run + 1);
            // Each part gets its own runtime, so that no task of an earlier part keeps running.
            let measurements = runtime()?.block_on(measure(run + 1))?;
            results.add(measurements);
        }
    }
    println!("{}", results.table());
    let json = concat!(env!("CARGO_MANIFEST_DIR"), "/target/request_path.json");
    fs::write(json, results.json()?)?;
    println!("The same as JSON: {json}");
    Ok(())
}
