//! Builders of configurations and jobs.

use super::{ATTEMPTS, OTHER, POOL, STANDBY};
use primroseroute_domain::work::{Demand, Job, JobId, Step, TaskId};
use primroseroute_platform::site::{Configuration, Pool, Queue, RequestLimits};
use std::time::Duration;

pub(crate) fn configuration(number: u64, pool: &str) -> Configuration {
    let pools = [POOL, OTHER].map(|name| Pool {
        name: name.into(),
        rejects_overload: true,
        standby: false,
    });
    Configuration {
        number,
        queues: vec![Queue {
            name: "holds".into(),
            host: "stay.example".into(),
            path: "/stay/".into(),
            pool: pool.into(),
            priority: 0,
            max_attempts: ATTEMPTS,
            stretch: 1.6,
            target_ms: 600,
            needs_ticket: false,
        }],
        pools: pools.into(),
        limits: RequestLimits {
            head_bytes: 16_384,
            body_bytes: 262_144,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}

/// Adds a standby pool, whose instances are switched off.
pub(crate) fn with_standby(mut configuration: Configuration) -> Configuration {
    configuration.pools.push(Pool {
        name: STANDBY.into(),
        rejects_overload: true,
        standby: true,
    });
    configuration
}

/// A step of `count` tasks of two cores each.
pub(crate) fn step(count: u16) -> Step {
    Step {
        count,
        demand: Demand {
            cpu: 2_000,
            memory: 1_000,
            accelerators: 0,
        },
        estimate_ms: 500,
        ..Step::default()
    }
}

/// A single-step job whose tasks behave as `payload` says.
pub(crate) fn job(payload: &str, count: u16) -> Job {
    Job {
        payload: payload.into(),
        steps: vec![step(count)],
        schedule: None,
    }
}

/// A job of long-running tasks, each on a separate worker, at most one of which may be unavailable.
pub(crate) fn long_running(count: u16) -> Job {
    let step = Step {
        lasting: true,
        may_miss: 1,
        most_per_worker: 1,
        ..step(count)
    };
    Job {
        payload: "lasts".into(),
        steps: vec![step],
        schedule: None,
    }
}

pub(crate) fn task(job: &JobId, step: u16, index: u16) -> TaskId {
    TaskId {
        job: job.clone(),
        occurrence: 0,
        step,
        index,
    }
}
