//! A watch that streams changes from the gateway.

use crate::{
    CallMetrics, StoreError, WatchBatch, WatchStream,
    gateway_store::read_json,
    line_reader::LineReader,
    wire::{StreamLine, WatchResponse},
};

/// An open watch. It ends with an error when its connection breaks; the caller then
/// opens another from the revision after the last one received.
///
/// A connection that died silently looks like a watch without changes. The platform
/// reports its revision from time to time, but not at a guaranteed interval, so a
/// reader that limits the age of its view must also check the store itself.
#[derive(Debug)]
pub struct GatewayWatch<C: CallMetrics> {
    lines: LineReader,
    counts: C,
}

impl<C: CallMetrics> GatewayWatch<C> {
    /// Waits until the platform confirms that the watch is open.
    pub(crate) async fn open(lines: LineReader, counts: C) -> Result<Self, StoreError> {
        let mut lines = lines;
        let response = next_response(&mut lines).await?;
        if !response.created {
            // The watch was never opened: the message says why.
            WatchBatch::try_from(response)?;
            return Err(StoreError::Rejected(
                "the platform didn't confirm the watch".into(),
            ));
        }
        if response.canceled {
            WatchBatch::try_from(response)?;
        }
        counts.watch_opened();
        Ok(GatewayWatch { lines, counts })
    }
}

impl<C: CallMetrics> WatchStream for GatewayWatch<C> {
    async fn next(&mut self) -> Result<WatchBatch, StoreError> {
        next_response(&mut self.lines).await?.try_into()
    }
}

impl<C: CallMetrics> Drop for GatewayWatch<C> {
    fn drop(&mut self) {
        self.counts.watch_closed();
    }
}

async fn next_response(lines: &mut LineReader) -> Result<WatchResponse, StoreError> {
    let Some(line) = lines.next().await? else {
        return Err(StoreError::AnswerLost(
            "the platform closed the watch".into(),
        ));
    };
    let line: StreamLine<WatchResponse> = read_json(&line)?;
    line.into_result()
}
