//! Answers callers who read or end lots.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use comfreyramp_policy::{
    lots::{CopyState, ReaderPosition},
    memory::HolderKind,
};
use comfreyramp_store::{
    Comparison, KeyRange, PlatformStore, RetryPolicy, StoreError, Write, WriteBatch, write_once,
};
use http::Response;
use tokio::task::JoinError;

use super::{
    keys,
    lot_cache::CachedLot,
    notices::LotNotice,
    peer_read::request_from_runner,
    records::{DamagedRecord, from_packed, to_json},
};
use crate::{
    dialect::{CallerDialect, Dialect},
    memory::{HeldBytes, HeldData, HolderLabel},
    model::{CallerAction, LotItem, LotPage, Refusal, RefusalCause},
    node::Node,
    path::AnswerBody,
};

/// Longest time that an answer is held back while there is no result.
const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// Additional time that the store and the daemon that runs the lot get beyond the caller's
/// wait. If they don't answer within it, an error serves the caller better than a longer
/// wait.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval at which a waiting reader checks for new results.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Interval at which a waiting reader asks the daemon that is about to claim the lot.
const CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a reader may retry while the store can't be reached.
const STORE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// How long a page of results is once it is encoded, in percent of its ids and outputs.
const ENCODED_PERCENT: usize = 110;
/// Number of pairs with which a page of a lot's records is long enough. A page that the store
/// has read already is returned whole.
const MIN_PAGE_PAIRS: usize = 1;
/// Maximum number of attempts to write a lot's end record.
const MAX_END_ATTEMPTS: u32 = 5;

type Answer<D> = Result<Response<AnswerBody<D>>, Refusal>;

/// Who asks about a lot.
#[derive(Clone, Copy, Debug)]
pub struct LotReader<'a> {
    /// The customer's name.
    pub customer: &'a str,
    /// The id of the request.
    pub request: &'a str,
    /// The host that the request names, if no route has it any more. Lots that were accepted
    /// there stay readable: a result that was listed keeps its place.
    pub former_host: Option<&'a str>,
}

/// Answers a caller's request about a lot: reads results, reads one item, or ends the lot.
pub async fn answer_lot_request<D: Dialect>(
    node: &Rc<Node<D>>,
    reader: LotReader<'_>,
    operation: CallerAction,
    label: &Rc<HolderLabel>,
) -> Answer<D> {
    match operation {
        CallerAction::ReadLot { lot, after, wait } => {
            let held = node.memory.open(label, HolderKind::Answer);
            let reading = read_lot(node, reader, &lot, after, wait, &held);
            let limit = wait.min(MAX_WAIT) + LOOKUP_TIMEOUT;
            let answer = tokio::time::timeout(limit, reading).await;
            let page = answer.unwrap_or_else(|_| Err(store_unavailable()));
            log_read(node, reader.request, &lot, after, &page);
            let answer = <D::Callers as CallerDialect>::lot_page(&page?);
            Ok(hold(answer, held))
        }
        CallerAction::ReadItem { lot, item } => {
            let held = node.memory.open(label, HolderKind::Answer);
            let answer = read_item(node, reader, &lot, &item, &held).await?;
            Ok(hold(answer, held))
        }
        CallerAction::EndLot { lot } => end_lot(node, reader, &lot).await,
        CallerAction::Forward => Err(RefusalCause::NoRoute.into()),
    }
}

/// Returns an answer whose bytes are counted until its caller has taken them.
fn hold<D: Dialect>(answer: Response<Bytes>, held: HeldBytes) -> Response<AnswerBody<D>> {
    answer.map(|it| AnswerBody::held(HeldData::whole(it, held)))
}

