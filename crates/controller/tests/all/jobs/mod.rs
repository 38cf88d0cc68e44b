//! Jobs end to end over the platform's stand-in: never two runs of one job, whatever fails.

mod edge;
mod fault;
mod life;
mod orders;
mod size;
mod world;

/// Names each case; all run under paused time.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test(start_paused = true)]
        async fn $name() {
            $body.await;
        }
    )*};
}
use cases;
