//! Request and response bodies, shared by the client and any server.
//!
//! Each call is a type with a path, a response type, and a flag for calls that mutate state. A row's
//! value is encoded as text if it is UTF-8, as this system's JSON always is, and otherwise as a list of
//! byte values.

use crate::{
    fleet::List,
    table::{self, Commit, Condition, Key, Revision, Scan},
    task::{Report, Start, Token},
};
use bytes::Bytes;
use primroseroute_domain::id;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{sync::Arc, time::Duration};

/// Header of a 503 response which guarantees that the call had no effect.
pub const NOT_APPLIED: &str = "x-not-applied";

/// Header with the caller's name, for the platform's accounting.
pub const CALLER: &str = "x-caller";

/// A call with its path and its response type.
pub trait Call: Serialize + DeserializeOwned + Send + Sync {
    /// Path of the `POST` request.
    const PATH: &'static str;
    /// Whether the call can mutate state, so that its outcome is unknown if the response is lost.
    const MUTATES: bool;
    /// Body of the response.
    type Answer: Serialize + DeserializeOwned + Send;
}

/// A value encoded as text or as bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    /// UTF-8 text.
    Text(String),
    /// Any other bytes.
    Bytes(Vec<u8>),
}

impl From<Bytes> for Value {
    fn from(bytes: Bytes) -> Self {
        match String::from_utf8(bytes.into()) {
            Ok(text) => Self::Text(text),
            Err(error) => Self::Bytes(error.into_bytes()),
        }
    }
}

impl From<Value> for Bytes {
    fn from(value: Value) -> Self {
        match value {
            Value::Text(text) => text.into(),
            Value::Bytes(bytes) => bytes.into(),
        }
    }
}

/// [`table::Row`] on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Key.
    pub key: Key,
    /// Value.
    pub value: Value,
    /// Commit that last wrote the row.
    pub revision: Revision,
}

impl From<table::Row> for Row {
    fn from(row: table::Row) -> Self {
        Self {
            key: row.key,
            value: row.value.into(),
            revision: row.revision,
        }
    }
}

impl From<Row> for table::Row {
    fn from(row: Row) -> Self {
        Self {
            key: row.key,
            value: row.value.into(),
            revision: row.revision,
        }
    }
}

/// [`table::Page`] on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Page {
    /// Rows in key order.
    pub rows: Vec<Row>,
    /// Whether the scan was truncated by its limit.
    pub more: bool,
}

impl From<table::Page> for Page {
    fn from(page: table::Page) -> Self {
        Self {
            rows: page.rows.into_iter().map(Row::from).collect(),
            more: page.more,
        }
    }
}

impl From<Page> for table::Page {
    fn from(page: Page) -> Self {
        Self {
            rows: page.rows.into_iter().map(table::Row::from).collect(),
            more: page.more,
        }
    }
}

/// [`table::Write`] on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Write {
    /// Creates or replaces the row.
    Put(Key, Value),
    /// Deletes the row if it exists.
    Delete(Key),
}

/// [`table::Txn`] on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Txn {
    /// Preconditions.
    pub conditions: Vec<Condition>,
    /// Writes to apply.
    pub writes: Vec<Write>,
}

impl From<table::Txn> for Txn {
    fn from(txn: table::Txn) -> Self {
        let writes = txn.writes.into_iter().map(|write| match write {
            table::Write::Put(key, value) => Write::Put(key, value.into()),
            table::Write::Delete(key) => Write::Delete(key),
        });
        Self {
            conditions: txn.conditions,
            writes: writes.collect(),
        }
    }
}

impl From<Txn> for table::Txn {
    fn from(txn: Txn) -> Self {
        let writes = txn.writes.into_iter().map(|write| match write {
            Write::Put(key, value) => table::Write::Put(key, value.into()),
            Write::Delete(key) => table::Write::Delete(key),
        });
        Self {
            conditions: txn.conditions,
            writes: writes.collect(),
        }
    }
}

/// Defines call types with their fields, paths, effects and response types.
macro_rules! calls {
    ($(
        $(#[$doc:meta])*
        $name:ident { $($(#[$field_doc:meta])* $field:ident: $type:ty),* }
        at $path:literal, mutates $mutates:literal, answers $answer:ty;
    )*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
        #[serde(deny_unknown_fields, rename_all = "kebab-case")]
        pub struct $name {
            $($(#[$field_doc])* pub $field: $type,)*
        }

        impl Call for $name {
            const PATH: &'static str = $path;
            const MUTATES: bool = $mutates;
            type Answer = $answer;
        }
    )*};
}

calls! {
    /// Reads one row.
    Read {
        /// Key.
        key: Key
    } at "/table/read", mutates false, answers Option<Row>;

    /// Stores an object.
    PutObject {
        /// Object name.
        name: Arc<str>,
        /// Value.
        value: Value
    } at "/objects/put", mutates true, answers ();

    /// Reads an object.
    GetObject {
        /// Object name.
        name: Arc<str>
    } at "/objects/get", mutates false, answers Option<Value>;

    /// Lists names of objects.
    ListObjects {
        /// Prefix of the names.
        prefix: Arc<str>
    } at "/objects/list", mutates false, answers Vec<Arc<str>>;

    /// Reads the list of instances.
    ListInstances {} at "/instances/list", mutates false, answers List;

    /// Reboots an instance.
    Reboot {
        /// Instance to reboot.
        id: id::Instance,
        /// Number of boots that the instance must have had so far.
        boots: u64
    } at "/instances/reboot", mutates true, answers ();

    /// Extends a lease.
    Renew {
        /// Job.
        job: id::Job,
        /// Fencing token of the start.
        token: Token,
        /// New duration, counted from now.
        lease: Duration
    } at "/tasks/renew", mutates true, answers ();

    /// Requests a checkpoint.
    Checkpoint {
        /// Job.
        job: id::Job,
        /// Fencing token of the start.
        token: Token
    } at "/tasks/checkpoint", mutates true, answers ();

    /// Limits the processor time of a task.
    Throttle {
        /// Job.
        job: id::Job,
        /// Fencing token of the start.
        token: Token,
        /// Fraction of its processor cores, 0 to 1.
        fraction: f64
    } at "/tasks/throttle", mutates true, answers ();

    /// Stops a task.
    Stop {
        /// Job.
        job: id::Job,
        /// Fencing token of the start.
        token: Token
    } at "/tasks/stop", mutates true, answers ();

    /// Reads the reports of all tasks.
    Reports {} at "/tasks/reports", mutates false, answers Vec<Report>;
}

impl Call for Scan {
    const PATH: &'static str = "/table/scan";
    const MUTATES: bool = false;
    type Answer = Page;
}

impl Call for Txn {
    const PATH: &'static str = "/table/commit";
    const MUTATES: bool = true;
    type Answer = Commit;
}

impl Call for Start {
    const PATH: &'static str = "/tasks/start";
    const MUTATES: bool = true;
    type Answer = ();
}
