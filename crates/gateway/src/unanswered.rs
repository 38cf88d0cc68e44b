//! Submissions whose callers leave before they are answered.

use log::info;
use primroseroute_domain::work::JobId;

/// A submission that isn't answered yet; one that is dropped is logged.
///
/// The server drops a request when its caller closes the connection. The commits that were sent for
/// it may take effect all the same.
#[derive(Debug)]
pub(crate) struct Unanswered<'a> {
    id: &'a JobId,
    commits: u32,
    is_answered: bool,
}

impl<'a> Unanswered<'a> {
    pub(crate) fn new(id: &'a JobId) -> Self {
        Self {
            id,
            commits: 0,
            is_answered: false,
        }
    }

    /// Records that a commit is about to be sent.
    pub(crate) fn record_commit(&mut self) {
        self.commits += 1;
    }

    pub(crate) fn record_answer(&mut self) {
        self.is_answered = true;
    }
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            let commits = self.commits;
            info!(job:% = self.id, commits; "caller of a submission left before its answer");
        }
    }
}
