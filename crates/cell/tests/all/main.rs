//! Tests of the scheduling decisions for a pool's jobs, without a store or real workers.

mod accounts;
mod advice;
mod crash;
mod ends;
mod entitlement;
mod extremes;
mod fixture;
mod forecast;
mod incarnation;
mod long_running;
mod need;
mod overflow;
mod pace;
mod placement;
mod queued;
mod reference;
mod rows;
mod run_times;
mod speed;
mod unplaceable;
mod window;

/// Generates one test function for each case.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            $body
        }
    )*};
}
pub(crate) use cases;
