//! Accepts lots that callers submit.

use std::{rc::Rc, sync::Arc, time::Duration};

use comfreyramp_policy::{Timestamp, lots::WaitingLot};
use comfreyramp_store::{
    Comparison, KeyRange, KeyValue, PlatformStore, RetryPolicy, Revision, StoreError, Write,
    WriteBatch, WriteOnceOutcome, write_once,
};
use http::Response;

use super::{
    keys,
    notices::LotNotice,
    records::{LotHead, OpenMark, from_json, pack_items, to_json},
    waiting::{LedgerRefusal, LedgerTerms},
};
use crate::{
    clock::unix_millis,
    dialect::{CallerDialect, Dialect, ServerDialect},
    fleet::KnownCustomer,
    model::{LotItem, LotTerms, NewLot, Refusal, RefusalCause, RequestMetadata, RouteSettings},
    node::Node,
    path::AnswerBody,
};

/// Maximum number of items in one lot.
const MAX_ITEMS: usize = 200;
/// Time after which a caller may retry while the store can't be reached.
const STORE_RETRY_AFTER: Duration = Duration::from_millis(800);
/// Fraction of the caller's remaining time that may be spent on the store.
const STORE_TIME_FRACTION: f64 = 0.7;
/// Maximum number of attempts at one write, and the longest backoff between two of them. A
/// daemon that receives nothing from its peers sends nothing to the store for a second
/// after an answer was lost. With fewer attempts it gave up within that second, and its
/// caller was told that the outcome is unknown although the lot was stored.
const MAX_STORE_ATTEMPTS: u32 = 16;
const MAX_STORE_BACKOFF: Duration = Duration::from_millis(400);
/// Fraction of the time for the store that a lot may wait for other lots of the same
/// customer, which are decided one after another.
const LEDGER_WAIT_FRACTION: f64 = 0.5;
/// Maximum number of times a lot is checked against the ledger. Each repetition means that
/// another daemon accepted a lot of the same customer in between.
const MAX_LEDGER_ATTEMPTS: u32 = 16;

/// A lot as a caller submits it, before its body is parsed.
#[derive(Debug)]
pub struct Submission {
    /// Id that the caller chose for the lot.
    pub lot: String,
    /// Customer that submits it.
    pub customer: Arc<KnownCustomer>,
    /// Route that its items take.
    pub route: Arc<RouteSettings>,
    /// Limits and times that apply to the lot.
    pub terms: LotTerms,
    /// Moment at which the caller stops waiting.
    pub deadline: Timestamp,
}

/// Accepts a lot. Once this returns success, the store holds all of it.
///
/// # Errors
///
/// Returns a refusal that says the lot wasn't accepted only if the store has certainly
/// written nothing and never will. Otherwise the cause is [`RefusalCause::OutcomeUnknown`].
pub async fn accept_lot<D: Dialect>(
    node: &Rc<Node<D>>,
    submission: Submission,
    body: &[u8],
) -> Result<Response<AnswerBody<D>>, Refusal> {
    let lot = <D::Callers as CallerDialect>::read_lot(body).map_err(|fault| {
        log::info!(lot = submission.lot, fault:% = fault; "lots: the body of a lot can't be parsed");
        RefusalCause::BadRequest
    })?;
    let is_fit = keys::is_usable_id(&submission.lot) && lot.items.len() <= MAX_ITEMS;
    if !is_fit || lot.items.is_empty() {
        return Err(RefusalCause::BadRequest.into());
    }
    check_items::<D>(&submission, &lot)?;
    let id = submission.lot.clone();
    let accepted = || Ok(<D::Callers as CallerDialect>::lot_accepted().map(AnswerBody::whole));
    // A lot that is known only from its acceptance here is announced again, if the store
    // still has it open: the first notices may all have been lost.
    let customer = &submission.customer.settings.name;
    if node.lot_cache.borrow().is_confirmed_of(&id, customer) {
        return accepted();
    }
    let Some(tokens) = lot.tokens() else {
        log::info!(lot = submission.lot; "lots: the sum of its items' tokens overflows");
        return Err(RefusalCause::BadRequest.into());
    };
    let now = node.clock.now();
    let timeout = submission.deadline.since(now).mul_f64(STORE_TIME_FRACTION);
    match write_lot(node, submission, lot, tokens, timeout).await {
        Ok(AcceptOutcome::Written(_) | AcceptOutcome::Known) => accepted(),
        Ok(AcceptOutcome::Refused(refusal)) => Err(refusal),
        Err(StoreError::AnswerLost(_)) => Err(RefusalCause::OutcomeUnknown.into()),
        Err(error) if error.is_final() => {
            log::warn!(lot = id, error:% = error; "lots: not accepted, since the store can't hold it");
            Err(RefusalCause::BodyTooLong.into())
        }
        Err(error) => {
            node.record_store_error(&error);
            log::warn!(lot = id, error:% = error; "lots: not accepted, since the store failed");
            Err(Refusal::new(RefusalCause::StoreUnavailable).retry_after(STORE_RETRY_AFTER))
        }
    }
}

