//! Deletion of what has exceeded its retention time.

use std::time::Duration;

use bytes::Bytes;
use comfreyramp_store::{
    Comparison, KeyRange, KeyValue, LeaseId, PlatformStore, TransactionAnswer, Write, WriteBatch,
};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{
    FileRecord, LotError, LotKeys, LotRecord, LotStore, WallClock, codec::from_json,
    lot_record::JobMark,
};

/// The interval between sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_secs(300);
/// How long one daemon's sweep lock lasts unless it is revoked earlier.
const LOCK_TTL: Duration = Duration::from_secs(240);
/// The number of expiry entries per read.
const PAGE_SIZE: usize = 50;
/// The number of segments per read when their total is unknown. Each can be up
/// to 1 MB.
const INPUT_PAGE_SIZE: usize = 4;
/// The delay before an upload's content is checked again that an open lot still
/// reads.
const RECHECK_DELAY: Duration = Duration::from_secs(2 * 3600);

/// Deletes files, lots and abandoned uploads whose retention time has passed.
///
/// Each of them has an expiry entry, written in the same transaction and sorted
/// by hour, so that no search is needed. The entry is deleted last, so that
/// another daemon finds it if the sweeping daemon crashes. Sweeping is safe on
/// several daemons at once, but a lock under a lease avoids it, since it would
/// only cost additional requests.
#[derive(Clone, Debug)]
pub struct LotSweeper<S, C> {
    /// The store of the lots to sweep.
    pub lots: LotStore<S, C>,
}

