//! The object store.

use super::{
    Platform,
    call::{Cost, Effect},
    tally::Kind,
};
use async_trait::async_trait;
use bytes::Bytes;
use primroseroute_platform::{error::Error, object::Store};
use std::{collections::BTreeMap, ops::Bound, sync::Arc};

pub(super) type Objects = BTreeMap<Arc<str>, Bytes>;

#[async_trait]
impl Store for Platform {
    async fn put(&self, name: Arc<str>, value: Bytes) -> Result<(), Error> {
        self.call(Kind::PutObject, Cost::Writes(1), move |shared| {
            let bytes = (name.len() + value.len()) as u64;
            shared.objects.lock().insert(name, value);
            Ok(Effect {
                answer: (),
                rows: 1,
                bytes,
            })
        })
        .await
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, Error> {
        let name = name.to_owned();
        self.call(Kind::GetObject, Cost::Reads, move |shared| {
            let value = shared.objects.lock().get(name.as_str()).cloned();
            Ok(Effect {
                rows: u64::from(value.is_some()),
                bytes: value.as_ref().map_or(0, |value| value.len() as u64),
                answer: value,
            })
        })
        .await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Arc<str>>, Error> {
        let prefix = prefix.to_owned();
        self.call(Kind::ListObjects, Cost::Reads, move |shared| {
            let objects = shared.objects.lock();
            let names: Vec<Arc<str>> = objects
                .range::<str, _>((Bound::Included(prefix.as_str()), Bound::Unbounded))
                .take_while(|(name, _)| name.starts_with(prefix.as_str()))
                .map(|(name, _)| Arc::clone(name))
                .collect();
            Ok(Effect {
                rows: names.len() as u64,
                bytes: names.iter().map(|name| name.len() as u64).sum(),
                answer: names,
            })
        })
        .await
    }
}
