//! Plays one case of the review against the project's own program.
//!
//! Exit code: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.

mod http;
mod json;
mod late;
mod moved;
mod reborn;
mod record;
mod rerouted;
mod silent;
mod site;
mod store;
mod workers;

use std::{path::Path, process::ExitCode, sync::Arc};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_program, case, record] = &arguments[..] else {
        eprintln!("usage: CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = record::Record::create(Path::new(record)) else {
        eprintln!("can't write {record}");
        return ExitCode::from(2);
    };
    let record = Arc::new(record);
    let result = match case.as_str() {
        "silent" => silent::play(&record, trouble),
        "rerouted" => rerouted::play(&record, trouble),
        "reborn" => reborn::play(&record, trouble),
        "moved" => moved::play(&record, trouble),
        "late" => late::play(&record, trouble),
        _ => Err(format!("no case {case}")),
    };
    match result {
        Ok(breaches) if breaches.is_empty() => {
            record.line("the rule held");
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(breaches) => {
            for breach in &breaches {
                record.line(&format!("BROKEN {breach}"));
            }
            println!(
                "the rule was broken {} times; first: {}",
                breaches.len(),
                breaches[0]
            );
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(&format!("could not run: {error}"));
            println!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
