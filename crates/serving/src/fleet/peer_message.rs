//! The report that daemons send each other several times a second.

use std::{net::SocketAddr, time::Duration};

use comfreyramp_policy::{
    Timestamp, ViewLag,
    parts::PartReport,
    placement::{FailureCount, LoadShare},
    usage::{PeerId, PeerIncarnation, SpendingTimes, UsageCount},
};
use serde::{Deserialize, Serialize};

use crate::lots::{AssignedLot, LotNotice, LotProgress};

/// A daemon's entry in the store, which is bound to its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The daemon's name, unique in the fleet.
    pub name: String,
    /// The availability zone that the daemon runs in.
    pub zone: String,
    /// The address at which other daemons reach it.
    pub address: SocketAddr,
    /// A random number, new at each start, that distinguishes the runs of the daemon.
    pub incarnation: u64,
    /// Whether it runs items of lots.
    pub runs_lots: bool,
}

/// How often backend servers broke the connection while they ran a certain request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectCount {
    /// The hash of the request's customer, path and body.
    pub fingerprint: u64,
    /// The number of such failures that the sender observed.
    pub crashes: u8,
}

/// The store's revision at the last change of each of a daemon's views.
///
/// A view is a local copy of store data.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewRevisions {
    /// The view of the operators' settings.
    pub operators: i64,
    /// The view of the server directory.
    pub servers: i64,
    /// The view of the registered daemons.
    pub members: i64,
}

impl ViewRevisions {
    /// Returns whether any view is newer than in `other`.
    pub fn is_ahead_of(self, other: ViewRevisions) -> bool {
        self.operators > other.operators
            || self.servers > other.servers
            || self.members > other.members
    }

    /// Returns the newer revision of each view.
    pub fn newest(self, other: ViewRevisions) -> ViewRevisions {
        ViewRevisions {
            operators: self.operators.max(other.operators),
            servers: self.servers.max(other.servers),
            members: self.members.max(other.members),
        }
    }
}

/// For how long each view has been behind those of other daemons.
#[derive(Clone, Copy, Debug, Default)]
pub struct ViewLags {
    /// The lag of the view of the operators' settings.
    pub operators: ViewLag,
    /// The lag of the view of the server directory.
    pub servers: ViewLag,
    /// The lag of the view of the registered daemons.
    pub members: ViewLag,
}

impl ViewLags {
    /// Updates the lags: `own` has the revisions up to which the views are complete, and
    /// `newest` those of the newest changes that other daemons have.
    pub fn note(&mut self, own: ViewRevisions, newest: ViewRevisions, now: Timestamp) {
        self.operators.note(own.operators, newest.operators, now);
        self.servers.note(own.servers, newest.servers, now);
        self.members.note(own.members, newest.members, now);
    }
}

/// A daemon's report of its state to the others. Counts are totals, not differences, so
/// that the next report makes up for a lost datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// The sender.
    pub from: MemberRecord,
    /// Sequence number, which grows with each message of an incarnation.
    pub number: u64,
    /// The revisions of the sender's views.
    pub revisions: ViewRevisions,
    /// The load that the sender has on servers, by the hash of their names.
    pub shares: Vec<(u64, LoadShare)>,
    /// The requests that it admitted for each customer.
    pub usage: Vec<UsageCount>,
    /// The requests during which servers broke the connection.
    pub suspects: Vec<SuspectCount>,
    /// Notices of events of lots.
    pub lots: Vec<LotNotice>,
    /// The progress of the lots that it runs or ran.
    pub progress: Vec<LotProgress>,
    /// Whether the sender reaches the store directly.
    pub reaches_store: bool,
    /// Whether the sender is about to stop.
    pub is_leaving: bool,
    /// The number of items of lots that it still has to run.
    pub items: u32,
    /// Lots that it accepted, and the daemons that are to run them.
    pub placed: Vec<AssignedLot>,
    /// Whether the receiver is asked to send its own report at once.
    pub asks_word: bool,
    /// When the requests in `usage` were admitted, in the same order.
    pub usage_times: UsageTimes,
    /// The time since the sender started, in milliseconds; 0 in a message of an older
    /// version.
    pub uptime_ms: u32,
    /// The parts of prompts that are suspected of crashing servers; empty in a message of an
    /// older version.
    pub parts: Vec<PartReport>,
    /// The servers at which the sender's requests failed lately; empty in a message of an
    /// older version.
    pub failures: Vec<FailureCount>,
}

/// When a daemon admitted customers' requests, in the form of [`SpendingTimes`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageTimes {
    /// The time of the report.
    pub told: u16,
    /// The sum of the admission times of each customer's requests; empty in a message of an
    /// older version.
    pub sums: Vec<u16>,
}

impl PeerMessage {
    /// Returns the run of the sender.
    pub fn sender(&self) -> PeerIncarnation {
        let uptime = Duration::from_millis(self.uptime_ms.into());
        PeerIncarnation {
            id: PeerId::of_name(&self.from.name),
            number: self.from.incarnation,
            uptime: (self.uptime_ms > 0).then_some(uptime),
        }
    }

    /// Returns `usage` with the times of `usage_times`.
    pub fn timed_usage(&self) -> Vec<UsageCount> {
        let told = self.usage_times.told;
        let sums = self.usage_times.sums.iter().map(Some);
        let sums = sums.chain(std::iter::repeat(None));
        let counts = self.usage.iter().zip(sums).map(|(count, sum)| UsageCount {
            times: sum.map(|&sum| SpendingTimes { sum, told }),
            ..*count
        });
        counts.collect()
    }
}

impl UsageTimes {
    /// Collects the times of `counts`, in the same order.
    pub fn of(counts: &[UsageCount]) -> Self {
        let times = counts.iter().map(|it| it.times.unwrap_or_default());
        UsageTimes {
            told: times.clone().next().unwrap_or_default().told,
            sums: times.map(|it| it.sum).collect(),
        }
    }
}

/// Number of zero bytes appended to a received message. They stand for the fields that a
/// message of an older version lacks.
pub const MESSAGE_PADDING: usize = 8;
