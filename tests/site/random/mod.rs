//! Randomized histories: many short ones, each with jobs, cancels and faults drawn from its seed, judged by the
//! responses that callers got and by what workers observed.
//!
//! This module has histories with faults of one entry at a time; [`mixed`] has those in which planned maintenance,
//! delays and faults overlap.

mod mixed;

use crate::{
    bed::{Bed, job, lasting, seconds, step},
    lines::{capture, captured},
};
use eyre::{Result, ensure};
use http::StatusCode;
use primroseroute_domain::work::{Job, JobId, Name, State, Step};
use primroseroute_standin::site::{Conduct, Reach};
use std::collections::BTreeSet;

/// Number of histories per batch.
const HISTORIES: u64 = 20;

/// Seed of the first history.
const FIRST: u64 = 1_000;

/// Regression seeds, each with the failure that it guards against.
const REGRESSIONS: &[u64] = &[
    // Status polls of workers whose clock was unknown were repeated without a pause while the store was
    // unavailable.
    1_003,
    // The history drew a worker to partition when tasks had crashed all of them, and indexed an empty list.
    5_731_112,
];

/// Seconds in which a history injects faults.
const FAULTS: u64 = 14;

/// Seconds after the last fault within which all jobs have to end.
const CALM: u64 = 40;

/// Milliseconds after the last fault until guarantees with a time bound hold again.
const CONTACT: u64 = 3_000;

/// Declares one test per batch of histories, so that batches run in parallel.
macro_rules! batches {
    ($($name:ident => $seeds:expr;)*) => {$(
        #[test]
        fn $name() -> Result<()> {
            play($seeds)
        }
    )*};
}

batches! {
    seeds_that_have_shown_a_fault => REGRESSIONS.iter().copied();
    first_batch => batch(0);
    second_batch => batch(1);
    third_batch => batch(2);
    fourth_batch => batch(3);
    batch_with_moves => batch(4);
    second_batch_with_moves => batch(5);
    mixed_batch => mixed::SEEDS.take(MIXED);
    second_mixed_batch => mixed::SEEDS.skip(MIXED).take(MIXED);
    mixed_batch_with_slow_stops => (mixed::FIRST_WITH_SLOW_STOPS..).take(MIXED);
    mixed_batch_with_crashes => (mixed::FIRST_WITH_CRASHES..).take(MIXED);
    mixed_batch_with_same_ids => (mixed::FIRST_WITH_SAME_IDS..).take(MIXED);
    mixed_batch_with_changing_rooms => (mixed::FIRST_WITH_CHANGING_ROOMS..).take(MIXED);
    mixed_seeds_with_crashes_that_have_shown_a_fault => mixed::CRASH_REGRESSIONS.iter().copied();
    mixed_seeds_that_have_shown_a_fault => mixed::REGRESSIONS.iter().copied();
    seeds_by_hand => by_hand()?;
}

/// Number of mixed histories per batch; one takes as long as three of the others.
const MIXED: usize = 10;

/// Environment variable with a range of additional seeds to run, such as `500100-501100`.
const BY_HAND: &str = "HISTORIES";

/// The seeds given in [`BY_HAND`]; none if it is not set.
fn by_hand() -> Result<std::ops::RangeInclusive<u64>> {
    let Ok(named) = std::env::var(BY_HAND) else {
        return Ok(std::ops::RangeInclusive::new(1, 0));
    };
    let (first, last) = named.split_once('-').unwrap_or((&named, &named));
    Ok(first.parse()?..=last.parse()?)
}

/// From this seed on, histories run on a site with a standby pool, whose instances move between pools.
const FIRST_WITH_MOVES: u64 = FIRST + 4 * HISTORIES;

fn batch(number: u64) -> std::ops::Range<u64> {
    let first = FIRST + number * HISTORIES;
    first..first + HISTORIES
}

