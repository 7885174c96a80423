//! Where and whether a request may run.

use std::time::Duration;

use comfreyramp_policy::{
    Fingerprint, ServerId, ServerKey, SuspectVerdict, Timestamp, TrialAnswer, TrialStep,
};

use super::suspect_keeper::WAIT_STEP;
use crate::{
    attempts::AttemptFailure,
    live_queue::CallRank,
    server_pool::{ChosenServer, PoolQuery},
    shared::SharedState,
};

/// How long a suspect waits before it looks again for a server without one.
const TRIAL_PAUSE: Duration = Duration::from_millis(100);

/// A request that looks for a server.
#[derive(Clone, Copy, Debug)]
pub struct RunRequest<'a> {
    /// What makes it the same request as another.
    pub fingerprint: Fingerprint,
    /// The group that serves it.
    pub group: &'a str,
    /// A hash of its prompt's beginning, if it has one.
    pub prefix: Option<u64>,
    /// The servers it was tried on.
    pub tried: &'a [ServerId],
    /// How urgent it is.
    pub rank: &'a CallRank,
    /// When its time is up.
    pub deadline: Timestamp,
}

impl SharedState {
    /// Chooses a server for a request and counts it as run there; a suspect
    /// gets its trial first.
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
                TrialStep::Wait => self.suspects.progress_or(WAIT_STEP).await,
                TrialStep::Request if !self.suspects.others_know(request.fingerprint) => {
                    tokio::time::sleep(WAIT_STEP).await;
                }
                TrialStep::Request => self.ask_trial(request, &mut taken).await,
                TrialStep::Start => {
                    if let Some(server) = self.begin_trial(request.fingerprint) {
                        return Ok(server);
                    }
                    // The grant has lapsed, and is given back soon.
                    tokio::time::sleep(WAIT_STEP).await;
                }
                TrialStep::Refuse(span) => return Err(AttemptFailure::Suspected(span)),
            }
        }
    }

    /// Begins a request of which nothing is suspected, or returns none if
    /// something is by now.
    async fn begin_clear(
        &self,
        request: RunRequest<'_>,
    ) -> Result<Option<ChosenServer>, AttemptFailure> {
        let copy = self.suspects.table().runs_on(request.fingerprint);
        let query = self.query(&request);
        let mut server = self.wait_for_turn(request, query, copy).await?;
        let key = ServerKey::of(&server.name);
        server.run = self.suspects.begin_run(request.fingerprint, key);
        Ok(server.run.is_some().then_some(server))
    }

    /// Asks for a trial on a server without a suspect. While there is none, the
    /// request waits: the innocents of one dead server have their trials one
    /// after the other.
    async fn ask_trial(&self, request: RunRequest<'_>, taken: &mut Vec<ServerId>) {
        let on_trial = self.suspects.table().servers_on_trial();
        let mut exclude = [request.tried, taken].concat();
        exclude.extend(on_trial.iter().filter_map(|it| self.servers.id_of(*it)));
        let query = PoolQuery {
            exclude: &exclude,
            ..self.query(&request)
        };
        let Some(server) = self.servers.choose(query, self.clock) else {
            taken.clear();
            return tokio::time::sleep(TRIAL_PAUSE).await;
        };
        let now = self.clock.now();
        let key = ServerKey::of(&server.name);
        let ask = self
            .suspects
            .table()
            .request_trial(request.fingerprint, key, now);
        let Some(ask) = ask else {
            return;
        };
        let answer = self.suspect_records.ask_trial(&ask, now).await;
        if answer == TrialAnswer::ServerTaken {
            taken.push(server.id);
        }
        let now = self.clock.now();
        self.suspects.table().trial_answer(&ask, answer, now);
        self.suspects.note_progress();
    }

    fn begin_trial(&self, fingerprint: Fingerprint) -> Option<ChosenServer> {
        let run = self.suspects.begin_trial(fingerprint)?;
        let Some(mut server) = self.servers.take_key(run.server, &[], self.clock) else {
            run.not_sent();
            return None;
        };
        log::info!("suspects: a suspect runs once more, on {}", server.name);
        server.run = Some(run);
        Some(server)
    }

    fn query<'a>(&'a self, request: &RunRequest<'a>) -> PoolQuery<'a> {
        // Copies of one request have to meet on one server, also where there
        // is no prompt by which they would.
        let prefix = request.prefix.unwrap_or(request.fingerprint.0 as u64);
        PoolQuery {
            group: request.group,
            zone: &self.settings.zone,
            prefix: Some(prefix),
            exclude: request.tried,
        }
    }
}
