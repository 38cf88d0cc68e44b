//! Views over the platform stand-in: they never go back, are complete, and lose no concurrent
//! change.

mod commit_with_retry;
mod routes;
mod snapshot_cell;
mod sync;

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

use primroseroute_domain::{
    account::{Budget, Class, Pool, Service, Survive, Template},
    change::{Edit, Record, Seq},
    time::Instant,
};
use primroseroute_ledger::Versioned;
use uuid::Uuid;

/// A template of `account` with fair share `share`, one pool and one service, both named like it.
pub(crate) fn template(account: &str, share: u32) -> Template {
    Template {
        account: account.parse().expect("a name"),
        share,
        tokens: Vec::new(),
        pools: vec![Pool {
            name: account.parse().expect("a name"),
            budget: Budget {
                promised: 1,
                max_absent: 1,
                survive: Survive::Nothing,
            },
            services: vec![Service {
                name: account.parse().expect("a name"),
                hosts: vec![format!("{account}.example").into()],
                path_prefix: Some(format!("/{account}").into()),
                callers: Vec::new(),
                class: Class::Urgent,
            }],
        }],
    }
}

/// The record at `seq` that sets the account `a` to fair share `share`.
pub(crate) fn record(seq: u64, share: u32) -> Record {
    let row = Versioned {
        version: Seq(seq),
        value: template("a", share),
    };
    let json = serde_json::to_string(&row).expect("templates serialize to JSON");
    Record {
        seq: Seq(seq),
        at: Instant(seq),
        actor: "operator:test".into(),
        reason: "test".into(),
        operation: Uuid::from_u128(u128::from(seq)),
        edits: vec![Edit {
            key: "account/a".into(),
            before: None,
            after: Some(json.into()),
        }],
    }
}
