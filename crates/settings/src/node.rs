//! YAML documents as trees of nodes with source positions.

use crate::fault::{Fault, Position};
use serde::{
    Deserialize, Deserializer,
    de::{MapAccess, SeqAccess, Visitor},
};
use serde_saphyr::{Location, Options, Spanned};
use std::fmt;

#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) position: Position,
    pub(crate) kind: Kind,
}

#[derive(Debug)]
pub(crate) enum Kind {
    Null,
    Scalar(String),
    List(Vec<Node>),
    Map(Vec<Pair>),
}

#[derive(Debug)]
pub(crate) struct Pair {
    pub(crate) key: String,
    /// Position of the key.
    pub(crate) position: Position,
    pub(crate) value: Node,
}

fn position(location: Location) -> Position {
    Position {
        line: location.line(),
        column: location.column(),
    }
}

impl Node {
    /// Parses a document.
    ///
    /// Reports only the first YAML syntax error, since nothing after it can be interpreted.
    pub(crate) fn parse(text: &str) -> Result<Self, Fault> {
        let options = Options {
            // Names such as `n` or `off` are text, not booleans.
            strict_booleans: true,
            // A snippet of the file could reveal a secret.
            with_snippet: false,
            ..Options::default()
        };
        let read = serde_saphyr::from_str_with_options::<Spanned<Kind>>(text, options);
        read.map(Self::from).map_err(|error| Fault {
            position: error.location().map_or(Position::START, position),
            path: String::new(),
            expected: format!("YAML ({error})"),
        })
    }
}

impl From<Spanned<Kind>> for Node {
    fn from(spanned: Spanned<Kind>) -> Self {
        Self {
            position: position(spanned.referenced),
            kind: spanned.value,
        }
    }
}

struct KindVisitor;

impl<'de> Deserialize<'de> for Kind {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(KindVisitor)
    }
}

impl<'de> Visitor<'de> for KindVisitor {
    type Value = Kind;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a scalar, a list or a map")
    }

    fn visit_unit<E>(self) -> Result<Kind, E> {
        Ok(Kind::Null)
    }

    fn visit_bool<E>(self, v: bool) -> Result<Kind, E> {
        Ok(Kind::Scalar(v.to_string()))
    }

    fn visit_i64<E>(self, v: i64) -> Result<Kind, E> {
        Ok(Kind::Scalar(v.to_string()))
    }

    fn visit_u64<E>(self, v: u64) -> Result<Kind, E> {
        Ok(Kind::Scalar(v.to_string()))
    }

    fn visit_f64<E>(self, v: f64) -> Result<Kind, E> {
        Ok(Kind::Scalar(v.to_string()))
    }

    fn visit_str<E>(self, v: &str) -> Result<Kind, E> {
        Ok(Kind::Scalar(v.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Kind, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element::<Spanned<Kind>>()? {
            items.push(Node::from(item));
        }
        Ok(Kind::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Kind, A::Error> {
        let mut pairs = Vec::new();
        while let Some(key) = map.next_key::<Spanned<String>>()? {
            pairs.push(Pair {
                position: position(key.referenced),
                key: key.value,
                value: map.next_value::<Spanned<Kind>>()?.into(),
            });
        }
        Ok(Kind::Map(pairs))
    }
}