/// Runs the histories of all `seeds`, and fails with the errors of those that failed.
fn play(seeds: impl Iterator<Item = u64>) -> Result<()> {
    let mut failed = Vec::new();
    for seed in seeds {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()?;
        let played = runtime.block_on(async {
            capture();
            if mixed::SEEDS.contains(&seed) {
                mixed::history(seed).await
            } else {
                history(seed).await
            }
        });
        if let Err(error) = played {
            trace(seed)?;
            failed.push(format!("history {seed}: {error}"));
        }
    }
    ensure!(failed.is_empty(), "{}", failed.join("\n"));
    Ok(())
}

/// Environment variable with the directory to which the log of each failed history is written.
const TRACES: &str = "HISTORIES_TRACES";

/// Writes the captured log of the history that has just run to a file, if [`TRACES`] is set.
fn trace(seed: u64) -> Result<()> {
    let Ok(folder) = std::env::var(TRACES) else {
        return Ok(());
    };
    let lines: Vec<String> = captured().iter().map(ToString::to_string).collect();
    std::fs::write(format!("{folder}/{seed}.log"), lines.join("\n"))?;
    Ok(())
}

struct History {
    bed: Bed,
    seed: u64,
    names: Vec<String>,
    jobs: Vec<JobId>,
    lasting: BTreeSet<JobId>,
    cancelled: BTreeSet<JobId>,
    /// Jobs whose cancel was not confirmed: it may have taken effect or not.
    maybe_cancelled: BTreeSet<JobId>,
    /// Whether some of the jobs drawn have tasks that crash their workers.
    has_crashes: bool,
}

async fn history(seed: u64) -> Result<()> {
    let bed = if seed < FIRST_WITH_MOVES {
        Bed::open(seed, 3, 5).await?
    } else {
        Bed::open_with_standby(seed, 3, 5).await?
    };
    let mut history = History::new(bed, seed);
    for _second in 0..FAULTS {
        history.submit().await?;
        history.fault().await;
        history.cancel().await;
        seconds(1).await;
    }
    let last_fault = history.bed.world.now();
    history.calm().await;
    history.was_calm(last_fault);
    history.finish().await
}

impl History {
    fn new(bed: Bed, seed: u64) -> Self {
        Self {
            names: bed.nodes.keys().cloned().collect(),
            bed,
            seed,
            jobs: Vec::new(),
            lasting: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            maybe_cancelled: BTreeSet::new(),
            has_crashes: seed >= mixed::FIRST_WITH_CRASHES,
        }
    }

    fn draw(&self, bound: u64) -> u64 {
        self.bed.world.random(bound)
    }

