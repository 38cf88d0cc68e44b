//! Scaling estimate over synthetic arrivals: Poisson, with sizes of a heavy tail, and a rate that rises smoothly to five times
//! its mean and falls again within ten seconds of 32.

use crate::{
    cases,
    fixture::{Fixture, WALL_AT_ZERO_MS, job, step},
};
use primroseroute_domain::work::Step;

cases! {
    /// Guards against an estimate that follows the sizes of the last few jobs.
    few_large_jobs_are_estimated_steadily => steady(&LARGE, 78, 370, 100, 10);
    many_small_jobs_are_estimated_steadily => steady(&SMALL, 70, 230, -200, 4);
}

const ROUND_MS: u64 = 25;
const CYCLE_MS: u64 = 32_000;
const PEAK_AT_MS: u64 = 17_000;

struct Traffic {
    /// Jobs per second at the peak.
    peak: f64,
    /// Mean work of a job in core-seconds.
    work: f64,
    /// Standard deviation of its logarithm.
    spread: f64,
    task_ms: u64,
}

const LARGE: Traffic = Traffic {
    peak: 14.0,
    work: 390.0,
    spread: 1.0,
    task_ms: 2_500,
};

const SMALL: Traffic = Traffic {
    peak: 100.0,
    work: 8.0,
    spread: 1.2,
    task_ms: 600,
};

/// A sequence of pseudo-random numbers.
struct Random(u64);

impl Random {
    fn uniform(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.uniform()).ln()).sqrt();
        radius * (std::f64::consts::TAU * self.uniform()).cos()
    }

    fn poisson(&mut self, mean: f64) -> usize {
        let least = (-mean).exp();
        let mut product = self.uniform();
        let mut count = 0;
        while product > least {
            product *= self.uniform();
            count += 1;
        }
        count
    }
}

/// Share of the peak rate: a hundredth, and a smooth rise over four seconds, two seconds at the peak, and a fall.
fn level(at_ms: u64) -> f64 {
    let off = (at_ms % CYCLE_MS).abs_diff(PEAK_AT_MS) as f64;
    let part = ((off - 1_000.0) / 4_000.0).clamp(0.0, 1.0);
    0.01 + 0.99 * f64::midpoint(1.0, (std::f64::consts::PI * part).cos())
}

impl Traffic {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "small positive numbers"
    )]
    fn step(&self, random: &mut Random) -> Step {
        let factor = (self.spread * random.normal() - self.spread * self.spread / 2.0).exp();
        let cores = self.work * factor * 1_000.0 / self.task_ms as f64;
        Step {
            estimate_ms: self.task_ms,
            ..step(1, (cores * 1_000.0) as u64)
        }
    }
}

/// Figures of the two cycles after the first, over several seeds.
#[derive(Debug)]
#[expect(dead_code, reason = "printed with a failure")]
struct Figures {
    /// Workers asked for above the demand, in percent of the mean demand.
    excess: u64,
    /// Workers kept above the demand, in percent of the mean demand.
    kept: u64,
    /// Demand above the workers asked for, in percent of the mean demand.
    missing: u64,
    /// Largest ratio of two numbers of workers asked for at the peak within 0.4 s, in percent.
    swing: u64,
    /// Time from a demand of an eighth, a quarter, half and three quarters of the peak until it is
    /// asked for.
    delays_ms: [i64; 4],
}

const PARTS: [f64; 4] = [0.125, 0.25, 0.5, 0.75];

/// Workers asked for and kept in each round.
fn play(traffic: &Traffic, seed: u64) -> Vec<(u64, u64)> {
    let mut random = Random(seed);
    let mut fixture = Fixture::new(&["w-1"]);
    let mut rounds = Vec::new();
    while fixture.now < 3 * CYCLE_MS {
        fixture.now += ROUND_MS;
        let mean = traffic.peak * level(fixture.now) * ROUND_MS as f64 / 1_000.0;
        for _job in 0..random.poisson(mean) {
            let id = fixture.accept(job(vec![traffic.step(&mut random)]));
            fixture.cell.cancel(&id, WALL_AT_ZERO_MS + fixture.now);
        }
        if fixture.now.is_multiple_of(500) {
            fixture.poll_all();
        }
        let scaling = fixture.round().scaling;
        rounds.push((scaling.workers, scaling.scale_down_floor));
    }
    rounds
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small positive numbers"
)]
fn figures(traffic: &Traffic) -> Figures {
    const SEEDS: u64 = 8;
    let peak = traffic.peak * traffic.work / 10.0;
    let needed = |round: usize| (peak * level((round as u64 + 1) * ROUND_MS)).ceil() as u64;
    let per_cycle = (CYCLE_MS / ROUND_MS) as usize;
    let mut sums = [0; 4];
    let mut swing = 0;
    let mut delays = [0; 4];
    for seed in 0..SEEDS {
        let rounds = play(traffic, seed);
        for (round, (workers, kept)) in rounds.iter().enumerate().skip(per_cycle) {
            let now = needed(round);
            let figures = [
                now,
                workers.saturating_sub(now),
                kept.saturating_sub(now),
                now.saturating_sub(*workers),
            ];
            for (sum, figure) in sums.iter_mut().zip(figures) {
                *sum += figure;
            }
            if now as f64 >= peak {
                let last = rounds[round - 16..=round].iter().map(|round| round.0);
                let low = last.clone().min().unwrap_or(1);
                swing = swing.max(last.max().unwrap_or(1) * 100 / low);
            }
        }
        for cycle in [1, 2] {
            // From 2 s before the rise until the peak.
            let from = cycle * per_cycle + per_cycle * 5 / 16;
            let rise = from..from + per_cycle * 5 / 16;
            for (delay, part) in delays.iter_mut().zip(PARTS) {
                let enough = |workers: u64| workers as f64 >= peak * part;
                let early = rise.clone().take_while(|round| !enough(needed(*round)));
                let asked = rise.clone().take_while(|round| !enough(rounds[*round].0));
                let lag = asked.count() as u64 * ROUND_MS;
                let early = early.count() as u64 * ROUND_MS;
                *delay += lag.cast_signed() - early.cast_signed();
            }
        }
    }
    let [demand, excess, kept, missing] = sums;
    let percent = |sum: u64| sum * 100 / demand;
    Figures {
        excess: percent(excess),
        kept: percent(kept),
        missing: percent(missing),
        swing,
        delays_ms: delays.map(|delay| delay / (2 * SEEDS.cast_signed())),
    }
}

fn steady(traffic: &Traffic, max_excess: u64, max_kept: u64, max_delay_ms: i64, max_swing: u64) {
    let figures = figures(traffic);
    assert!(figures.excess <= max_excess, "{figures:?}");
    assert!(figures.kept <= max_kept, "{figures:?}");
    assert!(figures.swing <= max_swing * 100, "{figures:?}");
    let mut delays = figures.delays_ms.iter();
    assert!(delays.all(|delay| *delay <= max_delay_ms), "{figures:?}");
}
