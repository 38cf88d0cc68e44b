//! The object store: whole values under names, for archives.

use crate::error::Error;
use async_trait::async_trait;
use bytes::Bytes;
use std::{fmt, sync::Arc};

/// The object store.
#[async_trait]
pub trait Store: Send + Sync + fmt::Debug {
    /// Stores `value` under `name`, replacing what was there.
    ///
    /// # Errors
    /// Any [`Error`]; after [`Error::Unknown`] the object may be stored.
    async fn put(&self, name: Arc<str>, value: Bytes) -> Result<(), Error>;

    /// Reads the object named `name`.
    ///
    /// # Errors
    /// Any [`Error`]; a read has no effect.
    async fn get(&self, name: &str) -> Result<Option<Bytes>, Error>;

    /// Names of objects that start with `prefix`, in order.
    ///
    /// # Errors
    /// Any [`Error`]; a read has no effect.
    async fn list(&self, prefix: &str) -> Result<Vec<Arc<str>>, Error>;
}
