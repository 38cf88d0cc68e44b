//! How many workers a pool asks for. Each has ten cores.

use crate::{
    bed::{Bed, job, step, task},
    cases,
};
use primroseroute_cell::{Need, Purpose};
use primroseroute_domain::work::{End, Name, Step};

cases! {
    pool_without_jobs_wants_one_worker => assert_eq!(wanted(&mut Bed::new(&["w-1", "w-2"])), 1);
    running_and_waiting_tasks_count_with_headroom => running_and_waiting();
    short_tasks_that_wait_share_workers => short_tasks();
    tasks_that_must_be_spread_want_a_worker_each => spread();
    hopeless_jobs_ask_for_nothing => hopeless();
    steady_arrivals_ask_for_what_they_will_occupy => steady();
    rise_of_arrivals_is_taken_to_go_on => rise();
    arrivals_that_end_are_forgotten => ebb();
    turn_of_many_jobs_is_seen_as_it_is => turn();
    one_job_is_no_rate => one_job();
    jobs_that_a_new_owner_finds_have_not_just_come => found();
    late_work_is_counted_by_itself => late();
    /// A task of a spread step that waits for good, since the only worker without another one of it is full of lasting tasks.
    spread_task_that_fits_nowhere_asks_for_another_worker => crowded();
    /// Tasks that wait for their trials on no worker, since a few cores would hold them all.
    tasks_that_wait_for_trials_ask_for_workers => trials();
    work_that_runs_past_its_objective_is_late => runs_late();
    fall_is_followed_after_a_while => fall();
    pool_without_work_yet_keeps_what_it_was_given => given();
    pool_that_gets_no_work_gives_up_what_it_was_given => untried();
    silent_worker_is_replaced => silent();
    worker_emptied_for_maintenance_is_replaced => emptied();
}

fn need(bed: &mut Bed) -> Need {
    bed.now += 25;
    let tick = bed.round();
    for order in &tick.orders {
        bed.carry_out(order);
    }
    tick.need
}

fn wanted(bed: &mut Bed) -> u64 {
    need(bed).workers
}

/// Found by a new owner: four tasks of five cores and two seconds run on two workers, and four wait: 40 cores and a quarter
/// more are five workers.
fn running_and_waiting() {
    let mut bed = Bed::unseen(&["w-1", "w-2"]);
    let long = Step {
        estimate_ms: 2_000,
        ..step(8, 5_000)
    };
    bed.accept(job(vec![long]));
    let need = need(&mut bed);
    assert_eq!(need.runs.cpu, 20_000);
    assert_eq!(need.waits.cpu, 20_000);
    assert_eq!(need.workers, 5);
}

/// Sixty tasks of one core and a tenth of a second wait beside ten that run: six cores do them in a
/// second.
fn short_tasks() {
    let mut bed = Bed::new(&["w-1"]);
    let short = Step {
        estimate_ms: 100,
        ..step(70, 1_000)
    };
    bed.accept(job(vec![short]));
    assert_eq!(need(&mut bed).waits.cpu, 6_000);
}

fn spread() {
    let mut bed = Bed::new(&["w-1", "w-2"]);
    let apart = Step {
        most_per_worker: 1,
        ..step(7, 100)
    };
    bed.accept(job(vec![apart]));
    assert_eq!(wanted(&mut bed), 7);
}

/// Past three times its objective of 2.5 s a job earns nothing; it goes on where there is room.
fn hopeless() {
    let mut bed = Bed::new(&["w-1"]);
    bed.accept(job(vec![step(9, 9_000)]));
    assert!(need(&mut bed).waits.cpu > 0);
    bed.now += 8_000;
    assert_eq!(need(&mut bed).waits.cpu, 0);
}

/// Lets jobs of one task of five cores and a second come in, one each `gap` ms, for `span` ms.
fn arrive(bed: &mut Bed, gap: u64, span: u64) -> Need {
    let mut last = need(bed);
    let until = bed.now + span;
    let mut next = bed.now + gap;
    while bed.now < until {
        if bed.now >= next {
            next += gap;
            bed.accept(job(vec![step(1, 5_000)]));
        }
        last = need(bed);
        bed.look();
    }
    last
}

/// A busy queue whose demand stays as it is: twenty jobs a second of five cores and a second occupy a hundred
/// cores, however many of them have found room so far.
fn steady() {
    let mut bed = Bed::new(&["w-1"]);
    let need = arrive(&mut bed, 50, 4_000);
    assert_eq!(need.expected.cpu, 100_000);
    assert!(need.runs.cpu <= 10_000);
}

