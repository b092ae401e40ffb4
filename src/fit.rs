//! A straight line through measured points, with its error.

use eyre::{ensure, eyre};
use serde_json::Value;

/// The line of least squares through a set of points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// The value at 0.
    pub intercept: f64,
    /// The rise for each unit.
    pub slope: f64,
    /// The standard error of the slope.
    pub slope_error: f64,
    /// The share of the variance that the line explains.
    pub determination: f64,
}

impl Line {
    /// Fits a line.
    ///
    /// # Errors
    ///
    /// There are fewer than three points, or all have the same place.
    pub fn fit(points: &[(f64, f64)]) -> eyre::Result<Self> {
        ensure!(points.len() >= 3, "a fit needs three points or more");
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum = |term: fn(f64, f64) -> f64| -> f64 {
            points.iter().map(|(x, y)| term(x - mean_x, y - mean_y)).sum()
        };
        let (xx, xy, yy) = (sum(|x, _| x * x), sum(|x, y| x * y), sum(|_, y| y * y));
        ensure!(xx > 0.0, "all points have the same place");
        let slope = xy / xx;
        let rest = (yy - slope * xy).max(0.0);
        let slope_error = (rest / (count - 2.0) / xx).sqrt();
        let determination = if yy > 0.0 { 1.0 - rest / yy } else { 1.0 };
        Ok(Self { intercept: mean_y - slope * mean_x, slope, slope_error, determination })
    }

    /// The value at a place.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// The points in lines of JSON, at two JSON pointers.
///
/// # Errors
///
/// A line is not JSON, or has no number at a pointer.
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
