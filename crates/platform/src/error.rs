//! Errors of platform calls, classified by whether the call may have taken effect.

use serde::{Deserialize, Serialize};

/// A failed call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case", tag = "kind", content = "detail")]
pub enum Error {
    /// The platform rejected the call or could not be reached; the call had no effect.
    #[error("the platform is unavailable: {0}")]
    Unavailable(String),
    /// The platform rejected the call to limit its load; the call had no effect.
    #[error("the platform throttles calls")]
    Throttled,
    /// The response was lost; the call may have taken effect.
    #[error("the platform's answer was lost: {0}")]
    Unknown(String),
    /// The call itself is invalid; a retry does not help.
    #[error("the platform rejects the call: {0}")]
    Invalid(String),
}

impl Error {
    /// Whether the call may have taken effect.
    pub fn may_have_applied(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }
}
