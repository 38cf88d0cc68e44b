//! The object store: named values that are read and written whole, used for archives.

use crate::error::Error;
use async_trait::async_trait;
use bytes::Bytes;
use std::{fmt, sync::Arc};

/// The object store.
#[async_trait]
pub trait Store: Send + Sync + fmt::Debug {
    /// Stores `value` under `name`, replacing any previous value.
    ///
    /// # Errors
    /// Any [`Error`]; after [`Error::Unknown`] the object may have been stored.
    async fn put(&self, name: Arc<str>, value: Bytes) -> Result<(), Error>;

    /// Reads the object named `name`.
    ///
    /// # Errors
    /// Any [`Error`]; a read has no side effects.
    async fn get(&self, name: &str) -> Result<Option<Bytes>, Error>;

    /// Lists the names of objects that start with `prefix`, in order.
    ///
    /// # Errors
    /// Any [`Error`]; a read has no side effects.
    async fn list(&self, prefix: &str) -> Result<Vec<Arc<str>>, Error>;
}
