//! Settings of one entry in YAML.
//!
//! [`Settings::load`] reads a file and reports all faults at once, each with its line, its column, its
//! path and what was expected. Serde's derived implementations stop at the first fault. Therefore the
//! document is first parsed into a tree of nodes with positions, from which each section takes its
//! keys; remaining keys are unknown. Faults name keys and never repeat a value, which may be a
//! misplaced secret.
//!
//! Each section declares its keys, defaults and descriptions once. The types, the parser, the
//! documented default ([`documented`]) and the reference page ([`reference`]) are generated from that.
//!
//! Secrets are referenced by file or environment variable and never part of the settings; see
//! [`secret`].

mod check;
mod document;
pub mod fault;
mod node;
mod reader;
mod schema;
pub mod secret;
mod value;

pub use document::{documented, reference};
pub use fault::{Error, Fault, Position};
pub use schema::{
    Capacity, Entry, Fleet, Lifecycle, Limits, Listen, Peer, Platform, Settings, Telemetry, Timers,
    Weights,
};
pub use value::{Bytes, Url};
