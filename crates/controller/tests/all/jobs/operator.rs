//! Actions of operators, written directly as rows.

use super::simulation::{SECOND, Simulation, jobs_of, name, names, script};
use primroseroute_domain::{
    change::{Record, Seq},
    id,
    instance::{self, Purpose},
    time::Clock,
};
use primroseroute_jobs::{Kind, Row, State};
use primroseroute_ledger::{Draft, key};
use primroseroute_platform::task::{Resources, Token};
use primroseroute_standin::platform::task::Ending;
use primroseroute_view::{Author, Snapshot, commit_with_retry};
use std::collections::BTreeMap;
use tokio::time::sleep;

impl Simulation {
    /// Commits an operator's change, retrying until the store accepts it.
    pub async fn change(&self, decide: impl Fn(&Snapshot, &mut Draft) + Sync) {
        let author = Author {
            actor: "operator:test".into(),
            reason: "".into(),
            guards: Vec::new(),
        };
        let decide = |snapshot: &Snapshot, draft: &mut Draft| {
            decide(snapshot, draft);
            Ok(())
        };
        while let Err(refusal) =
            commit_with_retry(&self.ledger, &self.cell, &self.clock, &author, &decide).await
        {
            let _ = refusal;
            sleep(SECOND).await;
        }
    }

    /// Submits jobs of `kind` in one change.
    pub async fn submit(&self, jobs: &[String], kind: &str, declared: Resources) {
        let now = self.clock.now();
        self.change(|_, draft| {
            for job in jobs {
                let kind = Kind(kind.into());
                let row = Row::submit(name(job), name("a"), name("a"), kind, declared, now);
                let row = Row {
                    token: Token(draft.seq().0),
                    ..row
                };
                draft.put(key::job(&row.id), None, &row);
            }
        })
        .await;
    }

    /// Lets one short job of `kind` succeed, so that more than three of that kind may run together.
    pub async fn prove(&self, kind: &str, size: Resources) {
        let job = format!("prove-{kind}");
        let script = script(SECOND, Ending::Done);
        self.platform.tasks().script_job(name(&job), script);
        self.submit(std::slice::from_ref(&job), kind, size).await;
        while self.state(&job).await != State::Done {
            sleep(SECOND).await;
        }
    }

    /// Lets short jobs of `kind` succeed on every worker, so that each accepts as many as fit.
    pub async fn prove_workers(&self, kind: &str, size: Resources) {
        self.prove(kind, size).await;
        // Three per worker.
        let jobs = names("proof", 18);
        for job in &jobs {
            let script = script(5 * SECOND, Ending::Done);
            self.platform.tasks().script_job(name(job), script);
        }
        self.submit(&jobs, kind, size).await;
        let open = self.until_ended(600 * SECOND).await;
        assert!(open.is_empty(), "{open:#?}");
    }

    /// All change records so far.
    pub async fn records(&self) -> Vec<Record> {
        let mut records: Vec<Record> = Vec::new();
        loop {
            let at = records.last().map_or(Seq(0), |record| record.seq);
            let more = self
                .ledger
                .records_after(at, 100)
                .await
                .expect("the store answers");
            if more.is_empty() {
                return records;
            }
            records.extend(more);
        }
    }

    /// Number of writes of each job's row.
    pub async fn edits(&self) -> BTreeMap<String, usize> {
        let mut edits = BTreeMap::new();
        for edit in self.records().await.iter().flat_map(|record| &record.edits) {
            if let Some(job) = edit.key.strip_prefix(key::JOBS) {
                *edits.entry(job.to_owned()).or_default() += 1;
            }
        }
        edits
    }

    /// Cancels jobs as an operator does, in one change.
    pub async fn cancel(&self, jobs: &[String]) {
        self.change(|snapshot, draft| {
            let rows = jobs_of(snapshot);
            for job in jobs {
                let Some(found) = rows.get(&name(job)) else {
                    continue;
                };
                let state = match &found.value.state {
                    State::Running(at) => State::Cancelling(at.clone()),
                    State::Queued | State::Parked(_) => State::Cancelled,
                    _ => continue,
                };
                let row = Row {
                    state,
                    ..found.value.clone()
                };
                draft.put(key::job(&row.id), Some(found.version), &row);
            }
        })
        .await;
    }

    /// Sets the instance `at` to `state`.
    pub async fn put(&self, at: &str, state: instance::State, purpose: Option<Purpose>) {
        let at: id::Instance = name(at);
        let now = self.clock.now();
        self.change(|snapshot, draft| {
            let found = &snapshot.instances()[&at];
            let row = instance::Row {
                state,
                purpose: purpose.clone(),
                since: now,
                ..found.value.clone()
            };
            draft.put(key::instance(&at), Some(found.version), &row);
        })
        .await;
    }
}
