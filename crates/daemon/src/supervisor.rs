//! Supervision of background tasks: children that fail are restarted, and all
//! children stop when their parent's token is cancelled.

use std::{future::Future, time::Duration};

use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// The delay before a failed child is restarted for the first time. It doubles
/// with each restart.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// The longest delay between two restarts of a failing child.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Owns a group of child tasks and the token that stops them.
#[derive(Debug)]
pub struct Supervisor {
    name: &'static str,
    stop: CancellationToken,
    children: JoinSet<()>,
}

impl Supervisor {
    /// Creates a supervisor whose children stop when `stop` is cancelled. `name`
    /// appears in log lines.
    pub fn new(name: &'static str, stop: CancellationToken) -> Self {
        Supervisor {
            name,
            stop,
            children: JoinSet::new(),
        }
    }

    /// Starts a child and restarts it whenever it fails or panics. A child that
    /// returns `Ok` is not restarted.
    ///
    /// Without the restart, a task that failed unexpectedly would be missing
    /// until the whole daemon restarts, and nobody would notice before its data
    /// was stale. `start` is called again for each run, so that a run never sees
    /// the half-changed state of the previous one.
    pub fn supervise<F, R>(&mut self, child: &'static str, mut start: F)
    where
        F: FnMut(CancellationToken) -> R + Send + 'static,
        R: Future<Output = anyhow::Result<()>> + Send + 'static,
    {
        let stop = self.stop.clone();
        let parent = self.name;
        self.children.spawn(async move {
            let mut backoff = INITIAL_BACKOFF;
            while !stop.is_cancelled() {
                let run = tokio::spawn(start(stop.child_token()));
                let failure = match run.await {
                    Ok(Ok(())) => return,
                    Ok(Err(error)) => format!("{error:#}"),
                    Err(error) => error.to_string(),
                };
                log::error!("supervisor: {parent}/{child} failed and is restarted: {failure}");
                tokio::select! {
                    () = tokio::time::sleep(backoff) => {}
                    () = stop.cancelled() => return,
                }
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        });
    }

    /// Waits until all children have ended.
    pub async fn join(mut self) {
        while self.children.join_next().await.is_some() {}
    }
}
