//! Statuses of servers that would promise callers more than the servers state.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use comfreyramp_standins::runner::{ScriptedAnswer, ScriptedRequest};
use fleet::{CallerRequest, Fleet};

/// The statuses that promise a caller that the request hasn't run and never will.
const REFUSALS: [u16; 4] = [408, 421, 429, 503];

/// A server may run a request and answer 503 or the like of its own, without the statement
/// that it didn't run it. Callers would take that for a promise and send the request again.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_ran_is_not_refused_with_its_servers_status() {
    let fleet = Fleet::started().await;
    let script = |it: &ScriptedRequest| {
        let status = it.request.path.rsplit('/').next().unwrap_or_default();
        ScriptedAnswer::whole(status.parse().unwrap(), it.request.id(), b"it ran")
    };
    let server = fleet.add_scripted_engine(2, script).await;
    let mut refused = Vec::new();
    for status in [408, 429, 503] {
        let path = format!("/once/{status}");
        let id = format!("request-{status}");
        let response = fleet
            .send(0, CallerRequest::post(&path, &id, b"verse"))
            .await;
        let answered = response.unwrap().status().as_u16();
        let requests = server.requests();
        let runs = requests.iter().filter(|it| it.request.id() == id).count();
        assert_eq!(runs, 1, "{status}");
        refused.extend(REFUSALS.contains(&answered).then_some(answered));
    }
    assert!(
        refused.is_empty(),
        "requests that ran are refused with {refused:?}"
    );
}
