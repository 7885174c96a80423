//! A ring buffer of the most recent requests' traces.

use std::{
    collections::VecDeque,
    sync::{Mutex, PoisonError},
};

use super::RequestTrace;

/// The number of traces kept.
pub const MAX_TRACES: usize = 1500;

/// The traces of the most recent requests, the newest last. They take 2 MB at most.
#[derive(Debug, Default)]
pub struct TraceRing {
    traces: Mutex<VecDeque<RequestTrace>>,
}

impl TraceRing {
    /// Adds the trace of a request that has just arrived, so that requests that still
    /// run, or hang, can be looked up too. The oldest trace is dropped if necessary.
    pub fn push(&self, trace: RequestTrace) {
        let mut traces = self.traces.lock().unwrap_or_else(PoisonError::into_inner);
        let oldest = if traces.len() >= MAX_TRACES {
            traces.pop_front()
        } else {
            None
        };
        traces.push_back(trace);
        drop(traces);
        // Freed outside of the lock, because every request takes the lock.
        drop(oldest);
    }

    /// Returns the trace of the request with this id, if it is still kept.
    pub fn find(&self, id: &str) -> Option<RequestTrace> {
        let traces = self.traces.lock().unwrap_or_else(PoisonError::into_inner);
        traces.iter().rev().find(|it| it.id() == id).cloned()
    }

    /// Returns the number of traces and their total size in bytes.
    pub fn size(&self) -> (usize, usize) {
        let traces = self.traces.lock().unwrap_or_else(PoisonError::into_inner);
        (traces.len(), traces.iter().map(RequestTrace::bytes).sum())
    }
}
