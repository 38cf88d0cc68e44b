//! Client accounts: their limits, and whose jobs go first.

use crate::{
    cases,
    fixture::{Fixture, job, starts, step, task},
};
use primroseroute_accounts::meter::Limit;
use primroseroute_domain::work::{Demand, End, JobId, Name, Step};

cases! {
    account_starts_no_more_than_its_room => room();
    /// A flood of small jobs of one account, while another account submits a larger one.
    flood_of_one_account_does_not_keep_others_waiting => flood();
    runs_that_a_previous_owner_started_count => taken_over();
    gang_that_exceeds_its_room_does_not_start_in_part => gang();
    /// Its account keeps it waiting, and not the lack of workers.
    work_beyond_the_room_asks_for_no_workers => scaling();
    start_is_withdrawn_if_the_room_shrinks_before_its_commit => withdrawn();
}

fn cores(cpu: u64) -> Demand {
    Demand {
        cpu,
        ..Demand::default()
    }
}

/// Lets `account` use `cpu` in the pool.
fn limit(fixture: &mut Fixture, account: &str, cpu: u64) {
    let limit = Limit {
        room: Demand {
            cpu,
            memory: u64::MAX,
            accelerators: u64::MAX,
        },
        maximum: cores(20_000),
    };
    let limits = [(account.into(), limit)].into();
    fixture.cell.set_account_limits(&limits);
}

fn started(fixture: &mut Fixture) -> Vec<JobId> {
    let orders = fixture.execute_round();
    let starts = starts(&orders).into_iter();
    starts.map(|(task, _worker)| task.job).collect()
}

fn room() {
    let mut fixture = Fixture::new(&["w"]);
    limit(&mut fixture, "a", 3_000);
    fixture.accept_from(Some("a"), job(vec![step(5, 1_000)]));
    let other = fixture.accept(job(vec![step(2, 1_000)]));
    let started = started(&mut fixture);
    assert_eq!(started.len(), 5);
    assert_eq!(started.iter().filter(|job| **job == other).count(), 2);
    let usage = fixture.cell.account_usage().usage(&"a".into());
    assert_eq!((usage.used.cpu, usage.refused.cpu), (3_000, 2_000));
}

fn flood() {
    let mut fixture = Fixture::new(&["w"]);
    let weights = ["flood", "other"].map(Name::from);
    let weights = weights.iter().map(|name| (name, 1.0));
    fixture.cell.set_account_weights(weights);
    let first = fixture.accept_from(Some("flood"), job(vec![step(8, 1_000)]));
    let light = fixture.accept_from(Some("other"), job(vec![step(2, 1_000)]));
    assert_eq!(started(&mut fixture).len(), 10);
    for _job in 0..20 {
        fixture.accept_from(Some("flood"), job(vec![step(1, 1_000)]));
    }
    let waiting = fixture.accept_from(Some("other"), job(vec![step(4, 1_000)]));
    fixture.end_run(&"w".into(), &task(&first, 0, 0), End::Done);
    fixture.end_run(&"w".into(), &task(&light, 0, 0), End::Done);
    fixture.advance(200);
    assert_eq!(started(&mut fixture), [waiting.clone(), waiting]);
}

fn taken_over() {
    let mut fixture = Fixture::new(&["w"]);
    limit(&mut fixture, "a", 3_000);
    fixture.accept_from(Some("a"), job(vec![step(5, 1_000)]));
    assert_eq!(started(&mut fixture).len(), 3);
    fixture.replace_owner();
    limit(&mut fixture, "a", 3_000);
    fixture.advance(200);
    assert_eq!(started(&mut fixture).len(), 0);
    let usage = fixture.cell.account_usage().usage(&"a".into());
    assert_eq!(usage.used.cpu, 3_000);
}

fn gang() {
    let mut fixture = Fixture::new(&["w"]);
    limit(&mut fixture, "a", 3_000);
    let gang = Step {
        gang: true,
        ..step(4, 1_000)
    };
    fixture.accept_from(Some("a"), job(vec![gang]));
    assert_eq!(started(&mut fixture).len(), 0);
    limit(&mut fixture, "a", 4_000);
    assert_eq!(started(&mut fixture).len(), 4);
}

fn scaling() {
    let mut fixture = Fixture::new(&["w"]);
    limit(&mut fixture, "a", 3_000);
    fixture.accept_from(Some("a"), job(vec![step(100, 1_000)]));
    let scaling = fixture.round().scaling;
    assert_eq!((scaling.now, scaling.waiting.cpu), (1, 0));
}

fn withdrawn() {
    let mut fixture = Fixture::new(&["w"]);
    limit(&mut fixture, "a", 3_000);
    fixture.accept_from(Some("a"), job(vec![step(3, 1_000)]));
    let output = fixture.round();
    assert_eq!(output.orders.len(), 3);
    limit(&mut fixture, "a", 2_000);
    assert_eq!(fixture.revalidate(output), []);
}
