//! The decisions of the fleet, without I/O, clocks or global state.
//!
//! Every deciding function takes the present time as a [`Timestamp`] and, where
//! chance plays a part, a random source. The daemon, a test on virtual time and
//! a replayed trace all drive this same code. See `docs/DESIGN.md`.
//!
//! A tour, each with the type to start at:
//!
//! - [`rates`]: whether a customer's rate and burst let a request in
//!   ([`rates::ShareLedger`]).
//! - Urgency and the queue: who goes first while servers are full
//!   ([`UrgencyTable`], [`LiveQueue`]).
//! - Routing: which server gets a request ([`ServerTable`]).
//! - Retries: what follows a failed attempt ([`decide_retry`], [`RetryBudget`]).
//! - Suspects: what was running on a server that died ([`SuspectTable`]).
//! - Claims: calls that must not run twice ([`ClaimBook`]).
//! - [`bulk`] and [`lots`]: how much lot work a server gets, and whose
//!   ([`bulk::BulkGate`], [`lots::LotRanking`]).
//! - [`placement`]: which server a request goes to, when it is refused instead,
//!   and which lot items step aside ([`placement::PlacementTable`]).
//! - [`usage`]: customers' rates by exchanged counts ([`usage::UsageBook`]).
//! - Members and freshness: which daemons there are, and how old a view of the
//!   settings is ([`MemberTable`], [`WatchPlan`]).
//!
//! [`Timestamp`] and the ids are what all of them share.

pub mod bulk;
mod claims;
mod freshness;
mod hash;
mod ids;
pub mod lots;
mod members;
pub mod placement;
mod queue;
pub mod rates;
mod retries;
mod routing;
mod suspects;
mod time;
mod urgency;
pub mod usage;

pub use claims::{
    AnswerRef, ClaimBook, ClaimCause, ClaimChange, ClaimGroup, ClaimKey, ClaimRecord, ClaimRefusal,
    ClaimState, ClaimTicket, ClaimVerdict, GroupAnswer,
};
pub use freshness::{
    FleetMember, FreshnessSettings, OfferVerdict, PassedSources, ShowBudget, StoreContact, ViewAge,
    ViewLag, ViewOffer, WatchPlan, member_score,
};
pub use hash::name_key;
pub use ids::{CustomerId, DaemonId, GroupId, Incarnation, ServerId, ServiceId, ZoneId};
pub use members::{Heartbeat, ListedDaemon, MemberEntry, MemberNews, MemberTable};
pub use queue::{LiveQueue, QueueCause, QueueRefusal, QueuedCall};
pub use retries::{
    AttemptReport, FinalAnswer, FinalCause, RetryBudget, RetryDecision, RunState, SuspectVerdict,
    decide_retry,
};
pub use routing::{
    ListOutcome, ListedServer, LoadReport, RouteQuery, ServerEntry, ServerHealth, ServerKey,
    ServerLoad, ServerOutcome, ServerState, ServerTable, YieldingLoad, ZoneLoad,
};
pub use suspects::{
    DeathFact, DeathId, Fingerprint, NoticeAck, RunEnd, RunId, Suspect, SuspectFact, SuspectNotice,
    SuspectStage, SuspectTable, TrialAnswer, TrialAsk, TrialBook, TrialEnd, TrialRecord,
    TrialSettlement, TrialStep, TrialTicket,
};
pub use time::Timestamp;
pub use urgency::{CallTraits, CallerDoor, CallerKey, Urgency, UrgencyTable};
