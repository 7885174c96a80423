//! Enforces each customer's rate and burst over all VMs without a coordinator.
//!
//! A customer's rate and burst are divided into fixed parts: one for each zone, and
//! within the zone one for each of the customer's *slots*. A roster record of
//! the zone says which daemon holds which slot ([`ZoneRoster`]). The holder
//! refills a [`TokenBucket`] for its part and spends from it without asking any
//! other daemon, so a zone that is cut off continues to admit requests.
//!
//! Daemons move two things between these fixed parts, both by direct messages:
//!
//! - *Slices*, a rate with a capacity, lent for seconds. For each slot a hash
//!   selects one zone as *home*; while demand lasts, the home's holder borrows the
//!   parts of the other zones and so acts as one bucket for the whole fleet.
//! - *Grants*, whole tokens for requests that wait or are expected within a
//!   second, sent by a holder to the daemon where the requests arrive.
//!
//! What is transferred stops counting at the sender before it starts counting at
//! the receiver, and counts at the sender again only after it has certainly stopped
//! at the receiver. A lost message loses tokens and never duplicates them. Therefore
//! all buckets and grants together never hold more tokens than the burst, tokens are
//! created at no more than the rate, and no window of length `W` sees more than
//! `rate * W + burst` admissions.
//!
//! The main type is [`ShareLedger`]. See `docs/RATES.md`.

mod demand_meter;
mod freshness;
mod grant_tracker;
mod ledger_timing;
mod message_outbox;
mod messages;
mod rate_parts;
mod reachability;
mod share_ledger;
mod slot_handover;
mod slot_share;
mod token_bucket;
mod token_grants;
mod tokens;
mod zone_loan;
mod zone_roster;

pub use demand_meter::DemandMeter;
pub use ledger_timing::LedgerTiming;
pub use messages::{
    Outgoing, RateAnswer, RateRequest, SliceOffer, SliceRequest, SliceReturn, TokenAnswer,
    TokenRequest, TokenSettlement,
};
pub use rate_parts::{CustomerKey, CustomerRate, MAX_CUSTOMER_SLOTS, MAX_ZONES, RateParts, Slice};
pub use share_ledger::{Decision, ShareLedger, ShareLevel, TokenAttempt};
pub use token_bucket::TokenBucket;
pub use tokens::Tokens;
pub use zone_roster::{
    ExpulsionTracker, MemberState, RosterChange, RosterMember, SLOTS, ZoneRoster,
};
