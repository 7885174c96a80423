//! Probes the store, so that no call waits for an answer that will never come.

use std::{pin::pin, rc::Rc, time::Duration};

use comfreyramp_policy::Timestamp;
use comfreyramp_store::{LeaseId, PlatformStore};
use tokio_util::sync::CancellationToken;

use super::store_monitor::is_answered;
use crate::{dialect::Dialect, node::Node};

/// How often a daemon that doesn't follow the store checks whether it has to.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Probes the store directly whenever no other call has shown for a while whether it
/// answers, until `stop` is cancelled.
pub async fn probe_store<D: Dialect>(node: Rc<Node<D>>, stop: CancellationToken) {
    let monitor = node.store.contact().clone();
    loop {
        let next_probe = match node.follows_store() {
            true => monitor.contact().next_probe(node.is_store_prober()),
            false => Some(monitor.now() + IDLE_CHECK_INTERVAL),
        };
        tokio::select! {
            () = sleep_until(next_probe, monitor.now()) => {}
            () = monitor.changed() => continue,
            () = stop.cancelled() => return,
        }
        if node.follows_store() {
            // Runs as a task of its own: this probe may hang, and must not delay the next.
            let sent_at = monitor.note_probe();
            tokio::task::spawn_local(probe_once(node.clone(), sent_at));
        }
    }
}

async fn sleep_until(until: Option<Timestamp>, now: Timestamp) {
    match until {
        Some(until) => tokio::time::sleep(until.since(now)).await,
        None => std::future::pending().await,
    }
}

/// Renews the lease, which is the cheapest call. The error that the lease has expired also
/// counts as an answer.
async fn probe_once<D: Dialect>(node: Rc<Node<D>>, sent_at: Timestamp) {
    let monitor = node.store.contact();
    let lease = node.lease().map_or(LeaseId(0), |it| it.id);
    let mut renewal = pin!(node.store.direct().renew(lease));
    let timeout = monitor.contact().probe_timeout();
    let first_wait = tokio::time::timeout(timeout, &mut renewal).await;
    let is_lost = !first_wait.as_ref().is_ok_and(is_answered);
    if is_lost {
        monitor.note_lost_probe(sent_at);
        node.record_store_failure();
    }
    let answer = match first_wait {
        Ok(answer) => answer,
        // A late answer shows that the store is slow, but not silent.
        Err(_) => renewal.await,
    };
    if is_answered(&answer) {
        monitor.note_end(sent_at, &answer);
        node.record_store_answer();
        node.store.note_reached();
    } else if monitor.contact().silent_since().is_some() {
        node.store.note_failed();
    }
}
