//! One cycle: read the surroundings, decide and commit, call the platform.

use crate::{
    act::{self, Reboot, Seen},
    checks::Book,
    jobs::{Desk, Sight},
    lease::Held,
    role::Parts,
};
use parking_lot::Mutex;
use primroseroute_domain::{
    id,
    instance::Row,
    outcome::{Code, Refusal},
};
use primroseroute_ledger::Draft;
use primroseroute_platform::fleet::{List, Listed};
use primroseroute_view::{Author, Snapshot, amend};
use std::collections::BTreeMap;

/// What a controller remembers between cycles, none of which its successor needs.
#[derive(Debug, Default)]
pub(crate) struct Memory {
    book: Book,
    list: List,
}

impl Memory {
    /// The newest list. It lags, and an older one may arrive after a newer one: taken back in
    /// time, an instance that has rebooted would look as if it had not.
    async fn list(&mut self, parts: &Parts) -> Result<BTreeMap<id::Instance, Listed>, Refusal> {
        let list = parts.instances.list().await;
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
    /// Where the platform could not be read or the change not be committed; the next cycle starts
    /// from the table again.
    pub(crate) async fn cycle(
        &mut self,
        parts: &Parts,
        held: &Held,
        desk: &Desk,
    ) -> Result<(), Refusal> {
        let listed = self.list(parts).await?;
        let rows: BTreeMap<id::Instance, Row> = parts.cell.current().instance_rows();
        let enough = parts.limits.bad_checks;
        self.book
            .round(&rows, &parts.probe, &parts.timers, enough)
            .await;
        let seen = Seen {
            listed,
            checks: self.book.checks().clone(),
            may_plan: self.book.is_settled(&rows, enough),
            voices: parts.roster.voices().await?,
            now: parts.clock.now(),
            limits: parts.limits,
            weights: parts.weights,
        };
        desk.put(Sight::new(&seen.voices, act::absent(&rows, &seen)));
        let reboots = commit(parts, held, &seen).await?;
        call(parts, reboots).await;
        Ok(())
    }
}

async fn commit(parts: &Parts, held: &Held, seen: &Seen) -> Result<Vec<Reboot>, Refusal> {
    let author = Author {
        actor: format!("controller:{}", parts.identity.entry).into(),
        reason: format!("cycle of epoch {}", held.number()).into(),
        guards: vec![held.guard()],
    };
    let reboots = Mutex::new(Vec::new());
    let decide = |snapshot: &Snapshot, draft: &mut Draft| {
        // Decided again after a lost race: only the last decision counts.
        *reboots.lock() = act::decide(snapshot, seen, draft)?;
        Ok(())
    };
    amend(
        &parts.ledger,
        &parts.cell,
        parts.clock.as_ref(),
        &author,
        &decide,
    )
    .await?;
    Ok(reboots.into_inner())
}

/// Asks for the reboots whose marks are in the table since an earlier cycle.
async fn call(parts: &Parts, reboots: Vec<Reboot>) {
    for Reboot { instance, boots } in reboots {
        if let Err(error) = parts.instances.reboot(&instance, boots).await {
            // Asked again in the next cycle; the count of boots makes a repeat harmless.
            log::warn!("the reboot of {instance} was not confirmed: {error}");
        }
    }
}
