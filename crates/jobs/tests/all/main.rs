//! Tests of the decisions on jobs, over a small fake of the platform's tasks.

/// Names each case of a table: one test function for each line.
macro_rules! cases {
    ($run:ident: $($name:ident($($argument:expr),* $(,)?);)+) => {
        $(
            #[test]
            fn $name() {
                $run($($argument),*);
            }
        )+
    };
}

mod drain;
mod fair;
mod fault;
mod lease;
mod naive;
mod random;
mod row;
mod world;
