//! The row of a claim.

use crate::{answer::Answer, request::Fingerprint};
use primroseroute_domain::time::Instant;
use primroseroute_platform::table;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// How far a claimed request has come, as far as the table knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Granted to one entry: it may have run.
    Claimed,
    /// Proven not sent: the next attempt may take the row over.
    Released,
    /// It ran to the end; here is its answer.
    Completed(Answer),
    /// It ran to the end; the answer was larger than the limit.
    NotKept,
    /// It may have run; nobody will learn more.
    Unknown,
}

/// The row of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Row {
    /// The attempt that wrote the row; unique, so that an entry recognises its own commit.
    pub operation: Uuid,
    /// The request that the key stands for.
    pub fingerprint: Fingerprint,
    /// When it was claimed, by the entry's clock; retention counts from here.
    pub claimed: Instant,
    /// When the attempt's time is up, by the entry's clock.
    ///
    /// It only chooses between "in progress" and "unknown", which both say that it may have run.
    pub until: Instant,
    /// How far it has come.
    pub state: State,
}

impl Row {
    /// The row's JSON.
    ///
    /// # Panics
    /// Never for this type: its derive has no failing case.
    pub(crate) fn encode(&self) -> bytes::Bytes {
        serde_json::to_vec(self)
            .expect("a claim row serializes")
            .into()
    }

    /// Reads a row; none where it is not a claim.
    pub(crate) fn decode(row: &table::Row) -> Option<Self> {
        serde_json::from_slice(&row.value).ok()
    }
}
