//! Computes the row changes of an operator's order on a snapshot, or refuses it with a numbered code.

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

/// Refuses unless `have` is the version that the operator expects; 0 means that the row must not exist.
pub(crate) fn expect_version(have: Option<Seq>, expected: Option<Seq>) -> Result<(), Refusal> {
    let have = have.unwrap_or(Seq(0));
    match expected {
        Some(expected) if expected != have => {
            let detail = format!("the row has version {have} and not {expected}");
            Err(Refusal::new(Code::VersionConflict, detail))
        }
        _ => Ok(()),
    }
}
