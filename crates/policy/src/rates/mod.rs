//! A customer's rate and burst, counted over all VMs without a coordinator.
//!
//! The customer's right is divided into fixed parts: one for each zone, and
//! within the zone one for each of the customer's *slots*. A roster record of
//! the zone says which daemon holds which slot ([`ZoneRoster`]). The holder
//! refills a [`TokenBucket`] for its part and needs nobody's leave to spend it,
//! so a zone that is cut off goes on serving.
//!
//! On top of the fixed parts two things move, both by direct messages:
//!
//! - *Slices*, a rate with a capacity, lent for seconds. For each slot one zone
//!   is *home*, by hash; while demand lasts, the home's holder borrows the parts
//!   of the other zones and so answers like one bucket for the whole fleet.
//! - *Grants*, whole tokens for requests that wait or are expected within a
//!   second, given by a holder to the daemon where the requests arrive.
//!
//! What moves stops counting at its giver before it starts at its taker, and
//! counts again at the giver only after it has certainly stopped at the taker.
//! A lost message loses tokens and never doubles them. Hence at each instant the
//! tokens in all buckets and grants are at most the burst, they are created at
//! no more than the rate, and no window of length `W` sees more than
//! `rate * W + burst` admissions.
//!
//! Start reading at [`ShareLedger`]. See `docs/RATES.md`.

mod demand_meter;
mod freshness;
mod grant_book;
mod ledger_timing;
mod message_outbox;
mod messages;
mod rate_part;
mod reach_table;
mod share_ledger;
mod slot_handover;
mod slot_share;
mod token_bucket;
mod token_pocket;
mod tokens;
mod zone_link;
mod zone_roster;

pub use demand_meter::DemandMeter;
pub use ledger_timing::LedgerTiming;
pub use messages::{
    Outgoing, RateAnswer, RateAsk, SliceOffer, SliceReturn, SliceWant, TokenAnswer, TokenAsk,
    TokenSettlement,
};
pub use rate_part::{CustomerKey, CustomerRate, MAX_CUSTOMER_SLOTS, MAX_ZONES, RatePart, Slice};
pub use share_ledger::{Attempt, Decision, ShareLedger, ShareLevel};
pub use token_bucket::TokenBucket;
pub use tokens::Tokens;
pub use zone_roster::{ExpulsionWatch, MemberState, RosterChange, RosterMember, SLOTS, ZoneRoster};
