//! Measures the cost of each role by size of the deployment: `cargo bench --bench capacity`.
//!
//! Complete entries run under paused time, single operations in loops; `docs/CAPACITY.md` explains the
//! measurements. Tables are written to standard output and the same results as JSON to
//! `target/capacity.json`. Counts are reproducible except for the effect of jitter; CPU times are those
//! of this thread, on a machine that may be shared. The name of a part as an argument (`parts` or
//! `whole`) runs only that part, a number only that number of workers, and `once` makes a single run.

mod parts;
mod process_stats;
mod results;
mod whole;

use eyre::Result;
use primroseroute_capacity::Size;
use results::{Measurement, Results};
use std::{env, fs};

/// Number of runs, whose spread is shown.
const RUNS: u32 = 3;

const WORKERS: [usize; 4] = [50, 200, 600, 1200];

const ENTRIES: [usize; 4] = [3, 7, 14, 28];

/// A part of the benchmark: its name and the function that measures one size.
type Part = (&'static str, fn(Size) -> Result<Vec<Measurement>>);

const PARTS: [Part; 2] = [("parts", parts::measure), ("whole", whole::measure)];

fn main() -> Result<()> {
    let asked = env::args().skip(1).filter(|a| !a.starts_with('-'));
    let (once, asked): (Vec<String>, Vec<String>) = asked.partition(|a| a == "once");
    let runs = if once.is_empty() { RUNS } else { 1 };
    let asked = asked.into_iter();
    let (numbers, names): (Vec<String>, Vec<String>) =
        asked.partition(|a| a.parse::<usize>().is_ok());
    let is_asked =
        |name: &str, asked: &[String]| asked.is_empty() || asked.iter().any(|a| a == name);
    let mut results = Results::new()?;
    for (name, measure) in PARTS {
        for run in 0..runs {
            if !is_asked(name, &names) {
                continue;
            }
            for workers in WORKERS {
                for entries in ENTRIES {
                    if !is_asked(&workers.to_string(), &numbers) {
                        continue;
                    }
                    eprintln!(
                        "{name}, run {} of {runs}: {workers} workers, {entries} entries",
                        run + 1
                    );
                    let size = Size { entries, workers };
                    results.add(size, &measure(size)?);
                }
            }
        }
    }
    results.fit();
    println!("{}", results.tables());
    let json = concat!(env!("CARGO_MANIFEST_DIR"), "/target/capacity.json");
    fs::write(json, results.json()?)?;
    println!("The same as JSON: {json}");
    Ok(())
}
