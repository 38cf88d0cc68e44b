//! The straight line through measured points.

use serde::Serialize;

/// A least-squares line.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Line {
    /// Its value at zero.
    pub base: f64,
    /// What it gains with each unit.
    pub slope: f64,
    /// Part of the points' variance that it explains; 1 where there is none.
    pub fit: f64,
}

impl Line {
    /// The line through `points`, each a size and a figure; none for fewer than two sizes.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (x, y) = (mean(|point| point.0), mean(|point| point.1));
        let sum = |of: &dyn Fn(f64, f64) -> f64| -> f64 {
            points
                .iter()
                .map(|point| of(point.0 - x, point.1 - y))
                .sum()
        };
        let (xx, xy, yy) = (sum(&|x, _| x * x), sum(&|x, y| x * y), sum(&|_, y| y * y));
        if points.len() < 2 || xx <= 0.0 {
            return None;
        }
        let slope = xy / xx;
        let fit = if yy > 0.0 { slope * xy / yy } else { 1.0 };
        Some(Self {
            base: y - slope * x,
            slope,
            fit,
        })
    }

    /// Its value at `size`.
    pub fn at(self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