impl<S: PlatformStore, C: WallClock> LotSweeper<S, C> {
    /// Sweeps at regular intervals until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        loop {
            tokio::select! {
                () = sleep(SWEEP_INTERVAL) => {}
                () = stop.cancelled() => return,
            }
            if let Err(error) = self.sweep_with_lock().await {
                log::warn!("lots: sweeping failed and is retried later: {error}");
            }
        }
    }

    async fn sweep_with_lock(&self) -> Result<(), LotError> {
        let store = &self.lots.store;
        let lease = store.grant(LOCK_TTL).await?;
        if self.try_lock(lease).await? {
            let swept = self.sweep().await?;
            log::info!("lots: deleted {swept} expired entries");
        }
        Ok(store.revoke(lease).await?)
    }

    async fn try_lock(&self, lease: LeaseId) -> Result<bool, LotError> {
        let key = LotKeys.sweeper();
        let batch = WriteBatch {
            when: vec![Comparison::Absent(key.clone())],
            then: vec![Write::Put {
                key,
                value: Bytes::new(),
                lease: Some(lease),
            }],
            read_back: Vec::new(),
        };
        let answer = self.lots.store.transact(batch).await?;
        Ok(matches!(answer, TransactionAnswer::Written(_)))
    }

    /// Deletes everything whose retention time has passed. Returns the number
    /// of expiry entries processed.
    pub async fn sweep(&self) -> Result<usize, LotError> {
        let mut swept = 0;
        loop {
            let range = LotKeys.expired(self.lots.clock.now());
            let answer = self
                .lots
                .retry
                .range(&self.lots.store, range, PAGE_SIZE)
                .await?;
            for pair in &answer.pairs {
                self.sweep_entry(pair).await?;
                swept += 1;
            }
            if !answer.more {
                return Ok(swept);
            }
        }
    }

    async fn sweep_entry(&self, entry: &KeyValue) -> Result<(), LotError> {
        let mut parts = entry.key.splitn(7, '/').skip(5);
        let (kind, rest) = (parts.next(), parts.next());
        let id = rest
            .and_then(|it| it.rsplit('/').next())
            .unwrap_or_default();
        let customer = String::from_utf8_lossy(&entry.value);
        match kind {
            Some("upload") => self.sweep_upload(entry, id).await,
            Some("content") => self.sweep_content(entry, id).await,
            Some("file") => self.sweep_file(entry, &customer, id).await,
            Some("lot") => self.sweep_lot(entry, &customer, id).await,
            _ => self.delete_entry(entry).await,
        }
    }

    /// Handles an upload that was never completed. Its expiry entry is replaced
    /// in one transaction by an entry that deletes the content. The upload may
    /// be completing at this moment, which succeeds only while its expiry entry
    /// exists.
    async fn sweep_upload(&self, entry: &KeyValue, content: &str) -> Result<(), LotError> {
        let now = self.lots.clock.now();
        let batch = WriteBatch {
            when: vec![Comparison::Present(entry.key.clone())],
            then: vec![
                Write::Delete(entry.key.clone()),
                Write::Put {
                    key: LotKeys.expiry(now, "content", content),
                    value: Bytes::new(),
                    lease: None,
                },
            ],
            read_back: Vec::new(),
        };
        self.lots.retry.transact(&self.lots.store, batch).await?;
        Ok(())
    }

    /// Handles content whose file record is gone. The segments are deleted once
    /// no open lot reads them. No new lot can start to read them, since lots
    /// are created from file records.
    async fn sweep_content(&self, entry: &KeyValue, content: &str) -> Result<(), LotError> {
        let readers = KeyRange::Prefix(LotKeys.readers(content));
        let answer = self.lots.retry.range(&self.lots.store, readers, 1).await?;
        if !answer.pairs.is_empty() {
            return self.postpone(entry, content).await;
        }
        let count = std::str::from_utf8(&entry.value).ok();
        match count.and_then(|it| it.parse::<usize>().ok()) {
            Some(count) => {
                let keys = (0..count).map(|it| LotKeys.input(content, it)).collect();
                self.lots.files().delete_keys(keys).await?;
            }
            None => self.delete_all_inputs(content).await?,
        }
        self.delete_entry(entry).await
    }

    async fn delete_all_inputs(&self, content: &str) -> Result<(), LotError> {
        loop {
            let range = KeyRange::Prefix(LotKeys.inputs(content));
            let retry = self.lots.retry;
            let answer = retry
                .range(&self.lots.store, range, INPUT_PAGE_SIZE)
                .await?;
            let more = answer.more;
            let keys = answer.pairs.into_iter().map(|it| it.key).collect();
            self.lots.files().delete_keys(keys).await?;
            if !more {
                return Ok(());
            }
        }
    }

    async fn postpone(&self, entry: &KeyValue, content: &str) -> Result<(), LotError> {
        let later = self.lots.clock.now() + RECHECK_DELAY;
        let batch = WriteBatch {
            then: vec![
                Write::Delete(entry.key.clone()),
                Write::Put {
                    key: LotKeys.expiry(later, "content", content),
                    value: entry.value.clone(),
                    lease: None,
                },
            ],
            ..WriteBatch::default()
        };
        self.lots.retry.transact(&self.lots.store, batch).await?;
        Ok(())
    }

    async fn sweep_file(&self, entry: &KeyValue, customer: &str, id: &str) -> Result<(), LotError> {
        let key = LotKeys.file(customer, id);
        if let Some(pair) = self.lots.retry.read_key(&self.lots.store, key).await? {
            let file: FileRecord = from_json(&pair)?;
            // A file that was uploaded again has a later entry as well.
            if file.expires_at <= self.lots.clock.now() {
                self.lots
                    .files()
                    .delete_record(&file, pair.modified)
                    .await?;
            }
        }
        self.delete_entry(entry).await
    }

    async fn sweep_lot(&self, entry: &KeyValue, customer: &str, id: &str) -> Result<(), LotError> {
        let key = LotKeys.record(customer, id);
        let Some(pair) = self
            .lots
            .retry
            .read_key(&self.lots.store, key.clone())
            .await?
        else {
            return self.delete_entry(entry).await;
        };
        let record: LotRecord = from_json(&pair)?;
        let groups = record.outcome.iter().flat_map(|it| &it.groups);
        let results = groups.enumerate().flat_map(|(segment, &groups)| {
            (0..usize::from(groups)).map(move |it| LotKeys.result(id, segment, it))
        });
        let mut keys: Vec<String> = results.collect();
        keys.extend(self.owned_job_key(customer, &record).await?);
        keys.push(key);
        keys.push(entry.key.clone());
        self.lots.files().delete_keys(keys).await
    }

    /// Returns the job key of a lot, unless a later lot uses that key now.
    async fn owned_job_key(
        &self,
        customer: &str,
        record: &LotRecord,
    ) -> Result<Option<String>, LotError> {
        let key = LotKeys.job(customer, &record.job);
        let Some(pair) = self
            .lots
            .retry
            .read_key(&self.lots.store, key.clone())
            .await?
        else {
            return Ok(None);
        };
        let mark: JobMark = from_json(&pair)?;
        Ok((mark.lot == record.id).then_some(key))
    }

    async fn delete_entry(&self, entry: &KeyValue) -> Result<(), LotError> {
        self.lots.files().delete_keys(vec![entry.key.clone()]).await
    }
}
