//! Parts of prompts.

use serde::{Deserialize, Serialize};

/// Identifies a part of a prompt, for all customers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PartKey(pub u64);
