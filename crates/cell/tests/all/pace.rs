//! Throttling of fillers in favour of the tasks on the same worker.

use crate::{
    cases,
    fixture::{Fixture, WALL_AT_ZERO_MS, job, step, task},
};
use primroseroute_cell::Order;
use primroseroute_domain::work::Step;
use primroseroute_platform::worker::{Running, WorkerStatus};

cases! {
    filler_is_throttled_before_the_latency_target_is_reached_and_released_again => throttled();
}

fn throttled() {
    let mut fixture = Fixture::new(&["w-1"]);
    let serving = Step {
        lasting: true,
        target_ms: 100,
        ..step(1, 1_000)
    };
    let filler = Step {
        lasting: true,
        filler: true,
        ..step(1, 8_000)
    };
    let serving = fixture.accept(job(vec![serving]));
    let filler = fixture.accept(job(vec![filler]));
    fixture.execute_round();
    let mut percentages = Vec::new();
    for tail_latency in [40, 80, 90, 95, 60, 30, 20] {
        fixture.now += 1_000;
        let running = |id, load| Running {
            task: task(id, 0, 0),
            run: 1,
            checkpoint: None,
            percent: 100,
            load,
        };
        let response = WorkerStatus {
            born: 1,
            clock_ms: fixture.now,
            running: vec![running(&serving, tail_latency), running(&filler, 500)],
            ended: Vec::new(),
            foreign_ends: Vec::new(),
        };
        fixture.cell.apply_status(
            &"w-1".into(),
            &response,
            fixture.now,
            fixture.now,
            WALL_AT_ZERO_MS + fixture.now,
        );
        for order in fixture.round().orders {
            if let Order::Throttle { percent, task, .. } = order {
                assert_eq!(task.job, filler);
                percentages.push(percent);
            }
        }
    }
    assert_eq!(percentages, [33, 11, 0, 20, 40]);
}
