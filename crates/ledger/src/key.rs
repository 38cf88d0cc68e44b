//! Table keys, defined in one place so that no two kinds of row can collide.

use primroseroute_domain::{change::Seq, id};
use primroseroute_platform::table::Key;

/// The row that contains the newest change's sequence number.
pub const HEAD: &str = "head";
/// Prefix of change records.
pub const CHANGES: &str = "change/";
/// Prefix of account templates.
pub const ACCOUNTS: &str = "account/";
/// Prefix of instance rows.
pub const INSTANCES: &str = "instance/";
/// Prefix of entry registrations; not ordered by the head.
pub const ENTRIES: &str = "entry/";
/// Prefix of wave rows.
pub const WAVES: &str = "wave/";
/// Prefix of job rows.
pub const JOBS: &str = "job/";
/// Prefix of at-most-once claims; not ordered by the head.
pub const CLAIMS: &str = "claim/";
/// Prefix of the boot counts that controllers store for instances that are being rebooted.
pub const MARKS: &str = "mark/";
/// The controller's lease, renewed periodically; not ordered by the head.
pub const LEASE: &str = "lease/controller";
/// The controller's epoch, written at each takeover; every change by a controller is conditional
/// on it.
pub const EPOCH: &str = "epoch/controller";

/// Key of the head row.
pub fn head() -> Key {
    HEAD.into()
}

/// Key of a change record, zero-padded so that keys sort in the order of changes.
pub fn change(seq: Seq) -> Key {
    format!("{CHANGES}{:020}", seq.0).into()
}

/// Key of an account template.
pub fn account(name: &id::Account) -> Key {
    format!("{ACCOUNTS}{name}").into()
}

/// Key of an instance row.
pub fn instance(name: &id::Instance) -> Key {
    format!("{INSTANCES}{name}").into()
}

/// Key of the boot count stored for an instance.
pub fn mark(name: &id::Instance) -> Key {
    format!("{MARKS}{name}").into()
}

/// Key of an entry's registration.
pub fn entry(name: &id::Entry) -> Key {
    format!("{ENTRIES}{name}").into()
}

/// Key of a wave row.
pub fn wave(name: &id::Wave) -> Key {
    format!("{WAVES}{name}").into()
}

/// Key of a job row.
pub fn job(name: &id::Job) -> Key {
    format!("{JOBS}{name}").into()
}
