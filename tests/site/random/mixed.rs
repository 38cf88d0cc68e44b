//! Histories in which planned work, lags and faults overlap: roll-outs, waves, moves, racks gone dark, workers that leave, late
//! stops, reads and lists, and entries of different strength. Between them are spells without any fault, in which promises
//! with a time bound are judged as well.

use super::{History, seconds};
use crate::bed::{Bed, POOL, lasting, step};
use eyre::{Result, ensure};
use primroseroute_domain::work::{Demand, Job, JobId, Name, Step};
use primroseroute_platform::site::{Instruction, Wave};
use primroseroute_standin::site::{CAPACITY, CallerFaults, Options, Reach};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    ops::RangeInclusive,
    time::Duration,
};

/// Seeds of such histories.
pub(super) const SEEDS: RangeInclusive<u64> = 500_000..=4_999_999;

/// Seeds from this one on are of histories in which workers take long to stop a run, so that much can happen meanwhile.
pub(super) const FIRST_WITH_SLOW_STOPS: u64 = 1_000_000;

/// Seeds from this one on are of histories in which some tasks crash the workers that start them.
pub(super) const FIRST_WITH_CRASHES: u64 = 2_000_000;

/// Seeds from this one on are of such histories in which most crashed workers are back under the ids that they had.
pub(super) const FIRST_WITH_SAME_IDS: u64 = 3_000_000;

/// Seeds from this one on are of such histories in which the rooms of workers shrink and grow again.
pub(super) const FIRST_WITH_CHANGING_ROOMS: u64 = 4_000_000;

/// Share of those workers.
const SAME_IDS: f64 = 0.7;

/// Time that a worker takes to stop a run: in histories with slow stops, and in the others.
const STOP: [Duration; 2] = [Duration::from_millis(800), Duration::from_millis(100)];

/// Seeds that have shown a fault, each with its cause.
pub(super) const REGRESSIONS: &[u64] = &[
    // A stop was sent again, by the next owners too, while a crash had taken another task of the step.
    600_032, 600_445,
    // A look from before its owner stood still for seconds was taken for new.
    610_098,
    // An entry that came back stopped at once, and told the next holder that nothing it held had been ordered.
    610_919, 612_399,
    // An instance was ordered by a list that showed the life before, and tasks of the new one were cut off.
    612_767,
    // An entry that gave a group up without knowing what rests took it back, and took nothing for resting.
    623_208,
];

/// Seeds of histories with crashing tasks or kept ids that have shown a fault, each with its cause.
pub(super) const CRASH_REGRESSIONS: &[u64] = &[
    // A task of a spread step found no room beside others of its step and full workers, and the pool asked for none.
    3_410_088,
    // A start that never reached its worker, which lived on behind a cut, acquitted its task.
    2_420_123,
    // One crash by another cause during a trial was enough.
    2_001_047, // Its owner died before a look showed that the run had outlived its trial.
    4_740_270, // The worker had died just before the trial began, and the start reached nobody.
    2_312_061, // The start had never reached its worker, and a successor took it for lost with an earlier life.
    2_000_057, // A successor took what it found at work for new.
    2_000_102,
    // The stops of a lasting job that was given up took tasks at work away.
    2_000_073, // Leases lapsed before the crash was known, and it wasn't counted.
    2_000_256, // Crashes of other causes added up over a lasting task's life.
    2_000_609, // A crash was held against a suspect that had long passed its trial.
    2_000_617, 2_000_644,
    // A successor didn't know what the runs of a cancelled job occupy, and started more beside them than there was room for.
    2_001_134, // A list from before a worker was back ended its next life.
    3_000_369,
    // Starts of the life before were carried out by the next one, after a stop or a newer run.
    3_000_338, 3_000_512, 3_000_547,
    // A crash just before a takeover wasn't counted.
    3_000_061, 3_000_325, 3_000_358,
    // A start had a deadline on the old clock and a token for the new life.
    3_000_249, 3_000_426,
    // The next life of a worker passed for the one before, and its crash went uncounted.
    3_340_286, 4_730_062, 3_020_148,
    // An answered start was lost by a list that was asked for before the life that had answered it began.
    4_720_263,
    // A start with a deadline on the clock of the life before gave a worker a lease without end.
    3_340_140, 3_340_289, 3_340_365,
    // A late start of a former owner reached a life that nobody had reached yet.
    3_000_363,
    // A task that was at work again after a stop, and then lost with its worker, was judged as stopped.
    3_020_060,
];

/// Seconds of faults and spells in a history.
const LENGTH: u64 = 30;

/// Seconds of a spell without faults: longer than any promise that is judged in it.
const SPELL: u64 = 9;

/// Workers of the pool at first.
const WORKERS: usize = 9;

/// Strengths of the entries, in thousandths of a core.
const STRENGTHS: [&[u32]; 2] = [&[250, 250, 250], &[500, 120, 120, 250]];

/// What comes some seconds after a fault.
enum Later {
    Join(Name),
    Thaw(String),
    Crash(Name),
    Grow(Name),
    Restart(Name),
    Start(String),
}

