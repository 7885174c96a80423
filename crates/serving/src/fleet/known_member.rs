//! What is known of another daemon, and which of its incarnations is the current one.

use std::time::Duration;

use comfreyramp_policy::{Timestamp, usage::PeerId};

use super::{MemberRecord, ViewRevisions};
use crate::lots::LotProgress;

/// How many former incarnations of a daemon are remembered, so that late reports of them
/// aren't taken for current ones.
const MAX_FORMER_INCARNATIONS: usize = 8;

/// Another daemon, with the state of its incarnation that is taken for the current one.
///
/// An incarnation is one run of a daemon's process.
#[derive(Clone, Debug)]
pub(super) struct KnownMember {
    pub(super) id: PeerId,
    pub(super) record: MemberRecord,
    /// The incarnation in the store's list, if the daemon is registered.
    pub(super) listed_incarnation: Option<u64>,
    /// The incarnations before this one, the latest last.
    pub(super) former_incarnations: Vec<u64>,
    /// When its last report was received, or else when it was first listed.
    pub(super) last_received_at: Option<Timestamp>,
    /// The sequence number of this incarnation's last message; 0 before the first.
    pub(super) last_number: u64,
    pub(super) revisions: ViewRevisions,
    /// The progress of lots that it reports, sorted by lot: under heavy load there are
    /// hundreds, and each waiting lot is looked up among those of all daemons.
    pub(super) progress: Vec<LotProgress>,
    pub(super) reaches_store: bool,
    pub(super) is_leaving: bool,
    /// The number of items of lots that it reports as still to run.
    pub(super) items: u32,
    /// Whether it shares a home server with this daemon: one that both use first.
    pub(super) shares_servers: bool,
}

impl KnownMember {
    pub(super) fn new(id: PeerId, record: &MemberRecord) -> Self {
        KnownMember {
            id,
            record: record.clone(),
            listed_incarnation: None,
            former_incarnations: Vec::new(),
            last_received_at: None,
            last_number: 0,
            revisions: ViewRevisions::default(),
            progress: Vec::new(),
            reaches_store: false,
            is_leaving: false,
            items: 0,
            shares_servers: false,
        }
    }

    /// Replaces the known incarnation by that of `record`. All reported state is dropped,
    /// and the old incarnation is remembered as a former one.
    pub(super) fn start_incarnation(&mut self, record: &MemberRecord) {
        let mut former_incarnations = std::mem::take(&mut self.former_incarnations);
        former_incarnations.retain(|it| *it != record.incarnation);
        former_incarnations.push(self.record.incarnation);
        let excess = former_incarnations
            .len()
            .saturating_sub(MAX_FORMER_INCARNATIONS);
        former_incarnations.drain(..excess);
        *self = KnownMember {
            listed_incarnation: self.listed_incarnation,
            former_incarnations,
            ..KnownMember::new(self.id, record)
        };
    }

    /// Returns whether an incarnation came before the known one.
    pub(super) fn is_former(&self, incarnation: u64) -> bool {
        self.former_incarnations.contains(&incarnation)
    }

    /// Returns whether the known incarnation has itself reported `within` the given time,
    /// and wasn't just listed by the store.
    pub(super) fn incarnation_reported_within(&self, within: Duration, now: Timestamp) -> bool {
        self.last_number > 0 && self.reported_within(within, now)
    }

    /// Returns whether the known incarnation is confirmed as the current one, by its own
    /// reports `within` the given time or by the store's list. Otherwise an incarnation
    /// that counts as former may be the current one, since only the order in which
    /// datagrams arrived distinguished them.
    pub(super) fn is_confirmed(&self, within: Duration, now: Timestamp) -> bool {
        self.incarnation_reported_within(within, now)
            || self.listed_incarnation == Some(self.record.incarnation)
    }

    /// Replaces the progress that it reports. Returns the lots that it reports no longer and
    /// of which it knew all results.
    pub(super) fn replace_progress(&mut self, reported: &[LotProgress]) -> Vec<String> {
        let mut progress = reported.to_vec();
        progress.sort_unstable_by(|left, right| left.lot.cmp(&right.lot));
        let mut dropped = std::mem::replace(&mut self.progress, progress);
        // Both lists are sorted, so that one pass over them finds what is missing. They
        // arrive several times a second from each daemon.
        let mut current = self.progress.iter().peekable();
        let is_dropped = |it: &LotProgress| {
            while current.next_if(|next| next.lot < it.lot).is_some() {}
            current.peek().is_none_or(|next| next.lot != it.lot)
        };
        dropped.retain(is_dropped);
        dropped.retain(|it| it.stage.knows_all_results());
        dropped.into_iter().map(|it| it.lot).collect()
    }

    /// Returns the progress that it reports of a lot.
    pub(super) fn progress_of(&self, lot: &str) -> Option<&LotProgress> {
        let index = self
            .progress
            .binary_search_by(|it| it.lot.as_str().cmp(lot));
        Some(&self.progress[index.ok()?])
    }

    pub(super) fn reported_within(&self, within: Duration, now: Timestamp) -> bool {
        self.last_received_at
            .is_some_and(|it| now.since(it) < within)
    }
}
