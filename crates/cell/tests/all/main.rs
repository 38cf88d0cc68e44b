//! Decisions on a pool's jobs, without any store or worker.

mod advice;
mod bed;
mod crash;
mod ends;
mod lasting;
mod life;
mod need;
mod order;
mod pace;
mod queued;
mod rows;
mod twin;
mod window;

/// Names each case; a case that panics fails.
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
