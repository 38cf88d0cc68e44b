//! HTTP clients of an entry: [`Admin`] for operators' programs, [`Caller`] for callers.
//!
//! Both are thin: one request, one answer, typed. `primrosectl`, the test bed and the load tool
//! share them, so that an answer is read in one way only.

mod admin;
mod caller;
mod http1;

pub use admin::{Admin, Error};
pub use caller::{Answer, Caller, Said};
