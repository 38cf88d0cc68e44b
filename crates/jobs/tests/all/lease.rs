//! No job has two concurrent runs despite partitioned instances, lost calls and takeovers. The
//! simulation panics when a second run starts while the first one is running.

use crate::simulation::{Simulation, TICK_SECONDS, cores, name, profile};
use primroseroute_domain::time::Instant;
use primroseroute_jobs::{Action, Availability, State};
use primroseroute_platform::task::{Phase, Report, Token};

fn with_running_job() -> Simulation {
    let mut sim = Simulation::start(2);
    sim.submit(
        "job",
        "gojo",
        "rebuild",
        cores(4.0),
        profile(cores(4.0), 100_000),
    );
    sim.run_ticks(4);
    assert_eq!(sim.starts_of("job"), 1);
    sim
}

// The instance is partitioned: its run continues, but neither reports nor stops get through. The
// lease is no longer renewed, and once it has certainly expired the job starts elsewhere.
#[test]
fn partitioned_instance() {
    let mut sim = with_running_job();
    sim.partitioned.insert(sim.starts[0].1.clone());
    sim.run_ticks(60);
    assert_eq!(sim.starts_of("job"), 2);
    assert_ne!(sim.starts[0].1, sim.starts[1].1);
}

// The controller dies after each plan, over a time longer than any lease, and its successor knows
// only the rows. The run continues, renewed by each controller, and is not started again.
#[test]
fn run_survives_repeated_takeovers() {
    let mut sim = with_running_job();
    for _ in 0..40 {
        sim.take_over();
        sim.tick();
    }
    sim.run_ticks(20);
    assert_eq!(sim.starts_of("job"), 1);
    assert_eq!(sim.tasks.len(), 1);
}

// The predecessor renewed just before it was replaced, and renews once more when it resumes. The
// successor gets no reports on the run; it must wait for the expiry of that late renewal too.
#[test]
fn late_renewal_by_the_predecessor() {
    let mut sim = with_running_job();
    let instance = sim.starts[0].1.clone();
    sim.partitioned.insert(instance);
    sim.take_over();
    // A quarter of a lease after the takeover, the suspended predecessor's renewal takes effect.
    sim.run_ticks(1);
    sim.tasks[0].lease_expires_at = sim.now + 30;
    sim.run_ticks(60);
    assert_eq!(sim.starts_of("job"), 2);
}

// The start is lost in transit: the row shows the job as running, but no run exists. It starts again
// when the lease that it would have had has expired, with a newer token.
#[test]
fn lost_start() {
    let mut sim = Simulation::start(1);
    sim.submit(
        "job",
        "gojo",
        "rebuild",
        cores(4.0),
        profile(cores(4.0), 20),
    );
    sim.calls_lost = true;
    sim.tick();
    sim.calls_lost = false;
    assert_eq!(sim.state("job"), &State::Running(name("w0")));
    sim.run_ticks(30);
    assert_eq!(sim.state("job"), &State::Done);
    assert_eq!(
        sim.scheduler.row(&name("job")).expect("known").token,
        Token(2)
    );
}

// A renewal is in flight and does not return: it may take effect at any moment, so the lease does
// not count as expired before the call has returned and another lease has passed.
#[test]
fn renewal_does_not_return() {
    let mut sim = Simulation::start(1);
    sim.submit(
        "job",
        "gojo",
        "rebuild",
        cores(4.0),
        profile(cores(4.0), 100_000),
    );
    let plan = sim.tick();
    let Action::Start(start) = &plan.actions[0] else {
        panic!("expected a start, got {plan:?}");
    };
    let (job, token) = (start.job.clone(), start.token);
    let weights = sim.weights.clone();
    let at = |seconds| std::time::Duration::from_secs(seconds);
    let mut renewals = 0;
    // There are no reports and the first renewal never returns.
    for second in (10..500).step_by(5) {
        let now = at(second);
        sim.scheduler.apply_reports(&[], now);
        let plan = sim
            .scheduler
            .plan(now, Instant::default(), &sim.workers, &weights);
        let renew = |action: &&Action| matches!(action, Action::Renew { .. });
        renewals += plan.actions.iter().filter(renew).count();
        assert_eq!(sim.state("job"), &State::Running(name("w0")));
    }
    assert_eq!(renewals, 1);
    sim.scheduler.call_returned(&job, token, at(500));
    for (second, starts) in [(530, 0), (544, 0), (545, 1)] {
        let plan = sim
            .scheduler
            .plan(at(second), Instant::default(), &sim.workers, &weights);
        assert_eq!(plan.actions.len(), starts, "at {second} s");
    }
}

// Reports on an earlier start arrive after the job was started again. They must neither end nor fail
// the new run.
#[test]
fn late_report_of_an_earlier_start() {
    let mut sim = with_running_job();
    sim.partitioned.insert(sim.starts[0].1.clone());
    sim.run_ticks(60);
    let first = sim.starts[0].1.clone();
    sim.partitioned.remove(&first);
    sim.run_ticks(10);
    assert_eq!(sim.state("job"), &State::Running(sim.starts[1].1.clone()));
    assert!(sim.now > 60 * TICK_SECONDS);
    assert_eq!(sim.starts_of("job"), 2);
}

// A successor stops a run at once, since its instance drains, and the stop is lost. The predecessor
// resumes and renews once more: the successor must wait for the expiry of that renewal too.
#[test]
fn renewal_by_the_predecessor_after_the_stop() {
    let mut sim = with_running_job();
    let instance = sim.starts[0].1.clone();
    sim.partitioned.insert(instance.clone());
    let end = std::time::Duration::from_secs(sim.now);
    sim.worker(instance.as_str()).availability = Availability::Draining(end);
    sim.take_over();
    sim.run_ticks(3);
    sim.tasks[0].lease_expires_at = sim.now + 30;
    sim.run_ticks(30);
    assert_eq!(sim.starts_of("job"), 2);
}

// The platform's reports cannot be read for minutes, while its calls work. Missing reports then say
// nothing about the run, which is renewed throughout and not started again.
#[test]
fn unreadable_reports() {
    let mut sim = with_running_job();
    sim.reports_unreadable = true;
    sim.run_ticks(100);
    sim.reports_unreadable = false;
    sim.run_ticks(10);
    assert_eq!(sim.starts_of("job"), 1);
    assert_eq!(sim.tasks.len(), 1);
}

// The instance is partitioned and the platform keeps serving its last report. Only a report that is
// newer than the last one shows that the run is alive; the lease of this one is left to expire.
#[test]
fn stale_report_is_served_repeatedly() {
    let mut sim = Simulation::start(1);
    sim.submit(
        "job",
        "gojo",
        "rebuild",
        cores(4.0),
        profile(cores(4.0), 100_000),
    );
    sim.tick();
    let row = sim.scheduler.row(&name("job")).expect("known").clone();
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
        sim.scheduler
            .apply_reports(std::slice::from_ref(&report), now);
        let plan = sim
            .scheduler
            .plan(now, Instant(0), &sim.workers, &sim.weights);
        for action in plan.actions {
            if let Action::Renew { job, token, .. } = action {
                renewals += 1;
                sim.scheduler.call_returned(&job, token, now);
            }
        }
    }
    assert!(
        (1..=7).contains(&renewals),
        "{renewals} renewals in the minute before the run counts as unresponsive"
    );
    assert!(sim.scheduler.row(&name("job")).expect("known").token > row.token);
}