struct Mixed {
    history: History,
    second: u64,
    /// Entries that a roll-out hasn't reached yet.
    rolling: VecDeque<String>,
    waves: u64,
    cut: BTreeSet<Name>,
    later: BTreeMap<u64, Vec<Later>>,
    /// When a spell without faults began, and the second in which it is over.
    spell: Option<(u64, u64)>,
    has_changing_rooms: bool,
}

/// Tasks that last, of which `may_miss` may be missed.
fn wide(count: u16, may_miss: u16) -> Job {
    let step = Step {
        lasting: true,
        may_miss,
        most_per_worker: 1,
        ..step(count)
    };
    Job {
        steps: vec![step],
        ..lasting(count)
    }
}

pub(super) async fn history(seed: u64) -> Result<()> {
    let strengths = STRENGTHS[usize::try_from(seed % 2)?];
    let has_slow_stops = (FIRST_WITH_SLOW_STOPS..FIRST_WITH_CRASHES).contains(&seed);
    let stop = STOP[usize::from(!has_slow_stops)];
    let same_id = if seed >= FIRST_WITH_SAME_IDS {
        SAME_IDS
    } else {
        0.0
    };
    let options = Options {
        seed,
        stop,
        same_id,
        ..Options::default()
    };
    let bed = Bed::open_mixed(options, strengths, WORKERS).await?;
    let mut mixed = Mixed {
        history: History::new(bed, seed),
        second: 0,
        rolling: VecDeque::new(),
        waves: 0,
        cut: BTreeSet::new(),
        later: BTreeMap::new(),
        spell: None,
        has_changing_rooms: seed >= FIRST_WITH_CHANGING_ROOMS,
    };
    for (count, may_miss) in [(4, 1), (5, 2)] {
        let id = mixed
            .history
            .bed
            .submit("e-0", &wide(count, may_miss))
            .await?;
        mixed.history.lasting.insert(id.clone());
        mixed.history.jobs.push(id);
    }
    seconds(2).await;
    while mixed.second < LENGTH {
        mixed.second().await?;
        mixed.second += 1;
        seconds(1).await;
    }
    mixed.end_faults();
    let last_fault = mixed.history.bed.world.now();
    mixed.restart_all().await;
    mixed.history.calm().await;
    mixed.history.was_calm(last_fault);
    mixed.history.finish().await?;
    mixed.all_at_work()
}

impl Mixed {
    fn draw(&self, bound: u64) -> u64 {
        self.history.draw(bound)
    }

    /// Whether a thing happens that does so once in `times`.
    fn once_in(&self, times: u64) -> bool {
        self.draw(times) == 0
    }

    async fn second(&mut self) -> Result<()> {
        for later in self.later.remove(&self.second).unwrap_or_default() {
            self.come(later);
        }
        self.roll();
        self.history.submit().await?;
        if let Some((from, until)) = self.spell {
            if self.second >= until {
                self.history.was_calm(from);
                self.spell = None;
            }
        } else {
            self.fault();
            if self.spell.is_none() && self.once_in(2) {
                self.fault();
            }
        }
        self.history.cancel().await;
        Ok(())
    }

    fn after(&mut self, seconds: u64, later: Later) {
        let at = self.second + seconds;
        self.later.entry(at).or_default().push(later);
    }

    fn come(&mut self, later: Later) {
        let bed = &mut self.history.bed;
        match later {
            Later::Join(worker) => self.join(&worker),
            Later::Thaw(name) if bed.nodes.contains_key(&name) => {
                bed.update_faults(&name, |faults| faults.frozen = false);
            }
            Later::Start(name) if !bed.nodes.contains_key(&name) => bed.start(&name),
            Later::Thaw(_) | Later::Start(_) => {}
            Later::Crash(worker) => self.crash(&worker),
            Later::Grow(worker) => bed.world.resize(&worker, CAPACITY),
            Later::Restart(instance) => bed.world.restart(&instance),
        }
    }

    fn join(&mut self, worker: &Name) {
        let world = &self.history.bed.world;
        if self.cut.remove(worker) && world.workers().contains(worker) {
            world.set_partitioned(worker, false);
        }
    }

    /// Ends a worker's life; its instance has the next one some seconds later.
    fn crash(&mut self, worker: &Name) {
        if let Some(instance) = self.history.bed.instance_of(worker) {
            self.history.bed.world.crash(worker);
            let seconds = 2 + self.draw(4);
            self.after(seconds, Later::Restart(instance));
        }
    }

    /// The next step of a roll-out: one entry a second is stopped, and is back a second later.
    fn roll(&mut self) {
        while let Some(name) = self.rolling.pop_front() {
            if self.history.bed.nodes.contains_key(&name) {
                self.history.bed.stop(&name);
                self.after(1, Later::Start(name));
                return;
            }
        }
    }

    fn any_worker(&self) -> Option<Name> {
        let workers = self.history.bed.world.workers();
        let index = usize::try_from(self.draw(workers.len().max(1) as u64)).unwrap_or(0);
        workers.get(index).map(Name::clone)
    }

