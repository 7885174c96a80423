//! The parts of prompts that are suspected of crashing servers, as one daemon knows them.

use std::time::Duration;

use super::{
    PartKey, PartReport, ServerRun,
    part_entry::PartEntry,
    proven_parts::ProvenParts,
    trials::{LIVE_TRIALS, OWED_TRIALS, TrialPace},
};
use crate::Timestamp;

/// The number of servers that are lost before a part is blocked, if no answer on it was
/// written to its end meanwhile. Servers are lost for other reasons too, a few at once.
pub const CRASHES_TO_BLOCK: usize = 4;
/// The maximum number of parts that are remembered. All requests on a lost server share the
/// suspicion, and most are cleared within seconds.
const MAX_ENTRIES: usize = 512;
/// By how many places a request with several blocked parts comes later, for each further one,
/// than one with a single blocked part, when parts are tried.
const RANKS_PER_FURTHER_PART: usize = 5;
/// The maximum number of parts in one report.
const MAX_REPORTED: usize = 24;
/// The maximum number of parts in one report that aren't suspected any more.
const MAX_REPORTED_CLEARED: usize = 12;
/// For how long each report names a part after something has changed.
const NEWS_TIME: Duration = Duration::from_secs(3);
/// A report names a part of which nothing has changed once for so many other daemons, and
/// each daemon once in [`MAX_REPORT_STRIDE`] reports: a daemon that starts hears it from
/// any.
const DAEMONS_PER_STRIDE: usize = 8;
const MAX_REPORT_STRIDE: u64 = 16;

/// Is added to all moments, which count from the daemon's start: others report of crashes
/// before it.
const HISTORY: Duration = Duration::from_secs(86_400);

/// The parts of prompts that are suspected of crashing servers, as one daemon knows them.
#[derive(Clone, Debug, Default)]
pub struct PartTable {
    /// Sorted by part.
    entries: Vec<PartEntry>,
    proven: ProvenParts,
}

impl PartTable {
    /// Records that a server was lost while it began to answer a request with these parts.
    /// Parts on which answers were written lately aren't suspected with those on which none
    /// were. Returns the parts that are blocked from now on.
    pub fn record_crash(
        &mut self,
        parts: &[PartKey],
        server: ServerRun,
        now: Timestamp,
    ) -> Vec<PartKey> {
        let now = now + HISTORY;
        let mut blocked = Vec::new();
        let is_unproven = |it: &&PartKey| !self.proven.is_proven(**it, now);
        let unproven: Vec<PartKey> = parts.iter().filter(is_unproven).copied().collect();
        let is_proven = unproven.is_empty();
        let suspected = if is_proven { parts } else { &unproven };
        for part in suspected {
            let entry = self.entry(*part, now);
            let was_blocked = entry.is_blocked();
            entry.record_crash(server, is_proven, now);
            if entry.is_blocked() && !was_blocked {
                blocked.push(*part);
            }
        }
        blocked
    }

    /// Records that an answer to a request with these parts was written to its end, or for
    /// longer than a part takes to crash the server: the end of a long one comes late. Returns
    /// whether a part was blocked until now.
    pub fn record_finished(&mut self, parts: &[PartKey], now: Timestamp) -> bool {
        let now = now + HISTORY;
        let mut was_blocked = false;
        for part in parts {
            self.proven.record(*part, now);
            if let Ok(index) = self.position(*part) {
                let entry = &mut self.entries[index];
                was_blocked |= entry.is_blocked();
                entry.record_finished(now);
            }
        }
        was_blocked
    }

    /// Checks whether a request with these parts may be sent, by a daemon whose turn to try a
    /// part is given by `rank_of`. Returns whether it tries a blocked part: other daemons
    /// should hear of that at once.
    ///
    /// # Errors
    ///
    /// Returns the part that is blocked, and the number of crashes that are known of it.
    pub fn check(
        &mut self,
        parts: &[PartKey],
        rank_of: impl Fn(PartKey) -> usize,
        now: Timestamp,
    ) -> Result<bool, (PartKey, usize)> {
        self.check_at(&LIVE_TRIALS, parts, rank_of, now)
    }

    /// The same for an item of a lot, which is owed: it tries a blocked part sooner, and again
    /// at the same intervals however often that crashed a server. The ranks are those among
    /// the daemons that run lots.
    ///
    /// # Errors
    ///
    /// Returns the part that is blocked, and the number of crashes that are known of it.
    pub fn check_owed(
        &mut self,
        parts: &[PartKey],
        rank_of: impl Fn(PartKey) -> usize,
        now: Timestamp,
    ) -> Result<bool, (PartKey, usize)> {
        self.check_at(&OWED_TRIALS, parts, rank_of, now)
    }

