//! Decisions about lots: which goes first, what is retried, when results are written.
//!
//! - [`LotRanking`] orders open lots by the tokens served to their customers and the
//!   time left to each lot.
//! - [`LotForecast`] tells early which lots will miss their due time.
//! - [`SegmentChoice`] picks the segment to claim next.
//! - [`FailureCount`] gives up an item at which servers fail, whichever daemons run it.
//! - [`ItemRetryPolicy`] distinguishes an item that can never succeed from a server's fault.
//! - [`home_daemon`] names the daemon through which bulk work reaches a server;
//!   [`crate::bulk`] decides how much of it.
//! - [`CopyState`] decides when a reader may be answered from a copy of a lot's
//!   results.
//! - [`may_begin_items`] decides whether a daemon that lost contact may continue a
//!   lot.
//! - [`StartRank`] orders items that wait while all slots are taken.
//! - [`TokenLedger`] bounds the tokens of a customer's lots that wait on a route.
//! - [`choose_runner`] gives an accepted lot to a daemon that has less to do.
//! - [`RunnerMemory`] names the daemon to ask for a lot that no daemon reports.
//! - [`LotAge`] proves how long the items of a lot have been kept.
//! - [`RouteAbsence`] tells a route that was taken away from one that is missing for a
//!   moment.
//! - [`HeldSize`] bounds the lots that a daemon holds at once.
//! - [`ResultGrouping`] decides when a group of results is written.
//!
//! See `docs/LOTS.md`.

mod claim_doubt;
mod copy_proof;
mod failure_count;
mod hold_limit;
mod home_daemon;
mod item_tries;
mod lot_age;
mod lot_forecast;
mod lot_ranking;
mod result_grouping;
mod route_absence;
mod runner_choice;
mod runner_memory;
mod segment_choice;
mod start_order;
mod waiting_tokens;

pub use claim_doubt::{may_begin_items, was_out_of_contact};
pub use copy_proof::{CopyState, ReaderPosition, RunnerConfirmation, knows_all_results};
pub use failure_count::{FailureCount, ItemFailureKind};
pub use hold_limit::HeldSize;
pub use home_daemon::home_daemon;
pub use item_tries::{GiveUpReason, ItemAttempts, ItemRetryPolicy, ItemRetryVerdict};
pub use lot_age::LotAge;
pub use lot_forecast::{LotForecast, PaceMeter};
pub use lot_ranking::{LotKey, LotRanking, RankedLot};
pub use result_grouping::ResultGrouping;
pub use route_absence::{RouteAbsence, RouteObservation};
pub use runner_choice::{RunnerLoad, choose_handover_target, choose_runner};
pub use runner_memory::RunnerMemory;
pub use segment_choice::SegmentChoice;
pub use start_order::{ItemTimes, RunTimeEstimate, StartRank};
pub use waiting_tokens::{LotTokenBounds, TokenLedger, TokenReturnRate, TokenVerdict, WaitingLot};
