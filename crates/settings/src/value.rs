//! Types of single settings and their parsers.

use log::LevelFilter;
use primroseroute_domain::id;
use std::{fmt, net::SocketAddr, str::FromStr, sync::Arc, time::Duration};

/// A type whose settings are written as one scalar.
pub(crate) trait Value: Sized {
    /// Description of valid values, used in faults.
    const EXPECTED: &'static str;

    /// Parses `text`; `None` if it is invalid.
    fn parse(text: &str) -> Option<Self>;
}

/// Implements [`Value`] for types whose `FromStr` accepts exactly the valid settings.
macro_rules! from_str_values {
    ($($type:ty => $expected:literal;)*) => {$(
        impl Value for $type {
            const EXPECTED: &'static str = $expected;

            fn parse(text: &str) -> Option<Self> {
                <$type>::from_str(text).ok()
            }
        }
    )*};
}

from_str_values! {
    u32 => "a whole number";
    u64 => "a whole number";
    SocketAddr => "an IP address and port, such as 127.0.0.1:8080";
    id::Entry => "a name of 1 to 63 of a-z, 0-9, `-`, `.`";
    id::Zone => "a name of 1 to 63 of a-z, 0-9, `-`, `.`";
    LevelFilter => "one of off, error, warn, info, debug, trace";
}

impl Value for f64 {
    const EXPECTED: &'static str = "a number";

    fn parse(text: &str) -> Option<Self> {
        text.parse().ok().filter(|number: &Self| number.is_finite())
    }
}

impl Value for Duration {
    const EXPECTED: &'static str = "a duration, such as 500ms, 30s or 2m";

    fn parse(text: &str) -> Option<Self> {
        humantime::parse_duration(text).ok()
    }
}

impl Value for Arc<str> {
    const EXPECTED: &'static str = "a text that is not empty";

    fn parse(text: &str) -> Option<Self> {
        (!text.trim().is_empty()).then(|| text.into())
    }
}

/// An amount of memory in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bytes(pub u64);

/// Units of memory with their sizes as powers of two.
const UNITS: [(&str, u32); 4] = [("KiB", 10), ("MiB", 20), ("GiB", 30), ("TiB", 40)];

impl Value for Bytes {
    const EXPECTED: &'static str = "an amount of memory in KiB, MiB, GiB or TiB, such as 256GiB";

    fn parse(text: &str) -> Option<Self> {
        let unit = |(unit, bits): (&str, u32)| {
            let number: u64 = text.strip_suffix(unit)?.trim_end().parse().ok()?;
            number.checked_mul(1 << bits).map(Self)
        };
        UNITS.into_iter().find_map(unit)
    }
}

/// The URL of an HTTP server.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Url(Arc<str>);

impl Url {
    /// The URL as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Url {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Url {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&*self.0, f)
    }
}

impl Value for Url {
    const EXPECTED: &'static str = "a URL of the form http://HOST:PORT";

    fn parse(text: &str) -> Option<Self> {
        let uri: http::Uri = text.parse().ok()?;
        let has_host = uri.scheme_str() == Some("http") && uri.host().is_some();
        (has_host && uri.query().is_none()).then(|| Self(text.into()))
    }
}
