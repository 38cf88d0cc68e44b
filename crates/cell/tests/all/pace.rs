//! Fillers give way to the tasks that they run beside.

use crate::{
    bed::{Bed, WALL, job, step, task},
    cases,
};
use primroseroute_cell::Order;
use primroseroute_domain::work::Step;
use primroseroute_platform::worker::{Running, WorkerStatus};

cases! {
    filler_is_slowed_before_the_target_and_sped_up_again => slowed();
}

fn slowed() {
    let mut bed = Bed::new(&["w-1"]);
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
    let serving = bed.accept(job(vec![serving]));
    let filler = bed.accept(job(vec![filler]));
    bed.tick();
    let mut paces = Vec::new();
    for tail in [40, 80, 90, 95, 60, 30, 20] {
        bed.now += 1_000;
        let running = |id, load| Running {
            task: task(id, 0, 0),
            run: 1,
            checkpoint: None,
            percent: 100,
            load,
        };
        let look = WorkerStatus {
            born: 1,
            clock_ms: bed.now,
            running: vec![running(&serving, tail), running(&filler, 500)],
            ended: Vec::new(),
        };
        bed.cell
            .look(&"w-1".into(), &look, bed.now, bed.now, WALL + bed.now);
        for order in bed.round().orders {
            if let Order::Pace { percent, task, .. } = order {
                assert_eq!(task.job, filler);
                paces.push(percent);
            }
        }
    }
    assert_eq!(paces, [33, 11, 0, 20, 40]);
}