async fn read_lot<D: Dialect>(
    node: &Rc<Node<D>>,
    reader: LotReader<'_>,
    lot: &str,
    after: usize,
    wait: Duration,
    held: &HeldBytes,
) -> Result<LotPage, Refusal> {
    let requested_at = node.clock.now();
    let position = ReaderPosition {
        after,
        requested_at,
    };
    let deadline = requested_at + wait.min(MAX_WAIT);
    while !is_cached(node, lot)
        && node.clock.now() < deadline
        && node.is_about_to_be_claimed(lot)
        && !request_from_runner(node, lot).await
    {
        tokio::time::sleep(CLAIM_POLL_INTERVAL).await;
    }
    ensure_known(node, reader, lot).await?;
    loop {
        // A reader that starts again at an earlier position also gets new results, not just
        // those that another reader has brought into the cache. If no newer ones can be
        // read, the cached results are sufficient.
        if needs_refresh(node, lot, position)
            && let Err(refusal) = refresh_copy(node, lot, position).await
            && !serves(node, lot, position)
        {
            return Err(refusal);
        }
        if serves(node, lot, position) || is_final(node, lot) || node.clock.now() >= deadline {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let page_bytes = |known: &CachedLot| known.page_size(after).1 * ENCODED_PERCENT / 100;
    let bytes = node.lot_cache.borrow().get(lot).map_or(0, page_bytes);
    held.reserve(bytes).await?;
    let cache = node.lot_cache.borrow();
    let known = cache.get(lot).ok_or_else(store_unavailable)?;
    let state = known.state();
    let confirmation = node.runner_confirmation(lot);
    // An answer that took long to arrive may be out of date. If the copy can't be shown to
    // be complete, the reader gets an error instead of an empty page.
    if !state.serves(position) && !state.proves_no_results(position, confirmation, node.clock.now())
    {
        return Err(store_unavailable());
    }
    Ok(known.page(after))
}

fn store_unavailable() -> Refusal {
    Refusal::new(RefusalCause::StoreUnavailable).retry_after(STORE_RETRY_AFTER)
}

fn copy_state<D: Dialect>(node: &Node<D>, lot: &str) -> Option<CopyState> {
    let cache = node.lot_cache.borrow();
    cache.get(lot).map(CachedLot::state)
}

fn is_cached<D: Dialect>(node: &Node<D>, lot: &str) -> bool {
    node.lot_cache.borrow().get(lot).is_some()
}

fn serves<D: Dialect>(node: &Node<D>, lot: &str, reader: ReaderPosition) -> bool {
    copy_state(node, lot).is_some_and(|it| it.serves(reader))
}

fn is_final<D: Dialect>(node: &Node<D>, lot: &str) -> bool {
    copy_state(node, lot).is_none_or(|it| it.is_final)
}

fn needs_refresh<D: Dialect>(node: &Node<D>, lot: &str, reader: ReaderPosition) -> bool {
    let confirmation = node.runner_confirmation(lot);
    let now = node.clock.now();
    copy_state(node, lot).is_none_or(|it| it.needs_refresh(reader, confirmation, now))
}

/// Brings the copy of a lot up to date for a reader, from the daemon that runs the lot or
/// from the store. A reader that is ahead of this copy was answered elsewhere, and the
/// daemon that runs the lot should have what it wants. If that daemon has fewer results,
/// its report that there are no more was wrong, and the store is read.
async fn refresh_copy<D: Dialect>(
    node: &Rc<Node<D>>,
    lot: &str,
    reader: ReaderPosition,
) -> Result<(), Refusal> {
    let is_behind = || copy_state(node, lot).is_some_and(|it| it.is_behind(reader));
    let confirmation = node.runner_confirmation(lot);
    let runner_has_it = confirmation.is_some_and(|it| it.results >= reader.after);
    // A remembered runner reports nothing; what it sends decides.
    let tries_runner = runner_has_it || !is_behind() || node.remembered_runner(lot).is_some();
    if tries_runner
        && request_from_runner(node, lot).await
        && !is_behind()
        && !lacks_reported_results(node, lot)
    {
        return Ok(());
    }
    refresh_from_store(node, lot).await
}

fn lacks_reported_results<D: Dialect>(node: &Node<D>, lot: &str) -> bool {
    let confirmation = node.runner_confirmation(lot);
    copy_state(node, lot).is_some_and(|it| it.lacks_reported_results(confirmation))
}

/// Logs the outcome of a read and what it was based on: how far the copy goes, when and by
/// whom it was last confirmed to be complete, and what the daemon that runs the lot last
/// reported.
fn log_read<D: Dialect>(
    node: &Node<D>,
    request: &str,
    lot: &str,
    after: usize,
    page: &Result<LotPage, Refusal>,
) {
    let cache = node.lot_cache.borrow();
    let known = cache.get(lot);
    let now = node.clock.now();
    let age = known.map_or(Duration::ZERO, |it| now.since(it.confirmed_at));
    let report = node.runner_report(lot);
    let report = report.as_ref();
    log::info!(
        request = request, lot = lot, after = after,
        outcome = page.as_ref().map_or_else(|it| it.cause.as_str(), |_| "shown"),
        next = page.as_ref().map_or(after, |it| it.next),
        known = known.map_or(0, |it| it.results.len()),
        total = known.map_or(0, |it| it.head.total),
        copy_age_ms = age.as_millis() as u64,
        copy_from = known.map_or_else(String::new, |it| it.source.to_string()),
        runner = report.map_or("", |it| &it.daemon),
        runner_life = report.map_or(0, |it| it.incarnation),
        runner_stage = report.map_or("", |it| it.stage.as_str()),
        runner_results = report.map_or(0, |it| it.results),
        heard_ms = report.map_or(0, |it| it.age.as_millis() as u64);
        "lots: read"
    );
}

/// Makes sure that a lot is cached and is one that the reader may read. A lot of another
/// customer is reported like one that doesn't exist.
async fn ensure_known<D: Dialect>(
    node: &Rc<Node<D>>,
    reader: LotReader<'_>,
    lot: &str,
) -> Result<(), Refusal> {
    if !keys::is_usable_id(lot) {
        return Err(RefusalCause::NoSuchLot.into());
    }
    if !is_cached(node, lot) && !request_from_runner(node, lot).await {
        refresh_from_store(node, lot).await?;
    }
    let cache = node.lot_cache.borrow();
    let known = cache
        .get(lot)
        .filter(|it| it.head.customer == reader.customer);
    let known = known.ok_or(RefusalCause::NoSuchLot)?;
    match reader.former_host.is_none_or(|it| it == known.head.host) {
        true => Ok(()),
        false => Err(RefusalCause::NoRoute.into()),
    }
}

/// Reads from the store what the copy of a lot lacks.
async fn refresh_from_store<D: Dialect>(node: &Rc<Node<D>>, lot: &str) -> Result<(), Refusal> {
    let last_key = node.lot_cache.borrow().last_key(lot);
    let is_partial = last_key.is_some();
    let is_known = read_store_after(node, lot, last_key).await?;
    // The copy may have been evicted meanwhile. An answer without a head for the range
    // after `last_key` then doesn't mean that the lot doesn't exist.
    if is_partial && !is_known {
        read_store_after(node, lot, None).await?;
    }
    Ok(())
}

/// Reads the records of a lot after a key, or all of them, page by page. Returns whether the
/// cached lot now matches the store.
///
/// Each page is kept as it arrives, so that the next reader of a lot that is too large for the
/// time of one goes on where this one stopped.
async fn read_store_after<D: Dialect>(
    node: &Rc<Node<D>>,
    lot: &str,
    mut last_key: Option<String>,
) -> Result<bool, Refusal> {
    let requested_at = node.clock.now();
    loop {
        let prefix = keys::data(lot);
        let range = match last_key {
            Some(after) => KeyRange::After { prefix, after },
            None => KeyRange::Prefix(prefix),
        };
        let reading = node.store.range(range, MIN_PAGE_PAIRS).await;
        let page = reading.map_err(|error| store_failure(node, lot, &error))?;
        let now = node.clock.now();
        last_key = page.pairs.last().map(|it| it.key.clone());
        let mut cache = node.lot_cache.borrow_mut();
        let has_more = page.more && last_key.is_some();
        let taken = match has_more {
            true => cache.add_page(lot, &page.pairs, now),
            false => cache.add_stored(lot, &page.pairs, requested_at, now),
        };
        drop(cache);
        let follows = taken.map_err(|error| damaged(&error))?;
        if !has_more || !follows {
            return Ok(follows);
        }
    }
}

fn store_failure<D: Dialect>(node: &Node<D>, lot: &str, error: &StoreError) -> Refusal {
    node.record_store_error(error);
    log::warn!(lot = lot, error:% = error; "lots: the store failed to answer a read");
    store_unavailable()
}

fn damaged(error: &DamagedRecord) -> Refusal {
    log::error!(error:% = error; "lots: a record is damaged");
    Refusal::new(RefusalCause::StoreUnavailable)
}

async fn read_item<D: Dialect>(
    node: &Rc<Node<D>>,
    reader: LotReader<'_>,
    lot: &str,
    item: &str,
    held: &HeldBytes,
) -> Result<Response<Bytes>, Refusal> {
    ensure_known(node, reader, lot).await?;
    let range = KeyRange::Prefix(keys::items(lot));
    let answer = node
        .store
        .range(range, 0)
        .await
        .map_err(|error| store_failure(node, lot, &error))?;
    for pair in &answer.pairs {
        let items: Vec<LotItem> = from_packed(pair).map_err(|error| damaged(&error))?;
        if let Some(found) = items.into_iter().find(|it| it.id == item) {
            held.reserve(found.body.len()).await?;
            let body = Bytes::from(found.body);
            return Ok(<D::Callers as CallerDialect>::item_body(body));
        }
    }
    Err(RefusalCause::NoSuchLot.into())
}

/// Ends a lot: its items are no longer run, and the results it has are kept.
async fn end_lot<D: Dialect>(node: &Rc<Node<D>>, reader: LotReader<'_>, lot: &str) -> Answer<D> {
    ensure_known(node, reader, lot).await?;
    let is_ended = |node: &Node<D>| {
        let cache = node.lot_cache.borrow();
        cache.get(lot).is_some_and(|it| it.is_ended)
    };
    if !is_ended(node) {
        // Runs in its own task, so that a caller who disconnects can't leave the end
        // written but not announced.
        let (shared, id) = (node.clone(), lot.to_owned());
        let writing = tokio::task::spawn_local(async move { write_end(&shared, &id).await });
        let lost = |error: JoinError| Err(StoreError::AnswerLost(error.to_string()));
        match writing.await.unwrap_or_else(lost) {
            Ok(()) => {}
            Err(StoreError::AnswerLost(_)) => return Err(RefusalCause::OutcomeUnknown.into()),
            Err(error) => return Err(store_failure(node, lot, &error)),
        }
    }
    // Announces the end also if another daemon wrote it, since that daemon may have been
    // lost before it could do so.
    node.report_lot(LotNotice::Ended(lot.to_owned()));
    Ok(<D::Callers as CallerDialect>::lot_ended().map(AnswerBody::whole))
}

async fn write_end<D: Dialect>(node: &Rc<Node<D>>, lot: &str) -> Result<(), StoreError> {
    let end_key = keys::end(lot);
    let batch = WriteBatch {
        when: vec![Comparison::Absent(end_key.clone())],
        then: vec![
            Write::Put {
                key: end_key,
                value: to_json(&node.settings.name),
                lease: None,
            },
            Write::Delete(keys::open(lot)),
        ],
        read_back: Vec::new(),
    };
    let policy = RetryPolicy::new(node.incarnation).attempts(MAX_END_ATTEMPTS);
    // The result is ignored: if the write was refused, another daemon has ended the lot.
    write_once(&node.store, batch, policy).await?;
    log::info!(lot = lot; "lots: ended by its customer");
    node.lot_cache.borrow_mut().end(lot);
    node.report_lot(LotNotice::Ended(lot.to_owned()));
    Ok(())
}
