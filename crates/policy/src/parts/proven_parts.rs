//! Parts of prompts on which answers were written lately.

use std::time::Duration;

use super::PartKey;
use crate::Timestamp;

/// How long an answer proves its parts. A part that crashes servers from some moment on isn't
/// trusted for longer.
const PROOF_TIME: Duration = Duration::from_secs(30);
/// The maximum number of parts that are kept, 16 bytes each.
const MAX_PARTS: usize = 1_024;

/// Parts of prompts on which this daemon has seen answers written to their ends lately.
#[derive(Clone, Debug, Default)]
pub(super) struct ProvenParts {
    /// Sorted by part.
    parts: Vec<(PartKey, Timestamp)>,
}

impl ProvenParts {
    pub(super) fn record(&mut self, part: PartKey, now: Timestamp) {
        match self.parts.binary_search_by_key(&part, |it| it.0) {
            Ok(index) => self.parts[index].1 = now,
            Err(_) => {
                if self.parts.len() >= MAX_PARTS {
                    self.make_room(now);
                }
                let index = self.parts.partition_point(|it| it.0 < part);
                self.parts.insert(index, (part, now));
            }
        }
    }

    pub(super) fn is_proven(&self, part: PartKey, now: Timestamp) -> bool {
        let index = self.parts.binary_search_by_key(&part, |it| it.0);
        index.is_ok_and(|it| now.since(self.parts[it].1) < PROOF_TIME)
    }

    /// Forgets parts whose proof is too old and, without any, the older half.
    fn make_room(&mut self, now: Timestamp) {
        self.parts.retain(|it| now.since(it.1) < PROOF_TIME);
        if self.parts.len() < MAX_PARTS {
            return;
        }
        let mut moments: Vec<Timestamp> = self.parts.iter().map(|it| it.1).collect();
        let (_, median, _) = moments.select_nth_unstable(MAX_PARTS / 2);
        let median = *median;
        self.parts.retain(|it| it.1 > median);
    }
}
