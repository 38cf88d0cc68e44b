//! Fair queueing: whose request goes next.
//!
//! Over accounts it is start-time fair queueing (Goyal, Vin, Cheng: "Start-time Fair Queueing",
//! SIGCOMM 1996): a request gets a start tag, the later of the virtual time and its account's last
//! finish tag; its finish tag is the start tag plus its cost over the account's weight; the smallest
//! start tag goes first and sets the virtual time. The cost is the expected service time, so that
//! what is shared is time in slots, not the number of requests. An account that was idle cannot
//! save up turns, and one that sends too much delays only itself.
//!
//! Within an account urgent goes before deferrable, but every [`TURN`]th request is a deferrable
//! one while any waits. Accounts come first and classes second: an account cannot get more than its
//! share by calling its work urgent. Within a class services take turns, each first in, first out.

use crate::rights::division::{Weights, weight};
use primroseroute_domain::{account::Class, id};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One request in so many is deferrable while both classes wait: reminders finish, slowly.
pub const TURN: u32 = 8;

/// Smallest cost of a request in seconds, so that unmeasured requests take turns as well.
const MIN_COST: f64 = 1e-4;

/// A request as the queue sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// The request.
    pub request: u64,
    /// The account that it is charged to.
    pub account: id::Account,
    /// The service that it is for.
    pub service: id::Service,
    /// How urgent it is.
    pub class: Class,
    /// Expected service time in seconds.
    pub cost: f64,
}

/// Requests of one class of one account.
#[derive(Clone, Debug, Default)]
struct Line {
    services: BTreeMap<id::Service, VecDeque<Item>>,
    last: Option<id::Service>,
    cost: f64,
    len: usize,
}

impl Line {
    fn push(&mut self, item: Item, front: bool) {
        self.cost += item.cost;
        self.len += 1;
        let service = self.services.entry(item.service.clone()).or_default();
        if front {
            service.push_front(item);
        } else {
            service.push_back(item);
        }
    }

    /// The first request of the service whose turn it is.
    fn pop(&mut self) -> Option<Item> {
        let next = self.next_service()?;
        let item = self.services.get_mut(&next)?.pop_front()?;
        self.forget(&item);
        self.last = Some(next);
        Some(item)
    }

    fn next_service(&self) -> Option<id::Service> {
        use std::ops::Bound::{Excluded, Unbounded};
        let after = self.last.as_ref().and_then(|last| {
            let mut rest = self.services.range((Excluded(last.clone()), Unbounded));
            rest.next().map(|(service, _)| service)
        });
        after.or_else(|| self.services.keys().next()).cloned()
    }

    fn remove(&mut self, service: &id::Service, request: u64) -> Option<Item> {
        let queue = self.services.get_mut(service)?;
        let at = queue.iter().position(|item| item.request == request)?;
        let item = queue.remove(at)?;
        self.forget(&item);
        Some(item)
    }

    fn forget(&mut self, item: &Item) {
        self.len -= 1;
        // Sums of fractions drift; an empty line is exactly zero.
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

/// The requests of one account.
#[derive(Clone, Debug, Default)]
struct Flow {
    urgent: Line,
    deferrable: Line,
    /// Urgent requests that went ahead of a waiting deferrable one, in a row.
    passed: u32,
    /// Start tag of the next request, while any waits.
    start: f64,
    /// Finish tag of the last request that went.
    finish: f64,
}

impl Flow {
    fn line(&mut self, class: Class) -> &mut Line {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Deferrable => &mut self.deferrable,
        }
    }

    fn is_empty(&self) -> bool {
        self.urgent.len + self.deferrable.len == 0
    }

    fn pop(&mut self) -> Option<Item> {
        let deferred_long = self.passed + 1 >= TURN && self.deferrable.len > 0;
        if self.urgent.len == 0 || deferred_long {
            self.passed = 0;
            return self.deferrable.pop();
        }
        self.passed = if self.deferrable.len > 0 {
            self.passed + 1
        } else {
            0
        };
        self.urgent.pop()
    }
}

/// The waiting requests of one pool.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    flows: BTreeMap<id::Account, Flow>,
    weights: Weights,
    /// Accounts with waiting requests by start tag; tags are not negative, so bits keep the order.
    order: BTreeSet<(u64, id::Account)>,
    time: f64,
    len: usize,
    cost: f64,
}