    fn check_at(
        &mut self,
        pace: &TrialPace,
        parts: &[PartKey],
        rank_of: impl Fn(PartKey) -> usize,
        now: Timestamp,
    ) -> Result<bool, (PartKey, usize)> {
        let now = now + HISTORY;
        let positions = parts.iter().filter_map(|it| self.position(*it).ok());
        let blocked: Vec<usize> = positions
            .filter(|&it| self.entries[it].is_blocked() && !self.entries[it].is_expired(now))
            .collect();
        // A request with one blocked part shows whether that one crashes servers.
        let extra_rank = blocked.len().saturating_sub(1) * RANKS_PER_FURTHER_PART;
        let mut checked = Ok(!blocked.is_empty());
        for &index in &blocked {
            let entry = &mut self.entries[index];
            entry.record_seen(now);
            if !entry.may_be_tried(pace, rank_of(entry.part) + extra_rank, now) {
                checked = Err((entry.part, entry.crashes()));
            }
        }
        if checked.is_ok() {
            for &index in &blocked {
                self.entries[index].begin_trial(now);
            }
        }
        checked
    }

    /// Returns what the report with this number tells a fleet of `daemons` others.
    pub fn reports(&self, number: u64, daemons: usize, now: Timestamp) -> Vec<PartReport> {
        let now = now + HISTORY;
        let stride = (daemons / DAEMONS_PER_STRIDE) as u64;
        let stride = stride.clamp(1, MAX_REPORT_STRIDE);
        let is_due = |it: &&PartEntry| {
            let is_news = now.since(it.changed_at) < NEWS_TIME;
            let is_turn = (number ^ it.part.0).is_multiple_of(stride);
            is_news || (it.is_suspected() && is_turn && !it.is_expired(now))
        };
        let due = self.entries.iter().filter(is_due);
        let (mut suspected, cleared): (Vec<&PartEntry>, Vec<&PartEntry>) =
            due.partition(|it| it.is_suspected());
        // What blocks requests goes first, then what others may not know yet.
        suspected.sort_by_key(|it| std::cmp::Reverse((it.crashes(), it.changed_at)));
        // Others refuse requests until they hear that a part is cleared. Its news are few and
        // have places of their own, which they take in turn.
        let turn = (number as usize).wrapping_mul(MAX_REPORTED_CLEARED);
        let first = turn.checked_rem(cleared.len()).unwrap_or_default();
        let in_turn = cleared[first..].iter().chain(&cleared[..first]);
        let cleared: Vec<&PartEntry> = in_turn.take(MAX_REPORTED_CLEARED).copied().collect();
        let suspected = suspected.into_iter().take(MAX_REPORTED - cleared.len());
        let reported = cleared.into_iter().chain(suspected);
        reported.map(|it| it.report(now)).collect()
    }

    /// Applies what another daemon reported.
    pub fn receive(&mut self, reports: &[PartReport], now: Timestamp) {
        let now = now + HISTORY;
        for report in reports {
            // An answer says nothing new of a part that nobody suspects here.
            if report.crashes.is_empty() && self.position(report.part).is_err() {
                continue;
            }
            self.entry(report.part, now).receive(report, now);
        }
    }

    /// Returns whether a part is blocked.
    pub fn is_blocked(&self, part: PartKey, now: Timestamp) -> bool {
        let now = now + HISTORY;
        let entry = self.position(part).map(|it| &self.entries[it]);
        entry.is_ok_and(|it| it.is_blocked() && !it.is_expired(now))
    }

    fn position(&self, part: PartKey) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&part, |it| it.part)
    }

    fn entry(&mut self, part: PartKey, now: Timestamp) -> &mut PartEntry {
        if self.position(part).is_err() && self.entries.len() >= MAX_ENTRIES {
            self.make_room(now);
        }
        let index = match self.position(part) {
            Ok(index) => index,
            Err(index) => {
                self.entries.insert(index, PartEntry::new(part, now));
                index
            }
        };
        &mut self.entries[index]
    }

    /// Forgets expired parts and, without any, the one that matters least.
    fn make_room(&mut self, now: Timestamp) {
        self.entries.retain(|it| !it.is_expired(now));
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        let entries = self.entries.iter().enumerate();
        let least = entries.min_by_key(|(_, it)| (it.crashes(), it.last_used_at()));
        if let Some((index, _)) = least {
            self.entries.remove(index);
        }
    }
}
