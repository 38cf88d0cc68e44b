//! The fleet as numbers: counts by pool and rack that a plan changes and scores.

use super::{Score, Target, Weights, home, missing, pairs, target};
use crate::state::Fleet;
use primroseroute_domain::{
    account::{Budget, Survive},
    id,
    instance::{Row, State},
};
use std::collections::BTreeMap;

/// An instance on the board.
#[derive(Clone, Debug)]
pub(super) struct Piece {
    pub id: id::Instance,
    pub rack: usize,
    pub zone: usize,
    /// Its pool before the plan.
    pub origin: Option<usize>,
    /// Its pool after the plan.
    pub place: Option<usize>,
    /// Whether a plan may place it: a spare, or a member that serves.
    pub is_free: bool,
}

/// A pool on the board, with the members that the plan gives it.
#[derive(Clone, Debug)]
pub(super) struct Side {
    pub budget: Budget,
    pub target: Target,
    pub held: u32,
    racks: Vec<u32>,
    zones: Vec<u32>,
    /// The largest count of a domain, and how many domains have it.
    largest: u32,
    fullest: usize,
}

impl Side {
    pub fn in_rack(&self, rack: usize) -> u32 {
        self.racks[rack]
    }

    pub fn in_zone(&self, zone: usize) -> u32 {
        self.zones[zone]
    }

    fn domains(&self) -> &[u32] {
        match self.budget.survive {
            Survive::Nothing => &[],
            Survive::Rack => &self.racks,
            Survive::Zone => &self.zones,
        }
    }

    /// Members of the domain whose loss the budget is to survive, at `piece`'s place.
    pub fn beside(&self, piece: &Piece) -> u32 {
        match self.budget.survive {
            Survive::Nothing => 0,
            Survive::Rack => self.racks[piece.rack],
            Survive::Zone => self.zones[piece.zone],
        }
    }

    pub fn left(&self) -> u32 {
        self.held - self.largest
    }

    pub fn unmet(&self) -> u32 {
        missing(&self.budget, self.left())
    }

    pub fn short(&self) -> u32 {
        self.target.members.saturating_sub(self.held)
    }

    pub fn surplus(&self) -> u32 {
        self.held.saturating_sub(self.target.members)
    }

    /// Whether a new member at `piece`'s place would count after the worst loss.
    pub fn gains(&self, piece: &Piece) -> bool {
        self.budget.survive == Survive::Nothing || self.beside(piece) < self.largest.max(1)
    }

    /// Whether the promise still holds after the worst loss without one member at that place.
    pub fn spares(&self, piece: &Piece) -> bool {
        let is_sole = self.fullest == 1 && self.beside(piece) == self.largest;
        let largest = self.largest - u32::from(is_sole && self.largest > 0);
        missing(&self.budget, self.held - 1 - largest) == 0
    }

    fn change(&mut self, piece: &Piece, joins: bool) {
        let step = |count: &mut u32| if joins { *count += 1 } else { *count -= 1 };
        step(&mut self.held);
        step(&mut self.racks[piece.rack]);
        step(&mut self.zones[piece.zone]);
        // Nothing is to be survived: no domain counts, and the largest stays zero.
        if self.budget.survive == Survive::Nothing {
            return;
        }
        let now = self.beside(piece);
        if joins {
            self.grow(now);
        } else {
            self.shrink(now);
        }
    }

    /// Keeps the largest count after a domain grew to `now`.
    fn grow(&mut self, now: u32) {
        if now > self.largest {
            self.largest = now;
            self.fullest = 1;
        } else if now == self.largest {
            self.fullest += 1;
        }
    }

    /// Keeps the largest count after a domain shrank to `now`; counts anew only where it was the
    /// last of the fullest.
    fn shrink(&mut self, now: u32) {
        if now + 1 != self.largest {
            return;
        }
        self.fullest -= 1;
        if self.fullest == 0 {
            self.largest = now;
            self.fullest = self.domains().iter().filter(|count| **count == now).count();
        }
    }

    pub fn crowded(&self) -> u64 {
        self.racks.iter().map(|count| pairs(*count)).sum()
    }
}

/// The whole board.
#[derive(Clone, Debug)]
pub(super) struct Board {
    pub pieces: Vec<Piece>,
    pub sides: Vec<Side>,
    pub pools: Vec<id::Pool>,
    pub weights: Weights,
}

impl Board {
    pub fn of(fleet: &Fleet, weights: Weights) -> Self {
        let usable: Vec<_> = fleet
            .rows
            .values()
            .filter(|row| fleet.is_spare(row) || home(fleet, row).is_some())
            .collect();
        let racks = numbered(usable.iter().map(|row| &row.rack));
        let zones = numbered(usable.iter().map(|row| &row.zone));
        let rack_sizes = sizes(usable.iter().map(|row| racks[&row.rack]), racks.len());
        let zone_sizes = sizes(usable.iter().map(|row| zones[&row.zone]), zones.len());
        let pools: Vec<_> = fleet.budgets.keys().cloned().collect();
        let sides = fleet.budgets.values().map(|budget| Side {
            budget: *budget,
            target: target(budget, weights, &rack_sizes, &zone_sizes),
            held: 0,
            racks: vec![0; racks.len()],
            zones: vec![0; zones.len()],
            largest: 0,
            fullest: 0,
        });
        let mut board = Self {
            pieces: Vec::with_capacity(usable.len()),
            sides: sides.collect(),
            pools,
            weights,
        };
        for row in usable {
            let place = home(fleet, row).and_then(|pool| board.pools.binary_search(pool).ok());
            let piece = Piece {
                id: row.id.clone(),
                rack: racks[&row.rack],
                zone: zones[&row.zone],
                origin: place,
                place,
                is_free: is_free(fleet, row),
            };
            if let Some(pool) = place {
                board.sides[pool].change(&piece, true);
            }
            board.pieces.push(piece);
        }
        board
    }

    /// Puts piece `index` into `pool`.
    pub fn put(&mut self, index: usize, pool: Option<usize>) {
        let piece = &mut self.pieces[index];
        if let Some(old) = piece.place {
            self.sides[old].change(piece, false);
        }
        piece.place = pool;
        if let Some(new) = pool {
            self.sides[new].change(piece, true);
        }
    }

    pub fn score(&self) -> Score {
        let held: u64 = self.sides.iter().map(|side| u64::from(side.held)).sum();
        let changes = |piece: &&Piece| piece.origin.is_some() && piece.place != piece.origin;
        let moves = self.pieces.iter().filter(changes).count() as u64;
        Score {
            unmet: self.sides.iter().map(Side::unmet).sum(),
            short: self.sides.iter().map(Side::short).sum(),
            cost: held * u64::from(self.weights.buffer) + moves * u64::from(self.weights.moves),
            crowded: self.sides.iter().map(Side::crowded).sum(),
        }
    }
}

fn is_free(fleet: &Fleet, row: &Row) -> bool {
    fleet.is_spare(row) || row.state == State::Serving
}

fn numbered<'a, K: Ord + 'a>(names: impl Iterator<Item = &'a K>) -> BTreeMap<&'a K, usize> {
    let mut numbers: BTreeMap<_, _> = names.map(|name| (name, 0)).collect();
    for (number, slot) in numbers.values_mut().enumerate() {
        *slot = number;
    }
    numbers
}

fn sizes(domains: impl Iterator<Item = usize>, count: usize) -> Vec<u32> {
    let mut sizes = vec![0; count];
    for domain in domains {
        sizes[domain] += 1;
    }
    sizes
}
