//! Compares fair queueing with a reference that searches a single list.

use crate::fixture::{check, name};
use primroseroute_domain::{account::Class, id};
use primroseroute_flow::fair::{DEFERRABLE_INTERVAL, Queue, QueuedRequest};
use proptest::prelude::*;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
enum Step {
    Push(u8, u8, bool, u8),
    PushFront(u8, u8, bool, u8),
    Pop,
    Remove(u8),
}

fn step() -> impl Strategy<Value = Step> {
    let request = (0..4u8, 0..3u8, any::<bool>(), 1..9u8);
    prop_oneof![
        4 => request.clone().prop_map(|(a, s, c, t)| Step::Push(a, s, c, t)),
        1 => request.prop_map(|(a, s, c, t)| Step::PushFront(a, s, c, t)),
        4 => Just(Step::Pop),
        1 => any::<u8>().prop_map(Step::Remove),
    ]
}

#[derive(Default)]
struct Tags {
    start_tag: f64,
    finish_tag: f64,
    urgent_streak: u32,
    last_service: BTreeMap<Class, id::Service>,
}

/// Reference queue: one list of requests, each with its position in its queue.
#[derive(Default)]
struct ReferenceQueue {
    items: Vec<(i64, QueuedRequest)>,
    tags: BTreeMap<id::Account, Tags>,
    virtual_time: f64,
    next: i64,
}

impl ReferenceQueue {
    fn push(&mut self, item: QueuedRequest, is_front: bool) {
        let is_idle = !self
            .items
            .iter()
            .any(|(_, other)| other.account == item.account);
        let tags = self.tags.entry(item.account.clone()).or_default();
        if is_idle {
            tags.start_tag = self.virtual_time.max(tags.finish_tag);
            tags.urgent_streak = tags.urgent_streak.min(DEFERRABLE_INTERVAL);
        }
        self.next += 1;
        self.items
            .push((if is_front { -self.next } else { self.next }, item));
    }

    fn pop(&mut self, weight: impl Fn(&id::Account) -> f64) -> Option<QueuedRequest> {
        let waiting = self.items.iter().map(|(_, item)| &item.account);
        let order = |a: &&id::Account, b: &&id::Account| {
            self.tags[*a]
                .start_tag
                .total_cmp(&self.tags[*b].start_tag)
                .then(a.cmp(b))
        };
        let account = waiting.min_by(order)?.clone();
        let class = self.class(&account);
        let service = self.service(&account, class);
        let candidates = self.items.iter().enumerate().filter(|(_, (_, item))| {
            item.account == account && item.class == class && item.service == service
        });
        let at = candidates.min_by_key(|(_, (position, _))| *position)?.0;
        let item = self.items.remove(at).1;
        let tags = self.tags.get_mut(&account)?;
        self.virtual_time = tags.start_tag;
        tags.finish_tag = tags.start_tag + item.cost / weight(&account);
        tags.start_tag = tags.finish_tag;
        self.reset_if_empty();
        Some(item)
    }

    fn class(&mut self, account: &id::Account) -> Class {
        let own = self
            .items
            .iter()
            .filter(|(_, item)| item.account == *account);
        let deferrable = own.clone().any(|(_, item)| item.class == Class::Deferrable);
        let urgent = own.clone().any(|(_, item)| item.class == Class::Urgent);
        let tags = self.tags.get_mut(account).expect("it waits");
        if !urgent || (deferrable && tags.urgent_streak == DEFERRABLE_INTERVAL - 1) {
            tags.urgent_streak = 0;
            return Class::Deferrable;
        }
        tags.urgent_streak = if deferrable {
            tags.urgent_streak + 1
        } else {
            0
        };
        Class::Urgent
    }

    fn service(&mut self, account: &id::Account, class: Class) -> id::Service {
        let own = self.items.iter().map(|(_, item)| item);
        let own = own.filter(|item| item.account == *account && item.class == class);
        let services: Vec<_> = own.map(|item| item.service.clone()).collect();
        let tags = self.tags.get_mut(account).expect("it waits");
        let last_service = tags.last_service.get(&class);
        let after = services
            .iter()
            .filter(|service| Some(*service) > last_service)
            .min();
        let next = after.or(services.iter().min()).expect("it waits").clone();
        tags.last_service.insert(class, next.clone());
        next
    }

