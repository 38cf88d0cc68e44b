//! A platform client whose caller can be paused, as a process may be by its host.

use async_trait::async_trait;
use primroseroute_domain::id;
use primroseroute_platform::{
    error::Error,
    fleet::{Instances, List},
    table::{Commit, Key, Page, Row, Scan, Table, Txn},
};
use primroseroute_standin::platform::Platform;
use tokio::sync::watch;

/// Calls wait while the caller is paused and continue unchanged when it resumes: a commit that was
/// decided before the pause arrives after it.
#[derive(Clone, Debug)]
pub struct PausableClient {
    platform: Platform,
    paused: watch::Receiver<bool>,
}

impl PausableClient {
    pub fn open(platform: Platform, paused: watch::Receiver<bool>) -> Self {
        Self { platform, paused }
    }

    async fn until_resumed(&self) {
        let mut paused = self.paused.clone();
        paused
            .wait_for(|paused| !paused)
            .await
            .expect("the simulation outlives its controllers");
    }
}

#[async_trait]
impl Table for PausableClient {
    async fn read(&self, key: &Key) -> Result<Option<Row>, Error> {
        self.until_resumed().await;
        self.platform.read(key).await
    }

    async fn scan(&self, scan: Scan) -> Result<Page, Error> {
        self.until_resumed().await;
        self.platform.scan(scan).await
    }

    async fn commit(&self, txn: Txn) -> Result<Commit, Error> {
        self.until_resumed().await;
        self.platform.commit(txn).await
    }
}

#[async_trait]
impl Instances for PausableClient {
    async fn list(&self) -> Result<List, Error> {
        self.until_resumed().await;
        self.platform.list().await
    }

    async fn reboot(&self, id: &id::Instance, boots: u64) -> Result<(), Error> {
        self.until_resumed().await;
        self.platform.reboot(id, boots).await
    }
}
