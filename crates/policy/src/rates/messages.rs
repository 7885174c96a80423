//! The messages that the ledgers of different daemons exchange.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{DaemonId, Timestamp};

use super::{CustomerKey, Slice, Tokens};

/// Requests tokens from a slot's holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The customer.
    pub customer: CustomerKey,
    /// The roster slot.
    pub slot: u8,
    /// The number of tokens that the sender can use within a second; the first is
    /// for a request that is waiting.
    pub want: u32,
    /// Whether the sender considers this holder the slot's home.
    pub home: bool,
    /// An earlier grant of this slot that is fully spent.
    pub spent: Option<u64>,
}

/// The answer to a [`TokenRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TokenAnswer {
    /// Tokens to spend within [`super::LedgerTiming::grant_duration`] of the request.
    Granted {
        /// The holder's number for the grant.
        grant: u64,
        /// Number of whole tokens, at least one.
        count: u32,
        /// Whether the holder requests a [`TokenSettlement`] as soon as they are spent.
        settle: bool,
    },
    /// The bucket holds no whole token.
    Empty {
        /// How long to wait at least before the next request.
        retry_after: Duration,
        /// Whether the holder has already borrowed what other zones can lend, so
        /// that requests to them would be useless.
        complete: bool,
    },
    /// The daemon doesn't hold the slot: the sender's roster is older or newer than
    /// the daemon's own.
    NotHolder,
    /// The daemon's view of roster and settings is too old, so it may not spend from
    /// any of its slots.
    Stale,
}

/// Reports to a holder that a grant has ended, so that the capacity reserved for it
/// becomes free.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenSettlement {
    /// The customer.
    pub customer: CustomerKey,
    /// The roster slot.
    pub slot: u8,
    /// The holder's number for the grant.
    pub grant: u64,
    /// The number of tokens returned unspent.
    pub unspent: u32,
}

/// Requests a loan of its part from another zone's holder of the same slot, or
/// renews that loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceRequest {
    /// The customer.
    pub customer: CustomerKey,
    /// The roster slot.
    pub slot: u8,
    /// The borrower's number for the loan; a higher one replaces lower ones.
    pub loan: u64,
    /// When the borrower sent this, in microseconds on its own clock. The offer
    /// echoes it.
    pub sent: u64,
}

/// The answer to a [`SliceRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceOffer {
    /// The customer.
    pub customer: CustomerKey,
    /// The roster slot.
    pub slot: u8,
    /// The borrower's number for the loan.
    pub loan: u64,
    /// The borrower's send time, copied from the [`SliceRequest`].
    pub sent: u64,
    /// The total slice lent; nothing is lent if it is zero.
    pub slice: Slice,
    /// Tokens transferred to the borrower with this answer.
    pub tokens: Tokens,
}

/// Ends a loan early.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceReturn {
    /// The customer.
    pub customer: CustomerKey,
    /// The roster slot.
    pub slot: u8,
    /// The borrower's number for the loan.
    pub loan: u64,
    /// Tokens transferred back to the lender.
    pub tokens: Tokens,
}

/// A request from one ledger to another. All variants but the first cover many
/// customers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RateRequest {
    /// Requests tokens for a caller's request that is waiting.
    Tokens(TokenRequest),
    /// Requests or renews loans of slices.
    Slices(Vec<SliceRequest>),
    /// Returns slices to their lender.
    Return(Vec<SliceReturn>),
    /// Reports grants that have ended.
    Settle(Vec<TokenSettlement>),
}

/// The answer to a [`RateRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RateAnswer {
    /// Answers [`RateRequest::Tokens`].
    Tokens(TokenAnswer),
    /// Answers [`RateRequest::Slices`].
    Slices(Vec<SliceOffer>),
    /// Acknowledges the other requests.
    Done,
}

/// A request with its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: DaemonId,
    /// The request to send.
    pub request: RateRequest,
}

impl SliceRequest {
    /// Converts the `sent` field of a request or offer to a time on the borrower's clock.
    pub(super) fn sent_at(sent: u64) -> Timestamp {
        Timestamp::from_micros(sent)
    }
}
