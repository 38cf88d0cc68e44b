//! Tests of the fleet decisions, one module for each topic.

/// Names each case: one test for each line.
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
