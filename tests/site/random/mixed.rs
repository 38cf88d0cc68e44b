//! Histories in which planned maintenance, delays and faults overlap: roll-outs, maintenance waves, moves,
//! partitions of several workers, workers that shut down, late stops, reads and lists, and entries with different
//! CPU shares. Between the faults are quiet periods, in which guarantees with a time bound are checked as well.

use super::{
    History,
    accounts::{self, Accounts},
    sleep_secs,
};
use crate::fixture::{Fixture, POOL, long_running, step};
use eyre::{Result, ensure};
use primroseroute_domain::work::{Demand, Job, JobId, Name, Step};
use primroseroute_platform::site::{Instruction, Wave};
use primroseroute_standin::site::{CAPACITY, CallerFaults, Options, Reach};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    ops::RangeInclusive,
    time::Duration,
};

/// Seeds of mixed histories.
pub(super) const SEEDS: RangeInclusive<u64> = 500_000..=4_999_999;

/// Seeds of mixed histories with client accounts, whose maximums and keys change.
pub(super) const SEEDS_WITH_ACCOUNTS: RangeInclusive<u64> = 6_000_000..=6_999_999;

/// From this seed on, workers take long to stop a run, so that more faults coincide with stops under way.
pub(super) const FIRST_WITH_SLOW_STOPS: u64 = 1_000_000;

/// From this seed on, some tasks crash the workers that start them, and stops are quick again.
pub(super) const FIRST_WITH_CRASHES: u64 = 2_000_000;

/// From this seed on, most crashed workers also restart under the same id.
pub(super) const FIRST_WITH_SAME_IDS: u64 = 3_000_000;

/// From this seed on, the capacities of workers also shrink and grow again.
pub(super) const FIRST_WITH_CHANGING_CAPACITY: u64 = 4_000_000;

/// From this seed on, workers also become slow for some seconds.
pub(super) const FIRST_WITH_SLOW_WORKERS: u64 = 4_900_000;

/// Share of crashed workers that restart under the same id, from [`FIRST_WITH_SAME_IDS`] on.
const SAME_ID_SHARE: f64 = 0.7;

/// Time that a worker takes to stop a run: in histories with slow stops, and in all others.
const STOP_TIMES: [Duration; 2] = [Duration::from_millis(800), Duration::from_millis(100)];

/// Regression seeds, each with the failure that it guards against.
pub(super) const REGRESSIONS: &[u64] = &[
    // A stop was repeated, also by later owners, after a crash had terminated another task of the same step.
    600_032, 600_445,
    // After its process had been suspended for seconds, an owner treated a worker status from before that as
    // current.
    610_098,
    // An entry shut down right after its restart, and recorded for the next holder of its instance groups that no
    // instance in them had been given an order, without knowing the orders of its earlier process.
    610_919, 612_399,
    // An instance was given an order based on a list that showed the previous incarnation of its worker, and the
    // order terminated tasks of the new one.
    612_767,
    // An entry that had released an instance group without knowing which of its instances may not be given orders
    // yet reacquired it, and assumed that there were none.
    623_208,
];

