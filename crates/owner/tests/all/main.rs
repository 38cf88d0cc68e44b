//! Decisions of owners, without any store.

mod share;
mod wave;
