//! Carries out what maintenance waves require of a pool's instances.

use crate::{
    evacuations::Evacuations,
    order_requests::OrderRequests,
    ownership::Context,
    wave::{Step, WaveInputs, next_steps},
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

/// Time from a takeover after which no order of a predecessor takes effect any more: an order goes
/// out within half a second of its proof, and its call times out within a second.
const PREDECESSOR_TIMEOUT: Duration = Duration::from_secs(2);

/// One part in this many of a pool's workers may be evacuated at the same time.
const EVACUATION_DIVISOR: usize = 5;

/// A pool's part in the waves.
#[derive(Debug)]
pub(crate) struct Maintenance {
    /// When the pool was taken over.
    taken_over: Instant,
    /// Instances whose order was accepted, by wave.
    accepted: BTreeMap<u64, BTreeSet<Name>>,
    /// Instances whose newest order was refused for now, by wave.
    busy: BTreeMap<u64, BTreeSet<Name>>,
    complete: BTreeSet<u64>,
}

impl Maintenance {
    /// The part of an owner that has taken the pool over at `taken_over`.
    pub(crate) fn new(taken_over: Instant) -> Self {
        Self {
            taken_over,
            accepted: BTreeMap::new(),
            busy: BTreeMap::new(),
            complete: BTreeSet::new(),
        }
    }

    /// The waves that aren't complete.
    pub(crate) fn incomplete(&self, waves: &BTreeMap<u64, Wave>) -> Vec<Wave> {
        let incomplete = waves.values();
        let incomplete = incomplete.filter(|wave| !self.complete.contains(&wave.number));
        incomplete.cloned().collect()
    }

    /// Takes the next steps of all `waves`; returns the instances that must stay in the pool for
    /// it: those that are evacuated for their maintenance, or may be in it. Others may move
    /// meanwhile, and are maintained in the pool where they are then. When all that were due
    /// stayed, half of a fleet stood still for most of a wave.
    pub(crate) async fn run_steps(
        &mut self,
        context: &Context,
        waves: &[Wave],
        instances: &[Instance],
        orderable: &BTreeSet<Name>,
        (evacuations, requests): (&mut Evacuations, &mut OrderRequests),
    ) -> Result<BTreeSet<Name>, Error> {
        let mut waiting = BTreeSet::new();
        let mut active = BTreeSet::new();
        for wave in waves {
            let (progress, version) = read_progress(context, wave.number).await?;
            let next = self.plan(context, wave, &progress, instances, orderable, evacuations);
            let due = wave.instances.iter();
            let due = due.filter(|name| !progress.done.contains(*name));
            waiting.extend(due.map(Name::clone));
            active.extend(progress.active.keys().map(Name::clone));
            let at = (wave, &progress, version);
            self.carry_out(context, at, next, (evacuations, requests))
                .await?;
        }
        let workers = instances.iter();
        let workers = workers.filter(|known| waiting.contains(&known.name));
        let workers = workers.filter_map(|known| known.worker.clone()).collect();
        evacuations.retain(EvacuationReason::Maintenance, &workers);
        evacuations.stop_batch_tasks();
        let evacuating = evacuations.workers_for(EvacuationReason::Maintenance);
        let stays = instances.iter().filter(|known| {
            let worker = known.worker.as_ref();
            active.contains(&known.name) || worker.is_some_and(|worker| evacuating.contains(worker))
        });
        Ok(stays.map(|known| Name::clone(&known.name)).collect())
    }

    fn plan(
        &self,
        context: &Context,
        wave: &Wave,
        progress: &Progress,
        instances: &[Instance],
        orderable: &BTreeSet<Name>,
        evacuations: &Evacuations,
    ) -> Vec<Step> {
        let status = evacuations.status();
        let workers = evacuations.workers_for(EvacuationReason::Maintenance);
        let evacuated = workers.iter().filter(|worker| evacuations.is_empty(worker));
        next_steps(&WaveInputs {
            wave,
            progress,
            pool: &context.pool,
            instances,
            orderable,
            evacuated: &evacuated.map(Name::clone).collect(),
            evacuating: &workers,
            lasting: &status.lasting,
            runs: &status.runs,
            accepted: self.accepted.get(&wave.number).unwrap_or(&BTreeSet::new()),
            busy: self.busy.get(&wave.number).unwrap_or(&BTreeSet::new()),
            predecessor_done: self.taken_over.elapsed() >= PREDECESSOR_TIMEOUT,
            max_evacuating: status.registered.len().div_ceil(EVACUATION_DIVISOR).max(1),
        })
    }

    /// Carries out all steps of a round with one write of the wave's row for each kind: the owners
    /// of all pools write it, and each write makes those of the others fail.
    async fn carry_out(
        &mut self,
        context: &Context,
        at: (&Wave, &Progress, Version),
        steps: Vec<Step>,
        (evacuations, requests): (&mut Evacuations, &mut OrderRequests),
    ) -> Result<(), Error> {
        let (wave, progress, version) = at;
        let mut next = progress.clone();
        let mut due = Vec::new();
        for step in steps {
            match step {
                Step::Evacuate(worker) => {
                    info!(wave = wave.number, worker = &*worker; "evacuating worker for maintenance");
                    evacuations.begin(&worker, EvacuationReason::Maintenance);
                }
                Step::Begin(instance) | Step::Repeat(instance) => due.push(instance),
                Step::Finish(name) => {
                    info!(wave = wave.number, instance = &*name; "maintenance of instance finished");
                    next.active.remove(&name);
                    next.done.insert(name);
                }
                Step::Requeue(name) => {
                    info!(wave = wave.number, instance = &*name; "outcome of maintenance unknown; instance is due again");
                    next.active.remove(&name);
                    self.busy.entry(wave.number).or_default().remove(&name);
                }
                Step::Complete => {
                    context.site.report_wave(wave.number, true).await?;
                    info!(wave = wave.number; "wave completed");
                    self.complete.insert(wave.number);
                }
            }
        }
        if next != *progress {
            // If another owner was faster, the next round finds the same instances done.
            write_progress(context, wave.number, version, &next).await?;
        } else if !due.is_empty() {
            self.start_maintenance(context, at, &due, (evacuations, requests))
                .await?;
        }
        Ok(())
    }

    /// Counts the instances as in maintenance, then requests the orders.
    async fn start_maintenance(
        &mut self,
        context: &Context,
        (wave, progress, version): (&Wave, &Progress, Version),
        instances: &[Instance],
        (evacuations, requests): (&mut Evacuations, &mut OrderRequests),
    ) -> Result<(), Error> {
        let mut next = progress.clone();
        for instance in instances {
            let name = Name::clone(&instance.name);
            next.active.insert(name, instance.worker.clone());
        }
        let Some(counted) = write_progress(context, wave.number, version, &next).await? else {
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
            evacuations.record_order(worker);
        }
        let results = requests.send(orders).await?;
        let before = next.active.len();
        for instance in instances {
            let name = &*instance.name;
            match results.get(&instance.name) {
                Some(OrderResult::Taken) => self.record_started(wave.number, instance),
                Some(OrderResult::Refused) => {
                    warn!(wave = wave.number, instance = name; "maintenance order refused");
                    next.active.remove(&instance.name);
                }
                // It may be down by an order whose answer was lost: it stays counted until a list shows it up.
                Some(OrderResult::Busy) => {
                    warn!(wave = wave.number, instance = name; "maintenance order refused for now");
                    let busy = self.busy.entry(wave.number).or_default();
                    busy.insert(Name::clone(&instance.name));
                }
                // It stays counted, and is ordered again while it is up as before.
                Some(OrderResult::Unknown) | None => {
                    info!(wave = wave.number, instance = name; "outcome of maintenance order unknown");
                }
            }
        }
        if next.active.len() < before {
            write_progress(context, wave.number, counted, &next).await?;
        }
        Ok(())
    }

    fn record_started(&mut self, wave: u64, instance: &Instance) {
        info!(wave, instance = &*instance.name; "maintenance of instance started");
        let known = self.accepted.entry(wave).or_default();
        known.insert(Name::clone(&instance.name));
    }
}

async fn read_progress(context: &Context, number: u64) -> Result<(Progress, Version), Error> {
    let row = read_row(&*context.rows, row::wave(number)).await?;
    let progress = row.as_ref().and_then(crate::control::parse);
    let version = row.map_or(0, |row| row.version);
    Ok((progress.unwrap_or_default(), version))
}

/// Writes the wave's row, unless it has changed; returns its new version.
async fn write_progress(
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