/// Regression seeds with crashing tasks or reused worker ids, each with the failure that it guards against.
pub(super) const CRASH_REGRESSIONS: &[u64] = &[
    // A task of a spread step found no free capacity, since some workers had other tasks of the step and the rest
    // were full, and the pool didn't request another worker.
    3_410_088,
    // A start that never reached its worker, which ran on behind a partition, cleared its task of suspicion.
    2_420_123,
    // A task was abandoned although its run had outlived its isolation: its owner died before a status poll showed
    // that.
    2_001_047,
    // A task was abandoned for an isolated run that had never begun, since its worker had died just before the
    // start.
    4_740_270,
    // A start had never reached its worker, and a successor assumed that the run was lost with an earlier
    // incarnation.
    2_312_061,
    // A single crash with another cause during an isolated run was enough for a task to be abandoned.
    2_000_057,
    // A successor treated a run that it discovered on a worker as new, so that a crash was attributed to its task.
    2_000_102,
    // The stops of an abandoned long-running job terminated tasks that were ready.
    2_000_073,
    // With delayed lists of instances, leases expired before a crash was known, so that the crash wasn't counted.
    2_000_256,
    // Crashes with other causes added up over the lifetime of a long-running task.
    2_000_609,
    // A crash was attributed to a suspect task long after it had outlived its isolated run.
    2_000_617, 2_000_644,
    // A successor didn't know the resources that runs of a cancelled job still occupied, and started more beside
    // them than the worker had capacity for.
    2_001_134,
    // A list from before a worker's restart marked its next incarnation as terminated.
    3_000_369,
    // Starts sent to one incarnation of a worker were executed by the next one, after a stop or a newer run.
    3_000_338, 3_000_512, 3_000_547,
    // A worker's crash just before a takeover of its pool was not counted against the task that had caused it.
    3_000_061, 3_000_325, 3_000_358,
    // A start had a deadline on the clock of the old incarnation and a token for the new one.
    3_000_249, 3_000_426,
    // The next incarnation of a worker was mistaken for the previous one, whose crash was not counted.
    3_340_286, 4_730_062, 3_020_148,
    // A confirmed start was treated as lost because of a list that was requested before the incarnation that had
    // confirmed it began.
    4_720_263,
    // A start with a deadline on the clock of the previous incarnation gave a worker a lease without end.
    3_340_140, 3_340_289, 3_340_365,
    // A late start of a former owner reached an incarnation that nobody had contacted yet.
    3_000_363,
    // A task that ran again after a stop, and was then lost with its worker, was counted as stopped.
    3_020_060,
    // A start without an answer was waited for on a worker that couldn't come back, since its instance had another one
    // or served another pool.
    2_500_010, 2_500_022, 2_600_000, 3_600_048,
];

/// Seconds of faults and quiet periods in a history.
const FAULT_PHASE_SECS: u64 = 30;

/// Seconds of a quiet period: longer than the time bound of any guarantee that is checked in it.
const QUIET_PERIOD_SECS: u64 = 9;

/// Initial number of workers in the pool.
const WORKERS: usize = 9;

/// CPU shares of the entries, in thousandths of a core.
const ENTRY_CPU_SHARES: [&[u32]; 2] = [&[250, 250, 250], &[500, 120, 120, 250]];

/// Action scheduled some seconds after a fault.
enum Delayed {
    Reconnect(Name),
    Resume(String),
    Crash(Name),
    RestoreCapacity(Name),
    RestoreSpeed(Name),
    Restart(Name),
    Start(String),
}

struct MixedHistory {
    history: History,
    second: u64,
    /// Entries that the roll-out in progress has not restarted yet.
    rolling_out: VecDeque<String>,
    waves: u64,
    partitioned: BTreeSet<Name>,
    scheduled: BTreeMap<u64, Vec<Delayed>>,
    /// Start of the current quiet period, in milliseconds of the site's clock, and the second in which it ends.
    quiet_period: Option<(u64, u64)>,
    has_changing_capacity: bool,
}

/// Whether workers become slow in a history.
pub(super) fn has_slow_workers(seed: u64) -> bool {
    (FIRST_WITH_SLOW_WORKERS..=*SEEDS.end()).contains(&seed)
}

/// A job of long-running tasks, of which `may_miss` may be unavailable.
fn long_running_job(count: u16, may_miss: u16) -> Job {
    let step = Step {
        lasting: true,
        may_miss,
        most_per_worker: 1,
        ..step(count)
    };
    Job {
        steps: vec![step],
        ..long_running(count)
    }
}

