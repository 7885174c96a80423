//! Requests at which servers break off.
//!
//! Now and then a request crashes each server that runs it, and its caller sends
//! it again, to any daemon. What one daemon sees others must know, or the request
//! takes down servers one after the other. Daemons exchange how often a server
//! broke off at a request, and none sends it any more once that adds up.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use comfreyramp_policy::{Timestamp, usage::PeerId};

use crate::fleet::SuspectCount;

/// After so many breaks a request isn't sent any more. One or two come from
/// servers that crash for reasons of their own.
const MOST_BREAKS: u32 = 3;
/// How long a break is remembered. Servers need some seconds to restart, and
/// callers come back within a minute.
const REMEMBERED_FOR: Duration = Duration::from_secs(60);
/// The requests that are remembered at most.
const MOST_SUSPECTS: usize = 64;

/// What makes a request the same as another: customer, path and body.
pub fn fingerprint(customer: &str, path: &str, body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    (customer, path, body).hash(&mut hasher);
    hasher.finish()
}

#[derive(Clone, Copy, Debug)]
struct SuspectEntry {
    fingerprint: u64,
    breaks: u8,
    at: Timestamp,
}

/// Requests at which servers broke off, as this daemon and others saw it.
#[derive(Debug, Default)]
pub struct SuspectBook {
    own: Vec<SuspectEntry>,
    heard: Vec<(PeerId, SuspectEntry)>,
}

impl SuspectBook {
    /// Notes that a server broke off at a request.
    pub fn note(&mut self, fingerprint: u64, now: Timestamp) {
        self.own.retain(|it| now.since(it.at) < REMEMBERED_FOR);
        if let Some(entry) = self.own.iter_mut().find(|it| it.fingerprint == fingerprint) {
            entry.breaks = entry.breaks.saturating_add(1);
            entry.at = now;
            return;
        }
        if self.own.len() >= MOST_SUSPECTS {
            self.own.remove(0);
        }
        self.own.push(SuspectEntry {
            fingerprint,
            breaks: 1,
            at: now,
        });
    }

    /// Takes in what another daemon saw.
    pub fn hear(&mut self, peer: PeerId, counts: &[SuspectCount], now: Timestamp) {
        self.heard
            .retain(|it| it.0 != peer && now.since(it.1.at) < REMEMBERED_FOR);
        let entries = counts.iter().take(MOST_SUSPECTS).map(|it| {
            let entry = SuspectEntry {
                fingerprint: it.fingerprint,
                breaks: it.crashes,
                at: now,
            };
            (peer, entry)
        });
        self.heard.extend(entries);
    }

    /// Whether a request isn't to be sent any more.
    pub fn is_suspect(&self, fingerprint: u64, now: Timestamp) -> bool {
        let heard = self.heard.iter().map(|it| &it.1);
        let same = self
            .own
            .iter()
            .chain(heard)
            .filter(|it| it.fingerprint == fingerprint && now.since(it.at) < REMEMBERED_FOR);
        same.map(|it| u32::from(it.breaks)).sum::<u32>() >= MOST_BREAKS
    }

    /// What this daemon saw.
    pub fn own_counts(&self, now: Timestamp) -> Vec<SuspectCount> {
        let recent = self
            .own
            .iter()
            .filter(|it| now.since(it.at) < REMEMBERED_FOR);
        recent
            .map(|it| SuspectCount {
                fingerprint: it.fingerprint,
                crashes: it.breaks,
            })
            .collect()
    }
}
