//! Stand-ins for the platform, its workers and clients, and the cases of this review that are scripts.
//!
//! `world CASE FOLDER` plays a case, and writes what was sent, answered and run to `record.txt` in
//! FOLDER. Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run.

mod cases;
mod entry;
mod fleet;
mod http;
mod json;
mod site;
mod store;

use std::{env, path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: world CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let folder = PathBuf::from(folder);
    let result = match case.as_str() {
        "hopeless-job" => cases::hopeless_job(&folder, has_trouble),
        "cut-and-restart" => cases::cut_and_restart(&folder, has_trouble),
        "lost-worker" => cases::lost_worker(&folder, has_trouble),
        "other-kind" => cases::other_kind(&folder, has_trouble),
        "moved-queue" => cases::moved_queue(&folder, has_trouble),
        "cut-worker" => cases::cut_worker(&folder, has_trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("{case}: {error}");
            ExitCode::from(2)
        }
    }
}