pub(super) async fn history(seed: u64) -> Result<()> {
    let cpu_shares = ENTRY_CPU_SHARES[usize::try_from(seed % 2)?];
    let has_slow_stops = (FIRST_WITH_SLOW_STOPS..FIRST_WITH_CRASHES).contains(&seed);
    let stop = STOP_TIMES[usize::from(!has_slow_stops)];
    let same_id = if seed >= FIRST_WITH_SAME_IDS {
        SAME_ID_SHARE
    } else {
        0.0
    };
    let options = Options {
        seed,
        stop,
        same_id,
        ..Options::default()
    };
    let has_accounts = SEEDS_WITH_ACCOUNTS.contains(&seed);
    let mut fixture = if has_accounts {
        let configuration = accounts::configuration(1, accounts::MAXIMUM, &[]);
        Fixture::open_on(configuration, options, cpu_shares, WORKERS).await?
    } else {
        Fixture::open_mixed(options, cpu_shares, WORKERS).await?
    };
    fixture.key = has_accounts.then(|| accounts::UNLIMITED.to_owned());
    let mut mixed = MixedHistory {
        history: History::new(fixture, seed),
        second: 0,
        rolling_out: VecDeque::new(),
        waves: 0,
        partitioned: BTreeSet::new(),
        scheduled: BTreeMap::new(),
        quiet_period: None,
        has_changing_capacity: seed >= FIRST_WITH_CHANGING_CAPACITY,
    };
    mixed.history.accounts = has_accounts.then(Accounts::default);
    for (count, may_miss) in [(4, 1), (5, 2)] {
        let id = mixed
            .history
            .fixture
            .submit("e-0", &long_running_job(count, may_miss))
            .await?;
        mixed.history.long_running_jobs.insert(id.clone());
        mixed.history.jobs.push(id);
    }
    sleep_secs(2).await;
    while mixed.second < FAULT_PHASE_SECS {
        mixed.run_second().await?;
        mixed.second += 1;
        sleep_secs(1).await;
    }
    mixed.end_faults();
    mixed.history.restore_accounts();
    let last_fault = mixed.history.fixture.world.now();
    mixed.restart_all().await;
    mixed.history.recover().await;
    mixed.history.record_quiet_period(last_fault);
    mixed.history.check_starvation(last_fault)?;
    mixed.history.finish().await?;
    mixed.check_long_running()
}

impl MixedHistory {
    fn draw(&self, bound: u64) -> u64 {
        self.history.draw(bound)
    }

    /// Draws an event of probability 1 in `times`.
    fn once_in(&self, times: u64) -> bool {
        self.draw(times) == 0
    }

    async fn run_second(&mut self) -> Result<()> {
        for later in self.scheduled.remove(&self.second).unwrap_or_default() {
            self.apply(later);
        }
        self.roll_out_step();
        self.history.change_accounts();
        self.history.submit().await?;
        if let Some((from, until)) = self.quiet_period {
            if self.second >= until {
                self.history.record_quiet_period(from);
                self.quiet_period = None;
            }
        } else {
            self.fault();
            if self.quiet_period.is_none() && self.once_in(2) {
                self.fault();
            }
        }
        self.history.cancel().await;
        Ok(())
    }

    fn after(&mut self, seconds: u64, later: Delayed) {
        let at = self.second + seconds;
        self.scheduled.entry(at).or_default().push(later);
    }

    fn apply(&mut self, later: Delayed) {
        let fixture = &mut self.history.fixture;
        match later {
            Delayed::Reconnect(worker) => self.reconnect(&worker),
            Delayed::Resume(name) if fixture.nodes.contains_key(&name) => {
                fixture.update_faults(&name, |faults| faults.frozen = false);
            }
            Delayed::Start(name) if !fixture.nodes.contains_key(&name) => fixture.start(&name),
            Delayed::Resume(_) | Delayed::Start(_) => {}
            Delayed::Crash(worker) => self.crash(&worker),
            Delayed::RestoreCapacity(worker) => fixture.world.resize(&worker, CAPACITY),
            Delayed::RestoreSpeed(worker) => fixture.world.set_slowdown(&worker, 1),
            Delayed::Restart(instance) => fixture.world.restart(&instance),
        }
    }

