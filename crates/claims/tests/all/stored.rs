//! Stored responses and the format of rows.

use crate::{
    fake_table::FakeTable,
    fixture::{
        PausedClock, claim, entry, entry_with, grant, outcome_name, response, wait_for_outcomes,
    },
};
use expect_test::expect;
use primroseroute_claims::{Blob, ClaimOutcome, Header, Options};

// A response may contain text, binary data or both; a repeat receives it unchanged.
#[tokio::test(start_paused = true)]
async fn repeat_gets_the_complete_response() {
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    let a = entry(&fake, &clock, 1);
    let mut first = response(&[0, 159, 146, 150, b'x']);
    first.headers = vec![Header {
        name: "x-hold".into(),
        value: Blob(vec![0xff].into()),
    }];
    grant(&a, "k").await.completed(first.clone());
    wait_for_outcomes(&a).await;
    let ClaimOutcome::Replay(kept) = claim(&a, "k").await else {
        panic!("the first response is stored");
    };
    assert_eq!(kept, first);
}

// A response above the limit would make the row too large for the store. The repeat is told that
// the request completed, and does not run again.
#[tokio::test(start_paused = true)]
async fn large_response_is_not_stored() {
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    let options = Options {
        max_response_bytes: 8,
        ..Options::default()
    };
    let a = entry_with(&fake, &clock, 1, options);
    grant(&a, "fits").await.completed(response(b"12345678"));
    grant(&a, "large").await.completed(response(b"123456789"));
    wait_for_outcomes(&a).await;
    assert_eq!(outcome_name(&claim(&a, "fits").await), "repeat");
    assert_eq!(outcome_name(&claim(&a, "large").await), "not kept");
}

// Responses wait for the store in memory; above the budget only their completion is recorded.
#[tokio::test(start_paused = true)]
async fn pending_responses_are_bounded_in_bytes() {
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    let options = Options {
        max_pending_response_bytes: 10,
        ..Options::default()
    };
    let a = entry_with(&fake, &clock, 1, options);
    let (one, two, three) = (
        grant(&a, "1").await,
        grant(&a, "2").await,
        grant(&a, "3").await,
    );
    one.completed(response(b"12345678"));
    two.completed(response(b"12345678"));
    wait_for_outcomes(&a).await;
    three.completed(response(b"12345678"));
    wait_for_outcomes(&a).await;
    assert_eq!(outcome_name(&claim(&a, "1").await), "repeat");
    assert_eq!(outcome_name(&claim(&a, "2").await), "not kept");
    assert_eq!(outcome_name(&claim(&a, "3").await), "repeat");
}

#[tokio::test(start_paused = true)]
async fn row_shape() {
    let (fake, clock) = (FakeTable::default(), PausedClock::start());
    let a = entry(&fake, &clock, 1);
    grant(&a, "k").await.completed(response(b"held"));
    wait_for_outcomes(&a).await;
    let row = serde_json::to_string_pretty(&fake.rows()[0]).expect("rows serialize");
    expect![[r#"
        {
          "operation": "3b713e9f-2aff-4b58-b314-ba32d65b90fd",
          "fingerprint": "641beba2e920a430a12dd756932f22928fd73779a316341bc186f27e95e3e97e",
          "claimed": 1000000000,
          "until": 1000015000,
          "state": {
            "completed": {
              "status": 201,
              "headers": [],
              "body": "theld"
            }
          }
        }"#]]
    .assert_eq(&row);
}