impl Queue {
    /// Sets the weights of the accounts; an account that is missing has weight 1.
    pub fn set_weights(&mut self, weights: Weights) {
        self.weights = weights;
    }

    /// The weight of an account.
    pub fn weight(&self, account: &id::Account) -> f64 {
        weight(&self.weights, account)
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Expected service time of all waiting requests in seconds.
    pub fn cost(&self) -> f64 {
        self.cost
    }

    /// Requests that `account` has waiting for `service`.
    pub fn waiting(&self, account: &id::Account, service: &id::Service) -> usize {
        self.flows.get(account).map_or(0, |flow| {
            flow.urgent.waiting(service) + flow.deferrable.waiting(service)
        })
    }

    /// Adds a request at the end of its line.
    pub fn push(&mut self, item: Item) {
        self.insert(item, false);
    }

    /// Puts a request that has waited before at the front of its line.
    pub fn push_front(&mut self, item: Item) {
        self.insert(item, true);
    }

    fn insert(&mut self, mut item: Item, front: bool) {
        item.cost = item.cost.max(MIN_COST);
        self.len += 1;
        self.cost += item.cost;
        let flow = self.flows.entry(item.account.clone()).or_default();
        if flow.is_empty() {
            flow.start = self.time.max(flow.finish);
            self.order
                .insert((flow.start.to_bits(), item.account.clone()));
        }
        flow.line(item.class).push(item, front);
    }

    /// Takes the request whose turn it is.
    pub fn pop(&mut self) -> Option<Item> {
        let (_, account) = self.order.pop_first()?;
        let weight = self.weight(&account);
        let flow = self.flows.get_mut(&account)?;
        let item = flow.pop()?;
        self.time = flow.start;
        flow.finish = flow.start + item.cost / weight;
        flow.start = flow.finish;
        if !flow.is_empty() {
            self.order.insert((flow.start.to_bits(), account));
        }
        self.forget(&item);
        Some(item)
    }

    /// Takes out a request that is not to be sent; its account is not charged.
    pub fn remove(
        &mut self,
        account: &id::Account,
        service: &id::Service,
        class: Class,
        request: u64,
    ) -> Option<Item> {
        let flow = self.flows.get_mut(account)?;
        let item = flow.line(class).remove(service, request)?;
        if flow.is_empty() {
            self.order.remove(&(flow.start.to_bits(), account.clone()));
        }
        self.forget(&item);
        Some(item)
    }

    fn forget(&mut self, item: &Item) {
        self.len -= 1;
        self.cost = (self.cost - item.cost).max(0.0);
        if self.len == 0 {
            self.settle();
        }
    }

    /// Starts a new busy period: with nothing waiting, virtual time passes every finish tag.
    fn settle(&mut self) {
        let finish = |time: f64, flow: &Flow| time.max(flow.finish);
        self.time = self.flows.values().fold(self.time, finish);
        self.cost = 0.0;
        self.flows.clear();
    }

    /// Seconds that a new request would wait while its account has `rate` slots at work.
    pub fn wait(&self, account: &id::Account, class: Class, rate: f64) -> f64 {
        let Some(flow) = self.flows.get(account) else {
            return 0.0;
        };
        let urgent = flow.urgent.cost * f64::from(TURN) / f64::from(TURN - 1);
        let all = flow.urgent.cost + flow.deferrable.cost;
        let ahead = match class {
            Class::Urgent => urgent.min(all),
            Class::Deferrable => all,
        };
        ahead / rate
    }

    /// The account's part of the weights of all accounts that have requests waiting.
    pub fn part(&self, account: &id::Account) -> f64 {
        let own = self.weight(account);
        let others = self.order.iter().map(|(_, other)| other);
        let others = others.filter(|other| *other != account);
        own / (own + others.map(|other| self.weight(other)).sum::<f64>())
    }
}
