//! Errors found in settings, each with its place.

use std::fmt;

use serde::{Deserialize, Serialize};

/// An error in settings: where it is, what is wrong and how to fix it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Finding {
    /// The path of the value, such as `customers[2].rate`.
    pub place: String,
    /// What is wrong with the value.
    pub problem: String,
    /// How to fix it.
    pub fix: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}; {}", self.place, self.problem, self.fix)
    }
}

/// All findings of one check, reported together.
///
/// If findings were reported one at a time, an operator would have to repeat a change
/// for each of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(transparent)]
pub struct FindingList {
    /// The findings, in the order of the text.
    pub findings: Vec<Finding>,
}

impl fmt::Display for FindingList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.findings.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(formatter, "{separator}{finding}")?;
        }
        Ok(())
    }
}

impl FindingList {
    /// Adds a finding.
    pub fn add(
        &mut self,
        place: impl Into<String>,
        problem: impl Into<String>,
        fix: impl Into<String>,
    ) {
        let finding = Finding {
            place: place.into(),
            problem: problem.into(),
            fix: fix.into(),
        };
        self.findings.push(finding);
    }

    /// Returns the value if there are no findings, otherwise the findings.
    pub fn into_result<T>(self, value: T) -> Result<T, FindingList> {
        if self.findings.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}
