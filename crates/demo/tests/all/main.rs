//! The judge, fed with histories that break one invariant each, and with sound ones.

/// Names each case of its module.
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
