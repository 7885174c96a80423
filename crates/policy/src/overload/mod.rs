//! Which live requests wait while all servers are full, and when refused callers should
//! return.
//!
//! Servers run requests in order of arrival, so that a request that waits there can't be
//! overtaken. The load that shaped these rules: live requests at 1.87 times the mean, and at
//! four times what fits; a customer that sends 7.5 times its usual load; callers with one
//! retry, of whom many were refused at the same moment; all machines back at the same moment.
//!
//! - Where no server has a free slot, a request waits at the daemon, ordered by rank, then by
//!   customers' shares, then by arrival ([`WaitingRequests`]). It is refused on arrival if it
//!   is expected to start too late, and taken out once it can't start in time any more.
//! - A refused caller is told a time of its own, for which the daemon expects capacity that
//!   it hasn't promised to others ([`ReturnPlan`]).

mod return_plan;
mod waiting_requests;

pub use return_plan::{ReturnPlan, ReturnQuery, ReturnTime};
pub use waiting_requests::{
    LateStart, TimeLeft, WaitingRank, WaitingRequest, WaitingRequests, WaitingTurn, has_live_room,
};
