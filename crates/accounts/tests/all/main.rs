//! Keys, and the division of an account's maximum among pools.

mod budget;
mod entitlement;
mod key;
mod meter;

/// Generates a test for each case.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            $body;
        }
    )*};
}

pub(crate) use cases;
