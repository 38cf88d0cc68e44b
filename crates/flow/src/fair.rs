//! Fair queueing over accounts, classes and services.
//!
//! Accounts are scheduled by start-time fair queueing (Goyal, Vin, Cheng: "Start-time Fair Queueing",
//! SIGCOMM 1996): a request's start tag is the later of the virtual time and its account's last
//! finish tag; its finish tag is the start tag plus its cost divided by the account's weight; the
//! smallest start tag is served first and sets the virtual time. The cost is the expected service
//! time, so that slot time is shared, not the number of requests. An idle account accumulates no
//! credit, and an account that sends too much delays only itself.
//!
//! Within an account urgent requests precede deferrable ones, but one in [`DEFERRABLE_INTERVAL`]
//! requests is a deferrable one while any is queued. Accounts come first and classes second, so an
//! account cannot exceed its share by marking its requests urgent. Within a class, services are
//! served round-robin, each first in, first out.

use crate::quota::allocation::{Weights, weight};
use primroseroute_domain::{account::Class, id};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One in this many requests is deferrable while both classes are queued, so that deferrable
/// requests such as reminders still make progress.
pub const DEFERRABLE_INTERVAL: u32 = 8;

/// Minimum cost of a request in seconds, so that accounts also alternate when nothing is measured.
const MIN_COST: f64 = 1e-4;

/// A queued request.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// Request number.
    pub request: u64,
    /// Account that is charged.
    pub account: id::Account,
    /// Requested service.
    pub service: id::Service,
    /// Scheduling class.
    pub class: Class,
    /// Expected service time in seconds.
    pub cost: f64,
}

/// Queued requests of one class of one account.
#[derive(Clone, Debug, Default)]
struct ClassQueue {
    services: BTreeMap<id::Service, VecDeque<QueuedRequest>>,
    last_service: Option<id::Service>,
    cost: f64,
    len: usize,
}

impl ClassQueue {
    fn push(&mut self, item: QueuedRequest, front: bool) {
        self.cost += item.cost;
        self.len += 1;
        let service = self.services.entry(item.service.clone()).or_default();
        if front {
            service.push_front(item);
        } else {
            service.push_back(item);
        }
    }

    /// Removes the first request of the next service in round-robin order.
    fn pop(&mut self) -> Option<QueuedRequest> {
        let next = self.next_service()?;
        let item = self.services.get_mut(&next)?.pop_front()?;
        self.update_totals(&item);
        self.last_service = Some(next);
        Some(item)
    }

    fn next_service(&self) -> Option<id::Service> {
        use std::ops::Bound::{Excluded, Unbounded};
        let after = self.last_service.as_ref().and_then(|last_service| {
            let mut rest = self
                .services
                .range((Excluded(last_service.clone()), Unbounded));
            rest.next().map(|(service, _)| service)
        });
        after.or_else(|| self.services.keys().next()).cloned()
    }

    fn remove(&mut self, service: &id::Service, request: u64) -> Option<QueuedRequest> {
        let queue = self.services.get_mut(service)?;
        let at = queue.iter().position(|item| item.request == request)?;
        let item = queue.remove(at)?;
        self.update_totals(&item);
        Some(item)
    }

    fn update_totals(&mut self, item: &QueuedRequest) {
        self.len -= 1;
        // Resets the rounding error of the floating-point sum.
        self.cost = if self.len == 0 {
            0.0
        } else {
            (self.cost - item.cost).max(0.0)
        };
        if self
            .services
            .get(&item.service)
            .is_some_and(VecDeque::is_empty)
        {
            self.services.remove(&item.service);
        }
    }

    fn waiting(&self, service: &id::Service) -> usize {
        self.services.get(service).map_or(0, VecDeque::len)
    }
}

/// Queued requests of one account.
#[derive(Clone, Debug, Default)]
struct AccountQueue {
    urgent: ClassQueue,
    deferrable: ClassQueue,
    /// Consecutive urgent requests served while a deferrable one was queued.
    urgent_streak: u32,
    /// Start tag of the next request, while any is queued.
    start_tag: f64,
    /// Finish tag of the last request served.
    finish_tag: f64,
}

impl AccountQueue {
    fn class_queue(&mut self, class: Class) -> &mut ClassQueue {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Deferrable => &mut self.deferrable,
        }
    }

    fn is_empty(&self) -> bool {
        self.urgent.len + self.deferrable.len == 0
    }

    fn pop(&mut self) -> Option<QueuedRequest> {
        let is_deferrable_turn =
            self.urgent_streak + 1 >= DEFERRABLE_INTERVAL && self.deferrable.len > 0;
        if self.urgent.len == 0 || is_deferrable_turn {
            self.urgent_streak = 0;
            return self.deferrable.pop();
        }
        self.urgent_streak = if self.deferrable.len > 0 {
            self.urgent_streak + 1
        } else {
            0
        };
        self.urgent.pop()
    }
}

