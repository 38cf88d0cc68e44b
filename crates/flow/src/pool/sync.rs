//! Application of a new view: workers and entries join and leave.

use super::{Phase, Pool};
use crate::{request::Action, view::View};
use primroseroute_domain::{id, outcome::Code};
use std::time::Duration;

impl Pool {
    /// Applies a new view; instances that have left `Serving` receive no more requests.
    ///
    /// Requests in flight there continue. If no serving instance is left, every queued request is
    /// refused immediately.
    pub fn apply_view(&mut self, now: Duration, view: &View) -> Vec<Action> {
        self.view = view.clone();
        let shares = view.shares.iter();
        let shares = shares.map(|(account, share)| (account.clone(), f64::from(*share)));
        self.shares = shares.collect();
        self.remove_absent_workers();
        for (id, member) in &view.members {
            self.workers.upsert(id, member.clone());
        }
        let mut entries = view.entries.clone();
        entries.insert(self.entry.clone());
        let entries_changed = self.loans.set_entries(&entries);
        self.refresh_slots(entries_changed);
        let demand = self.meter.read(now);
        self.update_weights(&demand);
        if self.workers.totals().serving == 0 {
            self.refuse_unsent();
        }
        self.advance(now)
    }

    fn remove_absent_workers(&mut self) {
        let is_absent = |id: &&id::Instance| !self.view.members.contains_key(*id);
        let known = self.workers.iter().map(|worker| &worker.id);
        let absent: Vec<_> = known.filter(is_absent).cloned().collect();
        for index in absent
            .iter()
            .filter_map(|id| self.workers.find(id))
            .collect::<Vec<_>>()
        {
            self.workers
                .change(index, |worker| worker.is_in_view = false);
        }
    }

    fn refuse_unsent(&mut self) {
        let is_sent = |phase| matches!(phase, Phase::Sent { .. });
        let requests = self.requests.iter();
        let unsent = requests.filter(|(_, request)| !is_sent(request.phase));
        let numbers: Vec<_> = unsent.map(|(number, _)| *number).collect();
        for number in numbers {
            let Some(request) = self.requests.remove(&number) else {
                continue;
            };
            self.queue
                .remove(&request.account, &request.service, request.class, number);
            if let Phase::Waiting { until } | Phase::BackingOff { until } = request.phase {
                self.request_timers.remove(&(until, number));
            }
            self.refuse(number, request.final_code(Code::NoInstance));
        }
    }
}
