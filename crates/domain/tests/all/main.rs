//! Tests of the domain types.

mod codes;
