//! The part of the loop on the budgets of accounts.

use super::PoolLoop;
use crate::{
    budgets::{self, Budgets},
    follow::{FEED_WAIT, FeedTiming, follow},
    ownership::Context,
};
use primroseroute_domain::work::Name;
use std::{sync::Arc, time::Duration};

/// Reads of the change feed of budgets.
const BUDGETS_FEED_TIMING: FeedTiming = FeedTiming {
    min_interval: Duration::from_millis(100),
    wait: FEED_WAIT,
    full_read_after: None,
};

/// Time within which a configuration must be in force if the platform sets none.
const DEFAULT_CONFIGURATION_BOUND: Duration = Duration::from_secs(2);

impl PoolLoop {
    /// Follows the budgets of accounts from the first configuration on that has accounts.
    pub(super) fn follow_budgets(&mut self) {
        let mut accounts = self.configuration.iter().flat_map(|known| &known.accounts);
        if self.budgets.is_some() || accounts.next().is_none() {
            return;
        }
        let Context { pool, rows, .. } = &self.context;
        self.budgets = Some(Budgets::new(Name::clone(pool), self.token));
        let follower = follow(
            "budgets",
            budgets::Table {
                rows: Arc::clone(rows),
                takeover_rows: Arc::clone(&self.context.takeover_rows),
            },
            budgets::Sink(self.sender.clone()),
            BUDGETS_FEED_TIMING,
            None,
            (Name::clone(pool), self.token),
        );
        self.background.push(tokio::spawn(follower));
    }

    /// Sets what the accounts may have running in the pool.
    pub(super) fn limit_accounts(&mut self) {
        let newest = self.context.watch.configuration.borrow().clone();
        let (Some(budgets), Some(configuration)) = (&self.budgets, newest) else {
            return;
        };
        let bound = self.context.configuration_bound;
        let bound = bound.unwrap_or(DEFAULT_CONFIGURATION_BOUND);
        let age = self.context.watch.configuration_age();
        let is_current = age.is_some_and(|age| age < bound);
        self.cell
            .set_account_limits(&budgets.limits(&configuration, is_current));
    }

    /// Writes the budgets that what runs and waits requires to be changed.
    pub(super) fn write_budgets(&mut self) {
        let (Some(budgets), Some(configuration)) = (&mut self.budgets, &self.configuration) else {
            return;
        };
        let meter = self.cell.account_usage();
        budgets.log_refusals(configuration, meter);
        if let Some(txn) = budgets.write(configuration, meter, self.context.clock.now()) {
            let Context { rows, pool, .. } = &self.context;
            self.detached.spawn(budgets::send(
                Arc::clone(rows),
                txn,
                Name::clone(pool),
                self.sender.clone(),
            ));
        }
    }
}
