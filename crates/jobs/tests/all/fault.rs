//! Attribution of failures to jobs or instances.

use crate::simulation::{Profile, Simulation, cores, name, profile};
use primroseroute_jobs::{Reason, Row, State};

fn submit_good_jobs(sim: &mut Simulation, accounts: u32, jobs: u32) {
    for number in 0..accounts * jobs {
        let account = format!("a{}", number % accounts);
        sim.submit(
            &format!("good{number}"),
            &account,
            "reminder",
            cores(2.0),
            profile(cores(2.0), 20),
        );
    }
}

fn broken_profile() -> Profile {
    Profile {
        broken: true,
        ..profile(cores(2.0), 20)
    }
}

// A job always fails. It fails on distinct instances where others succeed and is parked with that
// reason; no instance is quarantined, and all other jobs finish.
#[test]
fn failing_job_is_parked() {
    let mut sim = Simulation::start(6);
    sim.submit("bad", "a0", "rebuild", cores(2.0), broken_profile());
    submit_good_jobs(&mut sim, 3, 60);
    sim.run_ticks(200);
    assert_eq!(sim.state("bad"), &State::Parked(Reason::FailsOnHealthy));
    assert!(
        (3..=6).contains(&sim.starts_of("bad")),
        "{}",
        sim.starts_of("bad")
    );
    assert!(sim.quarantined.is_empty());
    assert!((0..180).all(|n| sim.state(&format!("good{n}")) == &State::Done));
}

// The same job in a pool with fewer instances than the failures needed: it is parked by its number
// of attempts, and does not wait for ever for an instance on which it has not failed.
#[test]
fn failing_job_in_a_small_pool_is_parked() {
    let mut sim = Simulation::start(1);
    sim.submit("bad", "a0", "rebuild", cores(2.0), broken_profile());
    sim.run_ticks(100);
    assert_eq!(sim.state("bad"), &State::Parked(Reason::FailsEverywhere));
    assert_eq!(sim.starts_of("bad"), 6);
}

// An instance fails every job from the first one. It is quarantined after three jobs, which are not
// parked and finish elsewhere.
#[test]
fn instance_that_fails_every_job_is_quarantined() {
    let mut sim = Simulation::start(6);
    sim.failing.insert(name("w0"));
    submit_good_jobs(&mut sim, 3, 40);
    sim.run_ticks(200);
    assert!(sim.quarantined.contains(&name("w0")));
    assert!(sim.starts_on("w0") <= 3, "{}", sim.starts_on("w0"));
    let has_failure = |row: &&Row| row.failed_on.contains(&name("w0"));
    assert_eq!(sim.scheduler.rows().filter(has_failure).count(), 0);
    assert!((0..120).all(|n| sim.state(&format!("good{n}")) == &State::Done));
}

// An instance begins to fail every job while it runs four jobs. Besides these it receives at most
// two more before it is quarantined, however many jobs wait: fast failures must not attract work.
#[test]
fn instance_that_begins_to_fail_is_quarantined() {
    let mut sim = Simulation::start(6);
    submit_good_jobs(&mut sim, 3, 100);
    sim.run_ticks(20);
    let before = sim.starts_on("w3");
    sim.failing.insert(name("w3"));
    sim.run_ticks(200);
    assert!(sim.quarantined.contains(&name("w3")));
    // Reports lag by three ticks, in which the instance counts as healthy: its four slots are
    // assigned again at most once before the first failure is known.
    let taken = sim.starts_on("w3") - before;
    assert!(taken <= 6, "{taken} jobs after it began to fail");
    assert!((0..300).all(|n| sim.state(&format!("good{n}")) == &State::Done));
}

// One owner submits eighty jobs that always fail. All instances have failures, but none is faulty;
// other owners' jobs finish meanwhile and each broken job is parked.
#[test]
fn batch_of_broken_jobs_quarantines_no_instance() {
    let mut sim = Simulation::start(6);
    for number in 0..80 {
        sim.submit(
            &format!("bad{number}"),
            "a0",
            "rebuild",
            cores(2.0),
            broken_profile(),
        );
    }
    submit_good_jobs(&mut sim, 3, 60);
    sim.run_ticks(2000);
    assert!(sim.quarantined.is_empty(), "{:?}", sim.quarantined);
    for number in 0..80 {
        let job = format!("bad{number}");
        assert!(
            matches!(sim.state(&job), State::Parked(_)),
            "{:?}",
            sim.state(&job)
        );
        assert!(sim.starts_of(&job) <= 6);
    }
    assert!((0..180).all(|n| sim.state(&format!("good{n}")) == &State::Done));
}

// A parked job was repaired. The operator releases it, its failures are cleared, and it runs.
#[test]
fn parked_job_is_released() {
    let mut sim = Simulation::start(1);
    sim.submit("bad", "a0", "rebuild", cores(2.0), broken_profile());
    sim.run_ticks(100);
    let mut row = sim.scheduler.row(&name("bad")).expect("known").clone();
    row.release().expect("it is parked");
    assert!(row.release().is_err(), "it is queued by now");
    sim.scheduler.add(row);
    sim.profiles.insert(name("bad"), profile(cores(2.0), 20));
    sim.run_ticks(20);
    assert_eq!(sim.state("bad"), &State::Done);
}

// The first three instances fail every job, and the first job runs on one after the other. No job
// has ever succeeded on them, so these failures do not show that the job is faulty.
#[test]
fn job_that_fails_on_three_faulty_instances_is_not_parked() {
    let mut sim = Simulation::start(4);
    for id in ["w0", "w1", "w2"] {
        sim.failing.insert(name(id));
    }
    sim.submit("good", "a0", "rebuild", cores(2.0), profile(cores(2.0), 20));
    sim.run_ticks(60);
    assert_eq!(sim.starts_of("good"), 4);
    assert_eq!(sim.state("good"), &State::Done);
}

// An instance fails every job after 100 s, when each has already counted as proof that the instance
// works. That proof must not clear earlier failures, or the instance would fail jobs for ever.
#[test]
fn instance_that_fails_jobs_late_is_quarantined() {
    let mut sim = Simulation::start(4);
    sim.failing_late.insert(name("w0"));
    for number in 0..30 {
        let job = format!("good{number}");
        sim.submit(&job, "a0", "rebuild", cores(8.0), profile(cores(8.0), 200));
    }
    sim.run_ticks(900);
    assert!(sim.quarantined.contains(&name("w0")));
    assert!(sim.starts_on("w0") <= 3, "{}", sim.starts_on("w0"));
    assert!((0..30).all(|n| sim.state(&format!("good{n}")) == &State::Done));
}

// Three broken jobs of a working kind arrive one after the other, and each is parked. Their failures
// are attributed to them: together they must not quarantine the instance.
#[test]
fn failures_of_parked_jobs_do_not_count_against_the_instance() {
    let mut sim = Simulation::start(1);
    sim.submit("good", "a0", "rebuild", cores(2.0), profile(cores(2.0), 20));
    sim.run_ticks(20);
    for number in 0..3 {
        let job = format!("bad{number}");
        sim.submit(&job, "a0", "rebuild", cores(2.0), broken_profile());
        sim.run_ticks(100);
        assert!(matches!(sim.state(&job), State::Parked(_)));
    }
    assert!(sim.quarantined.is_empty());
}
