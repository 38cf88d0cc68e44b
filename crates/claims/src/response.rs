//! The first response to a claimed request, in the form stored for repeats.

use crate::request::hex;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Bytes within a JSON row: UTF-8 text unchanged, anything else as hexadecimal digits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Blob(pub Bytes);

impl From<Blob> for String {
    fn from(blob: Blob) -> Self {
        match std::str::from_utf8(&blob.0) {
            Ok(text) => format!("t{text}"),
            Err(_) => format!("x{}", hex(&blob.0)),
        }
    }
}

impl TryFrom<String> for Blob {
    type Error = &'static str;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        if let Some(utf8) = text.strip_prefix('t') {
            return Ok(Self(Bytes::copy_from_slice(utf8.as_bytes())));
        }
        let digits = text
            .strip_prefix('x')
            .ok_or("neither text nor hexadecimal")?;
        unhex(digits)
            .map(|bytes| Self(bytes.into()))
            .ok_or("odd or wrong hexadecimal digits")
    }
}

fn unhex(digits: &str) -> Option<Vec<u8>> {
    let nibbles: Option<Vec<u32>> = digits.chars().map(|c| c.to_digit(16)).collect();
    let nibbles = nibbles?;
    let byte = |pair: &[u32]| match *pair {
        [high, low] => u8::try_from(high * 16 + low).ok(),
        _ => None,
    };
    nibbles.chunks(2).map(byte).collect()
}

/// One header of a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Header {
    /// Its name in lower case.
    pub name: Arc<str>,
    /// Its value.
    pub value: Blob,
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers, in their original order.
    pub headers: Vec<Header>,
    /// The complete body.
    pub body: Blob,
}

impl StoredResponse {
    /// Size of headers and body in bytes, to which the limit on stored responses applies.
    pub fn size(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|h| h.name.len() + h.value.0.len())
            .sum();
        headers + self.body.0.len()
    }
}
