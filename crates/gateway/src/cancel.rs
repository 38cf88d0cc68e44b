//! Cancels of jobs.

use crate::{
    gateway::{Gateway, Head, may_access},
    response::{empty, refused},
    retry_limit::RetryLimit,
};
use bytes::Bytes;
use gotham::helpers::http::Body;
use http::Response;
use log::{debug, info};
use primroseroute_cell::row::{
    self, Claim,
    tombstone::{Scope, Tombstone},
};
use primroseroute_domain::{
    outcome::Code,
    work::{JobId, Name},
};
use primroseroute_platform::{
    Error,
    rows::{Commit, Txn, Version},
    site::Queue,
};

/// What a cancel has come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// It is stored.
    Stored,
    /// There is no such job, and a tombstone holds its id.
    Unknown,
    /// The id belongs to a job that the caller may not cancel.
    OtherAccount,
    /// It isn't known whether it is stored.
    Unconfirmed,
}

impl Gateway {
    /// Answers a cancel.
    pub(crate) async fn cancel(&self, head: &Head<'_>, queue: &Queue, id: JobId) -> Response<Body> {
        if let Some(rejection) = self.reject_if_unreachable(head) {
            return rejection;
        }
        let outcome = self.store_cancel(head, queue, &id).await;
        if let Some(observer) = &self.components.observer {
            observer.cancel_answered(outcome);
        }
        match outcome {
            CancelOutcome::Stored => empty(),
            CancelOutcome::Unknown | CancelOutcome::OtherAccount => {
                refused(Code::JobUnknown, "", head.request)
            }
            CancelOutcome::Unconfirmed => {
                let detail = "the cancel may not be stored";
                refused(Code::CancelUnknown, detail, head.request)
            }
        }
    }

    /// Tries to store a cancel until its outcome is known or there is no time left.
    async fn store_cancel(&self, head: &Head<'_>, queue: &Queue, id: &JobId) -> CancelOutcome {
        let mut retry_limit = RetryLimit::new(
            self.components.codec.request_timeout(head.headers),
            head.request,
        );
        loop {
            match self.try_cancel(head, queue, id).await {
                Ok(Some(outcome)) => return outcome,
                Ok(None) => {}
                Err(error) => debug!(job:% = id, error:% = error; "cancel not stored yet"),
            }
            if !retry_limit.wait_for_retry().await {
                info!(job:% = id; "cancel not confirmed as stored");
                return CancelOutcome::Unconfirmed;
            }
        }
    }

    /// Stores a cancel; `None` if the claim has changed in between.
    async fn try_cancel(
        &self,
        head: &Head<'_>,
        queue: &Queue,
        id: &JobId,
    ) -> Result<Option<CancelOutcome>, Error> {
        let account = head.caller.account();
        let (pool, scope, replaced) = match self.claim(id).await? {
            None => (Name::clone(&queue.pool), Scope::of(account), 0),
            Some((claim, version)) => match claim.tombstone() {
                None => return self.cancel_job(head, queue, id, (&claim, version)).await,
                Some(Tombstone::Cancelled(scope)) if scope.covers(account) => {
                    log_unknown(id, queue, &scope, version);
                    return Ok(Some(CancelOutcome::Unknown));
                }
                Some(Tombstone::Cancelled(_)) => (claim.pool, Scope::Everyone, version),
                Some(Tombstone::Rejected) => (claim.pool, Scope::of(account), version),
            },
        };
        let tombstone = Tombstone::Cancelled(scope.clone());
        let stored = self.hold(id, &pool, &tombstone, replaced).await?;
        Ok(stored.map(|version| {
            log_unknown(id, queue, &scope, version);
            CancelOutcome::Unknown
        }))
    }

    /// Stores the cancel of a job; `None` if its claim has changed in between.
    async fn cancel_job(
        &self,
        head: &Head<'_>,
        queue: &Queue,
        id: &JobId,
        (claim, version): (&Claim, Version),
    ) -> Result<Option<CancelOutcome>, Error> {
        if !may_access(head, queue, claim) {
            info!(job:% = id, queue = &*queue.name; "cancel of a job of another account");
            return Ok(Some(CancelOutcome::OtherAccount));
        }
        let txn = Txn {
            conditions: vec![(row::claim(id), version)],
            puts: vec![(row::cancel(&claim.pool, id), Bytes::from_static(b"{}"))],
            deletes: Vec::new(),
        };
        match self.components.rows.commit(txn).await? {
            Commit::Committed(_) => {
                info!(job:% = id; "cancel accepted");
                Ok(Some(CancelOutcome::Stored))
            }
            Commit::Conflict(_) => Ok(None),
        }
    }
}

fn log_unknown(id: &JobId, queue: &Queue, scope: &Scope, version: Version) {
    info!(job:% = id, queue = &*queue.name, scope:? = scope, version; "cancel of an unknown job");
}
