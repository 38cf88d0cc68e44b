//! No job runs twice at once: cut-off instances, lost calls, take-overs. The fake panics where a
//! second run starts while the first one runs.

use crate::world::{TICK, World, cores, name, truth};
use primroseroute_domain::time::Instant;
use primroseroute_jobs::{Action, Availability, State};
use primroseroute_platform::task::{Phase, Report, Token};

fn world() -> World {
    let mut world = World::start(2);
    world.submit(
        "job",
        "gojo",
        "rebuild",
        cores(4.0),
        truth(cores(4.0), 100_000),
    );
    world.run(4);
    assert_eq!(world.starts_of("job"), 1);
    world
}

// The instance is cut off: it runs on, but no report and no stop gets through. Its lease is renewed
// no further, and once it has surely lapsed the job starts elsewhere.
#[test]
fn cut_off_instance() {
    let mut world = world();
    world.cut.insert(world.starts[0].1.clone());
    world.run(60);
    assert_eq!(world.starts_of("job"), 2);
    assert_ne!(world.starts[0].1, world.starts[1].1);
}

// The controller dies after each plan, for longer than all leases together, and its successor
// knows only the rows. The run goes on, renewed by each, and is not started again.
#[test]
fn controllers_come_and_go() {
    let mut world = world();
    for _ in 0..40 {
        world.take_over();
        world.tick();
    }
    world.run(20);
    assert_eq!(world.starts_of("job"), 1);
    assert_eq!(world.tasks.len(), 1);
}

// The predecessor renewed just before it died and renews once more when it wakes. The successor
// hears nothing of the run; it must wait for the lapse of that late renewal too.
#[test]
fn predecessor_renews_late() {
    let mut world = world();
    let instance = world.starts[0].1.clone();
    world.cut.insert(instance);
    world.take_over();
    // A quarter of a lease after the take-over, the sleeper's renewal gets through.
    world.run(1);
    world.tasks[0].lapses = world.now + 30;
    world.run(60);
    assert_eq!(world.starts_of("job"), 2);
}

// The start is lost on its way: the row says that the job runs, and nothing does. It starts again
// when the lease that it would have had has lapsed, with a newer token.
#[test]
fn start_is_lost() {
    let mut world = World::start(1);
    world.submit("job", "gojo", "rebuild", cores(4.0), truth(cores(4.0), 20));
    world.deaf = true;
    world.tick();
    world.deaf = false;
    assert_eq!(world.state("job"), &State::Running(name("w0")));
    world.run(30);
    assert_eq!(world.state("job"), &State::Done);
    assert_eq!(
        world.board.row(&name("job")).expect("known").token,
        Token(2)
    );
}

// A renewal is on its way and its answer does not come: it may take effect at any moment, so the
// lease does not count as lapsed before the call has returned and a lease has passed.
#[test]
fn renewal_hangs() {
    let mut world = World::start(1);
    world.submit(
        "job",
        "gojo",
        "rebuild",
        cores(4.0),
        truth(cores(4.0), 100_000),
    );
    let plan = world.tick();
    let Action::Start(start) = &plan.actions[0] else {
        panic!("expected a start, got {plan:?}");
    };
    let (job, token) = (start.job.clone(), start.token);
    let weights = world.weights.clone();
    let at = |seconds| std::time::Duration::from_secs(seconds);
    let mut renewals = 0;
    // Nothing is heard and the first renewal never returns.
    for second in (10..500).step_by(5) {
        let now = at(second);
        world.board.report(&[], now);
        let plan = world
            .board
            .plan(now, Instant::default(), &world.workers, &weights);
        let renew = |action: &&Action| matches!(action, Action::Renew { .. });
        renewals += plan.actions.iter().filter(renew).count();
        assert_eq!(world.state("job"), &State::Running(name("w0")));
    }
    assert_eq!(renewals, 1);
    world.board.returned(&job, token, at(500));
    for (second, starts) in [(530, 0), (544, 0), (545, 1)] {
        let plan = world
            .board
            .plan(at(second), Instant::default(), &world.workers, &weights);
        assert_eq!(plan.actions.len(), starts, "at {second} s");
    }
}

// Reports of an earlier start come late, after the job was started again. They must neither end
// nor fail the new run.
#[test]
fn late_report_of_an_earlier_start() {
    let mut world = world();
    world.cut.insert(world.starts[0].1.clone());
    world.run(60);
    let first = world.starts[0].1.clone();
    world.cut.remove(&first);
    world.run(10);
    assert_eq!(
        world.state("job"),
        &State::Running(world.starts[1].1.clone())
    );
    assert!(world.now > 60 * TICK);
    assert_eq!(world.starts_of("job"), 2);
}

// A successor stops a run at once, since its instance drains, and the stop is lost. The predecessor
// wakes and renews once more: the successor must wait for the lapse of that renewal too.
#[test]
fn predecessor_renews_after_the_stop() {
    let mut world = world();
    let instance = world.starts[0].1.clone();
    world.cut.insert(instance.clone());
    let end = std::time::Duration::from_secs(world.now);
    world.worker(instance.as_str()).availability = Availability::Draining(end);
    world.take_over();
    world.run(3);
    world.tasks[0].lapses = world.now + 30;
    world.run(30);
    assert_eq!(world.starts_of("job"), 2);
}

// The platform's reports cannot be read for minutes, while its calls work. Silence then says
// nothing about the run, which is renewed all the time and not started anew.
#[test]
fn reports_cannot_be_read() {
    let mut world = world();
    world.unread = true;
    world.run(100);
    world.unread = false;
    world.run(10);
    assert_eq!(world.starts_of("job"), 1);
    assert_eq!(world.tasks.len(), 1);
}

// The instance is cut off and the platform serves its last report again and again. Only a report
// that is newer than the last one shows that the run lives; this one is left to lapse.
#[test]
fn last_report_is_served_again() {
    let mut world = World::start(1);
    world.submit(
        "job",
        "gojo",
        "rebuild",
        cores(4.0),
        truth(cores(4.0), 100_000),
    );
    world.tick();
    let row = world.board.row(&name("job")).expect("known").clone();
    let report = Report {
        job: row.id.clone(),
        instance: name("w0"),
        token: row.token,
        phase: Phase::Running,
        usage: cores(4.0),
        checkpoint: 0.0,
        as_of: Instant(1),
    };
    let mut renewals = 0;
    for second in (5..300).step_by(5) {
        let now = std::time::Duration::from_secs(second);
        world.board.report(std::slice::from_ref(&report), now);
        let plan = world
            .board
            .plan(now, Instant(0), &world.workers, &world.weights);
        for action in plan.actions {
            if let Action::Renew { job, token, .. } = action {
                renewals += 1;
                world.board.returned(&job, token, now);
            }
        }
    }
    assert!(
        (1..=7).contains(&renewals),
        "{renewals} renewals in the minute before the silence"
    );
    assert!(world.board.row(&name("job")).expect("known").token > row.token);
}
