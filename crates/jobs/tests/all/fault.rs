//! Telling faulty jobs from faulty instances.

use crate::world::{Truth, World, cores, name, truth};
use primroseroute_jobs::{Reason, Row, State};

fn busy(world: &mut World, accounts: u32, jobs: u32) {
    for number in 0..accounts * jobs {
        let account = format!("a{}", number % accounts);
        world.submit(
            &format!("good{number}"),
            &account,
            "reminder",
            cores(2.0),
            truth(cores(2.0), 20),
        );
    }
}

fn broken() -> Truth {
    Truth {
        broken: true,
        ..truth(cores(2.0), 20)
    }
}

// A job can never run. It fails on distinct instances where others succeed and is parked with that
// reason; no instance is blamed, and all other jobs finish.
#[test]
fn unrunnable_job_is_parked() {
    let mut world = World::start(6);
    world.submit("bad", "a0", "rebuild", cores(2.0), broken());
    busy(&mut world, 3, 60);
    world.run(200);
    assert_eq!(world.state("bad"), &State::Parked(Reason::FailsOnHealthy));
    assert!(
        (3..=6).contains(&world.starts_of("bad")),
        "{}",
        world.starts_of("bad")
    );
    assert!(world.quarantined.is_empty());
    assert!((0..180).all(|n| world.state(&format!("good{n}")) == &State::Done));
}

// The same job in a pool with fewer instances than failures are needed: it is parked by the number
// of its tries, and does not wait for ever for an instance on which it has not failed.
#[test]
fn unrunnable_job_in_a_small_pool() {
    let mut world = World::start(1);
    world.submit("bad", "a0", "rebuild", cores(2.0), broken());
    world.run(100);
    assert_eq!(world.state("bad"), &State::Parked(Reason::FailsEverywhere));
    assert_eq!(world.starts_of("bad"), 6);
}

// An instance fails everything from its first job on. It is quarantined after three jobs, which
// are not parked for it and finish elsewhere.
#[test]
fn instance_that_fails_everything_from_the_start() {
    let mut world = World::start(6);
    world.bad.insert(name("w0"));
    busy(&mut world, 3, 40);
    world.run(200);
    assert!(world.quarantined.contains(&name("w0")));
    assert!(world.starts_on("w0") <= 3, "{}", world.starts_on("w0"));
    let blamed = |row: &&Row| row.failed_on.contains(&name("w0"));
    assert_eq!(world.board.rows().filter(blamed).count(), 0);
    assert!((0..120).all(|n| world.state(&format!("good{n}")) == &State::Done));
}

// An instance begins to fail everything while it runs four jobs. Besides these it takes at most
// two more before it is out of use, however many jobs wait: fast failures must not draw work.
#[test]
fn instance_that_begins_to_fail() {
    let mut world = World::start(6);
    busy(&mut world, 3, 100);
    world.run(20);
    let before = world.starts_on("w3");
    world.bad.insert(name("w3"));
    world.run(200);
    assert!(world.quarantined.contains(&name("w3")));
    // A report lags by three ticks, in which the instance is taken for healthy: its four places
    // are given out again once at most before the first failure is known.
    let taken = world.starts_on("w3") - before;
    assert!(taken <= 6, "{taken} jobs after it began to fail");
    assert!((0..300).all(|n| world.state(&format!("good{n}")) == &State::Done));
}

// One owner submits eighty jobs that can never run, each of its own. All instances see failures,
// none is at fault; other owners' jobs finish meanwhile and each broken job is parked.
#[test]
fn batch_of_broken_jobs() {
    let mut world = World::start(6);
    for number in 0..80 {
        world.submit(
            &format!("bad{number}"),
            "a0",
            "rebuild",
            cores(2.0),
            broken(),
        );
    }
    busy(&mut world, 3, 60);
    world.run(2000);
    assert!(world.quarantined.is_empty(), "{:?}", world.quarantined);
    for number in 0..80 {
        let job = format!("bad{number}");
        assert!(
            matches!(world.state(&job), State::Parked(_)),
            "{:?}",
            world.state(&job)
        );
        assert!(world.starts_of(&job) <= 6);
    }
    assert!((0..180).all(|n| world.state(&format!("good{n}")) == &State::Done));
}

// A parked job was mended. The operator releases it, its failures are forgotten, and it runs.
#[test]
fn parked_job_is_released() {
    let mut world = World::start(1);
    world.submit("bad", "a0", "rebuild", cores(2.0), broken());
    world.run(100);
    let mut row = world.board.row(&name("bad")).expect("known").clone();
    row.release().expect("it is parked");
    assert!(row.release().is_err(), "it is queued by now");
    world.board.add(row);
    world.truths.insert(name("bad"), truth(cores(2.0), 20));
    world.run(20);
    assert_eq!(world.state("bad"), &State::Done);
}

// The first three instances fail everything, and the first job meets one after the other. Nothing
// has ever worked on them, so these failures do not show that the job is at fault.
#[test]
fn good_job_meets_three_bad_instances() {
    let mut world = World::start(4);
    for id in ["w0", "w1", "w2"] {
        world.bad.insert(name(id));
    }
    world.submit("good", "a0", "rebuild", cores(2.0), truth(cores(2.0), 20));
    world.run(60);
    assert_eq!(world.starts_of("good"), 4);
    assert_eq!(world.state("good"), &State::Done);
}

// An instance fails every job after 100 s, when each has long counted as proof that it can work.
// That proof must not clear the failures before it, or the instance would fail jobs for ever.
#[test]
fn instance_that_fails_late() {
    let mut world = World::start(4);
    world.late.insert(name("w0"));
    for number in 0..30 {
        let job = format!("good{number}");
        world.submit(&job, "a0", "rebuild", cores(8.0), truth(cores(8.0), 200));
    }
    world.run(900);
    assert!(world.quarantined.contains(&name("w0")));
    assert!(world.starts_on("w0") <= 3, "{}", world.starts_on("w0"));
    assert!((0..30).all(|n| world.state(&format!("good{n}")) == &State::Done));
}

// Three broken jobs of a kind that works come one after the other, and each is parked. Their
// failures are theirs: together they must not quarantine the instance.
#[test]
fn failures_of_parked_jobs_are_not_the_instances() {
    let mut world = World::start(1);
    world.submit("good", "a0", "rebuild", cores(2.0), truth(cores(2.0), 20));
    world.run(20);
    for number in 0..3 {
        let job = format!("bad{number}");
        world.submit(&job, "a0", "rebuild", cores(2.0), broken());
        world.run(100);
        assert!(matches!(world.state(&job), State::Parked(_)));
    }
    assert!(world.quarantined.is_empty());
}
