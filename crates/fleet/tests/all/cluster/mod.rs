//! In-memory cluster: applies the decisions' actions to rows, with faults chosen by a seed.
//!
//! A tick is ten seconds. In each tick the platform advances, entries may take the newest view, and
//! the controller takes one step from the rows alone. Every transaction is one [`FleetSnapshot`],
//! and the checker compares each with the previous one.

mod controller;

use crate::{deployment::Deployment, fixture::name};
use primroseroute_domain::{
    change::Seq,
    id,
    instance::{Purpose, Row, State},
    time::Instant,
};
use primroseroute_fleet::{
    Fleet,
    check::{Breach, FleetSnapshot, View},
    lifecycle::{self, Checks, Entry},
    measure::Meter,
    placement, wave,
};
use primroseroute_platform::fleet::{Listed, Phase};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Milliseconds per tick.
const TICK_MS: u64 = 10_000;

/// Ticks that a reboot takes; with drain, list lag and checks an instance is out for about ten.
const REBOOT_TICKS: u64 = 6;

/// Injected faults; probabilities are out of a thousand.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Probability that a reboot never finishes.
    pub lost_reboot: u32,
    /// Probability that an instance fails its checks after its reboot.
    pub bad_reboot: u32,
    /// Probability per tick that the controller loses all state except the table.
    pub restart: u32,
    /// Probability per tick of a random operator command.
    pub operator: u32,
    /// Probability per tick that an entry misses a view.
    pub missed_view: u32,
    /// Lag of the platform's list in ticks.
    pub lag: usize,
    /// Tick in which a whole rack is lost for an hour.
    pub rack_lost: Option<u64>,
}

/// Policy that selects the instances that a wave takes out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The product's policy.
    Product,
    /// Baseline: all serving instances at once.
    WholeFleet,
}

#[derive(Clone, Debug)]
struct Machine {
    line: Listed,
    up_at: Option<u64>,
    is_healthy: bool,
}

pub struct Cluster {
    rng: ChaCha8Rng,
    faults: Faults,
    policy: Policy,
    weights: placement::Weights,
    pub fleet: Fleet,
    versions: BTreeMap<id::Instance, Seq>,
    marks: BTreeMap<id::Instance, u64>,
    pub wave: Option<wave::Row>,
    seq: Seq,
    machines: BTreeMap<id::Instance, Machine>,
    lists: VecDeque<BTreeMap<id::Instance, Listed>>,
    checks: BTreeMap<id::Instance, Checks>,
    entries: Vec<Entry>,
    views: BTreeMap<id::Entry, View>,
    pub tick: u64,
    last: Option<FleetSnapshot>,
    pub breaches: Vec<Breach>,
    pub meter: Meter,
    pub reboots: u32,
}

impl Cluster {
    /// A cluster whose instances are listed by the platform and have no rows yet.
    pub fn new(deployment: &Deployment, policy: Policy, faults: Faults, seed: u64) -> Self {
        let machine = |row: &Row| Machine {
            line: crate::fixture::listed(row, Phase::Live, 1),
            up_at: None,
            is_healthy: true,
        };
        let rows = deployment.fleet.rows.values();
        let entry = |index: u32| Entry {
            id: name(&format!("e{index}")),
            seen: Seq(0),
            in_flight: BTreeMap::new(),
            gone: false,
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults,
            policy,
            weights: deployment.weights,
            fleet: Fleet {
                budgets: deployment.fleet.budgets.clone(),
                ..Fleet::default()
            },
            versions: BTreeMap::new(),
            marks: BTreeMap::new(),
            wave: None,
            seq: Seq(0),
            machines: rows.map(|row| (row.id.clone(), machine(row))).collect(),
            lists: VecDeque::new(),
            checks: BTreeMap::new(),
            entries: (0..3).map(entry).collect(),
            views: BTreeMap::new(),
            tick: 0,
            last: None,
            breaches: Vec::new(),
            meter: Meter::new(deployment.weights),
            reboots: 0,
        }
    }

    pub fn now(&self) -> Instant {
        Instant(self.tick * TICK_MS)
    }

    /// Runs until `is_over`, for at most `ticks` ticks; returns whether it is over.
    pub fn run(&mut self, ticks: u64, is_over: impl Fn(&Self) -> bool) -> bool {
        for _ in 0..ticks {
            if is_over(self) {
                return true;
            }
            self.step();
        }
        is_over(self)
    }

    /// Stops all entries from taking new views.
    pub fn stop_view_updates(&mut self) {
        self.faults.missed_view = 1_000;
    }

    /// Repairs every machine and releases the instances that operators hold.
    pub fn repair(&mut self) {
        for machine in self.machines.values_mut() {
            machine.is_healthy = true;
            machine.up_at = machine.up_at.map(|_| self.tick);
        }
        let held = self
            .fleet
            .rows
            .values()
            .filter(|row| row.purpose == Some(Purpose::Operator));
        let released = held.filter_map(|row| {
            lifecycle::apply_command(
                &self.fleet,
                &row.id,
                &lifecycle::Command::Release,
                self.now(),
            )
            .ok()
        });
        let released = released.collect();
        self.write(released);
    }

