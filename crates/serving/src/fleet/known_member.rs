//! Another daemon, and which of its lives is the present one.

use std::time::Duration;

use comfreyramp_policy::{Timestamp, usage::PeerId};

use super::{MemberRecord, ViewRevisions};
use crate::lots::LotProgress;

/// So many former lives of a daemon are known by their numbers, so that what they
/// said, and comes late, isn't taken for news.
const MOST_FORMER: usize = 8;

/// Another daemon, in the life of it that is known.
#[derive(Clone, Debug)]
pub(super) struct KnownMember {
    pub(super) id: PeerId,
    pub(super) record: MemberRecord,
    /// The life that the store's list names, if it is registered.
    pub(super) listed_life: Option<u64>,
    /// The lives before this one, the latest last.
    pub(super) former_lives: Vec<u64>,
    pub(super) heard_at: Option<Timestamp>,
    /// The number of the last message; 0 while none was heard of this life.
    pub(super) number: u64,
    pub(super) revisions: ViewRevisions,
    /// What it says of lots, sorted by lot: in a flood there are hundreds, and each lot
    /// that waits is looked up among those of all daemons.
    pub(super) progress: Vec<LotProgress>,
    pub(super) reaches_store: bool,
    pub(super) is_leaving: bool,
    /// The items of lots that it has to run still, as it said.
    pub(super) items: u32,
    /// Whether it uses servers first that this daemon uses first.
    pub(super) shares_servers: bool,
}

impl KnownMember {
    pub(super) fn new(id: PeerId, record: &MemberRecord) -> Self {
        KnownMember {
            id,
            record: record.clone(),
            listed_life: None,
            former_lives: Vec::new(),
            heard_at: None,
            number: 0,
            revisions: ViewRevisions::default(),
            progress: Vec::new(),
            reaches_store: false,
            is_leaving: false,
            items: 0,
            shares_servers: false,
        }
    }

    /// Forgets what was known of the life before this one, but for its number.
    pub(super) fn begin_life(&mut self, record: &MemberRecord) {
        let mut former_lives = std::mem::take(&mut self.former_lives);
        former_lives.retain(|it| *it != record.incarnation);
        former_lives.push(self.record.incarnation);
        let excess = former_lives.len().saturating_sub(MOST_FORMER);
        former_lives.drain(..excess);
        *self = KnownMember {
            listed_life: self.listed_life,
            former_lives,
            ..KnownMember::new(self.id, record)
        };
    }

    /// Whether a life came before the one that is known.
    pub(super) fn is_former(&self, incarnation: u64) -> bool {
        self.former_lives.contains(&incarnation)
    }

    /// Whether the life that is known was heard, and not just listed.
    pub(super) fn speaks(&self, within: Duration, now: Timestamp) -> bool {
        self.number > 0 && self.was_heard(within, now)
    }

    /// Whether the life that is known is the present one. Where it is neither heard nor
    /// registered, a life that was taken for a former one may be: the order in which
    /// datagrams arrive was all that told them apart.
    pub(super) fn is_certain(&self, within: Duration, now: Timestamp) -> bool {
        self.speaks(within, now) || self.listed_life == Some(self.record.incarnation)
    }

    /// What it says of a lot.
    pub(super) fn told_of(&self, lot: &str) -> Option<&LotProgress> {
        let place = self
            .progress
            .binary_search_by(|it| it.lot.as_str().cmp(lot));
        Some(&self.progress[place.ok()?])
    }

    pub(super) fn was_heard(&self, within: Duration, now: Timestamp) -> bool {
        self.heard_at.is_some_and(|it| now.since(it) < within)
    }
}
