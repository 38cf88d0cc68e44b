//! Client of the admin API, for operators' programs.

use crate::http1::{self, Failure, Http};
use http::{Method, Request, header};
use http_body_util::Full;
use primroseroute_api::{
    Accepted, Apply, Audit, Cancel, Cancelled, Diff, Instance, Move, Order, Pool, Problem, Service,
    Start, Status, Submit, Wave, path,
};
use primroseroute_domain::{
    account::Template,
    change::Seq,
    id,
    outcome::{Code, Verdict},
};
use primroseroute_fleet::wave;
use primroseroute_jobs::Row as Job;
use primroseroute_ledger::Versioned;
use serde::{Serialize, de::DeserializeOwned};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Timeout of a request. A change waits for the store and for retries after conflicts.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Error of an order or a read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The entry refused the request with a numbered code.
    #[error("{}: {}", .0.code, .0.detail)]
    Refused(Problem),
    /// The entry could not be reached; nothing was sent.
    #[error("{0}")]
    Unreachable(String),
    /// The response was lost; an order may have been applied.
    #[error("{0}")]
    Lost(String),
}

impl Error {
    /// What is known about the execution of an order that failed with this error.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Refused(problem) => problem.outcome,
            Self::Unreachable(_) => Verdict::NotRun,
            Self::Lost(_) => Verdict::Unknown,
        }
    }

    /// The numbered code of a refusal.
    pub fn code(&self) -> Option<Code> {
        match self {
            Self::Refused(problem) => Some(problem.code),
            Self::Unreachable(_) | Self::Lost(_) => None,
        }
    }
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Connect(text) => Self::Unreachable(text),
            Failure::Lost(text) => Self::Lost(text),
        }
    }
}

/// Client of one entry's admin API.
#[derive(Clone, Debug)]
pub struct Admin {
    http: Http,
    address: SocketAddr,
    token: Arc<str>,
}

impl Admin {
    /// Creates a client of the admin address `address` that uses an operator's `token`.
    pub fn open(address: SocketAddr, token: impl Into<Arc<str>>) -> Self {
        Self {
            http: http1::new_client(),
            address,
            token: token.into(),
        }
    }

