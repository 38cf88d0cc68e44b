//! `account history` over an audit trail of several pages.

use super::Fixture;
use crate::cases;
use eyre::Result;
use primroseroute_domain::time::Instant;
use primroseroute_ledger::{Draft, key};
use primroseroute_testbed::template;
use uuid::Uuid;

cases! {
    history_reads_all_pages_and_shows_one_account_only => long_trail();
}

/// More changes than one page of the audit trail holds.
const OTHERS: u128 = 1005;

/// An account changes, then other accounts change more often than one page of the trail holds, then
/// it changes again. Its history must show both of its changes, and none of an account whose name
/// starts with its own.
async fn long_trail() -> Result<()> {
    let fixture = Fixture::open().await?;
    fixture.site.platform.faults().set_rates(None);
    let ledger = fixture.site.ledger();
    for number in 0..OTHERS {
        let head = ledger.head().await?;
        let id = Uuid::from_u128(number);
        let mut draft = Draft::new(head, Instant(1), "operator:other", "other", id);
        let name = if number == 0 { "stay-too" } else { "other" };
        let row = template(name, 1, 1);
        draft.put(key::account(&row.account), None, &row);
        // The controller may commit first; the next iteration then retries on the new head.
        let _conflict = ledger.commit(&draft).await;
    }
    let order = primroseroute_api::Apply {
        template: template("stay", 9, 2),
        if_version: None,
        reason: "the last".into(),
    };
    fixture.site.any_entry().admin.apply(&order).await?;
    let history = fixture.json(&["account", "history", "stay"]).await?;
    let reasons: Vec<_> = history
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|record| record["reason"].as_str())
        .collect();
    assert_eq!(reasons, ["set-up", "the last"]);
    Ok(())
}
