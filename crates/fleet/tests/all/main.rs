//! Tests of the fleet decisions, one module per topic.

/// Defines one test for each `name: expression;` line.
macro_rules! cases {
    ($($name:ident: $body:expr;)+) => {
        $(
            #[test]
            fn $name() {
                $body
            }
        )+
    };
}

mod budget;
mod check;
mod cluster;
mod deployment;
mod fixture;
mod lifecycle;
mod placement;
mod wave;
mod waves;