    fn remove(&mut self, request: u64) {
        self.items.retain(|(_, item)| item.request != request);
        self.reset_if_empty();
    }

    fn reset_if_empty(&mut self) {
        if self.items.is_empty() {
            let finish_tag = self.tags.values().map(|tags| tags.finish_tag);
            self.virtual_time = finish_tag.fold(self.virtual_time, f64::max);
            self.tags.clear();
        }
    }
}

fn replay(steps: Vec<Step>) {
    let weight = |account: &id::Account| match account.as_str() {
        "a0" => 4.0,
        "a1" => 2.0,
        _ => 1.0,
    };
    let mut queue = Queue::default();
    queue.set_weights([(name("a0"), 4.0), (name("a1"), 2.0)].into());
    let mut reference = ReferenceQueue::default();
    for (request, step) in (0..).zip(steps) {
        match step {
            Step::Push(account, service, urgent, cost) => {
                let item = item(request, account, service, urgent, cost);
                queue.push(item.clone());
                reference.push(item, false);
            }
            Step::PushFront(account, service, urgent, cost) => {
                let item = item(request, account, service, urgent, cost);
                queue.push_front(item.clone());
                reference.push(item, true);
            }
            Step::Pop => assert_eq!(queue.pop(), reference.pop(weight)),
            Step::Remove(at) if !reference.items.is_empty() => {
                let item = reference.items[usize::from(at) % reference.items.len()]
                    .1
                    .clone();
                reference.remove(item.request);
                let QueuedRequest {
                    account,
                    service,
                    class,
                    request,
                    ..
                } = &item;
                assert_eq!(
                    queue.remove(account, service, *class, *request),
                    Some(item.clone())
                );
            }
            Step::Remove(_) => {}
        }
        assert_eq!(queue.len(), reference.items.len());
        let cost: f64 = reference.items.iter().map(|(_, item)| item.cost).sum();
        assert!((queue.cost() - cost).abs() < 1e-9);
    }
}

fn item(request: u64, account: u8, service: u8, urgent: bool, cost: u8) -> QueuedRequest {
    QueuedRequest {
        request,
        account: name(&format!("a{account}")),
        service: name(&format!("s{service}")),
        class: if urgent {
            Class::Urgent
        } else {
            Class::Deferrable
        },
        cost: f64::from(cost) / 64.0,
    }
}

#[test]
fn requests_leave_in_the_reference_order() {
    check(400, &prop::collection::vec(step(), 1..200), replay);
}

#[test]
fn slot_time_is_divided_by_weight_whatever_requests_cost() {
    let mut queue = Queue::default();
    queue.set_weights([(name("a0"), 3.0), (name("a1"), 1.0)].into());
    let mut served = [0.0, 0.0];
    for round in 0..4_000 {
        // The second account's requests cost five times as much.
        queue.push(item(2 * round, 0, 0, true, 1));
        queue.push(item(2 * round + 1, 1, 0, true, 5));
    }
    for _ in 0..2_000 {
        let item = queue.pop().expect("both wait");
        served[usize::from(item.account.as_str() == "a1")] += item.cost;
    }
    let ratio: f64 = served[0] / served[1];
    assert!((2.97..3.03).contains(&ratio), "{ratio}");
}

#[test]
fn deferrable_requests_get_one_turn_in_eight() {
    let mut queue = Queue::default();
    for request in 0..160 {
        queue.push(item(2 * request, 0, 0, true, 1));
        queue.push(item(2 * request + 1, 0, 0, false, 1));
    }
    let first: Vec<_> = (0..160).filter_map(|_| queue.pop()).collect();
    let deferrable = first.iter().filter(|item| item.class == Class::Deferrable);
    assert_eq!(deferrable.count(), 20);
}
