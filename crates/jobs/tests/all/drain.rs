//! Drains, pressure from requests, and bulk cancellations.

use crate::simulation::{Simulation, TICK_SECONDS, cores, name, profile};
use primroseroute_jobs::{Action, Availability, State};
use std::time::Duration;

// An instance drains. Its job writes a checkpoint, is stopped once that is reported, and continues
// elsewhere from there. No job starts on the draining instance.
#[test]
fn draining_job_writes_a_checkpoint_and_is_stopped() {
    let mut sim = Simulation::start(2);
    sim.submit(
        "job",
        "gojo",
        "rebuild",
        cores(4.0),
        profile(cores(4.0), 1000),
    );
    sim.run_ticks(5);
    let from = sim.starts[0].1.clone();
    let end = Duration::from_secs(sim.now + 300);
    sim.worker(from.as_str()).availability = Availability::Draining(end);
    let mut seen = Vec::new();
    for _ in 0..12 {
        let plan = sim.tick();
        seen.extend(
            plan.actions
                .into_iter()
                .filter(|a| !matches!(a, Action::Renew { .. })),
        );
    }
    let kinds: Vec<&str> = seen
        .iter()
        .map(|action| match action {
            Action::Checkpoint { .. } => "checkpoint",
            Action::Stop { .. } => "stop",
            Action::Start(_) => "start",
            other => panic!("unexpected {other:?}"),
        })
        .collect();
    assert_eq!(kinds, ["checkpoint", "stop", "start"]);
    assert!(sim.scheduler.row(&name("job")).expect("known").checkpoint > 0.0);
    assert_ne!(sim.starts[1].1, from);
}

// The checkpoint is never written. The job is stopped before the drain ends nevertheless, since
// the reboot would otherwise interrupt it in the middle of a write.
#[test]
fn job_without_a_checkpoint_is_stopped_before_the_drain_ends() {
    let mut sim = Simulation::start(1);
    sim.no_checkpoints = true;
    sim.submit(
        "job",
        "gojo",
        "rebuild",
        cores(4.0),
        profile(cores(4.0), 1000),
    );
    sim.run_ticks(5);
    let end = sim.now + 60;
    sim.worker("w0").availability = Availability::Draining(Duration::from_secs(end));
    while sim.now < end - 10 {
        sim.tick();
        assert!(!sim.tasks.is_empty());
    }
    sim.run_ticks(1);
    assert!(sim.tasks.is_empty(), "stopped 10 s before the end");
}

// The first stop is lost in transit, ten seconds before the drain ends. It is sent again at once,
// since the lease would expire only after the reboot.
#[test]
fn lost_stop_is_sent_again() {
    let mut sim = Simulation::start(1);
    let size = cores(4.0);
    sim.submit("job", "gojo", "rebuild", size, profile(size, 1000));
    sim.run_ticks(5);
    let end = sim.now + 15;
    sim.worker("w0").availability = Availability::Draining(Duration::from_secs(end));
    sim.no_checkpoints = true;
    sim.run_ticks(1);
    sim.calls_lost = true;
    sim.run_ticks(1);
    sim.calls_lost = false;
    sim.run_ticks(1);
    assert!(sim.tasks.is_empty());
    assert_eq!(sim.now, end);
}

// Requests need the slots: jobs are throttled and none starts. Pressure that varies between the two
// thresholds causes no calls, and when it falls the jobs run at full speed again.
#[test]
fn jobs_are_throttled_under_pressure() {
    let mut sim = Simulation::start(1);
    sim.submit(
        "job",
        "gojo",
        "rebuild",
        cores(1.0),
        profile(cores(1.0), 1000),
    );
    sim.run_ticks(2);
    let mut fractions = Vec::new();
    for pressure in [0.9, 0.6, 0.7, 0.9, 0.4, 0.6, 0.4] {
        sim.worker("w0").pressure = pressure;
        if pressure > 0.8 {
            sim.submit(
                &format!("late{}", sim.now),
                "gojo",
                "rebuild",
                cores(1.0),
                profile(cores(1.0), 10),
            );
            let before = sim.starts.len();
            sim.tick();
            assert_eq!(sim.starts.len(), before, "no job starts under pressure");
        } else {
            sim.tick();
        }
        fractions.push(sim.tasks[0].fraction);
    }
    let expected = [0.1, 0.1, 0.1, 0.1, 1.0, 1.0, 1.0];
    assert!(
        fractions
            .iter()
            .zip(expected)
            .all(|(a, b): (&f64, f64)| (a - b).abs() < 1e-9),
        "{fractions:?}"
    );
}

// An operator cancels two hundred jobs, of which twenty run and one has already ended. A single
// plan has the rows of all others and a stop for each run; queued jobs never start.
#[test]
fn cancellations_form_one_batch() {
    let mut sim = Simulation::start(5);
    for number in 0..200 {
        let seconds = if number == 0 { 5 } else { 10_000 };
        sim.submit(
            &format!("j{number}"),
            "gojo",
            "rebuild",
            cores(2.0),
            profile(cores(2.0), seconds),
        );
    }
    sim.run_ticks(60);
    let running = sim.tasks.len();
    let starts = sim.starts.len();
    assert_eq!(running, 20);
    let jobs: Vec<_> = (0..200).map(|n| name(&format!("j{n}"))).collect();
    sim.scheduler.cancel(&jobs);
    let plan = sim.tick();
    assert_eq!(plan.rows.len(), 199, "all but the job that is done");
    assert_eq!(plan.actions.len(), running);
    assert!(
        plan.actions
            .iter()
            .all(|action| matches!(action, Action::Stop { .. }))
    );
    sim.run_ticks(10);
    assert_eq!(sim.starts.len(), starts);
    assert_eq!(sim.state("j0"), &State::Done);
    assert!((1..200).all(|n| sim.state(&format!("j{n}")) == &State::Cancelled));
    assert!(sim.now > TICK_SECONDS);
}

// The controller dies between the commit of the row "cancelling" and the stop. Its successor must
// stop the run: renewed for ever, a cancelled job would continue to send its reminders.
#[test]
fn successor_stops_cancelled_runs() {
    let mut sim = Simulation::start(1);
    sim.submit(
        "job",
        "gojo",
        "reminder",
        cores(1.0),
        profile(cores(1.0), 10_000),
    );
    sim.run_ticks(5);
    sim.scheduler.cancel([&name("job")]);
    sim.take_over();
    sim.run_ticks(10);
    assert!(sim.tasks.is_empty());
    assert_eq!(sim.state("job"), &State::Cancelled);
}
