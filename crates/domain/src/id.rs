//! Validated names, with a distinct type for each kind of entity.
//!
//! A name is 1 to [`MAX_LEN`] characters of `a-z`, `0-9`, `-` and `.`, and starts and ends with a
//! letter or digit. These characters are safe in host names, URL paths, metric labels and table
//! keys, so no layer has to escape a name.

use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr, sync::Arc};

/// Maximum length of a name in bytes: the limit of one DNS label, since a service may be a host name.
pub const MAX_LEN: usize = 63;

/// Error for a string that is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "`{given}` is not a name: 1 to {MAX_LEN} of a-z, 0-9, `-`, `.`, starting and ending with a letter or digit"
)]
pub struct Malformed {
    given: String,
}

fn is_valid(text: &str) -> bool {
    let edge = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit();
    let inner = |c: char| edge(c) || c == '-' || c == '.';
    text.len() <= MAX_LEN
        && text.starts_with(edge)
        && text.ends_with(edge)
        && text.chars().all(inner)
}

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "Arc<str>", into = "Arc<str>")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<Arc<str>> for $name {
            type Error = Malformed;

            fn try_from(text: Arc<str>) -> Result<Self, Malformed> {
                if is_valid(&text) {
                    Ok(Self(text))
                } else {
                    Err(Malformed { given: text.as_ref().to_owned() })
                }
            }
        }

        impl From<$name> for Arc<str> {
            fn from(name: $name) -> Self {
                name.0
            }
        }

        impl FromStr for $name {
            type Err = Malformed;

            fn from_str(text: &str) -> Result<Self, Malformed> {
                Self::try_from(Arc::<str>::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&*self.0, f)
            }
        }
    };
}

id! {
    /// A client account.
    Account
}
id! {
    /// A pool of instances.
    Pool
}
id! {
    /// A service placed on a pool.
    Service
}
id! {
    /// An instance; called a worker where its role of running work matters.
    Instance
}
id! {
    /// A rack, the smallest correlated failure domain.
    Rack
}
id! {
    /// An availability zone.
    Zone
}
id! {
    /// An entry: one instance of this system.
    Entry
}
id! {
    /// A maintenance wave.
    Wave
}
id! {
    /// A background job.
    Job
}
