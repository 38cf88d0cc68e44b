//! Deletion of the rows of jobs that ended long ago.

use crate::event::Event;
use log::{debug, info};
use primroseroute_cell::row;
use primroseroute_domain::work::{JobId, Name};
use primroseroute_platform::rows::{Rows, Txn, Version};
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedSender;

/// Deletes a job's rows: the records of its acceptance first, since a successor takes an accepted
/// job without progress for a new one.
pub(crate) async fn delete_rows(
    rows: Arc<dyn Rows>,
    pool: Name,
    owner: Version,
    id: JobId,
    events: UnboundedSender<Event>,
) {
    let accepted = Txn {
        deletes: vec![
            row::claim(&id),
            row::accepted(&pool, &id),
            row::cancel(&pool, &id),
        ],
        ..Txn::default()
    };
    let progress = Txn {
        conditions: vec![(row::owner(&pool), owner)],
        deletes: vec![row::progress(&pool, &id)],
        ..Txn::default()
    };
    for txn in [accepted, progress] {
        if let Err(error) = rows.commit(txn).await {
            // It is retried later, by a successor as well.
            info!(job:% = id, error:% = error; "deleting a finished job's rows failed");
            return;
        }
    }
    // Not before: a job that is forgotten while its rows exist looks as if it had just been
    // accepted.
    if events.send(Event::RowsDeleted(id)).is_err() {
        debug!("the pool's loop has ended");
    }
}
