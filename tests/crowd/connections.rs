//! Connections on which nothing is sent.

use crate::{
    cases,
    client::Crowd,
    entry::{Entry, SMALL_MACHINE},
};
use eyre::{Result, ensure};

/// More clients than a machine has descriptors.
const CLIENTS: usize = SMALL_MACHINE.descriptors + 100;

cases! {
    /// Descriptors that callers hold all of.
    idle_callers => idle(|entry| vec![entry.callers]);
    /// Descriptors that clients of the readiness check hold.
    idle_readiness_checks => idle(|entry| vec![entry.readiness]);
    /// Descriptors that clients of the metrics hold.
    idle_metrics_requests => idle(|entry| vec![entry.metrics]);
    /// Listeners that are each within their bound, and together beyond that of their process.
    idle_on_every_listener => idle(|entry| vec![entry.callers, entry.readiness, entry.metrics]);
}

async fn idle(addresses: impl Fn(&Entry) -> Vec<std::net::SocketAddr>) -> Result<()> {
    let mut entry = Entry::start(SMALL_MACHINE).await?;
    let mut crowds = Vec::new();
    for address in addresses(&entry) {
        crowds.push(Crowd::open(address, CLIENTS, Vec::new()).await);
    }
    ensure!(
        crowds.iter().all(|crowd| crowd.len() > 0),
        "no client is connected"
    );
    entry.check().await?;
    let status = entry.read_metrics().await?;
    ensure!(status == 200, "a metrics request is answered {status}");
    Ok(())
}