/// Checks that a request can be built of each item. One of which none can would never run.
fn check_items<D: Dialect>(submission: &Submission, lot: &NewLot) -> Result<(), Refusal> {
    let metadata = RequestMetadata {
        server: "",
        customer: Some(&submission.customer.settings.name),
        time_left: submission.terms.give_up_after,
        last_event: None,
    };
    for item in &lot.items {
        let head = LotItem {
            id: item.id.clone(),
            path: item.path.clone(),
            headers: item.headers.clone(),
            body: Vec::new(),
            tokens: item.tokens,
        };
        let host = &submission.route.host;
        let request = <D::Servers as ServerDialect>::item_request(&head, host, &metadata);
        request.map_err(|error| {
            log::info!(lot = submission.lot, item = item.id, error:% = error; "lots: no valid request can be built from an item");
            RefusalCause::BadRequest
        })?;
    }
    Ok(())
}

/// How the attempt to accept a lot ended.
#[derive(Debug)]
enum AcceptOutcome {
    /// The store wrote it now, at this revision.
    Written(Revision),
    /// The store held it before.
    Known,
    /// The store doesn't hold it, and no write of this daemon will add it later.
    Refused(Refusal),
}

/// Writes a lot within `timeout` and announces it to the daemons that run lots. The write
/// continues in its own task if the caller disconnects: otherwise the lot could be stored
/// and no daemon asked to run it.
async fn write_lot<D: Dialect>(
    node: &Rc<Node<D>>,
    submission: Submission,
    lot: NewLot,
    tokens: u64,
    timeout: Duration,
) -> Result<AcceptOutcome, StoreError> {
    let shared = node.clone();
    let writing = tokio::task::spawn_local(async move {
        let requested_at = shared.clock.now();
        let head = lot_head(&shared, &submission, lot.items.len());
        let batch = lot_batch(&shared, &submission.lot, &head, &lot, tokens);
        let outcome = match submission.terms.max_unfinished_tokens {
            None => write_unbounded(&shared, &submission, batch).await?,
            Some(bound) => {
                write_bounded(&shared, &submission, batch, tokens, bound, timeout).await?
            }
        };
        if let AcceptOutcome::Written(revision) = outcome {
            // Readers that come before the lot is claimed needn't list it.
            let now = shared.clock.now();
            let mut cache = shared.lot_cache.borrow_mut();
            cache.add_accepted(&submission.lot, head, requested_at, now);
            drop(cache);
            note_accepted(&shared, &submission, lot.items.len(), revision);
        }
        Ok(outcome)
    });
    let lost = |text: String| Err(StoreError::AnswerLost(text));
    match tokio::time::timeout(timeout, writing).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(error)) => lost(error.to_string()),
        Err(_) => lost("no answer within the caller's time".to_owned()),
    }
}

