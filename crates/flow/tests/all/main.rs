//! Tests of the request path's decisions.

mod basics;
mod bed;
