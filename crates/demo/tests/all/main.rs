//! The checker, given histories that violate one invariant each and histories that violate none.

/// Declares one test per case.
macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {$(
        #[test]
        fn $name() {
            $body;
        }
    )*};
}

mod fleet;
mod requests;
mod views;
