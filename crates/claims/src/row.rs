//! The row of a claim.

use crate::{request::Fingerprint, response::StoredResponse};
use primroseroute_domain::time::Instant;
use primroseroute_platform::table;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// State of a claimed request, as recorded in the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// Granted to one entry: the request may have run.
    Claimed,
    /// The request was certainly not sent: the next attempt may take over the row.
    Released,
    /// The request completed with this response.
    Completed(StoredResponse),
    /// The request completed; the response exceeded the size limit.
    NotKept,
    /// The request may have run; its outcome will never be known.
    Unknown,
}

/// The row of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ClaimRow {
    /// Id of the attempt that wrote the row; unique, so that an entry recognises its own commit.
    pub operation: Uuid,
    /// The request for which the key was used.
    pub fingerprint: Fingerprint,
    /// When it was claimed, by the entry's clock; retention starts at this time.
    pub claimed: Instant,
    /// Deadline of the attempt, by the entry's clock.
    ///
    /// It only decides between "in progress" and "unknown", which both mean that it may have run.
    pub until: Instant,
    /// State of the request.
    pub state: ClaimState,
}

impl ClaimRow {
    /// Serializes the row as JSON.
    ///
    /// # Panics
    /// Never: serialization of this type cannot fail.
    pub(crate) fn encode(&self) -> bytes::Bytes {
        serde_json::to_vec(self)
            .expect("claim rows are serializable")
            .into()
    }

    /// Deserializes a row; none if it is not a claim.
    pub(crate) fn decode(row: &table::Row) -> Option<Self> {
        serde_json::from_slice(&row.value).ok()
    }
}
