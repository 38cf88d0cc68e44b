//! Root package of the workspace: the two binaries and the integration tests across crates.
//!
//! `primroseroute` is the entry, `primrosectl` the operators' command line. Their code is in
//! `crates/`; `README.md` gives an overview.
