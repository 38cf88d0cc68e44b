//! Tests of the claims, over a fake table with faults and under paused time.

/// Names each case of a table: one test function for each line.
macro_rules! cases {
    ($run:ident: $($name:ident($($argument:expr),* $(,)?);)+) => {
        $(
            #[tokio::test(start_paused = true)]
            async fn $name() {
                $run($($argument),*).await;
            }
        )+
    };
}

mod bench;
mod expiry;
mod fake;
mod group;
mod kept;
mod lost;
mod outage;
mod race;
mod random;