/// Writes the lot of a customer whose waiting tokens aren't limited.
async fn write_unbounded<D: Dialect>(
    node: &Rc<Node<D>>,
    submission: &Submission,
    batch: WriteBatch,
) -> Result<AcceptOutcome, StoreError> {
    match write_once(&node.store, batch, retry_policy(node)).await? {
        WriteOnceOutcome::Written(revision) => Ok(AcceptOutcome::Written(revision)),
        WriteOnceOutcome::Refused { found, .. } | WriteOnceOutcome::Superseded { found, .. } => {
            Ok(accepted_before(node, submission, &found))
        }
    }
}

/// Writes a lot together with the ledger it was checked against, and repeats the check if
/// another daemon has changed the ledger meanwhile.
async fn write_bounded<D: Dialect>(
    node: &Rc<Node<D>>,
    submission: &Submission,
    batch: WriteBatch,
    tokens: u64,
    bound: u64,
    timeout: Duration,
) -> Result<AcceptOutcome, StoreError> {
    let customer = &submission.customer.settings.name;
    let terms = LedgerTerms {
        customer,
        route: &submission.route.name,
        bound,
        due_after: submission.terms.due_after,
    };
    let waiting = WaitingLot {
        lot: submission.lot.clone(),
        tokens,
    };
    // If earlier writes wait for a store that doesn't answer, this lot sends none of its
    // own.
    let opening = node.ledgers.open(customer, terms.route);
    let Ok(mut copy) = tokio::time::timeout(timeout.mul_f64(LEDGER_WAIT_FRACTION), opening).await
    else {
        return Err(StoreError::Unreachable(
            "earlier lots still wait for the ledger".to_owned(),
        ));
    };
    for _ in 0..MAX_LEDGER_ATTEMPTS {
        if let Some(refusal) = copy.check(node, &waiting, terms).await? {
            return refuse_bounded(node, submission, refusal, copy.total()).await;
        }
        let guarded = copy.guard(batch.clone(), waiting.clone());
        let outcome = write_once(&node.store, guarded.batch, retry_policy(node)).await;
        let found = match outcome {
            Ok(WriteOnceOutcome::Written(revision)) => {
                copy.note_written(guarded.ledger, revision);
                return Ok(AcceptOutcome::Written(revision));
            }
            Ok(
                WriteOnceOutcome::Refused { found, .. }
                | WriteOnceOutcome::Superseded { found, .. },
            ) => found,
            Err(error) => {
                copy.invalidate();
                return Err(error);
            }
        };
        copy.replace(&found);
        if found.iter().any(|it| it.key == keys::head(&submission.lot)) {
            return Ok(accepted_before(node, submission, &found));
        }
        node.metrics.lot("ledger_conflict", 1);
    }
    // Nothing was written, and a later attempt may succeed.
    Err(StoreError::Unreachable(
        "the ledger changed before each write".to_owned(),
    ))
}

/// Refuses a lot that exceeds the limit on waiting tokens. A lot that was accepted before
/// and has left the ledger since still counts as accepted.
async fn refuse_bounded<D: Dialect>(
    node: &Rc<Node<D>>,
    submission: &Submission,
    refusal: LedgerRefusal,
    waiting: u64,
) -> Result<AcceptOutcome, StoreError> {
    let LedgerRefusal::Full(retry_after) = refusal else {
        node.report_lot(LotNotice::Accepted(submission.lot.clone()));
        return Ok(AcceptOutcome::Known);
    };
    let range = KeyRange::One(keys::head(&submission.lot));
    let answer = node.store.range(range, 0).await?;
    if !answer.pairs.is_empty() {
        return Ok(accepted_before(node, submission, &answer.pairs));
    }
    log::info!(
        lot = submission.lot, customer = submission.customer.settings.name,
        route = submission.route.name, waiting = waiting,
        retry_ms = retry_after.unwrap_or_default().as_millis() as u64;
        "lots: no room for its tokens"
    );
    node.metrics.refusal(
        &submission.customer.settings.name,
        RefusalCause::TokenLimitExceeded.as_str(),
    );
    let refusal = Refusal::new(RefusalCause::TokenLimitExceeded);
    Ok(AcceptOutcome::Refused(match retry_after {
        Some(delay) => refusal.retry_after(delay),
        None => refusal,
    }))
}

