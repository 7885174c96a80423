//! Running one lot from its upload to its results.

use std::time::Duration;

use serde_json::Value;

use crate::{
    outcome::{LotEnd, LotOutcome, LotProgress},
    trace::LotEvent,
};

use super::{
    item_tally::ItemTally,
    lot_client::{LotCallError, LotClient},
    player::{RunContext, RunMessage},
};

/// Submits a lot, polls it until it ends, and checks its results.
pub(crate) async fn run_lot(
    context: &RunContext,
    lot: &LotEvent,
    intended: Duration,
) -> LotOutcome {
    let client = LotClient { context, lot };
    let mut run = LotRun {
        outcome: LotOutcome {
            customer: lot.customer,
            job: lot.job.clone(),
            id: None,
            resent: lot.resent,
            intended,
            acknowledged: None,
            ended: None,
            due: lot.due,
            items: lot.items,
            done: 0,
            failed: 0,
            repeated: 0,
            wrong: 0,
            end: LotEnd::Unfinished,
        },
        client,
        reported: 0,
    };
    if let Err(error) = run.submit().await {
        run.outcome.end = match error {
            LotCallError::Refused(refusal) => LotEnd::Refused(refusal),
            LotCallError::NoAnswer => LotEnd::NoAnswer,
        };
        return run.outcome;
    }
    if let Some(batch) = run.poll_until_final().await {
        run.read_results(&batch).await;
    }
    run.outcome
}

struct LotRun<'a> {
    outcome: LotOutcome,
    client: LotClient<'a>,
    reported: u32,
}

impl LotRun<'_> {
    async fn submit(&mut self) -> Result<(), LotCallError> {
        let file = self.client.upload().await?;
        let id = self.client.create(&file).await?;
        self.outcome.acknowledged = Some(self.client.context.elapsed());
        self.outcome.id = Some(id);
        Ok(())
    }

    /// Polls the lot until it reaches a final state. Returns none if it doesn't
    /// within the grace period after its deadline.
    async fn poll_until_final(&mut self) -> Option<Value> {
        let id = self.outcome.id.clone()?;
        let context = self.client.context;
        let options = &context.options;
        let last = self.outcome.intended + self.outcome.due + options.lot_grace;
        while context.elapsed() < last {
            tokio::time::sleep(options.poll_interval).await;
            // An unreachable or overloaded daemon says nothing about the lot.
            let Ok(batch) = self.client.state(&id).await else {
                continue;
            };
            self.report_progress(&batch);
            let status = batch["status"].as_str().unwrap_or_default();
            if matches!(status, "completed" | "cancelled" | "failed" | "expired") {
                return Some(batch);
            }
        }
        None
    }

    /// Reports the number of items that ended since the last poll. A resent job is
    /// the same lot, so only its first submission reports progress.
    fn report_progress(&mut self, batch: &Value) {
        let counts = &batch["request_counts"];
        let count = |name: &str| counts[name].as_u64().unwrap_or(0) as u32;
        let ended = count("completed") + count("failed");
        let items = ended.saturating_sub(self.reported);
        if items > 0 && !self.outcome.resent {
            let at = self.client.context.elapsed();
            let progress = LotProgress { at, items };
            self.client
                .context
                .send_message(RunMessage::Progress(progress));
        }
        self.reported = self.reported.max(ended);
    }

    async fn read_results(&mut self, batch: &Value) {
        let context = self.client.context;
        let ended = context.elapsed();
        let lot = self.client.lot;
        let mut tally = ItemTally::new(lot, context.options.check_answers);
        for name in ["output_file_id", "error_file_id"] {
            let Some(file) = batch[name].as_str() else {
                continue;
            };
            let Ok(content) = self.client.content(file).await else {
                // Items whose results can't be downloaded count as missing.
                continue;
            };
            tally.add_file(&content);
        }
        let status = batch["status"].as_str().unwrap_or_default();
        self.outcome.end = LotEnd::Ended {
            status: status.to_owned(),
        };
        self.outcome.ended = Some(ended);
        self.outcome.done = tally.done;
        self.outcome.failed = tally.failed;
        self.outcome.repeated = tally.repeated;
        self.outcome.wrong = tally.wrong;
    }
}