    /// Draws one of `choices`; draws nothing if there are none.
    fn any<'a, T>(&self, choices: &'a [T]) -> Option<&'a T> {
        if choices.is_empty() {
            return None;
        }
        let index = self.draw(choices.len() as u64);
        choices.get(usize::try_from(index).unwrap_or(0))
    }

    fn any_entry(&self) -> Option<String> {
        let alive: Vec<&String> = self.bed.nodes.keys().collect();
        self.any(&alive).map(|name| (*name).clone())
    }

    fn any_worker(&self) -> Option<Name> {
        self.any(&self.bed.world.workers()).cloned()
    }

    fn drawn(&self) -> Job {
        if self.has_crashes && self.draw(12) == 0 {
            return job("5 crashes", 1);
        }
        match self.draw(8) {
            0 => lasting(2),
            1 => job("300 fails", 1),
            2 => {
                let later = Step {
                    after: vec![0],
                    ..step(2)
                };
                Job {
                    steps: vec![step(2), later],
                    ..job("400", 2)
                }
            }
            3 => job("2500", 3),
            _ => job("500", 3),
        }
    }

    async fn submit(&mut self) -> Result<()> {
        let Some(entry) = self.any_entry() else {
            return Ok(());
        };
        let job = self.drawn();
        let id = self.bed.id();
        let status = self.bed.send(&entry, &id, &job).await;
        let refused = [
            StatusCode::SERVICE_UNAVAILABLE,
            StatusCode::TOO_MANY_REQUESTS,
        ];
        if refused.contains(&status) {
            self.bed.sent.refused.insert(id);
            return Ok(());
        }
        ensure!(
            status.is_success() || status == StatusCode::GATEWAY_TIMEOUT,
            "{id} got {status}"
        );
        if job.lasting() {
            self.lasting.insert(id.clone());
        }
        if status.is_success() {
            self.jobs.push(id);
        }
        Ok(())
    }

    async fn cancel(&mut self) {
        if self.draw(5) > 0 || self.jobs.is_empty() {
            return;
        }
        let index = usize::try_from(self.draw(self.jobs.len() as u64)).unwrap_or(0);
        let id = self.jobs[index].clone();
        let Some(entry) = self.any_entry() else {
            return;
        };
        if self.bed.cancel(&entry, &id).await == StatusCode::OK {
            self.cancelled.insert(id);
        } else {
            self.maybe_cancelled.insert(id);
        }
    }

    async fn fault(&mut self) {
        let index = usize::try_from(self.draw(self.names.len() as u64)).unwrap_or(0);
        let name = self.names[index].clone();
        let is_up = self.bed.nodes.contains_key(&name);
        match self.draw(13) {
            0 if is_up => self.bed.kill(&name),
            1 | 2 if !is_up => self.bed.start(&name),
            3 if is_up => self.bed.conduct(&name, |conduct| conduct.frozen = true),
            4 if is_up => self
                .bed
                .conduct(&name, |conduct| conduct.store = Reach::Silent),
            5 if is_up => self
                .bed
                .conduct(&name, |conduct| conduct.store = Reach::Refused),
            6 if is_up => self
                .bed
                .conduct(&name, |conduct| conduct.workers = Reach::Silent),
            7 => self.bed.conduct_all(|conduct| {
                conduct.lost_commits = 0.3;
                conduct.late_commits = 0.1;
            }),
            8 => self.bed.conduct_all(|conduct| conduct.late_orders = 0.3),
            9 => self.bed.world.compact(),
            10 => {
                // Tasks may have crashed all workers.
                if let Some(worker) = self.any_worker() {
                    self.bed.world.cut(&worker, true);
                    seconds(2).await;
                    self.bed.world.cut(&worker, false);
                }
            }
            11 => {
                if self.bed.world.workers().len() > 4
                    && let Some(worker) = self.any_worker()
                {
                    self.bed.world.crash(&worker);
                }
            }
            _ => self
                .bed
                .conduct_all(|conduct| *conduct = Conduct::default()),
        }
    }

    /// Ends all faults, restarts killed entries, and gives the site time to recover.
    async fn calm(&mut self) {
        self.bed
            .conduct_all(|conduct| *conduct = Conduct::default());
        for name in self.names.clone() {
            if !self.bed.nodes.contains_key(&name) {
                self.bed.start(&name);
            }
        }
        seconds(CALM).await;
    }

    /// Records the time from [`CONTACT`] after the last fault until now as free of faults.
    fn was_calm(&mut self, last_fault: u64) {
        let calm = last_fault + CONTACT..self.bed.world.now();
        self.bed.sent.calm.push(calm);
    }

    async fn finish(&self) -> Result<()> {
        self.bed.judge()?;
        let entry = &self.names[0];
        for id in &self.jobs {
            let state = self.bed.state(entry, id).await;
            let state = state.map_err(|status| eyre::eyre!("{id} got {status}"))?;
            if self.cancelled.contains(id) {
                ensure!(state.is_final(), "{id} was cancelled and is {state:?}");
            } else if self.maybe_cancelled.contains(id) && state == State::Cancelled {
                // The cancel took effect although its caller got no confirmation.
            } else if self.lasting.contains(id) {
                ensure!(
                    state == State::Running,
                    "{id} is long-running and is {state:?}"
                );
            } else {
                let payload = &self.bed.sent.jobs[id].payload;
                let fails = payload.ends_with("fails") || payload.ends_with("crashes");
                let wanted = if fails {
                    State::Failed
                } else {
                    State::Completed
                };
                ensure!(
                    state == wanted,
                    "{id} is {state:?} in history {}",
                    self.seed
                );
            }
        }
        Ok(())
    }
}
