//! Carries out what waves of maintenance ask of a pool's instances.

use crate::{
    emptying::Emptying,
    holder::hold,
    own::Context,
    wave::{Situation, Step, steps},
};
use bytes::Bytes;
use log::{info, warn};
use primroseroute_cell::{
    Purpose,
    row::{self, Order, Wave as Progress},
};
use primroseroute_domain::work::Name;
use primroseroute_platform::{
    Error,
    rows::{Commit, Txn, Version, read_row},
    site::{Instance, Ordered, Wave},
};
use std::collections::{BTreeMap, BTreeSet};

/// Part of a pool's workers that may be emptied at the same time.
const EMPTIED_PART: usize = 5;

/// A pool's part in the waves.
#[derive(Debug)]
pub(crate) struct Maintenance {
    /// Version of the owner's row.
    owner: Version,
    /// Instances whose order was taken, by wave.
    taken: BTreeMap<u64, BTreeSet<Name>>,
    complete: BTreeSet<u64>,
}

impl Maintenance {
    pub(crate) fn new(owner: Version) -> Self {
        Self {
            owner,
            taken: BTreeMap::new(),
            complete: BTreeSet::new(),
        }
    }

    /// The waves that aren't complete.
    pub(crate) fn open(&self, waves: &BTreeMap<u64, Wave>) -> Vec<Wave> {
        let open = waves.values();
        let open = open.filter(|wave| !self.complete.contains(&wave.number));
        open.cloned().collect()
    }

    /// Takes the next steps of all `waves`; gives out the instances that wait for their maintenance.
    pub(crate) async fn round(
        &mut self,
        context: &Context,
        waves: &[Wave],
        instances: &[Instance],
        rested: &BTreeSet<Name>,
        emptying: &mut Emptying,
    ) -> Result<BTreeSet<Name>, Error> {
        let mut waiting = BTreeSet::new();
        for wave in waves {
            let (progress, version) = read(context, wave.number).await?;
            let next = self.plan(context, wave, &progress, instances, rested, emptying);
            let due = wave.instances.iter();
            let due = due.filter(|name| !progress.done.contains(*name));
            waiting.extend(due.map(Name::clone));
            for step in next {
                let at = (wave, &progress, version);
                self.carry_out(context, at, step, emptying).await?;
            }
        }
        let workers = instances.iter();
        let workers = workers.filter(|known| waiting.contains(&known.name));
        let workers = workers.filter_map(|known| known.worker.clone()).collect();
        emptying.keep(Purpose::Maintenance, &workers);
        emptying.clear();
        Ok(waiting)
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
        let workers = emptying.of(Purpose::Maintenance);
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
            taken: self.taken.get(&wave.number).unwrap_or(&BTreeSet::new()),
            most: status.registered.len().div_ceil(EMPTIED_PART).max(1),
        })
    }

    async fn carry_out(
        &mut self,
        context: &Context,
        (wave, progress, version): (&Wave, &Progress, Version),
        step: Step,
        emptying: &mut Emptying,
    ) -> Result<(), Error> {
        match step {
            Step::Empty(worker) => {
                info!(wave = wave.number, worker = &*worker; "worker is being emptied");
                emptying.begin(&worker, Purpose::Maintenance);
                Ok(())
            }
            Step::Begin(instance) | Step::Repeat(instance) => {
                let at = (wave, progress, version);
                self.begin(context, at, &instance, emptying).await
            }
            Step::Finish(name) => {
                let mut next = progress.clone();
                next.active.remove(&name);
                next.done.insert(Name::clone(&name));
                if write(context, wave.number, version, &next).await?.is_some() {
                    info!(wave = wave.number, instance = &*name; "instance is maintained");
                }
                Ok(())
            }
            Step::Complete => {
                context.site.report_wave(wave.number, true).await?;
                info!(wave = wave.number; "wave is complete");
                self.complete.insert(wave.number);
                Ok(())
            }
        }
    }

    /// Counts the instance as in maintenance, then orders it.
    async fn begin(
        &mut self,
        context: &Context,
        (wave, progress, version): (&Wave, &Progress, Version),
        instance: &Instance,
        emptying: &mut Emptying,
    ) -> Result<(), Error> {
        let mut next = progress.clone();
        let name = Name::clone(&instance.name);
        next.active
            .insert(Name::clone(&name), instance.worker.clone());
        let Some(counted) = write(context, wave.number, version, &next).await? else {
            return Ok(());
        };
        if version == 0 {
            context.site.report_wave(wave.number, false).await?;
        }
        let order = BTreeMap::from([(name, Order::Maintain(wave.number))]);
        let Some(holder) = hold(context, self.owner, order).await? else {
            return Ok(());
        };
        let ordered = context.site.maintain(&instance.name, wave.number, &holder);
        match ordered.await? {
            Ordered::Taken => {
                let token = holder.token;
                info!(wave = wave.number, instance = &*instance.name, token; "maintenance begun");
                let known = self.taken.entry(wave.number).or_default();
                known.insert(Name::clone(&instance.name));
                if let Some(worker) = &instance.worker {
                    emptying.gone(worker);
                }
                Ok(())
            }
            refused => {
                warn!(wave = wave.number, instance = &*instance.name, refused:? = refused; "maintenance refused");
                next.active.remove(&instance.name);
                write(context, wave.number, counted, &next).await.map(drop)
            }
        }
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
