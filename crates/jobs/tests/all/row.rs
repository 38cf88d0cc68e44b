//! Serialised form of a job's row in the table.

use crate::simulation::{cores, name};
use expect_test::expect;
use primroseroute_domain::time::Instant;
use primroseroute_jobs::{Kind, Reason, Row, State};

#[test]
fn row_serialised_form() {
    let mut row = Row::submit(
        name("rebuild-7"),
        name("gojo"),
        name("gojo-backoffice"),
        Kind("rebuild".into()),
        cores(2.0),
        Instant(1_000),
    );
    row.state = State::Parked(Reason::FailsOnHealthy);
    row.failed_on.insert(name("w1"));
    let json = serde_json::to_string(&row).expect("rows serialize");
    expect![[r#"{"id":"rebuild-7","account":"gojo","pool":"gojo-backoffice","kind":"rebuild","declared":{"cores":2.0,"memory":2.0,"accelerators":0.0},"submitted":1000,"state":{"parked":"fails-on-healthy"},"token":0,"failures":0,"failed-on":["w1"],"checkpoint":0.0}"#]].assert_eq(&json);
    let back: Row = serde_json::from_str(&json).expect("rows deserialize");
    assert_eq!(back, row);
}
