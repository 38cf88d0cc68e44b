//! An entry's calls about workers, instructions, waves and instances.

use super::Caller;
use crate::site::{Reach, State, journal::Event};
use async_trait::async_trait;
use primroseroute_domain::work::Name;
use primroseroute_platform::{
    Error,
    rows::{Feed, Version},
    site::{Instance, InstanceState, Instruction, LeaseHolder, OrderOutcome, Registration, Site},
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::time::sleep;

#[async_trait]
impl Site for Caller {
    async fn workers(&self) -> Result<(Vec<Registration>, Version), Error> {
        self.send_to_registry().await?;
        self.admit_read()?;
        let (all, version) = {
            let state = self.shared.state.lock();
            let mut all = BTreeMap::new();
            for (_version, change) in &state.registrations {
                all.insert(Name::clone(&change.id), change.clone());
            }
            (all, state.store.version())
        };
        self.receive().await;
        Ok((all.into_values().collect(), version))
    }

    async fn worker_feed(
        &self,
        after: Version,
        wait: Duration,
    ) -> Result<Feed<Registration>, Error> {
        self.send_to_registry().await?;
        self.admit_read()?;
        let changes = self.wait_for(wait, |state| since(state, &state.registrations, after));
        let changes = changes.await.unwrap_or(Feed::Changes {
            items: Vec::new(),
            next: after,
            complete: true,
        });
        // A fault that was injected while the call waited also loses its response.
        self.send_to_registry().await?;
        Ok(changes)
    }

    async fn instructions(&self) -> Result<(Vec<Instruction>, Version), Error> {
        self.send_to_store().await?;
        self.admit_read()?;
        let (all, version) = {
            let state = self.shared.state.lock();
            let all = state.instructions.iter();
            let all: Vec<Instruction> = all.map(|(_version, item)| item.clone()).collect();
            (all, state.store.version())
        };
        self.receive().await;
        Ok((all, version))
    }

    async fn instruction_feed(
        &self,
        after: Version,
        wait: Duration,
    ) -> Result<Feed<Instruction>, Error> {
        self.send_to_store().await?;
        self.admit_read()?;
        let changes = self.wait_for(wait, |state| since(state, &state.instructions, after));
        let changes = changes.await.unwrap_or(Feed::Changes {
            items: Vec::new(),
            next: after,
            complete: true,
        });
        self.receive().await;
        Ok(changes)
    }

    async fn report_wave(&self, number: u64, complete: bool) -> Result<(), Error> {
        self.send_to_store().await?;
        self.shared.change(|state, _now| {
            let known = state.waves.entry(number).or_default();
            *known |= complete;
        });
        self.receive().await;
        Ok(())
    }

    async fn instances(&self) -> Result<Vec<Instance>, Error> {
        self.wait_until_running().await;
        self.wait_half_latency().await;
        let all = self
            .shared
            .state
            .lock()
            .instances
            .values()
            .cloned()
            .collect();
        sleep(self.faults().list_delay).await;
        self.receive().await;
        Ok(all)
    }

    async fn maintain(
        &self,
        instance: &Name,
        wave: u64,
        holder: &LeaseHolder,
    ) -> Result<OrderOutcome, Error> {
        self.send_to_instances().await;
        let done = (wave, Name::clone(instance));
        if self.shared.state.lock().maintained.contains(&done) {
            self.receive().await;
            return Ok(OrderOutcome::Taken);
        }
        let pool = self.shared.change(|state, _now| {
            let known = state.instances.get(instance)?;
            (known.state == InstanceState::Up).then(|| Name::clone(&known.pool))
        });
        let Some(pool) = pool else {
            return Ok(OrderOutcome::Busy);
        };
        self.shared.state.lock().maintained.insert(done);
        self.take_down(instance, pool, InstanceState::Maintenance, holder);
        self.receive().await;
        Ok(OrderOutcome::Taken)
    }

    async fn relocate(
        &self,
        instance: &Name,
        pool: &Name,
        holder: &LeaseHolder,
    ) -> Result<OrderOutcome, Error> {
        self.send_to_instances().await;
        let up = self.shared.change(|state, _now| {
            let known = state.instances.get(instance);
            known.is_some_and(|known| known.state == InstanceState::Up)
        });
        if !up {
            return Ok(OrderOutcome::Busy);
        }
        self.take_down(instance, Name::clone(pool), InstanceState::Moving, holder);
        self.receive().await;
        Ok(OrderOutcome::Taken)
    }
}

impl Caller {
    /// Sends a request about the registrations of workers.
    async fn send_to_registry(&self) -> Result<(), Error> {
        self.send(|faults| {
            if faults.store == Reach::Fine {
                faults.registry
            } else {
                faults.store
            }
        })
        .await
    }

    /// Sends an order to an instance.
    async fn send_to_instances(&self) {
        self.wait_until_running().await;
        sleep(self.faults().instance_order_delay).await;
        self.wait_half_latency().await;
    }

    /// Takes an instance down, and brings it up in `pool` after the maintenance time.
    fn take_down(
        &self,
        instance: &Name,
        pool: Name,
        meanwhile: InstanceState,
        holder: &LeaseHolder,
    ) {
        self.shared.change(|state, now| {
            state
                .journal
                .add(order_event(now, instance, &pool, meanwhile, holder));
            let worker = state.instances[instance].worker.clone();
            if let Some(worker) = worker {
                state.terminate(&worker, now);
                state.unregister(&worker);
            }
            if let Some(known) = state.instances.get_mut(instance) {
                known.pool = pool;
                known.state = meanwhile;
            }
        });
        let shared = Arc::clone(&self.shared);
        let instance = Name::clone(instance);
        tokio::spawn(async move {
            sleep(shared.options.maintenance).await;
            shared.change(|state, now| state.start_worker(&instance, now));
        });
    }
}

/// The journal's event for an order.
fn order_event(
    at: u64,
    instance: &Name,
    pool: &Name,
    meanwhile: InstanceState,
    holder: &LeaseHolder,
) -> Event {
    let instance = Name::clone(instance);
    let entry = Name::clone(&holder.entry);
    let token = holder.token;
    if meanwhile == InstanceState::Moving {
        let to = Name::clone(pool);
        return Event::Moved {
            at,
            instance,
            to,
            entry,
            token,
        };
    }
    Event::Maintained {
        at,
        instance,
        entry,
        token,
    }
}

/// Changes after a version; `None` if there are none yet.
fn since<T: Clone>(state: &State, all: &[(Version, T)], after: Version) -> Option<Feed<T>> {
    if after < state.store.compacted_version() {
        return Some(Feed::Compacted);
    }
    let newer = all.iter().filter(|(version, _item)| *version > after);
    let items: Vec<T> = newer.map(|(_version, item)| item.clone()).collect();
    let next = state.store.version();
    (!items.is_empty()).then_some(Feed::Changes {
        items,
        next,
        complete: true,
    })
}
