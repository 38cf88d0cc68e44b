//! Carries out what waves of maintenance ask of a pool's instances.

use crate::{
    emptying::Emptying,
    own::Context,
    request::Requests,
    wave::{Situation, Step, steps},
};
use bytes::Bytes;
use log::{info, warn};
use primroseroute_cell::{
    EvacuationReason,
    row::{self, Order, OrderResult, WaveProgress as Progress},
};
use primroseroute_domain::work::Name;
use primroseroute_platform::{
    Error,
    rows::{Commit, Txn, Version, read_row},
    site::{Instance, Wave},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// Time from a takeover after which no order of a predecessor takes effect any more: what was proven before goes out within
/// half a second, and its call is given up within a second.
const SETTLED_AFTER: Duration = Duration::from_secs(2);

/// Part of a pool's workers that may be emptied at the same time.
const EMPTIED_PART: usize = 5;

/// A pool's part in the waves.
#[derive(Debug)]
pub(crate) struct Maintenance {
    /// When the pool was taken over.
    taken_over: Instant,
    /// Instances whose order was taken, by wave.
    taken: BTreeMap<u64, BTreeSet<Name>>,
    /// Instances whose newest order was refused for now, by wave.
    busy: BTreeMap<u64, BTreeSet<Name>>,
    complete: BTreeSet<u64>,
}

impl Maintenance {
    /// The part of an owner that has taken the pool over at `taken_over`.
    pub(crate) fn new(taken_over: Instant) -> Self {
        Self {
            taken_over,
            taken: BTreeMap::new(),
            busy: BTreeMap::new(),
            complete: BTreeSet::new(),
        }
    }

    /// The waves that aren't complete.
    pub(crate) fn open(&self, waves: &BTreeMap<u64, Wave>) -> Vec<Wave> {
        let open = waves.values();
        let open = open.filter(|wave| !self.complete.contains(&wave.number));
        open.cloned().collect()
    }

    /// Takes the next steps of all `waves`; gives out the instances that stay for it: those that are emptied
    /// for their maintenance, or may be in it. Others may move meanwhile, and have theirs where they are
    /// then. While all that were due stayed, half of a fleet stood still for most of a wave.
    pub(crate) async fn round(
        &mut self,
        context: &Context,
        waves: &[Wave],
        instances: &[Instance],
        rested: &BTreeSet<Name>,
        (emptying, requests): (&mut Emptying, &mut Requests),
    ) -> Result<BTreeSet<Name>, Error> {
        let mut waiting = BTreeSet::new();
        let mut active = BTreeSet::new();
        for wave in waves {
            let (progress, version) = read(context, wave.number).await?;
            let next = self.plan(context, wave, &progress, instances, rested, emptying);
            let due = wave.instances.iter();
            let due = due.filter(|name| !progress.done.contains(*name));
            waiting.extend(due.map(Name::clone));
            active.extend(progress.active.keys().map(Name::clone));
            let at = (wave, &progress, version);
            self.carry_out(context, at, next, (emptying, requests))
                .await?;
        }
        let workers = instances.iter();
        let workers = workers.filter(|known| waiting.contains(&known.name));
        let workers = workers.filter_map(|known| known.worker.clone()).collect();
        emptying.keep(EvacuationReason::Maintenance, &workers);
        emptying.clear();
        let emptied = emptying.of(EvacuationReason::Maintenance);
        let stays = instances.iter().filter(|known| {
            let worker = known.worker.as_ref();
            active.contains(&known.name) || worker.is_some_and(|worker| emptied.contains(worker))
        });
        Ok(stays.map(|known| Name::clone(&known.name)).collect())
    }

    fn plan(
        &self,
        context: &Context,
        wave: &Wave,
        progress: &Progress,
        instances: &[Instance],
        rested: &BTreeSet<Name>,
        emptying: &Emptying,
    ) -> Vec<Step> {
        let status = emptying.status();
        let workers = emptying.of(EvacuationReason::Maintenance);
        let over = workers.iter().filter(|worker| emptying.is_over(worker));
        steps(&Situation {
            wave,
            progress,
            pool: &context.pool,
            instances,
            rested,
            empty: &over.map(Name::clone).collect(),
            emptying: &workers,
            lasting: &status.lasting,
            runs: &status.runs,
            taken: self.taken.get(&wave.number).unwrap_or(&BTreeSet::new()),
            busy: self.busy.get(&wave.number).unwrap_or(&BTreeSet::new()),
            settled: self.taken_over.elapsed() >= SETTLED_AFTER,
            most: status.registered.len().div_ceil(EMPTIED_PART).max(1),
        })
    }

    /// Carries out all steps of a round with one write of the wave's row for each sort: the owners of
    /// all pools write it, and each write makes those of the others fail.
    async fn carry_out(
        &mut self,
        context: &Context,
        at: (&Wave, &Progress, Version),
        steps: Vec<Step>,
        (emptying, requests): (&mut Emptying, &mut Requests),
    ) -> Result<(), Error> {
        let (wave, progress, version) = at;
        let mut next = progress.clone();
        let mut due = Vec::new();
        for step in steps {
            match step {
                Step::Empty(worker) => {
                    info!(wave = wave.number, worker = &*worker; "worker is being emptied");
                    emptying.begin(&worker, EvacuationReason::Maintenance);
                }
                Step::Begin(instance) | Step::Repeat(instance) => due.push(instance),
                Step::Finish(name) => {
                    info!(wave = wave.number, instance = &*name; "instance is maintained");
                    next.active.remove(&name);
                    next.done.insert(name);
                }
                Step::Again(name) => {
                    info!(wave = wave.number, instance = &*name; "it isn't known whether an instance was maintained");
                    next.active.remove(&name);
                    self.busy.entry(wave.number).or_default().remove(&name);
                }
                Step::Complete => {
                    context.site.report_wave(wave.number, true).await?;
                    info!(wave = wave.number; "wave is complete");
                    self.complete.insert(wave.number);
                }
            }
        }
        if next != *progress {
            // Where another owner was faster, the next round finds the same instances done.
            write(context, wave.number, version, &next).await?;
        } else if !due.is_empty() {
            self.begin(context, at, &due, (emptying, requests)).await?;
        }
        Ok(())
    }

    /// Counts the instances as in maintenance, then orders that.
    async fn begin(
        &mut self,
        context: &Context,
        (wave, progress, version): (&Wave, &Progress, Version),
        instances: &[Instance],
        (emptying, requests): (&mut Emptying, &mut Requests),
    ) -> Result<(), Error> {
        let mut next = progress.clone();
        for instance in instances {
            let name = Name::clone(&instance.name);
            next.active.insert(name, instance.worker.clone());
        }
        let Some(counted) = write(context, wave.number, version, &next).await? else {
            return Ok(());
        };
        if version == 0 {
            context.site.report_wave(wave.number, false).await?;
        }
        let order = |instance: &Instance| {
            let name = Name::clone(&instance.name);
            (name, Order::Maintain(wave.number))
        };
        let orders = instances.iter().map(order).collect();
        for worker in instances.iter().filter_map(|known| known.worker.as_ref()) {
            emptying.ordered(worker);
        }
        let results = requests.order(orders).await?;
        let before = next.active.len();
        for instance in instances {
            let name = &*instance.name;
            match results.get(&instance.name) {
                Some(OrderResult::Taken) => self.begun(wave.number, instance),
                Some(OrderResult::Refused) => {
                    warn!(wave = wave.number, instance = name; "maintenance refused");
                    next.active.remove(&instance.name);
                }
                // It may be down by an order whose answer was lost: it stays counted until a list shows it up.
                Some(OrderResult::Busy) => {
                    warn!(wave = wave.number, instance = name; "maintenance refused for now");
                    let busy = self.busy.entry(wave.number).or_default();
                    busy.insert(Name::clone(&instance.name));
                }
                // It stays counted, and is ordered again while it is up as before.
                Some(OrderResult::Unknown) | None => {
                    info!(wave = wave.number, instance = name; "it isn't known whether maintenance was ordered");
                }
            }
        }
        if next.active.len() < before {
            write(context, wave.number, counted, &next).await?;
        }
        Ok(())
    }

    fn begun(&mut self, wave: u64, instance: &Instance) {
        info!(wave, instance = &*instance.name; "maintenance begun");
        let known = self.taken.entry(wave).or_default();
        known.insert(Name::clone(&instance.name));
    }
}

async fn read(context: &Context, number: u64) -> Result<(Progress, Version), Error> {
    let row = read_row(&*context.rows, row::wave(number)).await?;
    let progress = row.as_ref().and_then(crate::control::parsed);
    let version = row.map_or(0, |row| row.version);
    Ok((progress.unwrap_or_default(), version))
}

/// Writes the wave's row, unless it has changed; its new version.
async fn write(
    context: &Context,
    number: u64,
    version: Version,
    progress: &Progress,
) -> Result<Option<Version>, Error> {
    let place = row::wave(number);
    let value = serde_json::to_vec(progress).expect("a wave has text keys");
    let txn = Txn {
        conditions: vec![(place.clone(), version)],
        puts: vec![(place, Bytes::from(value))],
        deletes: Vec::new(),
    };
    match context.rows.commit(txn).await? {
        Commit::Committed(version) => Ok(Some(version)),
        Commit::Conflict(_rows) => Ok(None),
    }
}