/// The queued requests of one pool.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    accounts: BTreeMap<id::Account, AccountQueue>,
    weights: Weights,
    /// Accounts with queued requests by start tag; tags are non-negative, so their bits sort alike.
    by_start_tag: BTreeSet<(u64, id::Account)>,
    virtual_time: f64,
    len: usize,
    cost: f64,
}

impl Queue {
    /// Sets the weights of the accounts; an absent account has weight 1.
    pub fn set_weights(&mut self, weights: Weights) {
        self.weights = weights;
    }

    /// The weight of an account.
    pub fn weight(&self, account: &id::Account) -> f64 {
        weight(&self.weights, account)
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Expected service time of all queued requests in seconds.
    pub fn cost(&self) -> f64 {
        self.cost
    }

    /// Number of requests of `account` queued for `service`.
    pub fn waiting(&self, account: &id::Account, service: &id::Service) -> usize {
        self.accounts.get(account).map_or(0, |account_queue| {
            account_queue.urgent.waiting(service) + account_queue.deferrable.waiting(service)
        })
    }

    /// Adds a request at the end of its queue.
    pub fn push(&mut self, item: QueuedRequest) {
        self.insert(item, false);
    }

    /// Returns a request that was queued before to the front of its queue.
    pub fn push_front(&mut self, item: QueuedRequest) {
        self.insert(item, true);
    }

    fn insert(&mut self, mut item: QueuedRequest, front: bool) {
        item.cost = item.cost.max(MIN_COST);
        self.len += 1;
        self.cost += item.cost;
        let account_queue = self.accounts.entry(item.account.clone()).or_default();
        if account_queue.is_empty() {
            account_queue.start_tag = self.virtual_time.max(account_queue.finish_tag);
            self.by_start_tag
                .insert((account_queue.start_tag.to_bits(), item.account.clone()));
        }
        account_queue.class_queue(item.class).push(item, front);
    }

    /// Removes the next request in fair order.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        let (_, account) = self.by_start_tag.pop_first()?;
        let weight = self.weight(&account);
        let account_queue = self.accounts.get_mut(&account)?;
        let item = account_queue.pop()?;
        self.virtual_time = account_queue.start_tag;
        account_queue.finish_tag = account_queue.start_tag + item.cost / weight;
        account_queue.start_tag = account_queue.finish_tag;
        if !account_queue.is_empty() {
            self.by_start_tag
                .insert((account_queue.start_tag.to_bits(), account));
        }
        self.update_totals(&item);
        Some(item)
    }

    /// Removes a request that will not be sent; its account is not charged.
    pub fn remove(
        &mut self,
        account: &id::Account,
        service: &id::Service,
        class: Class,
        request: u64,
    ) -> Option<QueuedRequest> {
        let account_queue = self.accounts.get_mut(account)?;
        let item = account_queue.class_queue(class).remove(service, request)?;
        if account_queue.is_empty() {
            self.by_start_tag
                .remove(&(account_queue.start_tag.to_bits(), account.clone()));
        }
        self.update_totals(&item);
        Some(item)
    }

    fn update_totals(&mut self, item: &QueuedRequest) {
        self.len -= 1;
        self.cost = (self.cost - item.cost).max(0.0);
        if self.len == 0 {
            self.start_busy_period();
        }
    }

    /// Starts a new busy period: with an empty queue, virtual time advances to the last finish tag.
    fn start_busy_period(&mut self) {
        let latest = |tag: f64, account: &AccountQueue| tag.max(account.finish_tag);
        self.virtual_time = self.accounts.values().fold(self.virtual_time, latest);
        self.cost = 0.0;
        self.accounts.clear();
    }

    /// Expected wait of a new request in seconds while `rate` slots serve its account.
    pub fn expected_wait(&self, account: &id::Account, class: Class, rate: f64) -> f64 {
        let Some(account_queue) = self.accounts.get(account) else {
            return 0.0;
        };
        let urgent = account_queue.urgent.cost * f64::from(DEFERRABLE_INTERVAL)
            / f64::from(DEFERRABLE_INTERVAL - 1);
        let all = account_queue.urgent.cost + account_queue.deferrable.cost;
        let ahead = match class {
            Class::Urgent => urgent.min(all),
            Class::Deferrable => all,
        };
        ahead / rate
    }

    /// The account's fraction of the total weight of all accounts with queued requests.
    pub fn weight_fraction(&self, account: &id::Account) -> f64 {
        let own = self.weight(account);
        let others = self.by_start_tag.iter().map(|(_, other)| other);
        let others = others.filter(|other| *other != account);
        own / (own + others.map(|other| self.weight(other)).sum::<f64>())
    }
}
