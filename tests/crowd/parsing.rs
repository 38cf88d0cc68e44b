//! Small bodies with a large parsed form.

use crate::{
    cases,
    entry::{Entry, SMALL_MACHINE},
};
use eyre::{Result, ensure};
use primroseroute_adapter_standin::settings::MAX_BODY_BYTES;
use std::sync::Arc;
use tokio::task::JoinSet;

/// Clients whose bodies are parsed at about the same time.
const CLIENTS: u64 = 24;

cases! {
    /// Memory that grows with the elements of a body and not with its length.
    many_steps => steps();
}

async fn steps() -> Result<()> {
    let mut entry = Entry::start(SMALL_MACHINE).await?;
    let (begin, end) = (r#"{"Spec":"","Steps":[{}"#, "]}");
    let count = (MAX_BODY_BYTES - begin.len() - end.len()) / ",{}".len();
    let body: Arc<str> = format!("{begin}{}{end}", ",{}".repeat(count)).into();
    let address = entry.callers;
    let mut clients = JoinSet::new();
    for id in 0..CLIENTS {
        let body = Arc::clone(&body);
        clients.spawn(async move {
            let length = format!("content-length: {}\r\n\r\n", body.len());
            let request = crate::entry::submission(id, &length) + &body;
            crate::client::answer(address, request.as_bytes()).await
        });
    }
    while let Some(status) = clients.join_next().await {
        // Under pressure a connection may be closed; an answer says that the job is malformed.
        let status = status?.unwrap_or(400);
        ensure!(status == 400, "a job of {count} steps is answered {status}");
    }
    entry.check().await
}