    /// The admin address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, Error> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .body(Full::new(body.into()))
            .map_err(|error| Error::Unreachable(error.to_string()))?;
        let response = http1::exchange(&self.http, request, TIMEOUT).await?;
        let unparsable =
            |error: serde_json::Error| Error::Lost(format!("cannot parse the response: {error}"));
        if response.status().is_success() {
            serde_json::from_slice(response.body()).map_err(unparsable)
        } else {
            let problem = serde_json::from_slice(response.body()).map_err(unparsable)?;
            Err(Error::Refused(problem))
        }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.call(Method::GET, path, Vec::new()).await
    }

    async fn send<B: Serialize, T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &B,
    ) -> Result<T, Error> {
        let json = serde_json::to_vec(body).expect("interface types serialize");
        self.call(method, path, json).await
    }

    /// Applies a template.
    ///
    /// # Errors
    /// [`Error`], including refusals by the entry.
    pub async fn apply(&self, order: &Apply) -> Result<Accepted, Error> {
        let path = format!("{}/{}", path::ACCOUNTS, order.template.account);
        self.send(Method::PUT, &path, order).await
    }

    /// Returns what a template would change, without applying it.
    ///
    /// # Errors
    /// [`Error`].
    pub async fn diff(&self, template: &Template) -> Result<Diff, Error> {
        self.send(Method::POST, path::DIFF, template).await
    }

    /// Lists all templates.
    ///
    /// # Errors
    /// [`Error`].
    pub async fn accounts(&self) -> Result<Vec<Versioned<Template>>, Error> {
        self.get(path::ACCOUNTS).await
    }

    /// Returns one template.
    ///
    /// # Errors
    /// [`Error`].
    pub async fn account(&self, name: &id::Account) -> Result<Versioned<Template>, Error> {
        self.get(&format!("{}/{name}", path::ACCOUNTS)).await
    }

    /// Lists all services.
    ///
    /// # Errors
    /// [`Error`].
    pub async fn services(&self) -> Result<Vec<Service>, Error> {
        self.get(path::SERVICES).await
    }

    /// Lists all pools.
    ///
    /// # Errors
    /// [`Error`].
    pub async fn pools(&self) -> Result<Vec<Pool>, Error> {
        self.get(path::POOLS).await
    }

    /// Lists all instances.
    ///
    /// # Errors
    /// [`Error`].
    pub async fn instances(&self) -> Result<Vec<Instance>, Error> {
        self.get(path::INSTANCES).await
    }

    /// Drains an instance.
    ///
    /// # Errors
    /// [`Error`], including refusals by the entry.
    pub async fn drain(&self, name: &id::Instance, order: &Order) -> Result<Accepted, Error> {
        self.send(
            Method::POST,
            &format!("{}/{name}/drain", path::INSTANCES),
            order,
        )
        .await
    }

    /// Puts an instance back into service.
    ///
    /// # Errors
    /// [`Error`], including refusals by the entry.
    pub async fn release(&self, name: &id::Instance, order: &Order) -> Result<Accepted, Error> {
        self.send(
            Method::POST,
            &format!("{}/{name}/release", path::INSTANCES),
            order,
        )
        .await
    }

    /// Moves an instance to another pool.
    ///
    /// # Errors
    /// [`Error`], including refusals by the entry.
    pub async fn move_to(&self, name: &id::Instance, order: &Move) -> Result<Accepted, Error> {
        self.send(
            Method::POST,
            &format!("{}/{name}/move", path::INSTANCES),
            order,
        )
        .await
    }

    /// Removes an entry whose process no longer runs.
    ///
    /// # Errors
    /// [`Error`].
    pub async fn remove(&self, name: &id::Entry, order: &Order) -> Result<Accepted, Error> {
        self.send(
            Method::POST,
            &format!("{}/{name}/remove", path::ENTRIES),
            order,
        )
        .await
    }

    /// Lists all waves with their progress.
    ///
    /// # Errors
    /// [`Error`].
    pub async fn waves(&self) -> Result<Vec<Wave>, Error> {
        self.get(path::WAVES).await
    }

    /// Plans a wave under the assumption that nothing fails.
    ///
    /// # Errors
    /// [`Error`], including refusals by the planner.
    pub async fn plan_wave(&self, order: &wave::Order) -> Result<wave::Plan, Error> {
        self.send(Method::POST, path::WAVE_PLAN, order).await
    }

    /// Starts a wave.
    ///
    /// # Errors
    /// [`Error`], including refusals by the planner.
    pub async fn start_wave(&self, start: &Start) -> Result<Accepted, Error> {
        self.send(Method::POST, path::WAVES, start).await
    }

    /// Pauses, resumes or aborts a wave.
    ///
    /// # Errors
    /// [`Error`].
    pub async fn command_wave(
        &self,
        name: &id::Wave,
        command: wave::Command,
        order: &Order,
    ) -> Result<Accepted, Error> {
        let verb = match command {
            wave::Command::Pause => "pause",
            wave::Command::Resume => "resume",
            wave::Command::Abort => "abort",
        };
        self.send(
            Method::POST,
            &format!("{}/{name}/{verb}", path::WAVES),
            order,
        )
        .await
    }

    /// Submits jobs in one change.
    ///
    /// # Errors
    /// [`Error`], including refusals by the entry.
    pub async fn submit(&self, order: &Submit) -> Result<Accepted, Error> {
        self.send(Method::POST, path::JOBS, order).await
    }

    /// Lists jobs, filtered by account, kind and name of the state if given.
    ///
    /// # Errors
    /// [`Error`].
    pub async fn jobs(
        &self,
        account: Option<&id::Account>,
        kind: Option<&str>,
        state: Option<&str>,
    ) -> Result<Vec<Versioned<Job>>, Error> {
        let account = account.map(id::Account::as_str);
        let mut path = format!("{}?", path::JOBS);
        for (name, value) in [("account", account), ("kind", kind), ("state", state)] {
            if let Some(value) = value {
                path = format!("{path}{name}={value}&");
            }
        }
        self.get(path.trim_end_matches(['?', '&'])).await
    }

    /// Returns one job.
    ///
    /// # Errors
    /// [`Error`].
    pub async fn job(&self, name: &id::Job) -> Result<Versioned<Job>, Error> {
        self.get(&format!("{}/{name}", path::JOBS)).await
    }

    /// Cancels jobs in one change.
    ///
    /// # Errors
    /// [`Error`], including refusals by the entry.
    pub async fn cancel(&self, order: &Cancel) -> Result<Cancelled, Error> {
        self.send(Method::POST, path::CANCEL, order).await
    }

    /// Puts a parked job back into the queue.
    ///
    /// # Errors
    /// [`Error`], including refusals by the entry.
    pub async fn release_job(&self, name: &id::Job, order: &Order) -> Result<Accepted, Error> {
        let path = format!("{}/{name}/release", path::JOBS);
        self.send(Method::POST, &path, order).await
    }

    /// Returns the status of the system.
    ///
    /// # Errors
    /// [`Error`].
    pub async fn status(&self) -> Result<Status, Error> {
        self.get(path::STATUS).await
    }

    /// Returns up to `limit` changes after `after`, filtered by actor and key prefix if given.
    ///
    /// # Errors
    /// [`Error`].
    pub async fn audit(
        &self,
        after: Seq,
        limit: u32,
        actor: Option<&str>,
        key: Option<&str>,
    ) -> Result<Audit, Error> {
        let mut path = format!("{}?after={after}&limit={limit}", path::AUDIT);
        for (name, value) in [("actor", actor), ("key", key)] {
            if let Some(value) = value {
                path = format!("{path}&{name}={value}");
            }
        }
        self.get(&path).await
    }
}
