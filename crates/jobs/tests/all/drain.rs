//! Drains, pressure by requests, and bursts of cancellations.

use crate::world::{TICK, World, cores, name, truth};
use primroseroute_jobs::{Action, Availability, State};
use std::time::Duration;

// An instance drains. Its job writes a checkpoint, is stopped when the report of that is in, and
// goes on elsewhere from there. Nothing new starts on the instance.
#[test]
fn checkpoint_then_stop() {
    let mut world = World::start(2);
    world.submit(
        "job",
        "gojo",
        "rebuild",
        cores(4.0),
        truth(cores(4.0), 1000),
    );
    world.run(5);
    let from = world.starts[0].1.clone();
    let end = Duration::from_secs(world.now + 300);
    world.worker(from.as_str()).availability = Availability::Draining(end);
    let mut seen = Vec::new();
    for _ in 0..12 {
        let plan = world.tick();
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
    assert!(world.board.row(&name("job")).expect("known").checkpoint > 0.0);
    assert_ne!(world.starts[1].1, from);
}

// The checkpoint is never written. The job is stopped before the drain ends all the same, since
// the reboot would otherwise cut it off in the middle of a write.
#[test]
fn stop_without_a_checkpoint() {
    let mut world = World::start(1);
    world.no_checkpoints = true;
    world.submit(
        "job",
        "gojo",
        "rebuild",
        cores(4.0),
        truth(cores(4.0), 1000),
    );
    world.run(5);
    let end = world.now + 60;
    world.worker("w0").availability = Availability::Draining(Duration::from_secs(end));
    while world.now < end - 10 {
        world.tick();
        assert!(!world.tasks.is_empty());
    }
    world.run(1);
    assert!(world.tasks.is_empty(), "stopped 10 s before the end");
}

// The first stop is lost on its way, ten seconds before the drain ends. It is sent again at once,
// since the lapse of the lease would come after the reboot.
#[test]
fn stop_is_lost() {
    let mut world = World::start(1);
    let size = cores(4.0);
    world.submit("job", "gojo", "rebuild", size, truth(size, 1000));
    world.run(5);
    let end = world.now + 15;
    world.worker("w0").availability = Availability::Draining(Duration::from_secs(end));
    world.no_checkpoints = true;
    world.run(1);
    world.deaf = true;
    world.run(1);
    world.deaf = false;
    world.run(1);
    assert!(world.tasks.is_empty());
    assert_eq!(world.now, end);
}

// Requests need the slots: jobs are slowed and none starts. Pressure that wavers between the two
// thresholds causes no calls, and when it is gone the jobs run at full speed again.
#[test]
fn throttle_under_pressure() {
    let mut world = World::start(1);
    world.submit(
        "job",
        "gojo",
        "rebuild",
        cores(1.0),
        truth(cores(1.0), 1000),
    );
    world.run(2);
    let mut fractions = Vec::new();
    for pressure in [0.9, 0.6, 0.7, 0.9, 0.4, 0.6, 0.4] {
        world.worker("w0").pressure = pressure;
        if pressure > 0.8 {
            world.submit(
                &format!("late{}", world.now),
                "gojo",
                "rebuild",
                cores(1.0),
                truth(cores(1.0), 10),
            );
            let before = world.starts.len();
            world.tick();
            assert_eq!(world.starts.len(), before, "nothing starts under pressure");
        } else {
            world.tick();
        }
        fractions.push(world.tasks[0].fraction);
    }
    let wanted = [0.1, 0.1, 0.1, 0.1, 1.0, 1.0, 1.0];
    assert!(
        fractions
            .iter()
            .zip(wanted)
            .all(|(a, b): (&f64, f64)| (a - b).abs() < 1e-9),
        "{fractions:?}"
    );
}

// An operator cancels two hundred jobs, twenty of which run, while one that ended races with it.
// One plan has all the rows and a stop for each run; what was queued never starts.
#[test]
fn cancellations_are_one_batch() {
    let mut world = World::start(5);
    for number in 0..200 {
        let seconds = if number == 0 { 5 } else { 10_000 };
        world.submit(
            &format!("j{number}"),
            "gojo",
            "rebuild",
            cores(2.0),
            truth(cores(2.0), seconds),
        );
    }
    world.run(60);
    let running = world.tasks.len();
    let starts = world.starts.len();
    assert_eq!(running, 20);
    let jobs: Vec<_> = (0..200).map(|n| name(&format!("j{n}"))).collect();
    world.board.cancel(&jobs);
    let plan = world.tick();
    assert_eq!(plan.rows.len(), 199, "all but the one that is done");
    assert_eq!(plan.actions.len(), running);
    assert!(
        plan.actions
            .iter()
            .all(|action| matches!(action, Action::Stop { .. }))
    );
    world.run(10);
    assert_eq!(world.starts.len(), starts);
    assert_eq!(world.state("j0"), &State::Done);
    assert!((1..200).all(|n| world.state(&format!("j{n}")) == &State::Cancelled));
    assert!(world.now > TICK);
}

// The controller dies between the row "cancelling" and the stop. Its successor must stop the run:
// renewed for ever, a cancelled job would go on to send its reminders.
#[test]
fn successor_stops_cancelled_runs() {
    let mut world = World::start(1);
    world.submit(
        "job",
        "gojo",
        "reminder",
        cores(1.0),
        truth(cores(1.0), 10_000),
    );
    world.run(5);
    world.board.cancel([&name("job")]);
    world.take_over();
    world.run(10);
    assert!(world.tasks.is_empty());
    assert_eq!(world.state("job"), &State::Cancelled);
}