    /// Shrinks the room of a worker, or lets it grow again some seconds later.
    fn resize(&mut self) {
        if let Some(worker) = self.any_worker() {
            let cpu = 2_000 * self.draw(8);
            let room = Demand { cpu, ..CAPACITY };
            self.history.bed.world.resize(&worker, room);
            let seconds = 2 + self.draw(8);
            self.after(seconds, Later::Grow(worker));
        }
    }

    fn fault(&mut self) {
        if self.has_changing_rooms && self.once_in(3) {
            self.resize();
        }
        let index = usize::try_from(self.draw(self.history.names.len() as u64)).unwrap_or(0);
        let name = self.history.names[index].clone();
        let is_up = self.history.bed.nodes.contains_key(&name);
        let bed = &mut self.history.bed;
        let some = Duration::from_millis(100 + bed.world.random(1_400));
        let drawn = bed.world.random(24);
        log::info!(drawn, entry = name, some_ms = some.as_millis(); "a fault is drawn");
        match drawn {
            0 if is_up => {
                bed.kill(&name);
                let seconds = 1 + self.draw(5);
                self.after(seconds, Later::Start(name));
            }
            1 if is_up => {
                bed.update_faults(&name, |faults| faults.frozen = true);
                let seconds = 1 + self.draw(5);
                self.after(seconds, Later::Thaw(name));
            }
            2 if is_up => bed.update_faults(&name, |faults| faults.store = Reach::Silent),
            3 if is_up => bed.update_faults(&name, |faults| faults.workers = Reach::Silent),
            4 if is_up => bed.update_faults(&name, |faults| faults.feeds = Reach::Silent),
            5 if is_up => bed.update_faults(&name, |faults| faults.read_delay = some),
            6 if is_up => bed.update_faults(&name, |faults| faults.order_delay = some / 3),
            7 if is_up => bed.update_faults(&name, |faults| faults.delay = some / 8),
            8 => bed.update_all_faults(|faults| faults.list_delay = some),
            9 => bed.update_all_faults(|faults| faults.late_stops = 0.3),
            10 => bed.update_all_faults(|faults| faults.late_orders = 0.2),
            11 => bed.update_all_faults(|faults| {
                faults.lost_commits = 0.2;
                faults.late_commits = 0.1;
            }),
            12 => bed.update_all_faults(|faults| faults.delay = some / 5),
            13 => bed.world.compact(),
            14 | 15 => {
                let names = self.history.names.iter();
                self.rolling = names.cloned().collect();
            }
            16 | 17 => self.wave(),
            18 | 19 => self.dark(),
            20 => {
                if let Some(worker) = self.any_worker() {
                    self.crash(&worker);
                }
            }
            21 => {
                if let Some(worker) = self.any_worker() {
                    self.history.bed.world.drain(&worker);
                    self.after(3, Later::Crash(worker));
                }
            }
            22 => {
                self.end_faults();
                self.spell = Some((self.history.bed.world.now(), self.second + SPELL));
            }
            _ => bed.update_all_faults(|faults| *faults = CallerFaults::default()),
        }
    }

    /// Two of five of the pool's instances are due for maintenance.
    fn wave(&mut self) {
        self.waves += 1;
        let world = &self.history.bed.world;
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

    /// Some workers are cut off from all entries, and work on.
    fn dark(&mut self) {
        let seconds = 1 + self.draw(8);
        for _worker in 0..=self.draw(3) {
            if let Some(worker) = self.any_worker()
                && self.cut.insert(Name::clone(&worker))
            {
                self.history.bed.world.set_partitioned(&worker, true);
                self.after(seconds, Later::Join(worker));
            }
        }
    }

    /// Ends all faults, and brings back what is away; instances whose workers have just crashed take their time.
    fn end_faults(&mut self) {
        self.rolling.clear();
        for (second, all) in std::mem::take(&mut self.later) {
            for later in all {
                match later {
                    Later::Restart(_) => self.later.entry(second).or_default().push(later),
                    other => self.come(other),
                }
            }
        }
        let bed = &mut self.history.bed;
        bed.update_all_faults(|faults| *faults = CallerFaults::default());
        for name in self.history.names.clone() {
            if !bed.nodes.contains_key(&name) {
                bed.start(&name);
            }
        }
    }

    /// Waits until all instances whose workers have crashed have their next lives.
    async fn restart_all(&mut self) {
        while !self.later.is_empty() {
            for later in self.later.remove(&self.second).unwrap_or_default() {
                self.come(later);
            }
            self.second += 1;
            seconds(1).await;
        }
    }

    /// Each lasting task of a job that goes on runs once.
    fn all_at_work(&self) -> Result<()> {
        let History {
            bed,
            lasting,
            cancelled,
            maybe_cancelled,
            ..
        } = &self.history;
        let accepted: BTreeSet<&JobId> = bed.accepted.iter().collect();
        for id in lasting {
            if cancelled.contains(id) || maybe_cancelled.contains(id) || !accepted.contains(id) {
                continue;
            }
            for index in 0..bed.sent.jobs[id].steps[0].count {
                let task = crate::bed::task(id, 0, index);
                let on = bed.running(&task);
                ensure!(on.len() == 1, "{task} runs on {on:?}");
            }
        }
        Ok(())
    }
}
