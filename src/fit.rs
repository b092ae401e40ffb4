//! Linear regression of measured points.

use eyre::{ensure, eyre};
use serde_json::Value;

/// The least-squares line through a set of points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// The value at x = 0.
    pub intercept: f64,
    /// The change of the value per unit of x.
    pub slope: f64,
    /// The standard error of the slope.
    pub slope_error: f64,
    /// The coefficient of determination (R²), from 0 to 1.
    pub determination: f64,
}

impl Line {
    /// Fits a line through points of the form (x, y).
    ///
    /// # Errors
    ///
    /// There are fewer than three points, or all have the same x.
    pub fn fit(points: &[(f64, f64)]) -> eyre::Result<Self> {
        ensure!(points.len() >= 3, "a fit needs at least three points");
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum = |term: fn(f64, f64) -> f64| -> f64 {
            points.iter().map(|(x, y)| term(x - mean_x, y - mean_y)).sum()
        };
        let (xx, xy, yy) = (sum(|x, _| x * x), sum(|x, y| x * y), sum(|_, y| y * y));
        ensure!(xx > 0.0, "all points have the same x");
        let slope = xy / xx;
        let residual = (yy - slope * xy).max(0.0);
        let slope_error = (residual / (count - 2.0) / xx).sqrt();
        let determination = if yy > 0.0 { 1.0 - residual / yy } else { 1.0 };
        Ok(Self { intercept: mean_y - slope * mean_x, slope, slope_error, determination })
    }

    /// Returns the value of the line at x.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// Reads points from lines of JSON. The coordinates of each point are the numbers at the JSON
/// pointers `x` and `y`.
///
/// # Errors
///
/// A line is not valid JSON, or has no number at one of the pointers.
pub fn points(lines: &str, x: &str, y: &str) -> eyre::Result<Vec<(f64, f64)>> {
    let number = |value: &Value, pointer: &str| {
        let found = value.pointer(pointer).and_then(Value::as_f64);
        found.ok_or_else(|| eyre!("no number at {pointer:?}"))
    };
    let lines = lines.lines().filter(|line| !line.trim().is_empty());
    lines
        .map(|line| {
            let value: Value = serde_json::from_str(line)?;
            Ok((number(&value, x)?, number(&value, y)?))
        })
        .collect()
}

#[cfg(test)]
mod tests;
