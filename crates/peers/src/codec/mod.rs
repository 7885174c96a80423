//! Converts messages to and from their Cap'n Proto form.

mod announce;
mod beat;
mod rates;
mod settings;
mod suspects;

use std::time::Duration;

use comfreyramp_policy::{
    SuspectNotice,
    rates::{RateAnswer, RateRequest},
};

use crate::{
    LiveAnnouncement, PeerAnswer, PeerError, PeerHeartbeat, PeerRequest, SettingsRequest,
    generated::peers_capnp::session,
};

pub(crate) use announce::{read_notices, write_bulk_counts};
pub(crate) use beat::{read_beat, write_beat};
pub(crate) use rates::{
    read_returns, read_settlements, read_token_ask, read_wants, write_offers, write_token_answer,
};
pub(crate) use settings::write_settings;
pub(crate) use suspects::{read_notice, write_ack};

/// Sends a request over a session and waits for the answer.
pub(crate) async fn call(
    session: &session::Client,
    request: &PeerRequest,
) -> Result<PeerAnswer, PeerError> {
    match request {
        PeerRequest::Heartbeat(heartbeat) => call_beat(session, heartbeat)
            .await
            .map(PeerAnswer::Heartbeat),
        PeerRequest::Rates(ask) => call_rates(session, ask).await.map(PeerAnswer::Rates),
        PeerRequest::Settings(ask) => call_settings(session, ask).await,
        PeerRequest::Suspects(notice) => call_suspects(session, notice).await,
        PeerRequest::Announce(notices) => call_announce(session, notices).await,
    }
}

async fn call_beat(
    session: &session::Client,
    heartbeat: &PeerHeartbeat,
) -> Result<PeerHeartbeat, PeerError> {
    let mut request = session.beat_request();
    write_beat(request.get().init_beat(), heartbeat);
    let answer = request.send().promise.await.map_err(call_error)?;
    read_beat(
        answer
            .get()
            .and_then(|it| it.get_beat())
            .map_err(malformed)?,
    )
    .map_err(malformed)
}

async fn call_rates(session: &session::Client, ask: &RateRequest) -> Result<RateAnswer, PeerError> {
    match ask {
        RateRequest::Tokens(ask) => {
            let mut request = session.tokens_request();
            rates::write_token_ask(request.get().init_ask(), ask);
            let answer = request.send().promise.await.map_err(call_error)?;
            let answer = answer.get().and_then(|it| it.get_answer());
            let answer = answer
                .and_then(rates::read_token_answer)
                .map_err(malformed)?;
            Ok(RateAnswer::Tokens(answer))
        }
        RateRequest::Slices(wants) => {
            let mut request = session.slices_request();
            rates::write_wants(request.get().init_wants(wants.len() as u32), wants);
            let answer = request.send().promise.await.map_err(call_error)?;
            let offers = answer
                .get()
                .and_then(|it| it.get_offers())
                .map_err(malformed)?;
            Ok(RateAnswer::Slices(rates::read_offers(offers)))
        }
        RateRequest::Return(returns) => {
            let mut request = session.give_back_request();
            rates::write_returns(request.get().init_returns(returns.len() as u32), returns);
            request.send().promise.await.map_err(call_error)?;
            Ok(RateAnswer::Done)
        }
        RateRequest::Settle(settlements) => {
            let mut request = session.settle_request();
            let list = request.get().init_settlements(settlements.len() as u32);
            rates::write_settlements(list, settlements);
            request.send().promise.await.map_err(call_error)?;
            Ok(RateAnswer::Done)
        }
    }
}

async fn call_settings(
    session: &session::Client,
    ask: &SettingsRequest,
) -> Result<PeerAnswer, PeerError> {
    let mut request = session.settings_request();
    request.get().set_known(ask.known_revision);
    let hold = u32::try_from(ask.max_hold.as_millis()).unwrap_or(u32::MAX);
    request.get().set_hold_millis(hold);
    let answer = request.send().promise.await.map_err(call_error)?;
    let view = answer
        .get()
        .and_then(|it| it.get_view())
        .map_err(malformed)?;
    let answer = settings::read_settings(view).map_err(malformed)?;
    Ok(PeerAnswer::Settings(answer))
}

async fn call_suspects(
    session: &session::Client,
    notice: &SuspectNotice,
) -> Result<PeerAnswer, PeerError> {
    let mut request = session.suspects_request();
    let list = request.get().init_facts(notice.facts.len() as u32);
    suspects::write_facts(list, &notice.facts);
    let answer = request.send().promise.await.map_err(call_error)?;
    let ack = answer
        .get()
        .and_then(|it| it.get_ack())
        .map_err(malformed)?;
    Ok(PeerAnswer::Suspects(
        suspects::read_ack(ack).map_err(malformed)?,
    ))
}

async fn call_announce(
    session: &session::Client,
    notices: &[LiveAnnouncement],
) -> Result<PeerAnswer, PeerError> {
    let mut request = session.announce_request();
    let list = request.get().init_notices(notices.len() as u32);
    announce::write_notices(list, notices);
    let answer = request.send().promise.await.map_err(call_error)?;
    let bulk = answer
        .get()
        .and_then(|it| it.get_bulk())
        .map_err(malformed)?;
    Ok(PeerAnswer::Announced(bulk.iter().collect()))
}

#[expect(clippy::needless_pass_by_value, reason = "used with map_err")]
fn call_error(error: capnp::Error) -> PeerError {
    match error.kind {
        capnp::ErrorKind::Disconnected => PeerError::AnswerLost(error.to_string()),
        _ => PeerError::Malformed(error.to_string()),
    }
}

#[expect(clippy::needless_pass_by_value, reason = "used with map_err")]
fn malformed(error: capnp::Error) -> PeerError {
    PeerError::Malformed(error.to_string())
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn text(reader: capnp::text::Reader<'_>) -> Result<String, capnp::Error> {
    Ok(reader.to_string()?)
}
