//! Greedy: again and again the pool with the largest deficit takes the candidate that suits it.

use super::board::{Board, Piece, Side};
use std::cmp::Reverse;

/// What breaks ties between candidates whose racks hold equally few members of the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Prefer {
    /// The zone with the fewest members of the pool.
    Zone,
    /// The rack with the most spares left: it keeps different racks in stock for later pools.
    Stock,
}

/// Spares by rack, last one first.
struct Stock {
    racks: Vec<Vec<usize>>,
}

impl Stock {
    fn of(board: &Board) -> Self {
        let count = board
            .pieces
            .iter()
            .map(|piece| piece.rack + 1)
            .max()
            .unwrap_or(0);
        let mut racks = vec![Vec::new(); count];
        for (index, piece) in board.pieces.iter().enumerate().rev() {
            if piece.place.is_none() && piece.is_free {
                racks[piece.rack].push(index);
            }
        }
        Self { racks }
    }
}

/// What a pool lacks, which also orders the pools.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deficit {
    unmet: u32,
    short: u32,
}

fn deficit(side: &Side) -> Deficit {
    Deficit {
        unmet: side.unmet(),
        short: side.short(),
    }
}

/// Places spares and moves members until no pool lacks anything that can be had.
pub(super) fn fill(board: &mut Board, prefer: Prefer) {
    let mut stock = Stock::of(board);
    let mut is_stuck = vec![false; board.sides.len()];
    while let Some(pool) = neediest(board, &is_stuck) {
        let Some(index) = candidate(board, &stock, pool, prefer) else {
            is_stuck[pool] = true;
            continue;
        };
        if board.pieces[index].place.is_none() {
            stock.racks[board.pieces[index].rack].pop();
        }
        board.put(index, Some(pool));
    }
}

fn neediest(board: &Board, is_stuck: &[bool]) -> Option<usize> {
    let nothing = Deficit { unmet: 0, short: 0 };
    (0..board.sides.len())
        .filter(|pool| !is_stuck[*pool])
        .map(|pool| (deficit(&board.sides[pool]), Reverse(pool)))
        .filter(|(deficit, _)| *deficit > nothing)
        .max()
        .map(|(_, Reverse(pool))| pool)
}

/// The best candidate for `pool`: a spare, or a member of another pool that can do without it.
///
/// A surplus member goes before a spare where a move costs less than another member held, and it
/// does as much for the promise.
fn candidate(board: &Board, stock: &Stock, pool: usize, prefer: Prefer) -> Option<usize> {
    let Some(spare) = best_spare(board, stock, pool, prefer) else {
        return best_member(board, pool);
    };
    let has_surplus = board.sides.iter().any(|side| side.surplus() > 0);
    if board.weights.moves >= board.weights.buffer || !has_surplus {
        return Some(spare);
    }
    let is_better = |member: &usize| {
        let from = board.pieces[*member].place;
        let gives_surplus = from.is_some_and(|from| board.sides[from].surplus() > 0);
        gives_surplus && !is_worse(board, pool, *member, spare)
    };
    best_member(board, pool).filter(is_better).or(Some(spare))
}

/// Whether `member`'s place does less for the pool's promise than `spare`'s.
fn is_worse(board: &Board, pool: usize, member: usize, spare: usize) -> bool {
    let side = &board.sides[pool];
    side.gains(&board.pieces[spare]) && !side.gains(&board.pieces[member])
}

fn best_spare(board: &Board, stock: &Stock, pool: usize, prefer: Prefer) -> Option<usize> {
    let side = &board.sides[pool];
    let best = stock
        .racks
        .iter()
        .filter_map(|spares| Some((*spares.last()?, spares.len())))
        .min_by_key(|(index, spares)| {
            let piece = &board.pieces[*index];
            let rack = side.in_rack(piece.rack);
            let zone = side.in_zone(piece.zone);
            let stock = Reverse(*spares);
            match prefer {
                Prefer::Zone => (side.beside(piece), rack, zone, stock, 0),
                Prefer::Stock => (side.beside(piece), rack, 0, stock, zone),
            }
        });
    let (index, _) = best?;
    is_useful(side, &board.pieces[index]).then_some(index)
}

/// Whether the pool lacks members, or lacks survivors and would gain one.
fn is_useful(side: &Side, piece: &Piece) -> bool {
    side.short() > 0 || side.gains(piece)
}

/// The member of another pool that is the best to move: from a surplus where there is one, else,
/// only for an unmet promise, from another pool's room.
fn best_member(board: &Board, pool: usize) -> Option<usize> {
    let side = &board.sides[pool];
    let is_urgent = side.unmet() > 0;
    if !is_urgent && board.sides.iter().all(|other| other.surplus() == 0) {
        return None;
    }
    let gives = |piece: &Piece| {
        let Some(from) = piece.place else {
            return false;
        };
        let giver = &board.sides[from];
        // A piece that already moved in this plan stays, or a plan could move it in a circle.
        let is_movable = piece.is_free && from != pool && piece.origin == piece.place;
        let gains = if is_urgent {
            side.gains(piece)
        } else {
            side.short() > 0
        };
        is_movable && gains && (giver.surplus() > 0 || is_urgent) && giver.spares(piece)
    };
    board
        .pieces
        .iter()
        .enumerate()
        .filter(|(_, piece)| gives(piece))
        .min_by_key(|(_, piece)| {
            let from = piece.place.map(|from| &board.sides[from]);
            let surplus = from.map_or(0, Side::surplus);
            let crowd = from.map_or(0, |from| from.in_rack(piece.rack));
            (
                surplus == 0,
                side.beside(piece),
                side.in_rack(piece.rack),
                Reverse(crowd),
            )
        })
        .map(|(index, _)| index)
}