    fn step(&mut self) {
        self.tick += 1;
        self.platform();
        self.serve();
        if self.happens(self.faults.restart) {
            self.checks.clear();
            return;
        }
        self.check_health();
        self.update_absent();
        self.operator();
        self.lifecycle();
        self.wave_step();
        self.place();
        self.meter.observe(&self.fleet, self.now());
    }

    fn happens(&mut self, of_thousand: u32) -> bool {
        self.rng.random_range(0..1_000) < of_thousand
    }

    fn platform(&mut self) {
        let tick = self.tick;
        if self.faults.rack_lost == Some(tick) {
            self.lose_rack();
        }
        for machine in self.machines.values_mut() {
            if machine.up_at.is_some_and(|up_at| up_at <= tick) {
                machine.up_at = None;
                machine.line.phase = Phase::Live;
                machine.line.boots += 1;
            }
        }
        let lines = self.machines.values().map(|machine| machine.line.clone());
        let list = lines.map(|line| (line.id.clone(), line)).collect();
        self.lists.push_back(list);
        while self.lists.len() > self.faults.lag + 1 {
            self.lists.pop_front();
        }
    }

    fn lose_rack(&mut self) {
        let racks: BTreeSet<_> = self
            .machines
            .values()
            .map(|m| m.line.rack.clone())
            .collect();
        let lost = self.rng.random_range(0..racks.len());
        let lost = racks.into_iter().nth(lost);
        let up_at = self.tick + 360;
        for machine in self.machines.values_mut() {
            if Some(&machine.line.rack) == lost.as_ref() {
                machine.line.phase = Phase::Rebooting;
                machine.up_at = Some(up_at);
            }
        }
    }

    /// Entries take the newest view and send requests, which may last into later ticks.
    fn serve(&mut self) {
        for index in 0..self.entries.len() {
            let misses = self.happens(self.faults.missed_view);
            let entry = &mut self.entries[index];
            let view = self.views.entry(entry.id.clone()).or_default();
            if !misses {
                entry.seen = self.seq;
                let serving = self
                    .fleet
                    .rows
                    .values()
                    .filter(|row| row.state == State::Serving);
                view.sends = serving
                    .filter_map(|row| Some((row.id.clone(), row.pool.clone()?)))
                    .collect();
            }
            let starts = view.sends.iter().filter(|_| self.rng.random_bool(0.3));
            let starts: BTreeMap<_, _> = starts
                .map(|(id, pool)| (id.clone(), pool.clone()))
                .collect();
            view.in_flight.retain(|_, _| self.rng.random_bool(0.3));
            view.in_flight.extend(starts);
            entry.in_flight = view.in_flight.keys().map(|id| (id.clone(), 1)).collect();
        }
        self.record();
    }

    fn is_up(&self, id: &id::Instance) -> bool {
        let machine = &self.machines[id];
        machine.is_healthy && machine.line.phase == Phase::Live
    }

    fn check_health(&mut self) {
        let ids: Vec<_> = self.machines.keys().cloned().collect();
        for id in ids {
            let is_up = self.is_up(&id);
            let checks = self.checks.entry(id).or_default();
            *checks = if is_up {
                Checks {
                    good: checks.good + 1,
                    bad: 0,
                }
            } else {
                Checks {
                    good: 0,
                    bad: checks.bad + 1,
                }
            };
        }
    }

    fn list(&self) -> &BTreeMap<id::Instance, Listed> {
        self.lists.front().expect("a list was made this tick")
    }

    /// Sets the absences that the controller can know, from the stale list and repeatedly failed
    /// checks.
    fn update_absent(&mut self) {
        let listed = self
            .list()
            .values()
            .filter(|line| line.phase != Phase::Live);
        let listed: BTreeSet<_> = listed.map(|line| line.id.clone()).collect();
        let failing = self.checks.iter().filter(|(_, checks)| checks.bad >= 2);
        let failing: BTreeSet<_> = failing.map(|(id, _)| id.clone()).collect();
        self.fleet.absent = listed.union(&failing).cloned().collect();
    }

    fn operator(&mut self) {
        if !self.happens(self.faults.operator) || self.fleet.rows.is_empty() {
            return;
        }
        let rows: Vec<_> = self.fleet.rows.keys().cloned().collect();
        let pools: Vec<_> = self.fleet.budgets.keys().cloned().collect();
        let row = &rows[self.rng.random_range(0..rows.len())];
        let pool = pools[self.rng.random_range(0..pools.len())].clone();
        let command = match self.rng.random_range(0..5) {
            0 => lifecycle::Command::Drain,
            1 => lifecycle::Command::Move(pool),
            2 => lifecycle::Command::Quarantine,
            _ => lifecycle::Command::Release,
        };
        if let Ok(row) = lifecycle::apply_command(&self.fleet, row, &command, self.now()) {
            self.write(vec![row]);
        }
    }

    fn reboot(&mut self, id: &id::Instance, boots: u64) {
        let is_lost = self.happens(self.faults.lost_reboot);
        let is_bad = self.happens(self.faults.bad_reboot);
        let machine = self.machines.get_mut(id).expect("a known instance");
        if machine.line.boots != boots || machine.line.phase != Phase::Live {
            return;
        }
        self.reboots += 1;
        machine.line.phase = Phase::Rebooting;
        machine.up_at = Some(if is_lost {
            u64::MAX
        } else {
            self.tick + REBOOT_TICKS
        });
        machine.is_healthy = !is_bad;
    }
}
