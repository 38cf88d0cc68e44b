//! Linear regression of measured points.

use serde::Serialize;

/// A least-squares linear fit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LinearFit {
    /// The intercept.
    pub base: f64,
    /// The increase per unit.
    pub slope: f64,
    /// Coefficient of determination (R²): the fraction of the points' variance that the line explains; 1 if
    /// the points have no variance.
    pub fit: f64,
}

impl LinearFit {
    /// Fits a line to `points`, each a size and a measured value; `None` for fewer than two distinct sizes.
    pub fn new(points: &[(f64, f64)]) -> Option<Self> {
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

    /// The fitted value at `size`.
    pub fn value_at(self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