/// The start of a turn: jobs come in six times as fast as before. More is asked for than they need at this
/// rate, and no more than three times as much.
fn rise() {
    let mut bed = Bed::new(&["w-1", "w-2"]);
    let before = arrive(&mut bed, 600, 3_600);
    assert!(before.expected.cpu <= 10_000, "{before:?}");
    let risen = arrive(&mut bed, 100, 600);
    let now = 50_000;
    assert!(risen.expected.cpu > 2 * now, "{risen:?}");
    assert!(risen.expected.cpu <= 3 * now, "{risen:?}");
}

/// The end of a turn: nothing comes in any more, and nothing is expected 0.6 s later.
fn ebb() {
    let mut bed = Bed::new(&["w-1", "w-2"]);
    assert!(arrive(&mut bed, 100, 2_000).expected.cpu > 0);
    assert_eq!(arrive(&mut bed, 10_000, 700).expected.cpu, 0);
}

/// A queue with a job now and then: a large one after none is no rise. It needs four workers, and asks for less
/// than three times that until it has gone from the rate.
fn one_job() {
    let mut bed = Bed::new(&["w-1", "w-2"]);
    arrive(&mut bed, 10_000, 3_000);
    bed.accept(job(vec![step(8, 5_000)]));
    let need = need(&mut bed);
    assert!(need.workers < 3 * 4, "{need:?}");
}

/// A new owner loads forty jobs that have waited since its predecessor died. They count as waiting, and not as a
/// rate at which more will come.
fn found() {
    let mut bed = Bed::unseen(&["w-1"]);
    for _job in 0..40 {
        bed.accept(job(vec![step(1, 5_000)]));
    }
    bed.look();
    let need = need(&mut bed);
    assert_eq!(need.expected.cpu, 0);
    assert!(need.now >= 20, "{need:?}");
}

/// Nine tasks of nine cores have waited for longer than their objective. They ask for workers only beyond
/// what work in time has use for, until they earn nothing at all.
fn late() {
    let mut bed = Bed::new(&["w-1"]);
    bed.accept(job(vec![step(9, 9_000)]));
    let early = need(&mut bed);
    assert_eq!((early.now, early.late), (9, 0));
    bed.now += 2_000;
    bed.look();
    let later = need(&mut bed);
    assert_eq!((later.now, later.late), (1, 8), "{later:?}");
}

/// A run goes on past its job's objective of 2.5 s: it is late now.
fn runs_late() {
    let mut bed = Bed::new(&["w-1", "w-2", "w-3"]);
    bed.accept(job(vec![step(3, 9_000)]));
    let early = need(&mut bed);
    assert_eq!((early.now, early.late), (3, 0));
    bed.after(2_600);
    let later = need(&mut bed);
    assert_eq!((later.now, later.late), (1, 2), "{later:?}");
}

/// Others may have a worker as soon as it isn't needed, and it may be switched off after two seconds.
fn fall() {
    let mut bed = Bed::unseen(&["w-1", "w-2", "w-3"]);
    let id = bed.accept(job(vec![step(3, 5_000)]));
    wanted(&mut bed);
    for (worker, runs) in bed.running.clone() {
        for task in runs.into_keys().filter(|task| task.job == id) {
            bed.end(&worker, &task, End::Done);
        }
    }
    bed.look();
    let before = need(&mut bed);
    assert_eq!((before.workers, before.kept), (1, 2));
    bed.now += 1_900;
    bed.look();
    assert_eq!(need(&mut bed).kept, 2);
    bed.now += 100;
    bed.look();
    assert_eq!(need(&mut bed).kept, 1);
}

/// Workers that are expected to be occupied while jobs of a task of ten cores and half a second come in for `rounds` rounds, `jobs`
/// of them a round of 25 ms.
fn expected(bed: &mut Bed, jobs: usize, rounds: usize) -> Vec<u64> {
    let one = Step {
        estimate_ms: 500,
        ..step(1, 10_000)
    };
    let round = |_round| {
        for _job in 0..jobs {
            bed.accept(job(vec![one.clone()]));
        }
        need(bed).expected.cpu / 10_000
    };
    (0..rounds).map(round).collect()
}

