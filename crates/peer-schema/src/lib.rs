//! The interface between entries, generated from `schema/peer.capnp`.
//!
//! The generated module is committed, so that the build needs no schema compiler. It is exempt from
//! the workspace's lints (this crate's `Cargo.toml` takes none) and from rustfmt.
//!
//! # Regenerating it
//!
//! After a change of the schema, with Debian's `capnproto` (0.9 or later) installed, make a scratch
//! crate outside the repository that depends on `capnpc` 0.27 and whose `main` is
//!
//! ```text
//! capnpc::codegen::CodeGenerationCommand::new()
//!     .output_directory(std::env::args().nth(1).unwrap())
//!     .run(std::io::stdin())
//!     .unwrap();
//! ```
//!
//! and pipe the schema through it from `crates/peer-schema/schema`:
//!
//! ```text
//! capnp compile -o- peer.capnp | SCRATCH/target/debug/NAME ../src
//! ```
//!
//! Fields are only ever added, with the next number: entries of two versions run side by side
//! during every roll-out.

#[rustfmt::skip]
pub mod peer_capnp;
