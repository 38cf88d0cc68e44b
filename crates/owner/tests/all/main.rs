//! Decisions of owners, without a store.

mod elect;
mod rebalance;
mod rest;
mod wave;
