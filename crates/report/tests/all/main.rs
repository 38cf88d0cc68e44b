//! Tests reports on histories with known costs, and on random ones against a reference implementation.

/// Declares one test per line.
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
mod plot;
mod random;
mod reference;
