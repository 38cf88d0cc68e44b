//! One cycle: reads the inputs, decides and commits, then calls the platform.

use crate::{
    checks::HealthChecks,
    decision::{self, CycleInput, Reboot},
    jobs::{LatestObservation, Observation},
    lease::HeldLease,
    role::Components,
};
use parking_lot::Mutex;
use primroseroute_domain::{
    id,
    instance::Row,
    outcome::{Code, Refusal},
};
use primroseroute_ledger::Draft;
use primroseroute_platform::fleet::{List, Listed};
use primroseroute_view::{Author, Snapshot, commit_with_retry};
use std::collections::BTreeMap;

/// State that a controller keeps between cycles; its successor needs none of it.
#[derive(Debug, Default)]
pub(crate) struct CycleState {
    health_checks: HealthChecks,
    list: List,
}

impl CycleState {
    /// The newest instance list. Lists lag, and an older one may be returned after a newer one;
    /// with an older list, an instance that has rebooted would look as if it had not.
    async fn list(
        &mut self,
        components: &Components,
    ) -> Result<BTreeMap<id::Instance, Listed>, Refusal> {
        let list = components.instances.list().await;
        let list = list.map_err(|error| Refusal::new(Code::StoreUnavailable, error.to_string()))?;
        if list.as_of >= self.list.as_of {
            self.list = list;
        }
        let by_name = |listed: &Listed| (listed.id.clone(), listed.clone());
        Ok(self.list.instances.iter().map(by_name).collect())
    }

    /// Runs one cycle.
    ///
    /// # Errors
    /// If the platform could not be read or the change could not be committed; the next cycle
    /// starts from the table again.
    pub(crate) async fn cycle(
        &mut self,
        components: &Components,
        held: &HeldLease,
        observation: &LatestObservation,
    ) -> Result<(), Refusal> {
        let listed = self.list(components).await?;
        let rows: BTreeMap<id::Instance, Row> = components.cell.current().instance_rows();
        let min_checks = components.limits.bad_checks;
        self.health_checks
            .run_due(&rows, &components.probe, &components.timers, min_checks)
            .await;
        let input = CycleInput {
            listed,
            checks: self.health_checks.checks().clone(),
            may_plan: self.health_checks.has_min_checks(&rows, min_checks),
            registered_entries: components.roster.registered_entries().await?,
            now: components.clock.now(),
            limits: components.limits,
            weights: components.weights,
        };
        observation.put(Observation::new(
            &input.registered_entries,
            decision::unavailable_instances(&rows, &input),
        ));
        let reboots = commit(components, held, &input).await?;
        request_reboots(components, reboots).await;
        Ok(())
    }
}

async fn commit(
    components: &Components,
    held: &HeldLease,
    input: &CycleInput,
) -> Result<Vec<Reboot>, Refusal> {
    let author = Author {
        actor: format!("controller:{}", components.identity.entry).into(),
        reason: format!("cycle of epoch {}", held.number()).into(),
        guards: vec![held.guard()],
    };
    let reboots = Mutex::new(Vec::new());
    let decide = |snapshot: &Snapshot, draft: &mut Draft| {
        // Called again after a conflict; only the last decision counts.
        *reboots.lock() = decision::decide(snapshot, input, draft)?;
        Ok(())
    };
    commit_with_retry(
        &components.ledger,
        &components.cell,
        components.clock.as_ref(),
        &author,
        &decide,
    )
    .await?;
    Ok(reboots.into_inner())
}

/// Requests the reboots whose marks were committed in an earlier cycle.
async fn request_reboots(components: &Components, reboots: Vec<Reboot>) {
    for Reboot { instance, boots } in reboots {
        if let Err(error) = components.instances.reboot(&instance, boots).await {
            // Requested again in the next cycle; the boot count makes a repeated call harmless.
            log::warn!("reboot of {instance} was not confirmed: {error}");
        }
    }
}
