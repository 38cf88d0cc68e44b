//! Decisions of owners, without any store.

mod elect;
mod share;
mod wave;