/// A turn begins from one moment to the next: 400 jobs a second that will occupy 200 workers of ten cores. Within a fifth of a
/// second as many are expected, and at no time many more: each one too many is moved there and back.
fn turn() {
    let mut bed = Bed::new(&["w-1"]);
    expected(&mut bed, 0, 100);
    let expected = expected(&mut bed, 10, 60);
    let first = expected.iter().position(|workers| *workers >= 180);
    assert!(first.is_some_and(|first| first < 8), "{expected:?}");
    let most = expected.iter().max();
    assert!(most.is_some_and(|most| *most <= 260), "{expected:?}");
}

/// A site starts, and its pools have nothing to do until the first turn. Lasting tasks are no turn. Once work has come in, and
/// has ended, what isn't needed is given up.
fn given() {
    let mut bed = Bed::new(&["w-1", "w-2", "w-3"]);
    let lasting = Step {
        lasting: true,
        ..step(1, 1_000)
    };
    bed.accept(job(vec![lasting]));
    bed.now += 10_000;
    bed.look();
    let need = need(&mut bed);
    assert_eq!((need.workers, need.kept), (1, 3));
    let id = bed.accept(job(vec![step(1, 1_000)]));
    wanted(&mut bed);
    for (worker, runs) in bed.running.clone() {
        for task in runs.into_keys().filter(|task| task.job == id) {
            bed.end(&worker, &task, End::Done);
        }
    }
    bed.now += 10_000;
    bed.look();
    assert_eq!(self::need(&mut bed).kept, 1);
}

/// No work ever comes: after a minute the pool is like any other.
fn untried() {
    let mut bed = Bed::new(&["w-1", "w-2", "w-3"]);
    assert_eq!(need(&mut bed).kept, 3);
    bed.now += 60_000;
    bed.look();
    assert_eq!(need(&mut bed).kept, 1);
}

/// A worker that was there and is silent is no help: another is asked for in its place. One that has
/// just come and wasn't looked at yet is waited for.
fn silent() {
    let mut bed = Bed::new(&["w-1", "w-2"]);
    assert_eq!(wanted(&mut bed), 1);
    bed.cell.register(crate::bed::worker("w-3"));
    assert_eq!(wanted(&mut bed), 1);
    bed.running.remove(&Name::from("w-2"));
    bed.now += 4_000;
    bed.look_at(&"w-1".into());
    assert_eq!(need(&mut bed).unfit, 1);
}

/// A lasting task is on one of two workers of which neither has room for another. The one that is due for
/// maintenance can't be emptied before a third worker is there.
fn emptied() {
    let mut bed = Bed::new(&["w-1", "w-2"]);
    let lasting = Step {
        lasting: true,
        ..step(2, 6_000)
    };
    bed.accept(job(vec![lasting]));
    let before = need(&mut bed);
    assert_eq!((before.now, before.unfit), (2, 0));
    bed.cell.empty(&"w-1".into(), Some(Purpose::Move));
    assert_eq!(need(&mut bed).unfit, 0);
    bed.cell.empty(&"w-1".into(), Some(Purpose::Maintenance));
    let after = need(&mut bed);
    assert_eq!((after.now, after.unfit), (3, 1));
}

/// Three tasks have crashed two workers, and are past all hope besides: each has to be tried alone, and no worker is there.
fn trials() {
    let mut bed = Bed::unseen(&["w-1", "w-2"]);
    let id = bed.accept(job(vec![step(3, 1_000)]));
    for on in ["w-1", "w-2"] {
        bed.tick();
        bed.after(10);
        assert_eq!(bed.on(&task(&id, 0, 0)), [Name::from(on)]);
        bed.running.remove(on);
        let now = bed.now;
        assert!(bed.cell.gone(&on.into(), 1, now));
    }
    let first = need(&mut bed);
    assert_eq!(first.now + first.late, 4);
    bed.now += 60_000;
    let later = need(&mut bed);
    assert_eq!((later.now, later.late), (1, 3));
}

/// Ten lasting tasks fill one worker; of two that must be spread, one has the other worker to itself.
fn crowded() {
    let mut bed = Bed::unseen(&["w-1", "w-2"]);
    let lasting = |count, most_per_worker| Step {
        lasting: true,
        most_per_worker,
        ..step(count, 1_000)
    };
    bed.accept(job(vec![lasting(10, 0)]));
    need(&mut bed);
    bed.accept(job(vec![lasting(2, 1)]));
    need(&mut bed);
    assert_eq!(need(&mut bed).now, 3);
}
