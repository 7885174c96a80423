//! Accepting lots.

use std::{rc::Rc, sync::Arc, time::Duration};

use comfreyramp_policy::Timestamp;
use comfreyramp_store::{
    Comparison, KeyValue, OnceOutcome, RetryPace, StoreError, Write, WriteBatch, write_once,
};
use http::Response;

use super::{
    keys,
    notices::LotNotice,
    records::{LotHead, OpenMark, from_json, pack_items, to_json},
};
use crate::{
    clock::unix_millis,
    dialect::{CallerDialect, Dialect},
    fleet::KnownCustomer,
    model::{LotTerms, NewLot, Refusal, RefusalCause, RouteSettings},
    node::Node,
    path::FrontBody,
};

/// The items of one lot at most.
const MOST_ITEMS: usize = 200;
/// When a caller may come back while the store can't be reached.
const STORE_RETRY: Duration = Duration::from_millis(800);
/// Of the caller's time, the part that may be spent on the store.
const STORE_PART: f64 = 0.7;
/// How often the store is asked at most for one lot, and the longest pause between. A
/// daemon that hears no other leaves the store alone for a second after an answer was
/// lost; with fewer tries it gave up before, and its caller was told that nothing is
/// known of a lot that was kept.
const STORE_TRIES: u32 = 16;
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// A lot that is handed in.
#[derive(Debug)]
pub struct Submission {
    /// Its id.
    pub lot: String,
    /// Whose it is.
    pub customer: Arc<KnownCustomer>,
    /// Its route.
    pub route: Arc<RouteSettings>,
    /// What holds for it.
    pub terms: LotTerms,
    /// Until when the caller waits.
    pub deadline: Timestamp,
}

/// Accepts a lot: once this returns success, the store holds all of it.
///
/// # Errors
///
/// Only where the store has certainly taken nothing, and never will, is the
/// refusal one that says so.
pub async fn accept_lot<D: Dialect>(
    node: &Rc<Node<D>>,
    submission: Submission,
    body: &[u8],
) -> Result<Response<FrontBody<D>>, Refusal> {
    let lot = <D::Callers as CallerDialect>::read_lot(body).map_err(|fault| {
        log::info!(lot = submission.lot, fault:% = fault; "lots: a lot can't be read");
        RefusalCause::BadRequest
    })?;
    let is_fit = keys::is_usable_id(&submission.lot) && lot.items.len() <= MOST_ITEMS;
    if !is_fit || lot.items.is_empty() {
        return Err(RefusalCause::BadRequest.into());
    }
    let accepted = || Ok(<D::Callers as CallerDialect>::lot_accepted().map(FrontBody::whole));
    if node
        .lot_cache
        .borrow()
        .belongs_to(&submission.lot, &submission.customer.settings.name)
    {
        return accepted();
    }
    let now = node.clock.now();
    let span = submission.deadline.since(now).mul_f64(STORE_PART);
    let outcome = write_lot(node, &submission, &lot, span).await;
    match outcome {
        Ok(OnceOutcome::Written(_)) => accepted(),
        Ok(OnceOutcome::Refused { found, .. } | OnceOutcome::Overtaken { found, .. }) => {
            accepted_before(&submission, &found)?;
            accepted()
        }
        Err(StoreError::AnswerLost(_)) => Err(RefusalCause::Undecided.into()),
        Err(error) => {
            node.note_store_trouble();
            log::warn!(lot = submission.lot, error:% = error; "lots: not accepted");
            Err(Refusal::new(RefusalCause::StoreAway).retry_after(STORE_RETRY))
        }
    }
}

/// Writes a lot within `span`, and has it run. A caller that leaves meanwhile doesn't
/// stop it half-way: the lot would be kept, and no daemon told to run it.
async fn write_lot<D: Dialect>(
    node: &Rc<Node<D>>,
    submission: &Submission,
    lot: &NewLot,
    span: Duration,
) -> Result<OnceOutcome, StoreError> {
    let batch = lot_batch(node, submission, lot);
    let (shared, id) = (node.clone(), submission.lot.clone());
    let (customer, items) = (submission.customer.clone(), lot.items.len());
    let writing = tokio::task::spawn_local(async move {
        let pace = RetryPace::new(shared.incarnation)
            .attempts(STORE_TRIES)
            .longest_wait(LONGEST_PAUSE);
        let outcome = write_once(&shared.store, batch, pace).await?;
        if let OnceOutcome::Written(revision) = outcome {
            log::info!(
                lot = id, customer = customer.settings.name, items = items, revision = revision;
                "lots: accepted"
            );
            shared.metrics.lot("accepted", 1);
        }
        if is_open(&id, &outcome) {
            shared.tell_lot(LotNotice::Accepted(id));
        }
        Ok(outcome)
    });
    let lost = |text: String| Err(StoreError::AnswerLost(text));
    match tokio::time::timeout(span, writing).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(error)) => lost(error.to_string()),
        Err(_) => lost("the caller's time is nearly up".to_owned()),
    }
}

/// Whether a lot waits to be run, or is run. Where another daemon wrote it, that one may
/// have been lost before it could tell, and the lot would lie until all open ones are
/// listed. One that is done or ended would be claimed to find nothing left.
fn is_open(lot: &str, outcome: &OnceOutcome) -> bool {
    let (OnceOutcome::Refused { found, .. } | OnceOutcome::Overtaken { found, .. }) = outcome
    else {
        return true;
    };
    found.iter().any(|it| it.key == keys::open(lot))
}

/// A lot is accepted once; a repeat of it gets the same answer.
fn accepted_before(submission: &Submission, found: &[KeyValue]) -> Result<(), Refusal> {
    let head = found
        .iter()
        .find(|it| it.key == keys::head(&submission.lot));
    let Some(Ok(head)) = head.map(from_json::<LotHead>) else {
        return Err(RefusalCause::Undecided.into());
    };
    if head.customer != submission.customer.settings.name {
        return Err(RefusalCause::BadRequest.into());
    }
    log::info!(lot = submission.lot; "lots: accepted before");
    Ok(())
}

fn lot_batch<D: Dialect>(node: &Node<D>, submission: &Submission, lot: &NewLot) -> WriteBatch {
    let id = &submission.lot;
    let submitted = unix_millis();
    let due = submitted + submission.terms.due_after.as_millis() as u64;
    let head = LotHead {
        customer: submission.customer.settings.name.clone(),
        host: submission.route.host.clone(),
        total: lot.items.len(),
        attempts: submission.route.attempts,
        submitted,
        due,
        given_up: submitted + submission.terms.kept_for.as_millis() as u64,
    };
    let put = |key, value| Write::Put {
        key,
        value,
        lease: None,
    };
    let mut then = vec![
        put(keys::head(id), to_json(&head)),
        put(keys::open(id), to_json(&OpenMark { due })),
    ];
    let packs = pack_items(&lot.items, node.settings.store.value_bytes);
    for (number, pack) in packs.into_iter().enumerate() {
        then.push(put(keys::pack(id, number), pack));
    }
    WriteBatch {
        // The open mark is never there without a head: it is compared to be read back.
        when: vec![
            Comparison::Absent(keys::head(id)),
            Comparison::Absent(keys::open(id)),
        ],
        then,
        read_back: vec![keys::open(id)],
    }
}
