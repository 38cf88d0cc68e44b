//! A platform handle whose caller can be paused, as a process is by its host.

use async_trait::async_trait;
use primroseroute_domain::id;
use primroseroute_platform::{
    error::Error,
    fleet::{Instances, List},
    table::{Commit, Key, Page, Row, Scan, Table, Txn},
};
use primroseroute_standin::platform::Platform;
use tokio::sync::watch;

/// Calls wait while the caller is paused and go through unchanged when it wakes up: a commit that
/// was decided before the pause arrives after it.
#[derive(Clone, Debug)]
pub struct Stall {
    platform: Platform,
    paused: watch::Receiver<bool>,
}

impl Stall {
    pub fn open(platform: Platform, paused: watch::Receiver<bool>) -> Self {
        Self { platform, paused }
    }

    async fn awake(&self) {
        let mut paused = self.paused.clone();
        paused
            .wait_for(|paused| !paused)
            .await
            .expect("the world outlives its controllers");
    }
}

#[async_trait]
impl Table for Stall {
    async fn read(&self, key: &Key) -> Result<Option<Row>, Error> {
        self.awake().await;
        self.platform.read(key).await
    }

    async fn scan(&self, scan: Scan) -> Result<Page, Error> {
        self.awake().await;
        self.platform.scan(scan).await
    }

    async fn commit(&self, txn: Txn) -> Result<Commit, Error> {
        self.awake().await;
        self.platform.commit(txn).await
    }
}

#[async_trait]
impl Instances for Stall {
    async fn list(&self) -> Result<List, Error> {
        self.awake().await;
        self.platform.list().await
    }

    async fn reboot(&self, id: &id::Instance, boots: u64) -> Result<(), Error> {
        self.awake().await;
        self.platform.reboot(id, boots).await
    }
}
