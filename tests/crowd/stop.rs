//! The end of a process while clients hold what they have sent.

use crate::{
    cases,
    client::Crowd,
    entry::{Entry, SMALL_MACHINE, submission},
};
use bytes::Bytes;
use eyre::{Result, ensure};
use rustix::process::Signal;

cases! {
    /// A process that waits for a body that never ends.
    unfinished_bodies => stop(vec![submission(1, "content-length: 100\r\n\r\n{").into()]);
    /// A process that waits for a head that never ends.
    unfinished_heads => stop(vec![submission(1, "x-padding: ").into()]);
    /// A process that waits for clients to read their answers.
    unread_answers => stop(vec!["GET /ready HTTP/1.1\r\nhost: x\r\n\r\n".repeat(200_000).into()]);
}

async fn stop(pieces: Vec<Bytes>) -> Result<()> {
    let mut entry = Entry::start(SMALL_MACHINE).await?;
    let crowd = Crowd::open(entry.callers, 50, pieces).await;
    ensure!(crowd.len() > 0, "no client is connected");
    entry.process().signal(Signal::TERM)?;
    entry.wait_for_exit().await
}
