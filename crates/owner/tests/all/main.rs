//! Decisions of owners, without a store.

mod active_set;
mod elect;
mod rebalance;
mod rest;
mod wave;
