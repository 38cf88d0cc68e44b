//! Heads that stop short of their end.

use crate::{
    cases,
    client::Crowd,
    entry::{Entry, SMALL_MACHINE, submission},
};
use eyre::{Result, ensure};
use primroseroute_adapter_standin::settings::Machine;

/// Bytes of a head: more than is legal, and fewer than are read before it is refused.
const HEAD_BYTES: usize = 60_000;

/// Descriptors of the smallest machine of a deployment, so that memory is what bounds a crowd.
const DESCRIPTORS: usize = 4_100;

cases! {
    /// Memory that grows with the heads that callers have begun to send.
    unfinished_heads => unfinished();
}

async fn unfinished() -> Result<()> {
    let machine = Machine {
        descriptors: DESCRIPTORS,
        ..SMALL_MACHINE
    };
    let mut entry = Entry::start(machine).await?;
    let mut head = submission(1, "x-padding: ");
    head.extend(std::iter::repeat_n('x', HEAD_BYTES - head.len()));
    let crowd = Crowd::open(entry.callers, 2_000, vec![head.into()]).await;
    ensure!(crowd.len() > 0, "no client is connected");
    entry.check().await
}