    fn reconnect(&mut self, worker: &Name) {
        let world = &self.history.fixture.world;
        if self.partitioned.remove(worker) && world.workers().contains(worker) {
            world.set_partitioned(worker, false);
        }
    }

    /// Crashes a worker; its instance restarts some seconds later.
    fn crash(&mut self, worker: &Name) {
        if let Some(instance) = self.history.fixture.instance_of(worker) {
            self.history.fixture.world.crash(worker);
            let seconds = 2 + self.draw(4);
            self.after(seconds, Delayed::Restart(instance));
        }
    }

    /// The next step of a roll-out: one entry per second is stopped, and started again a second later.
    fn roll_out_step(&mut self) {
        while let Some(name) = self.rolling_out.pop_front() {
            if self.history.fixture.nodes.contains_key(&name) {
                self.history.fixture.stop(&name);
                self.after(1, Delayed::Start(name));
                return;
            }
        }
    }

    fn choose_worker(&self) -> Option<Name> {
        let workers = self.history.fixture.world.workers();
        let index = usize::try_from(self.draw(workers.len().max(1) as u64)).unwrap_or(0);
        workers.get(index).map(Name::clone)
    }

    /// Shrinks the capacity of a worker, and restores it some seconds later.
    fn resize(&mut self) {
        if let Some(worker) = self.choose_worker() {
            let cpu = 2_000 * self.draw(8);
            let reduced = Demand { cpu, ..CAPACITY };
            self.history.fixture.world.resize(&worker, reduced);
            let seconds = 2 + self.draw(8);
            self.after(seconds, Delayed::RestoreCapacity(worker));
        }
    }

    /// Makes a worker slow, and fast again some seconds later.
    fn slow_down(&mut self) {
        if let Some(worker) = self.choose_worker() {
            let slowdown = 2 + self.draw(8);
            self.history.fixture.world.set_slowdown(&worker, slowdown);
            let seconds = 2 + self.draw(8);
            self.after(seconds, Delayed::RestoreSpeed(worker));
        }
    }

    fn fault(&mut self) {
        if self.history.has_slow_workers && self.once_in(2) {
            self.slow_down();
        }
        if self.has_changing_capacity && self.once_in(3) {
            self.resize();
        }
        let index = usize::try_from(self.draw(self.history.names.len() as u64)).unwrap_or(0);
        let name = self.history.names[index].clone();
        let is_up = self.history.fixture.nodes.contains_key(&name);
        let fixture = &mut self.history.fixture;
        let some = Duration::from_millis(100 + fixture.world.random(1_400));
        let drawn = fixture.world.random(24);
        log::info!(drawn, entry = name, some_ms = some.as_millis(); "fault drawn");
        match drawn {
            0 if is_up => {
                fixture.kill(&name);
                let seconds = 1 + self.draw(5);
                self.after(seconds, Delayed::Start(name));
            }
            1 if is_up => {
                fixture.update_faults(&name, |faults| faults.frozen = true);
                let seconds = 1 + self.draw(5);
                self.after(seconds, Delayed::Resume(name));
            }
            2 if is_up => fixture.update_faults(&name, |faults| faults.store = Reach::Silent),
            3 if is_up => fixture.update_faults(&name, |faults| faults.workers = Reach::Silent),
            4 if is_up => fixture.update_faults(&name, |faults| faults.feeds = Reach::Silent),
            5 if is_up => fixture.update_faults(&name, |faults| faults.read_delay = some),
            6 if is_up => fixture.update_faults(&name, |faults| faults.order_delay = some / 3),
            7 if is_up => fixture.update_faults(&name, |faults| faults.delay = some / 8),
            8 => fixture.update_all_faults(|faults| faults.list_delay = some),
            9 => fixture.update_all_faults(|faults| faults.late_stops = 0.3),
            10 => fixture.update_all_faults(|faults| faults.late_orders = 0.2),
            11 => fixture.update_all_faults(|faults| {
                faults.lost_commits = 0.2;
                faults.late_commits = 0.1;
            }),
            12 => fixture.update_all_faults(|faults| faults.delay = some / 5),
            13 => fixture.world.compact(),
            14 | 15 => {
                let names = self.history.names.iter();
                self.rolling_out = names.cloned().collect();
            }
            16 | 17 => self.wave(),
            18 | 19 => self.partition(),
            20 => {
                if let Some(worker) = self.choose_worker() {
                    self.crash(&worker);
                }
            }
            21 => {
                if let Some(worker) = self.choose_worker() {
                    self.history.fixture.world.drain(&worker);
                    self.after(3, Delayed::Crash(worker));
                }
            }
            22 => {
                self.end_faults();
                self.quiet_period = Some((
                    self.history.fixture.world.now(),
                    self.second + QUIET_PERIOD_SECS,
                ));
            }
            _ => fixture.update_all_faults(|faults| *faults = CallerFaults::default()),
        }
    }

