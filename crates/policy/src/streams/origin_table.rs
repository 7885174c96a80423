//! The software that began each stream, as far as one daemon knows.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationSeconds, serde_as};

use super::{SoftwareKey, StreamKey};
use crate::Timestamp;

/// The maximum number of streams that are kept, 24 bytes each.
const MAX_ORIGINS: usize = 65_536;

/// The software that began a stream.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamKey,
    /// The software that began it.
    pub software: SoftwareKey,
    /// How long the stream may still be taken up, in whole seconds.
    #[serde_as(as = "DurationSeconds<u64>")]
    pub lifetime: Duration,
}

#[derive(Clone, Copy, Debug)]
struct KnownOrigin {
    stream: StreamKey,
    software: SoftwareKey,
    expires_at: Timestamp,
}

/// The software that began each stream, as far as one daemon knows.
///
/// Streams begin all the time and are seldom taken up, so origins are appended in the order
/// of their arrival, and a search looks at all of them.
#[derive(Clone, Debug, Default)]
pub struct OriginTable {
    origins: VecDeque<KnownOrigin>,
}

impl OriginTable {
    /// Adds the origin of a stream. It replaces what was known of the same stream.
    pub fn record(&mut self, origin: StreamOrigin, now: Timestamp) {
        while let Some(first) = self.origins.front() {
            if first.expires_at > now && self.origins.len() < MAX_ORIGINS {
                break;
            }
            self.origins.pop_front();
        }
        self.origins.push_back(KnownOrigin {
            stream: origin.stream,
            software: origin.software,
            expires_at: now + origin.lifetime,
        });
    }

    /// Returns the software that began a stream, if it is known.
    pub fn find(&self, stream: StreamKey, now: Timestamp) -> Option<SoftwareKey> {
        let mut newest_first = self.origins.iter().rev();
        let origin = newest_first.find(|it| it.stream == stream && it.expires_at > now)?;
        Some(origin.software)
    }
    /// Returns the number of streams that are kept.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Returns whether no stream is kept.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }
}
