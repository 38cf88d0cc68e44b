//! HTTP clients of an entry: [`Admin`] for operators' programs, [`Caller`] for callers.
//!
//! Both are thin: each call is one request with a typed response. `primrosectl`, the test bed and
//! the load tool share them, so that responses are parsed in one place only.

mod admin;
mod caller;
mod http1;

pub use admin::{Admin, Error};
pub use caller::{Answer, Caller, Said};
