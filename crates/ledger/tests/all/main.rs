//! The ledger over the platform stand-in: changes have one order even if responses are lost.

mod commit;
mod read;

/// Defines a named test per case; all run with paused time.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test(start_paused = true)]
        async fn $name() {
            $body.await;
        }
    )*};
}
pub(crate) use cases;

use primroseroute_domain::{change::Seq, time::Instant};
use primroseroute_ledger::{Draft, Ledger};
use primroseroute_standin::platform::{Options, Platform};
use std::sync::Arc;
use uuid::Uuid;

/// An empty platform and a ledger stored in its table.
pub(crate) fn open() -> (Platform, Ledger) {
    let platform = Platform::open(7, Options::default());
    let ledger = Ledger::open(Arc::new(platform.client("writer")));
    (platform, ledger)
}

/// A draft that sets the row `key` to `value`, based on the current head.
pub(crate) async fn draft(ledger: &Ledger, key: &str, value: u32) -> Draft {
    let head = ledger.head().await.expect("the store answers");
    let id = Uuid::from_u128(u128::from(value) + 1);
    let mut draft = Draft::new(head, Instant(1), "operator:test", "test", id);
    draft.put(key.into(), None, &value);
    draft
}

/// Version and value of the row `key`.
pub(crate) async fn value(ledger: &Ledger, key: &str) -> Option<(Seq, u32)> {
    let row = ledger
        .read::<u32>(&key.into())
        .await
        .expect("the store answers");
    row.map(|row| (row.version, row.value))
}
