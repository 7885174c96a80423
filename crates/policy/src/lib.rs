//! The decision logic of the fleet, without I/O, clocks or global state.
//!
//! Every decision function takes the current time as a [`Timestamp`] and, where it
//! needs randomness, a random source. The daemon, tests on virtual time and
//! replayed traces all run this same code. See `docs/DESIGN.md`.
//!
//! Overview, with the main type of each area:
//!
//! - [`rates`]: whether a customer's rate and burst admit a request
//!   ([`rates::ShareLedger`]).
//! - Urgency and the queue: the order in which requests start while all servers
//!   are full ([`UrgencyTable`], [`LiveQueue`]).
//! - Routing: which server gets a request ([`ServerTable`]).
//! - Retries: whether a failed attempt is retried ([`decide_retry`], [`RetryBudget`]).
//! - Suspects: requests that were in flight on a server that died ([`SuspectTable`]).
//! - Claims: calls that must not run twice ([`ClaimTracker`]).
//! - [`bulk`] and [`lots`]: how much bulk work a server gets, and from which lots
//!   ([`bulk::BulkLimiter`], [`lots::LotRanking`]).
//! - [`memory`]: how many bytes are held for callers, and who is refused or ended when
//!   there is no room ([`memory::MemoryAccount`]).
//! - [`parts`]: which parts of prompts crash the servers that write an answer on them
//!   ([`parts::PartTable`]).
//! - [`placement`]: which server a request goes to, when it is refused instead,
//!   and which lot items are preempted ([`placement::PlacementTable`]).
//! - [`overload`]: which requests wait while all servers are full, and when refused
//!   callers should return ([`overload::WaitingRequests`], [`overload::ReturnPlan`]).
//! - [`streams`]: at which software version a stream may go on
//!   ([`streams::OriginTable`]).
//! - [`usage`]: enforces customers' rates by usage counts that daemons exchange
//!   ([`usage::UsageTracker`]).
//! - Members and freshness: which daemons belong to the fleet, and how old the
//!   local view of the settings is ([`MemberTable`], [`WatchPlan`]).
//!
//! All of them share [`Timestamp`] and the id types.

mod answer_pace;
pub mod bulk;
mod claims;
mod freshness;
mod hash;
mod ids;
pub mod lots;
mod members;
pub mod memory;
pub mod overload;
pub mod parts;
pub mod placement;
mod planned_stop;
mod queue;
pub mod rates;
mod retries;
mod routing;
pub mod streams;
mod suspects;
mod time;
mod urgency;
pub mod usage;

pub use answer_pace::{AnswerPace, NoAnswer, PaceLimits};
pub use claims::{
    AnswerRef, ClaimCause, ClaimChange, ClaimGroup, ClaimKey, ClaimRecord, ClaimRefusal,
    ClaimState, ClaimTicket, ClaimTracker, ClaimVerdict, GroupAnswer,
};
pub use freshness::{
    FleetMember, FreshnessSettings, OfferDecision, PausedSources, SendBudget, StoreContact,
    ViewAge, ViewLag, ViewOffer, WatchPlan, member_score,
};
pub use hash::name_hash;
pub use ids::{CustomerId, DaemonId, GroupId, Incarnation, ServerId, ServiceId, ZoneId};
pub use members::{Heartbeat, ListedDaemon, MemberEntry, MemberEvent, MemberTable, ZoneContacts};
pub use planned_stop::PlannedStop;
pub use queue::{LiveQueue, QueueCause, QueueRank, QueueRefusal, QueuedCall};
pub use retries::{
    AttemptReport, FinalAnswer, FinalCause, RetryBudget, RetryDecision, RunState, SuspectVerdict,
    decide_retry,
};
pub use routing::{
    ListOutcome, ListedServer, LoadReport, PreemptibleLoad, RouteQuery, ServerEntry, ServerHealth,
    ServerKey, ServerLoad, ServerOutcome, ServerState, ServerTable, ZoneLoad,
};
pub use suspects::{
    DeathFact, DeathId, Fingerprint, NoticeAck, RunEnd, RunId, Suspect, SuspectFact, SuspectNotice,
    SuspectStage, SuspectTable, TrialAnswer, TrialEnd, TrialRecord, TrialRequest, TrialSettlement,
    TrialStep, TrialTicket, TrialTracker,
};
pub use time::Timestamp;
pub use urgency::{CallTraits, CallerInterface, CallerKey, Urgency, UrgencyTable};
