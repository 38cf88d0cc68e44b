//! Reports on histories whose figures are known, and on random ones beside a naive replay.

/// Names each case: one test for each line.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)+) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            $body;
        }
    )+};
}

mod fixture;
mod known;
mod naive;
mod plot;
mod random;
