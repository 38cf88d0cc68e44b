//! What a pool's loop is told.

use crate::load::Jobs;
use primroseroute_cell::{Millis, Outcome};
use primroseroute_domain::work::{Name, TaskId};
use primroseroute_platform::worker::Look;

/// What a pool's loop is told.
#[derive(Debug)]
pub(crate) enum Event {
    Jobs(Jobs),
    Renewing {
        worker: Name,
        lapses_at: Millis,
    },
    Look {
        worker: Name,
        look: Look,
        sent_at: Millis,
        at: Millis,
    },
    Gone(Name),
    Answered {
        worker: Name,
        task: TaskId,
        run: u32,
        outcome: Outcome,
    },
    Stopped {
        worker: Name,
        task: TaskId,
        run: u32,
    },
    Empty {
        worker: Name,
        wanted: bool,
    },
    Clear(Name),
}
