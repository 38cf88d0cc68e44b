//! Taking sections out of a document's tree, with every fault on the way.

use crate::{
    fault::{Fault, Place},
    node::{Kind, Node, Pair},
    value::Value,
};
use std::collections::BTreeMap;

/// What a section must be.
pub(crate) const A_MAP: &str = "a map";

/// One key of a section, for the reader and for the documents.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Key {
    /// The field's name; [`key_of`] makes the key.
    pub(crate) field: &'static str,
    /// What it sets.
    pub(crate) doc: &'static str,
    /// The default, or an example where the key is required.
    pub(crate) sample: &'static str,
    /// Whether there is no default.
    pub(crate) required: bool,
    /// What may be written.
    pub(crate) expected: &'static str,
}

/// A section: a map whose keys all have scalar values.
pub(crate) trait Section: Sized {
    /// Its keys in the order of the documents.
    const KEYS: &'static [Key];

    /// What the section is about.
    const DOC: &'static str;

    /// Takes the section's keys from `map`.
    fn take(reader: &mut Reader, map: &mut Map<'_>) -> Self;
}

/// The key of a field: the same words with dashes.
pub(crate) fn key_of(field: &str) -> String {
    field.replace('_', "-")
}

/// Declares sections: each field once, with its need, its default or example, and its description.
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

/// A map on its way through the reader; keys that nobody took are unknown.
#[derive(Debug)]
pub(crate) struct Map<'a> {
    path: String,
    place: Place,
    left: Vec<&'a Pair>,
    known: Vec<String>,
    /// Something else stands there, which was reported.
    broken: bool,
}

impl<'a> Map<'a> {
    fn join(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Takes the value of `key`, if it is there.
    pub(crate) fn take(&mut self, key: &str) -> Option<&'a Node> {
        self.known.push(key.to_owned());
        let index = self.left.iter().position(|pair| pair.key == key)?;
        Some(&self.left.remove(index).value)
    }
}

/// Collects faults and the places of values.
#[derive(Debug, Default)]
pub(crate) struct Reader {
    faults: Vec<Fault>,
    places: BTreeMap<String, Place>,
}

impl Reader {
    /// The map at `path`; an empty one where there is none, with a fault where something else is.
    pub(crate) fn map<'a>(
        &mut self,
        path: &str,
        node: Option<&'a Node>,
        parent: Place,
        expected: &str,
    ) -> Map<'a> {
        let mut map = Map {
            path: path.to_owned(),
            place: node.map_or(parent, |node| node.place),
            left: Vec::new(),
            known: Vec::new(),
            broken: false,
        };
        self.places.insert(path.to_owned(), map.place);
        match node.map(|node| &node.kind) {
            None | Some(Kind::Null) => {}
            Some(Kind::Map(pairs)) => map.left = pairs.iter().collect(),
            Some(Kind::Scalar(_) | Kind::List(_)) => {
                map.broken = true;
                self.fault(path, map.place, expected);
            }
        }
        map
    }

    /// The map under `key` of `map`.
    pub(crate) fn child<'a>(&mut self, map: &mut Map<'a>, key: &str, expected: &str) -> Map<'a> {
        let node = map.take(key);
        self.map(&map.join(key), node, map.place, expected)
    }

    /// The section under `key` of `map`.
    pub(crate) fn section<S: Section>(&mut self, map: &mut Map<'_>, key: &str) -> S {
        let mut child = self.child(map, key, A_MAP);
        let section = S::take(self, &mut child);
        self.finish(&child);
        section
    }

    /// The items of the list under `key` of `map`, as maps.
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
        self.places.insert(path.clone(), node.place);
        let Kind::List(items) = &node.kind else {
            self.fault(&path, node.place, "a list");
            return Vec::new();
        };
        let items = items.iter().enumerate();
        items
            .map(|(index, item)| {
                let path = format!("{path}[{index}]");
                self.map(&path, Some(item), node.place, expected)
            })
            .collect()
    }

    /// The value of a key of `map`, or its sample where it is missing or faulty.
    pub(crate) fn scalar<T: Value>(
        &mut self,
        map: &mut Map<'_>,
        field: &str,
        required: bool,
        sample: &'static str,
    ) -> T {
        let key = key_of(field);
        let read = self.optional(map, &key);
        if read.is_none() && required && !map.broken && !self.places.contains_key(&map.join(&key)) {
            let expected = format!("{}; this key is required", T::EXPECTED);
            self.fault(&map.join(&key), map.place, expected);
        }
        read.unwrap_or_else(|| T::read(sample).expect("samples are valid values"))
    }

    /// The value of a key of `map`, if it is there and not faulty.
    pub(crate) fn optional<T: Value>(&mut self, map: &mut Map<'_>, key: &str) -> Option<T> {
        let path = map.join(key);
        let node = map.take(key)?;
        self.places.insert(path.clone(), node.place);
        let value = match &node.kind {
            Kind::Scalar(text) => T::read(text),
            Kind::Null | Kind::List(_) | Kind::Map(_) => None,
        };
        if value.is_none() {
            self.fault(&path, node.place, T::EXPECTED);
        }
        value
    }

    /// Reports every key of `map` that nobody took.
    pub(crate) fn finish(&mut self, map: &Map<'_>) {
        let expected = format!("one of the keys {}", map.known.join(", "));
        for pair in &map.left {
            self.fault(&map.join(&pair.key), pair.place, expected.as_str());
        }
    }

    /// Reports a fault of the map as a whole, unless it is reported as no map at all.
    pub(crate) fn fault_of(&mut self, map: &Map<'_>, expected: &str) {
        if !map.broken {
            self.fault(&map.path, map.place, expected);
        }
    }

    /// Reports a fault at `path`, at its place or at that of the map around it.
    pub(crate) fn fault_at(&mut self, path: &str, expected: &str) {
        let mut around = path;
        let place = loop {
            if let Some(place) = self.places.get(around) {
                break *place;
            }
            match around.rfind(['.', '[']) {
                Some(end) => around = &around[..end],
                None => break Place::START,
            }
        };
        self.fault(path, place, expected);
    }

    fn fault(&mut self, path: &str, place: Place, expected: impl Into<String>) {
        self.faults.push(Fault {
            place,
            path: path.to_owned(),
            expected: expected.into(),
        });
    }

    /// Whether nothing under `path` was faulty so far; the empty path is the whole file.
    pub(crate) fn is_clean(&self, path: &str) -> bool {
        !self.faults.iter().any(|fault| fault.path.starts_with(path))
    }

    /// The faults in the order of the file.
    pub(crate) fn into_faults(mut self) -> Vec<Fault> {
        self.faults.sort();
        self.faults
    }
}
