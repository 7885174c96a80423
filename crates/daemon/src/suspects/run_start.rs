//! Choice of the server for a run, and the trials of suspects.

use std::time::Duration;

use comfreyramp_policy::{
    Fingerprint, ServerId, ServerKey, SuspectVerdict, Timestamp, TrialAnswer, TrialStep,
};

use super::suspect_manager::RECHECK_INTERVAL;
use crate::{
    attempts::AttemptFailure,
    live_queue::CallRank,
    server_pool::{ChosenServer, PoolQuery},
    shared::SharedState,
};

/// How long a suspect waits before it looks again for a server without a suspect.
const TRIAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A request for which a server is to be chosen.
#[derive(Clone, Copy, Debug)]
pub struct RunRequest<'a> {
    /// Identifies requests with the same content.
    pub fingerprint: Fingerprint,
    /// The group of servers that can run it.
    pub group: &'a str,
    /// A hash of the beginning of its prompt, if it has one.
    pub prefix: Option<u64>,
    /// The servers on which it was attempted before.
    pub tried: &'a [ServerId],
    /// Its urgency, which orders the queue.
    pub rank: &'a CallRank,
    /// The time at which it times out.
    pub deadline: Timestamp,
}

impl SharedState {
    /// Chooses a server for a request and records its run there. If the request is
    /// a suspect, this waits for its trial. Fails if the request times out or is
    /// refused as a suspect.
    pub async fn begin_run(&self, request: RunRequest<'_>) -> Result<ChosenServer, AttemptFailure> {
        let mut taken = Vec::new();
        loop {
            if self.suspects.verdict(request.fingerprint) == SuspectVerdict::Clear {
                if let Some(server) = self.begin_clear(request).await? {
                    return Ok(server);
                }
                continue;
            }
            let now = self.clock.now();
            if now >= request.deadline {
                return Err(AttemptFailure::TimedOut);
            }
            let step = self.suspects.table().trial_step(request.fingerprint, now);
            match step {
                TrialStep::Run => {}
                TrialStep::Wait => self.suspects.wait_for_progress(RECHECK_INTERVAL).await,
                TrialStep::Request if !self.suspects.is_known_to_others(request.fingerprint) => {
                    tokio::time::sleep(RECHECK_INTERVAL).await;
                }
                TrialStep::Request => self.request_trial(request, &mut taken).await,
                TrialStep::Start => {
                    if let Some(server) = self.begin_trial(request.fingerprint) {
                        return Ok(server);
                    }
                    // The grant has expired, and is released soon.
                    tokio::time::sleep(RECHECK_INTERVAL).await;
                }
                TrialStep::Refuse(left) => return Err(AttemptFailure::Suspected(left)),
            }
        }
    }

    /// Begins a run of a request that isn't a suspect, or returns none if it became
    /// one while it waited for a server.
    async fn begin_clear(
        &self,
        request: RunRequest<'_>,
    ) -> Result<Option<ChosenServer>, AttemptFailure> {
        let copy = self.suspects.table().runs_on(request.fingerprint);
        let query = self.query(&request);
        let mut server = self.wait_for_start(request, query, copy).await?;
        let key = ServerKey::of(&server.name);
        server.run = self.suspects.begin_run(request.fingerprint, key);
        Ok(server.run.is_some().then_some(server))
    }

    /// Requests a trial on a server without a suspect. While there is none, the
    /// request waits: the harmless requests that were on one dead server have
    /// their trials one after the other.
    async fn request_trial(&self, request: RunRequest<'_>, taken: &mut Vec<ServerId>) {
        let on_trial = self.suspects.table().servers_on_trial();
        let mut exclude = [request.tried, taken].concat();
        exclude.extend(on_trial.iter().filter_map(|it| self.servers.id_of(*it)));
        let query = PoolQuery {
            exclude: &exclude,
            ..self.query(&request)
        };
        let Some(server) = self.servers.choose(query, self.clock) else {
            taken.clear();
            return tokio::time::sleep(TRIAL_RETRY_DELAY).await;
        };
        let now = self.clock.now();
        let key = ServerKey::of(&server.name);
        let trial = self
            .suspects
            .table()
            .request_trial(request.fingerprint, key, now);
        let Some(trial) = trial else {
            return;
        };
        let answer = self.suspect_records.request_trial(&trial, now).await;
        if answer == TrialAnswer::ServerTaken {
            taken.push(server.id);
        }
        let now = self.clock.now();
        self.suspects.table().trial_answer(&trial, answer, now);
        self.suspects.notify_progress();
    }

    fn begin_trial(&self, fingerprint: Fingerprint) -> Option<ChosenServer> {
        let run = self.suspects.begin_trial(fingerprint)?;
        let Some(mut server) = self.servers.take_if_usable(run.server, &[], self.clock) else {
            run.mark_not_sent();
            return None;
        };
        log::info!("suspects: a suspect runs on trial, on {}", server.name);
        server.run = Some(run);
        Some(server)
    }

    fn query<'a>(&'a self, request: &RunRequest<'a>) -> PoolQuery<'a> {
        // Copies of one request must be routed to the same server, so a request
        // without a prompt is routed by its fingerprint.
        let prefix = request.prefix.unwrap_or(request.fingerprint.0 as u64);
        PoolQuery {
            group: request.group,
            zone: &self.settings.zone,
            prefix: Some(prefix),
            exclude: request.tried,
        }
    }
}
