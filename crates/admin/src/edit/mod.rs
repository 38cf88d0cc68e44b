//! What an operator's order changes: a snapshot in, rows out, or a numbered refusal.

mod account;
mod entry;
mod instance;
pub mod job;
mod wave;

pub use account::{apply, diff, faults};
pub use entry::remove;
pub use instance::{drain, move_to, release};
pub use wave::{command, fleet, plan, start, waves};

use primroseroute_domain::{
    change::Seq,
    outcome::{Code, Refusal},
};

/// Refuses unless `have` is the version that the operator named; 0 names a row that must not exist.
pub(crate) fn expect_version(have: Option<Seq>, named: Option<Seq>) -> Result<(), Refusal> {
    let have = have.unwrap_or(Seq(0));
    match named {
        Some(named) if named != have => {
            let detail = format!("the row has version {have} and not {named}");
            Err(Refusal::new(Code::VersionConflict, detail))
        }
        _ => Ok(()),
    }
}
