//! Extracts sections from a document tree and collects all faults.

use crate::{
    fault::{Fault, Position},
    node::{Kind, Node, Pair},
    value::Value,
};
use std::collections::BTreeMap;

/// Expectation reported for a section that is not a map.
pub(crate) const A_MAP: &str = "a map";

/// One key of a section, for the reader and the documentation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Key {
    /// Name of the Rust field; [`key_of`] converts it to the key.
    pub(crate) field: &'static str,
    /// Description.
    pub(crate) doc: &'static str,
    /// Default value, or an example if the key is required.
    pub(crate) sample: &'static str,
    /// Whether the key is required, that is, has no default.
    pub(crate) required: bool,
    /// Description of valid values.
    pub(crate) expected: &'static str,
}

/// A section: a map whose keys all have scalar values.
pub(crate) trait Section: Sized {
    /// Keys in the order of the documentation.
    const KEYS: &'static [Key];

    /// Description of the section.
    const DOC: &'static str;

    /// Takes the section's keys from `map`.
    fn take(reader: &mut Reader, map: &mut Map<'_>) -> Self;
}

/// The settings key of a field: its name in kebab case.
pub(crate) fn key_of(field: &str) -> String {
    field.replace('_', "-")
}

/// Declares sections: each field with `required` or `default`, its default or example, and its
/// description.
macro_rules! sections {
    ($(
        $(#[doc = $about:literal])+
        $name:ident {
            $($(#[doc = $doc:literal])+ $field:ident: $type:ty, $need:ident $sample:literal;)+
        }
    )+) => {$(
        $(#[doc = $about])+
        #[derive(Clone, Debug, PartialEq)]
        pub struct $name {
            $($(#[doc = $doc])+ pub $field: $type,)+
        }

        impl $crate::reader::Section for $name {
            const KEYS: &'static [$crate::reader::Key] = &[$($crate::reader::Key {
                field: stringify!($field),
                doc: concat!($($doc),+),
                sample: $sample,
                required: sections!(@required $need),
                expected: <$type as $crate::value::Value>::EXPECTED,
            }),+];
            const DOC: &'static str = concat!($($about),+);

            fn take(
                reader: &mut $crate::reader::Reader,
                map: &mut $crate::reader::Map<'_>,
            ) -> Self {
                Self {
                    $($field: reader.scalar(
                        map,
                        stringify!($field),
                        sections!(@required $need),
                        $sample,
                    ),)+
                }
            }
        }
    )+};
    (@required required) => { true };
    (@required default) => { false };
}
pub(crate) use sections;

/// A map that is being read; keys that are never taken are unknown.
#[derive(Debug)]
pub(crate) struct Map<'a> {
    path: String,
    position: Position,
    remaining: Vec<&'a Pair>,
    known: Vec<String>,
    /// The node is not a map, which has been reported.
    malformed: bool,
}

impl<'a> Map<'a> {
    fn join(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Takes the value of `key`, if present.
    pub(crate) fn take(&mut self, key: &str) -> Option<&'a Node> {
        self.known.push(key.to_owned());
        let index = self.remaining.iter().position(|pair| pair.key == key)?;
        Some(&self.remaining.remove(index).value)
    }
}

/// Collects faults and the positions of values.
#[derive(Debug, Default)]
pub(crate) struct Reader {
    faults: Vec<Fault>,
    positions: BTreeMap<String, Position>,
}

impl Reader {
    /// Returns the map at `path`; an empty one if `node` is missing or, with a fault, not a map.
    pub(crate) fn map<'a>(
        &mut self,
        path: &str,
        node: Option<&'a Node>,
        parent: Position,
        expected: &str,
    ) -> Map<'a> {
        let mut map = Map {
            path: path.to_owned(),
            position: node.map_or(parent, |node| node.position),
            remaining: Vec::new(),
            known: Vec::new(),
            malformed: false,
        };
        self.positions.insert(path.to_owned(), map.position);
        match node.map(|node| &node.kind) {
            None | Some(Kind::Null) => {}
            Some(Kind::Map(pairs)) => map.remaining = pairs.iter().collect(),
            Some(Kind::Scalar(_) | Kind::List(_)) => {
                map.malformed = true;
                self.fault(path, map.position, expected);
            }
        }
        map
    }

    /// Returns the map at `key` of `map`.
    pub(crate) fn child<'a>(&mut self, map: &mut Map<'a>, key: &str, expected: &str) -> Map<'a> {
        let node = map.take(key);
        self.map(&map.join(key), node, map.position, expected)
    }

    /// Reads the section at `key` of `map`.
    pub(crate) fn section<S: Section>(&mut self, map: &mut Map<'_>, key: &str) -> S {
        let mut child = self.child(map, key, A_MAP);
        let section = S::take(self, &mut child);
        self.finish(&child);
        section
    }

    /// Returns the items of the list at `key` of `map` as maps.
    pub(crate) fn list<'a>(
        &mut self,
        map: &mut Map<'a>,
        key: &str,
        expected: &str,
    ) -> Vec<Map<'a>> {
        let path = map.join(key);
        let Some(node) = map.take(key) else {
            return Vec::new();
        };
        self.positions.insert(path.clone(), node.position);
        let Kind::List(items) = &node.kind else {
            self.fault(&path, node.position, "a list");
            return Vec::new();
        };
        let items = items.iter().enumerate();
        items
            .map(|(index, item)| {
                let path = format!("{path}[{index}]");
                self.map(&path, Some(item), node.position, expected)
            })
            .collect()
    }

    /// Reads the value of a key of `map`; its sample if it is missing or invalid.
    pub(crate) fn scalar<T: Value>(
        &mut self,
        map: &mut Map<'_>,
        field: &str,
        required: bool,
        sample: &'static str,
    ) -> T {
        let key = key_of(field);
        let value = self.optional(map, &key);
        if value.is_none()
            && required
            && !map.malformed
            && !self.positions.contains_key(&map.join(&key))
        {
            let expected = format!("{}; this key is required", T::EXPECTED);
            self.fault(&map.join(&key), map.position, expected);
        }
        value.unwrap_or_else(|| T::parse(sample).expect("samples are valid values"))
    }

    /// Reads the value of a key of `map`, if it is present and valid.
    pub(crate) fn optional<T: Value>(&mut self, map: &mut Map<'_>, key: &str) -> Option<T> {
        let path = map.join(key);
        let node = map.take(key)?;
        self.positions.insert(path.clone(), node.position);
        let value = match &node.kind {
            Kind::Scalar(text) => T::parse(text),
            Kind::Null | Kind::List(_) | Kind::Map(_) => None,
        };
        if value.is_none() {
            self.fault(&path, node.position, T::EXPECTED);
        }
        value
    }

    /// Reports every key of `map` that was not taken as unknown.
    pub(crate) fn finish(&mut self, map: &Map<'_>) {
        let expected = format!("one of the keys {}", map.known.join(", "));
        for pair in &map.remaining {
            self.fault(&map.join(&pair.key), pair.position, expected.as_str());
        }
    }

    /// Reports a fault of the map as a whole, unless it was already reported as not being a map.
    pub(crate) fn map_fault(&mut self, map: &Map<'_>, expected: &str) {
        if !map.malformed {
            self.fault(&map.path, map.position, expected);
        }
    }

    /// Reports a fault at `path`, at its own position or that of the innermost enclosing value.
    pub(crate) fn fault_at(&mut self, path: &str, expected: &str) {
        let mut enclosing = path;
        let position = loop {
            if let Some(position) = self.positions.get(enclosing) {
                break *position;
            }
            match enclosing.rfind(['.', '[']) {
                Some(end) => enclosing = &enclosing[..end],
                None => break Position::START,
            }
        };
        self.fault(path, position, expected);
    }

    fn fault(&mut self, path: &str, position: Position, expected: impl Into<String>) {
        self.faults.push(Fault {
            position,
            path: path.to_owned(),
            expected: expected.into(),
        });
    }

    /// Whether no fault under `path` has been reported so far; the empty path is the whole file.
    pub(crate) fn is_clean(&self, path: &str) -> bool {
        !self.faults.iter().any(|fault| fault.path.starts_with(path))
    }

    /// Returns the faults in file order.
    pub(crate) fn into_faults(mut self) -> Vec<Fault> {
        self.faults.sort();
        self.faults
    }
}