    /// Starts a maintenance wave over about two fifths of the pool's instances.
    fn wave(&mut self) {
        self.waves += 1;
        let world = &self.history.fixture.world;
        let own = world.instances().into_iter();
        let own = own.filter(|known| &*known.pool == POOL);
        let due: Vec<Name> = own
            .filter(|_known| world.random(5) < 2)
            .map(|known| known.name)
            .collect();
        if !due.is_empty() {
            world.instruct(Instruction::Wave(Wave {
                number: self.waves,
                instances: due,
                duration: Duration::from_secs(40),
                maximum: 2,
            }));
        }
    }

    /// Partitions up to three workers from all entries; they run on.
    fn partition(&mut self) {
        let seconds = 1 + self.draw(8);
        for _worker in 0..=self.draw(3) {
            if let Some(worker) = self.choose_worker()
                && self.partitioned.insert(Name::clone(&worker))
            {
                self.history.fixture.world.set_partitioned(&worker, true);
                self.after(seconds, Delayed::Reconnect(worker));
            }
        }
    }

    /// Ends all faults, and restores what is unavailable. Instances whose workers have just crashed still restart
    /// at their scheduled time.
    fn end_faults(&mut self) {
        self.rolling_out.clear();
        for (second, all) in std::mem::take(&mut self.scheduled) {
            for later in all {
                match later {
                    Delayed::Restart(_) => self.scheduled.entry(second).or_default().push(later),
                    other => self.apply(other),
                }
            }
        }
        let fixture = &mut self.history.fixture;
        fixture.update_all_faults(|faults| *faults = CallerFaults::default());
        for name in self.history.names.clone() {
            if !fixture.nodes.contains_key(&name) {
                fixture.start(&name);
            }
        }
    }

    /// Waits until all instances whose workers have crashed have restarted.
    async fn restart_all(&mut self) {
        while !self.scheduled.is_empty() {
            for later in self.scheduled.remove(&self.second).unwrap_or_default() {
                self.apply(later);
            }
            self.second += 1;
            sleep_secs(1).await;
        }
    }

    /// Checks that each task of an unfinished long-running job runs exactly once.
    fn check_long_running(&self) -> Result<()> {
        let History {
            fixture,
            long_running_jobs,
            cancelled,
            possibly_cancelled,
            ..
        } = &self.history;
        let accepted: BTreeSet<&JobId> = fixture.accepted.iter().collect();
        for id in long_running_jobs {
            if cancelled.contains(id) || possibly_cancelled.contains(id) || !accepted.contains(id) {
                continue;
            }
            for index in 0..fixture.sent.jobs[id].steps[0].count {
                let task = crate::fixture::task(id, 0, index);
                let on = fixture.running(&task);
                ensure!(on.len() == 1, "{task} runs on {on:?}");
            }
        }
        Ok(())
    }
}
