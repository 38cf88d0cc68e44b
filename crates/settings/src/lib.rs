//! Settings of one entry, read from YAML.
//!
//! [`Settings::load`] reads a file and reports every fault at once, each with its line, its column,
//! its path and what was expected there. Serde's derive stops at the first fault, so the document is
//! first read into a tree whose nodes know their places, and the sections then take what they know
//! from it; what is left over is an unknown key. Faults name keys and never repeat a value, since it
//! may be a secret in the wrong place.
//!
//! Each section declares its keys, defaults and descriptions once. The types, the reader, the
//! documented default ([`documented`]) and the reference page ([`reference`]) come from that.
//!
//! Secrets are named by file or environment variable, never written into the settings; see
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
pub use fault::{Error, Fault, Place};
pub use schema::{
    Capacity, Entry, Fleet, Lifecycle, Limits, Listen, Peer, Platform, Settings, Telemetry, Timers,
    Weights,
};
pub use value::{Bytes, Url};
