//! Grouping of claims into transactions, and handling of the answers.

use std::time::Duration;

use super::claim_tracker::CLAIM_VALIDITY;
use super::entry::Stage;
use super::{ClaimCause, ClaimChange, ClaimGroup, ClaimTracker, GroupAnswer};
use crate::Timestamp;

/// The maximum number of claims in one group. A transaction compares and writes each of
/// them.
const MAX_GROUP_CLAIMS: usize = 48;

/// How long calls are rejected at once after the platform was found to be unavailable.
const OUTAGE_BACKOFF: Duration = Duration::from_secs(1);

/// The number of consecutive lost answers that count as an outage. A single one is
/// normal; a platform that accepts connections and answers nothing would otherwise
/// delay each call for as long as it may wait for its claim.
const OUTAGE_LOST_ANSWERS: u32 = 3;

impl ClaimTracker {
    /// Returns the next group to write, if one is due.
    ///
    /// A claim whose answer was lost is written again in a later group under the same
    /// ticket. If the first write took effect, the second transaction fails its
    /// comparison and reads the own record back; if the first write arrives late, it
    /// fails instead.
    pub fn next_group(&mut self, now: Timestamp) -> Option<ClaimGroup> {
        let last = self.group_sent_at;
        if last.is_some_and(|at| now.since(at) < self.min_group_interval) {
            return None;
        }
        let number = self.groups + 1;
        let waiting = self.entries.iter_mut();
        let waiting = waiting.filter(|it| it.stage == Stage::Waiting);
        let mut waiting: Vec<_> = waiting.collect();
        waiting.sort_unstable_by_key(|it| it.record.ticket.number);
        let mut records = Vec::new();
        for entry in waiting.into_iter().take(MAX_GROUP_CLAIMS) {
            entry.stage = Stage::Writing {
                group: number,
                sent_at: now,
            };
            entry.may_exist = true;
            records.push(entry.record.clone());
        }
        if records.is_empty() {
            return None;
        }
        self.groups = number;
        self.group_sent_at = Some(now);
        Some(ClaimGroup { number, records })
    }

    /// Returns when the next group may be written, or none if no claim is waiting.
    pub fn group_due(&self) -> Option<Timestamp> {
        let mut entries = self.entries.iter();
        entries.find(|it| it.stage == Stage::Waiting)?;
        let after = self.group_sent_at.map(|at| at + self.min_group_interval);
        Some(after.unwrap_or(Timestamp::ZERO))
    }

    /// Returns the number of consecutive groups whose answers were lost. The delay
    /// before the next group should grow with it.
    pub fn consecutive_losses(&self) -> u32 {
        self.losses
    }

    /// Applies the result of writing a group.
    pub fn group_answer(&mut self, number: u64, answer: &GroupAnswer, now: Timestamp) {
        self.track_outage(answer, now);
        for entry in &mut self.entries {
            let Stage::Writing { group, sent_at } = entry.stage else {
                continue;
            };
            if group != number {
                continue;
            }
            let granted = Stage::Granted {
                until: sent_at + CLAIM_VALIDITY,
            };
            match answer {
                GroupAnswer::Written => entry.stage = granted,
                GroupAnswer::Found(records) => {
                    let found = records.iter().find(|it| it.key == entry.record.key);
                    match found {
                        Some(found) if found.ticket == entry.record.ticket => entry.stage = granted,
                        Some(found) => entry.resolve(found),
                        None => entry.stage = Stage::Waiting,
                    }
                }
                GroupAnswer::Lost => {
                    entry.answer_lost = true;
                    entry.stage = Stage::Waiting;
                }
                GroupAnswer::Unreachable => {
                    entry.refuse(ClaimCause::NoPlatform);
                    if entry.answer_lost {
                        let record = &entry.record;
                        let release = ClaimChange::Release(record.key, record.ticket);
                        self.changes.push(release);
                    }
                }
            }
        }
    }

    fn track_outage(&mut self, answer: &GroupAnswer, now: Timestamp) {
        self.losses = match answer {
            GroupAnswer::Lost => self.losses + 1,
            _ => 0,
        };
        let is_outage = *answer == GroupAnswer::Unreachable || self.losses >= OUTAGE_LOST_ANSWERS;
        self.outage_until = match is_outage {
            true => now + OUTAGE_BACKOFF,
            false => Timestamp::ZERO,
        };
    }

    /// Removes and returns up to `limit` pending changes of records. Those that failed
    /// have to be returned with [`return_changes`](Self::return_changes).
    pub fn take_changes(&mut self, limit: usize) -> Vec<ClaimChange> {
        let count = self.changes.len().min(limit);
        self.changes.drain(..count).collect()
    }

    /// Requeues changes that failed or whose result is unknown.
    pub fn return_changes(&mut self, changes: Vec<ClaimChange>) {
        self.changes.splice(0..0, changes);
    }
}
