//! Local search after the greedy way: small changes that lower the score.
//!
//! Three kinds of change are tried: a piece goes to a pool that lacks one; two pieces exchange
//! their places; a piece that was moved goes back and another takes its place. The first that
//! lowers the score is kept. A change touches at most three pools, so only these are scored.

use super::board::{Board, Piece};

/// Changes that are tried in one plan, so that its time is bounded: about 1 µs each at 300 racks.
const MOST_TRIALS: usize = 20_000;

/// One piece and its new place.
#[derive(Clone, Copy, Debug)]
struct Step {
    index: usize,
    to: Option<usize>,
}

/// What a change is judged by; the fields count in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Worth {
    unmet: u32,
    short: u32,
    cost: u64,
}

struct Search<'a> {
    board: &'a mut Board,
    trials: usize,
}

/// Changes the board as long as a small change lowers its score.
pub(super) fn improve(board: &mut Board) {
    let mut search = Search { board, trials: 0 };
    while search.trials < MOST_TRIALS && (search.supply() || search.swap() || search.give_back()) {}
}

impl Search<'_> {
    /// Moves any free piece to a pool that lacks one.
    fn supply(&mut self) -> bool {
        self.lacking().into_iter().any(|pool| {
            self.outside(pool).into_iter().any(|index| {
                let to = Some(pool);
                self.keep_if_better(&[Step { index, to }])
            })
        })
    }

    /// Exchanges a member of a pool that lacks something with a piece outside.
    fn swap(&mut self) -> bool {
        self.lacking().into_iter().any(|pool| {
            let members = self.members_in_fullest(pool);
            members.into_iter().any(|member| {
                self.outside(pool).into_iter().any(|other| {
                    let place = self.board.pieces[other].place;
                    let steps = [
                        Step {
                            index: other,
                            to: Some(pool),
                        },
                        Step {
                            index: member,
                            to: place,
                        },
                    ];
                    self.keep_if_better(&steps)
                })
            })
        })
    }

    /// Undoes a move, on its own or with another piece in its place.
    fn give_back(&mut self) -> bool {
        let spares = self.spares();
        self.moved().into_iter().any(|index| {
            if self.trials >= MOST_TRIALS {
                return false;
            }
            let piece = &self.board.pieces[index];
            let (origin, place) = (piece.origin, piece.place);
            let back = Step { index, to: origin };
            if self.keep_if_better(&[back]) {
                return true;
            }
            let Some(pool) = place else { return false };
            self.outside(pool).into_iter().any(|other| {
                let from = self.board.pieces[other].place;
                let fills = Step {
                    index: other,
                    to: place,
                };
                // Where the other one left its pool for this, a third may have to fill the gap.
                self.keep_if_better(&[back, fills]) || self.fill_gap(back, fills, from, &spares)
            })
        })
    }

    fn fill_gap(&mut self, back: Step, fills: Step, gap: Option<usize>, spares: &[usize]) -> bool {
        let spare = spares.iter().find(|spare| **spare != fills.index);
        let (Some(_), Some(&index)) = (gap, spare) else {
            return false;
        };
        self.keep_if_better(&[back, fills, Step { index, to: gap }])
    }

    fn lacking(&self) -> Vec<usize> {
        let sides = self.board.sides.iter().enumerate();
        sides
            .filter(|(_, side)| side.unmet() > 0 || side.short() > 0)
            .map(|(pool, _)| pool)
            .collect()
    }

    fn pieces(&self, suits: impl Fn(&Piece) -> bool) -> Vec<usize> {
        let pieces = self.board.pieces.iter().enumerate();
        pieces
            .filter(|(_, piece)| piece.is_free && suits(piece))
            .map(|(index, _)| index)
            .collect()
    }

    fn outside(&self, pool: usize) -> Vec<usize> {
        self.pieces(|piece| piece.place != Some(pool))
    }

    fn moved(&self) -> Vec<usize> {
        self.pieces(|piece| piece.origin.is_some() && piece.origin != piece.place)
    }

    fn spares(&self) -> Vec<usize> {
        self.pieces(|piece| piece.place.is_none())
    }

    fn members_in_fullest(&self, pool: usize) -> Vec<usize> {
        let side = &self.board.sides[pool];
        let members = self.pieces(|piece| piece.place == Some(pool));
        let beside = |index: &usize| side.beside(&self.board.pieces[*index]);
        let fullest = members.iter().map(beside).max();
        members
            .iter()
            .copied()
            .filter(|index| Some(beside(index)) == fullest)
            .collect()
    }

    /// Does `steps` and keeps them if they lower the score; else undoes them.
    fn keep_if_better(&mut self, steps: &[Step]) -> bool {
        // A member never becomes a spare: an instance keeps its pool until it has another.
        let loses_pool =
            |step: &Step| step.to.is_none() && self.board.pieces[step.index].origin.is_some();
        if self.trials >= MOST_TRIALS || steps.iter().any(loses_pool) {
            return false;
        }
        self.trials += 1;
        let undo: Vec<_> = steps
            .iter()
            .map(|step| Step {
                index: step.index,
                to: self.board.pieces[step.index].place,
            })
            .collect();
        let mut pools: Vec<_> = steps
            .iter()
            .chain(&undo)
            .filter_map(|step| step.to)
            .collect();
        pools.sort_unstable();
        pools.dedup();
        let before = self.worth(&pools, steps);
        self.put(steps);
        if self.worth(&pools, steps) < before {
            return true;
        }
        self.put(&undo);
        false
    }

    fn put(&mut self, steps: &[Step]) {
        for step in steps {
            self.board.put(step.index, step.to);
        }
    }

    fn worth(&self, pools: &[usize], steps: &[Step]) -> Worth {
        let weights = self.board.weights;
        let sides = || pools.iter().map(|pool| &self.board.sides[*pool]);
        let held: u64 = sides().map(|side| u64::from(side.held)).sum();
        let pieces = steps.iter().map(|step| &self.board.pieces[step.index]);
        let moves = pieces
            .filter(|piece| piece.origin.is_some() && piece.origin != piece.place)
            .count() as u64;
        Worth {
            unmet: sides().map(super::board::Side::unmet).sum(),
            short: sides().map(super::board::Side::short).sum(),
            cost: held * u64::from(weights.buffer) + moves * u64::from(weights.moves),
        }
    }
}
