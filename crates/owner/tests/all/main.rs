//! Decisions of owners, without any store.

mod elect;
mod rest;
mod share;
mod wave;
