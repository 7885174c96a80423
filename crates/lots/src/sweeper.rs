//! Deleting what its retention no longer covers.

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

/// How often the sweeper looks round.
const SWEEP_EVERY: Duration = Duration::from_secs(300);
/// How long one daemon keeps the others from sweeping.
const TURN_SPAN: Duration = Duration::from_secs(240);
/// How many entries are read at once.
const PAGE: usize = 50;
/// How many segments of unknown number are read at once, each up to 1 MB.
const INPUT_PAGE: usize = 4;
/// When an upload's content is looked at again that an open lot still reads.
const POSTPONE: Duration = Duration::from_secs(2 * 3600);

/// Deletes files, lots and abandoned uploads whose time is up.
///
/// Each thing has an expiry entry, written in one step with it and sorted by
/// hour, so that nothing has to be searched for. An entry goes last: a sweeper
/// lost on the way leaves it to the next. Any daemon may sweep; a key under a
/// lease keeps them from doing it all at once, which would only waste calls.
#[derive(Clone, Debug)]
pub struct LotSweeper<S, C> {
    /// The lots to sweep.
    pub lots: LotStore<S, C>,
}

impl<S: PlatformStore, C: WallClock> LotSweeper<S, C> {
    /// Sweeps now and then until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        loop {
            tokio::select! {
                () = sleep(SWEEP_EVERY) => {}
                () = stop.cancelled() => return,
            }
            if let Err(error) = self.take_turn().await {
                log::warn!("lots: sweeping waits: {error}");
            }
        }
    }

    async fn take_turn(&self) -> Result<(), LotError> {
        let store = &self.lots.store;
        let lease = store.grant(TURN_SPAN).await?;
        if self.is_first(lease).await? {
            let swept = self.sweep().await?;
            log::info!("lots: swept {swept} entries");
        }
        Ok(store.revoke(lease).await?)
    }

    async fn is_first(&self, lease: LeaseId) -> Result<bool, LotError> {
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

    /// Deletes everything whose time is up. Returns how many entries there were.
    pub async fn sweep(&self) -> Result<usize, LotError> {
        let mut swept = 0;
        loop {
            let range = LotKeys.expired(self.lots.clock.now());
            let answer = self.lots.retry.range(&self.lots.store, range, PAGE).await?;
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
            _ => self.drop_entry(entry).await,
        }
    }

    /// An upload that never ended. Its mark goes first, in one step with the
    /// order to delete its content: the upload may still be ending just now,
    /// and ends only while it finds its mark.
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

    /// An upload whose record is gone. Its segments go once no open lot reads
    /// them; no new one can, since lots are made from records.
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
            None => self.delete_unknown(content).await?,
        }
        self.drop_entry(entry).await
    }

    async fn delete_unknown(&self, content: &str) -> Result<(), LotError> {
        loop {
            let range = KeyRange::Prefix(LotKeys.inputs(content));
            let retry = self.lots.retry;
            let answer = retry.range(&self.lots.store, range, INPUT_PAGE).await?;
            let more = answer.more;
            let keys = answer.pairs.into_iter().map(|it| it.key).collect();
            self.lots.files().delete_keys(keys).await?;
            if !more {
                return Ok(());
            }
        }
    }

    async fn postpone(&self, entry: &KeyValue, content: &str) -> Result<(), LotError> {
        let later = self.lots.clock.now() + POSTPONE;
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
        if let Some(pair) = self.lots.retry.one(&self.lots.store, key).await? {
            let file: FileRecord = from_json(&pair)?;
            // A file that was uploaded again has a later entry as well.
            if file.expires_at <= self.lots.clock.now() {
                self.lots.files().drop_record(&file, pair.modified).await?;
            }
        }
        self.drop_entry(entry).await
    }

    async fn sweep_lot(&self, entry: &KeyValue, customer: &str, id: &str) -> Result<(), LotError> {
        let key = LotKeys.record(customer, id);
        let Some(pair) = self.lots.retry.one(&self.lots.store, key.clone()).await? else {
            return self.drop_entry(entry).await;
        };
        let record: LotRecord = from_json(&pair)?;
        let groups = record.outcome.iter().flat_map(|it| &it.groups);
        let results = groups.enumerate().flat_map(|(segment, &groups)| {
            (0..usize::from(groups)).map(move |it| LotKeys.result(id, segment, it))
        });
        let mut keys: Vec<String> = results.collect();
        keys.extend(self.own_job(customer, &record).await?);
        keys.push(key);
        keys.push(entry.key.clone());
        self.lots.files().delete_keys(keys).await
    }

    /// The job key of a lot, unless it names a later lot by now.
    async fn own_job(
        &self,
        customer: &str,
        record: &LotRecord,
    ) -> Result<Option<String>, LotError> {
        let key = LotKeys.job(customer, &record.job);
        let Some(pair) = self.lots.retry.one(&self.lots.store, key.clone()).await? else {
            return Ok(None);
        };
        let mark: JobMark = from_json(&pair)?;
        Ok((mark.lot == record.id).then_some(key))
    }

    async fn drop_entry(&self, entry: &KeyValue) -> Result<(), LotError> {
        self.lots.files().delete_keys(vec![entry.key.clone()]).await
    }
}
