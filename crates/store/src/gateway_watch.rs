//! A watch over the gateway.

use crate::{
    CallCounts, StoreError, WatchBatch, WatchStream,
    gateway_store::read_json,
    line_reader::LineReader,
    wire::{StreamLine, WatchResponse},
};

/// An open watch. It ends with an error when it breaks; whoever needs it
/// further opens another from the revision after the last one seen.
///
/// A connection that dies without a word looks like a watch without news. The
/// platform reports its revision now and then, but at times of its own choice,
/// so a reader with bounds on the age of its view must look for itself.
#[derive(Debug)]
pub struct GatewayWatch<C: CallCounts> {
    lines: LineReader,
    counts: C,
}

impl<C: CallCounts> GatewayWatch<C> {
    /// Waits until the platform says that the watch stands.
    pub(crate) async fn open(lines: LineReader, counts: C) -> Result<Self, StoreError> {
        let mut lines = lines;
        let response = next_response(&mut lines).await?;
        if !response.created {
            // It never stood: the message says why.
            WatchBatch::try_from(response)?;
            return Err(StoreError::Rejected("it opened no watch".into()));
        }
        if response.canceled {
            WatchBatch::try_from(response)?;
        }
        counts.watch_opened();
        Ok(GatewayWatch { lines, counts })
    }
}

impl<C: CallCounts> WatchStream for GatewayWatch<C> {
    async fn next(&mut self) -> Result<WatchBatch, StoreError> {
        next_response(&mut self.lines).await?.try_into()
    }
}

impl<C: CallCounts> Drop for GatewayWatch<C> {
    fn drop(&mut self) {
        self.counts.watch_closed();
    }
}

async fn next_response(lines: &mut LineReader) -> Result<WatchResponse, StoreError> {
    let Some(line) = lines.next().await? else {
        return Err(StoreError::AnswerLost("the watch ended".into()));
    };
    let line: StreamLine<WatchResponse> = read_json(&line)?;
    line.into_result()
}
