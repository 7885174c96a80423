//! Detection of server deaths after a connection broke.

use std::{sync::PoisonError, time::Duration};

use comfreyramp_policy::ServerKey;
use tokio::net::TcpStream;

use super::{SuspectManager, SuspectRun};

/// How long a server may take to accept a new connection before it counts as dead.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the other connections to a dead server may take to break.
const BREAK_WINDOW: Duration = Duration::from_millis(100);

impl SuspectRun {
    /// Records that the connection broke, checks whether its server died, and waits
    /// until the caller may be answered.
    ///
    /// A single connection can break on its own. If that counted as a death, all
    /// requests on a healthy server would become suspects. A server that accepts
    /// no connection is dead. So is one that accepts connections but has lost all
    /// of its runs, because it was restarted at once.
    pub async fn note_broken(&self, address: &str) {
        let breaking = BreakingRun::count(self);
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let mut is_dead = !matches!(connected, Ok(Ok(_)));
        if !is_dead {
            tokio::time::sleep(BREAK_WINDOW).await;
            is_dead = breaking.are_all_broken();
        }
        if is_dead {
            self.manager.server_died(self.server);
        }
        drop(breaking);
        self.manager.wait_until_known(self.fingerprint).await;
    }
}

/// Counts a run as broken off while its server is checked, until it is dropped.
struct BreakingRun<'a> {
    manager: &'a SuspectManager,
    server: ServerKey,
}

impl<'a> BreakingRun<'a> {
    fn count(run: &'a SuspectRun) -> Self {
        let breaking = BreakingRun {
            manager: &run.manager,
            server: run.server,
        };
        breaking.change(|count| count + 1);
        breaking
    }

    /// Returns whether all runs of this daemon on the server have broken off.
    fn are_all_broken(&self) -> bool {
        let runs = self.manager.table().runs_at(self.server);
        self.change(|count| count) >= runs
    }

    fn change(&self, change: impl FnOnce(usize) -> usize) -> usize {
        let breaking = self.manager.breaking.lock();
        let mut breaking = breaking.unwrap_or_else(PoisonError::into_inner);
        let position = breaking.binary_search_by_key(&self.server, |it| it.0);
        let at = position.unwrap_or_else(|at| {
            breaking.insert(at, (self.server, 0));
            at
        });
        let count = change(breaking[at].1);
        breaking[at].1 = count;
        if count == 0 {
            breaking.remove(at);
        }
        count
    }
}

impl Drop for BreakingRun<'_> {
    fn drop(&mut self) {
        self.change(|count| count.saturating_sub(1));
    }
}
