//! How many bytes a daemon holds for callers, and who has to wait, is refused or is ended
//! when there is no room.
//!
//! Load pattern: thousands of callers that read their answers slowly or not at all, with
//! answers of 100 kB, on a VM of 160 MB; request bodies of 100 kB to servers that read
//! slowly; a few customers that account for most of the bytes.
//!
//! [`MemoryAccount`] counts request bodies and the parts of answers that callers haven't
//! taken, by customer. Its rules:
//!
//! - The bytes held never exceed the bound. Bytes are taken before they are read.
//! - Bodies have at most half of the bound, so that requests that have been sent to a server
//!   always find room for their answers. The last quarter of that half is for customers
//!   below their even share of it.
//! - When the account is full, a large body of a customer that has its even share is refused.
//! - For anything else, the slowest reader of the customer with the most bytes is ended. A
//!   customer that is below its even share of the bound is never affected.

mod customer_bytes;
mod memory_account;
mod return_rate;

pub use memory_account::{HolderId, HolderKind, MemoryAccount, MemoryDecision};
