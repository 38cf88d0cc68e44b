//! Measures what each role costs by size: `cargo bench --bench capacity`.
//!
//! Whole entries run under paused time, single steps in loops; `docs/CAPACITY.md` says what the
//! figures mean. The tables go to the standard output, the same as JSON to
//! `target/capacity.json`. Counts repeat exactly but for what jitter shifts; processor times are
//! those of this thread, on a machine that may be shared. A name of a part as an argument (`parts`
//! or `whole`) runs only that part, a number only that many workers, `once` makes one run.

mod meter;
mod parts;
mod sheet;
mod whole;

use eyre::Result;
use primroseroute_capacity::Size;
use sheet::{Figure, Sheet};
use std::{env, fs};

/// Runs whose spread is shown.
const RUNS: u32 = 3;

const WORKERS: [usize; 4] = [50, 200, 600, 1200];

const ENTRIES: [usize; 4] = [3, 7, 14, 28];

/// A part of the benchmark: its name, and what measures one size.
type Part = (&'static str, fn(Size) -> Result<Vec<Figure>>);

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
    let mut sheet = Sheet::open()?;
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
                    sheet.add(size, &measure(size)?);
                }
            }
        }
    }
    sheet.fit();
    println!("{}", sheet.tables());
    let json = concat!(env!("CARGO_MANIFEST_DIR"), "/target/capacity.json");
    fs::write(json, sheet.json()?)?;
    println!("The same as JSON: {json}");
    Ok(())
}
