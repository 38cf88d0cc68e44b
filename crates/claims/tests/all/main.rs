//! Tests of claims with a fake table that injects faults, in paused time.

/// Defines one test function for each case.
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

mod batch;
mod expiry;
mod fake_table;
mod fixture;
mod lost;
mod outage;
mod race;
mod random;
mod stored;