fn retry_policy<D: Dialect>(node: &Node<D>) -> RetryPolicy {
    RetryPolicy::new(node.incarnation)
        .attempts(MAX_STORE_ATTEMPTS)
        .max_delay(MAX_STORE_BACKOFF)
}

fn note_accepted<D: Dialect>(
    node: &Node<D>,
    submission: &Submission,
    items: usize,
    revision: Revision,
) {
    log::info!(
        lot = submission.lot, customer = submission.customer.settings.name,
        items = items, revision = revision, settings = node.fleet().map(|it| it.settings.version);
        "lots: accepted"
    );
    node.metrics.lot("accepted", 1);
    node.place_lot(&submission.lot, items as u32);
}

/// Answers a repeated submission like the first one, since a lot is accepted only once.
fn accepted_before<D: Dialect>(
    node: &Node<D>,
    submission: &Submission,
    found: &[KeyValue],
) -> AcceptOutcome {
    let head = found
        .iter()
        .find(|it| it.key == keys::head(&submission.lot));
    let Some(Ok(head)) = head.map(from_json::<LotHead>) else {
        return AcceptOutcome::Refused(RefusalCause::OutcomeUnknown.into());
    };
    if head.customer != submission.customer.settings.name {
        return AcceptOutcome::Refused(RefusalCause::BadRequest.into());
    }
    log::info!(lot = submission.lot; "lots: accepted before");
    // The daemon that wrote the lot may have been lost before it could announce it. Without
    // this notice the lot would wait until all open lots are listed. A lot that is finished
    // or ended isn't announced: a daemon would claim it only to find nothing left to run.
    if found.iter().any(|it| it.key == keys::open(&submission.lot)) {
        node.report_lot(LotNotice::Accepted(submission.lot.clone()));
    }
    AcceptOutcome::Known
}

fn lot_head<D: Dialect>(node: &Node<D>, submission: &Submission, total: usize) -> LotHead {
    let submitted = unix_millis();
    LotHead {
        customer: submission.customer.settings.name.clone(),
        host: submission.route.host.clone(),
        total,
        attempts: submission.route.attempts,
        submitted,
        due: submitted + submission.terms.due_after.as_millis() as u64,
        given_up: submitted + submission.terms.give_up_after.as_millis() as u64,
        route: submission.route.name.clone(),
        settings: node.fleet().map_or(0, |it| it.settings.version),
    }
}

fn lot_batch<D: Dialect>(
    node: &Node<D>,
    id: &str,
    head: &LotHead,
    lot: &NewLot,
    tokens: u64,
) -> WriteBatch {
    let put = |key, value| Write::Put {
        key,
        value,
        lease: None,
    };
    let mut then = vec![
        put(keys::head(id), to_json(head)),
        put(keys::open(id), to_json(&OpenMark::new(head, tokens))),
    ];
    let packs = pack_items(&lot.items, node.settings.store.value_bytes);
    for (number, pack) in packs.into_iter().enumerate() {
        then.push(put(keys::pack(id, number), pack));
    }
    WriteBatch {
        // An open mark never exists without a head, so that comparing it decides nothing:
        // it is here to have the mark read back.
        when: vec![
            Comparison::Absent(keys::head(id)),
            Comparison::Absent(keys::open(id)),
        ],
        then,
        read_back: vec![keys::open(id)],
    }
}
