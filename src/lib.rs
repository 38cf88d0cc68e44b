//! The workspace's root: its two binaries, and the integration tests of all crates together.
//!
//! `primroseroute` is the entry, `primrosectl` the operators' command line. The code of both is in
//! `crates/`; `README.md` starts there.
