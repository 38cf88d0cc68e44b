//! Tests of the job scheduler, on a small simulation of the platform's tasks.

/// Generates one test function for each line of a table of cases.
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
mod fairness;
mod fault;
mod lease;
mod random_faults;
mod reference;
mod row;
mod simulation;
