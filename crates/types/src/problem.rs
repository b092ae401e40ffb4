//! Errors in input documents, collected so that all of them are reported at once.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One error in an input document: its path, the value found and what is allowed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// Path of the value, for example `pools[2].model`.
    pub path: String,
    /// The value found, or what is wrong with it.
    pub found: String,
    /// What is allowed at this path.
    pub allowed: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { path, found, allowed } = self;
        write!(f, "{path}: {found}; allowed: {allowed}")
    }
}

/// The errors found in one input document. Validation fails if there is at least one.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Problems(Vec<Problem>);

impl Problems {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an error.
    pub fn add(
        &mut self,
        path: impl Into<String>,
        found: impl fmt::Display,
        allowed: impl fmt::Display,
    ) {
        let (found, allowed) = (found.to_string(), allowed.to_string());
        self.0.push(Problem { path: path.into(), found, allowed });
    }

    /// The errors, in the order in which they were found.
    pub fn as_slice(&self) -> &[Problem] {
        &self.0
    }

    /// Whether no error was found.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the value made by `build`, if no error was found.
    ///
    /// # Errors
    ///
    /// Returns the errors, if there is at least one.
    pub fn finish<T>(self, build: impl FnOnce() -> T) -> Result<T, Self> {
        if self.is_empty() { Ok(build()) } else { Err(self) }
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}
