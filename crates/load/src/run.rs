//! Execution of a plan.

use crate::{
    arrival::Arrivals,
    client::Client,
    outcome::Outcome,
    plan::{InvalidPlan, Loop, Plan, weighted_index},
    record::Record,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use tokio::{runtime::Handle, sync::Semaphore, task};

/// State shared by all senders of one run.
#[derive(Debug)]
struct Run {
    plan: Plan,
    clients: Vec<Client>,
    record: Record,
    started: Instant,
    sent: AtomicU64,
}

/// One randomly drawn request.
#[derive(Clone, Copy, Debug)]
struct RequestDraw {
    number: u64,
    target: usize,
    profile: usize,
}

/// Draws targets and profiles by weight.
#[derive(Debug)]
struct RequestSampler {
    random: ChaCha8Rng,
    targets: Vec<f64>,
    profiles: Vec<f64>,
}

impl RequestSampler {
    fn open(plan: &Plan, stream: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
        random.set_stream(stream);
        Self {
            random,
            targets: plan.targets.iter().map(|target| target.weight).collect(),
            profiles: plan.mix.iter().map(|profile| profile.weight).collect(),
        }
    }

    fn next(&mut self, number: u64) -> RequestDraw {
        RequestDraw {
            number,
            target: weighted_index(&self.targets, &mut self.random),
            profile: weighted_index(&self.profiles, &mut self.random),
        }
    }
}

impl Run {
    fn length(&self) -> Duration {
        self.plan.warm_up + self.plan.measured
    }

    /// The number of the next request, or `None` once the plan's number of requests is reached.
    fn number(&self) -> Option<u64> {
        let number = self.sent.fetch_add(1, Ordering::Relaxed);
        (number < self.plan.requests).then_some(number)
    }

    async fn send(&self, drawn: RequestDraw, due: Duration) {
        let profile = &self.plan.mix[drawn.profile];
        let key = format!("{}-{}", self.plan.seed, drawn.number);
        let client = &self.clients[drawn.target];
        let ended = client.send(profile, &key, self.plan.timeout).await;
        let times = (due, self.started.elapsed());
        self.record
            .count(&self.plan, drawn.number, drawn.profile, times, ended);
    }

    async fn call(self: Arc<Self>, caller: u64) {
        let mut sampler = RequestSampler::open(&self.plan, caller + 1);
        while self.started.elapsed() < self.length() {
            let Some(number) = self.number() else { return };
            let drawn = sampler.next(number);
            self.send(drawn, self.started.elapsed()).await;
        }
    }

    /// Sends each request at its scheduled time. Blocks its thread, since the runtime's timers have
    /// a resolution of one millisecond, which would send requests in bursts.
    fn dispatch(self: &Arc<Self>, rate: f64, permits: &Arc<Semaphore>, handle: &Handle) {
        let mut arrivals = ChaCha8Rng::seed_from_u64(self.plan.seed);
        arrivals.set_stream(0);
        let mut sampler = RequestSampler::open(&self.plan, 1);
        for due in Arrivals::open(rate, arrivals).take_while(|due| *due < self.length()) {
            let Some(number) = self.number() else { return };
            thread::sleep(due.saturating_sub(self.started.elapsed()));
            let permit = handle.block_on(Arc::clone(permits).acquire_owned());
            let drawn = sampler.next(number);
            let run = Arc::clone(self);
            handle.spawn(async move {
                let _permit = permit;
                run.send(drawn, due).await;
            });
        }
    }
}

/// Runs `plan` on the current runtime, and waits until every request has ended.
///
/// # Errors
/// [`InvalidPlan`] where the plan is out of bounds; nothing was sent.
///
/// # Panics
/// Outside a tokio runtime, or where a sender panics.
pub async fn run(plan: &Plan) -> Result<Outcome, InvalidPlan> {
    plan.check()?;
    let targets = plan.targets.iter();
    let run = Arc::new(Run {
        clients: targets.map(|target| Client::open(target.address)).collect(),
        record: Record::open(plan),
        plan: plan.clone(),
        started: Instant::now(),
        sent: AtomicU64::new(0),
    });
    match plan.pace {
        Loop::Open { rate } => run_open(&run, rate).await,
        Loop::Closed { callers } => run_closed(&run, callers).await,
    }
    Ok(run.record.close(plan))
}

async fn run_open(run: &Arc<Run>, rate: f64) {
    let permits = Arc::new(Semaphore::new(run.plan.in_flight));
    let dispatcher = {
        let (run, permits, handle) = (Arc::clone(run), Arc::clone(&permits), Handle::current());
        task::spawn_blocking(move || run.dispatch(rate, &permits, &handle))
    };
    dispatcher.await.expect("the dispatcher does not panic");
    let all = u32::try_from(run.plan.in_flight).unwrap_or(u32::MAX);
    // All permits are returned once every request has ended; the semaphore is never closed.
    drop(permits.acquire_many(all).await);
}

async fn run_closed(run: &Arc<Run>, callers: usize) {
    let mut tasks = task::JoinSet::new();
    for caller in 0..callers {
        tasks.spawn(Arc::clone(run).call(caller as u64));
    }
    while let Some(ended) = tasks.join_next().await {
        ended.expect("a caller does not panic");
    }
}
