//! Probing the store, so that calls which will never be answered aren't waited for.

use std::{pin::pin, rc::Rc, time::Duration};

use comfreyramp_policy::Timestamp;
use comfreyramp_store::{LeaseId, PlatformStore};
use tokio_util::sync::CancellationToken;

use super::contact_desk::is_answered;
use crate::{dialect::Dialect, node::Node};

/// How often a daemon that doesn't follow the store looks whether it has to.
const IDLE_LOOK: Duration = Duration::from_millis(500);

/// Probes the store directly, whenever nothing else has shown for a while whether it
/// answers, until `stop` is cancelled.
pub async fn probe_store<D: Dialect>(node: Rc<Node<D>>, stop: CancellationToken) {
    let desk = node.store.contact().clone();
    loop {
        let pause = match node.follows_store() {
            true => desk.contact().next_probe(node.is_probe_lead()),
            false => Some(desk.now() + IDLE_LOOK),
        };
        tokio::select! {
            () = sleep_until(pause, desk.now()) => {}
            () = desk.changed() => continue,
            () = stop.cancelled() => return,
        }
        if node.follows_store() {
            // The next one doesn't wait for this one, which may hang.
            let asked = desk.note_probe();
            tokio::task::spawn_local(probe_once(node.clone(), asked));
        }
    }
}

async fn sleep_until(until: Option<Timestamp>, now: Timestamp) {
    match until {
        Some(until) => tokio::time::sleep(until.since(now)).await,
        None => std::future::pending().await,
    }
}

/// Renews the lease, which is the cheapest call. That it has lapsed is an answer as well.
async fn probe_once<D: Dialect>(node: Rc<Node<D>>, asked: Timestamp) {
    let desk = node.store.contact();
    let lease = node.lease().map_or(LeaseId(0), |it| it.id);
    let mut renewal = pin!(node.store.direct().renew(lease));
    let timeout = desk.contact().probe_timeout();
    let in_time = tokio::time::timeout(timeout, &mut renewal).await;
    let is_lost = !in_time.as_ref().is_ok_and(is_answered);
    if is_lost {
        desk.note_lost_probe(asked);
        node.note_store_trouble();
    }
    let answer = match in_time {
        Ok(answer) => answer,
        // A late answer tells that the store is slow.
        Err(_) => renewal.await,
    };
    if is_answered(&answer) {
        desk.note_end(asked, &answer);
        node.note_store_answer();
        node.store.note_reached();
    } else if desk.contact().silent_since().is_some() {
        node.store.note_failed();
    }
}
