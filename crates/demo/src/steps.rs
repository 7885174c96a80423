//! The steps of the demo.

use std::time::{Duration, Instant};

use anyhow::{bail, ensure};
use argh::FromArgs;
use comfreyramp_http::{HttpClient, MessageBody, Method, Request};

use crate::{
    caller::{DemoCaller, chat_body, expected_start, read_events},
    lot,
    platform::{self, NewVm},
};

/// The timeout for a daemon to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// The timeout for the withdrawal of a key to take effect.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_secs(5);
/// The interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Step {
    Chat(Chat),
    CreateLot(lot::CreateLot),
    AwaitLot(lot::AwaitLot),
    FinishLot(lot::FinishLot),
    Plain(Plain),
    Ready(Ready),
    Refused(Refused),
    Register(Register),
}

/// Send a chat request and check that the response is complete.
#[derive(FromArgs)]
#[argh(subcommand, name = "chat")]
pub(crate) struct Chat {
    /// base URL of a daemon's caller listener
    #[argh(option)]
    door: String,
    /// the caller's key
    #[argh(option)]
    key: String,
    /// the model
    #[argh(option)]
    model: String,
    /// the text of the prompt
    #[argh(option)]
    prompt: String,
    /// tokens to generate (default 24)
    #[argh(option, default = "24")]
    tokens: u32,
    /// request a streamed response
    #[argh(switch)]
    stream: bool,
}

/// Call a plain HTTP service.
#[derive(FromArgs)]
#[argh(subcommand, name = "plain")]
pub(crate) struct Plain {
    /// base URL of a daemon's caller listener
    #[argh(option)]
    door: String,
    /// the caller's key
    #[argh(option)]
    key: String,
    /// the path
    #[argh(option)]
    path: String,
}

/// Wait until a daemon is ready.
#[derive(FromArgs)]
#[argh(subcommand, name = "ready")]
pub(crate) struct Ready {
    /// base URL of the daemon's operator listener
    #[argh(option)]
    operators: String,
}

/// Check that a withdrawn key is rejected within seconds.
#[derive(FromArgs)]
#[argh(subcommand, name = "refused")]
pub(crate) struct Refused {
    /// base URL of a daemon's caller listener
    #[argh(option)]
    door: String,
    /// the withdrawn key
    #[argh(option)]
    key: String,
}

/// Add a VM to the VM list of the platform stand-in.
#[derive(FromArgs)]
#[argh(subcommand, name = "register")]
pub(crate) struct Register {
    /// the platform's ip:port
    #[argh(option)]
    platform: String,
    /// the VM's name
    #[argh(option)]
    name: String,
    /// the VM's availability zone
    #[argh(option)]
    zone: String,
    /// the VM's group
    #[argh(option)]
    group: String,
    /// the VM's ip:port
    #[argh(option)]
    address: String,
}

/// Runs a step and returns a line that describes its outcome.
pub(crate) async fn run(step: Step) -> anyhow::Result<String> {
    match step {
        Step::Chat(it) => chat(it).await,
        Step::CreateLot(it) => lot::create(it).await,
        Step::AwaitLot(it) => lot::await_running(it).await,
        Step::FinishLot(it) => lot::finish(it).await,
        Step::Plain(it) => plain(it).await,
        Step::Ready(it) => ready(&it.operators).await,
        Step::Refused(it) => refused(it).await,
        Step::Register(it) => {
            let vm = NewVm {
                name: &it.name,
                zone: &it.zone,
                group: &it.group,
                address: &it.address,
            };
            platform::register(&it.platform, &vm).await?;
            Ok(format!("{} is listed", it.name))
        }
    }
}

async fn chat(chat: Chat) -> anyhow::Result<String> {
    let caller = DemoCaller::new(chat.door, chat.key);
    let body = chat_body(&chat.model, &chat.prompt, chat.tokens, chat.stream).to_string();
    let path = "/v1/chat/completions";
    let answer = caller
        .call(Method::POST, path, "application/json", body)
        .await?;
    let shown = String::from_utf8_lossy(&answer.body).into_owned();
    ensure!(answer.status.is_success(), "{}: {shown}", answer.status);
    let (text, tokens) = if chat.stream {
        read_events(&answer.body)?
    } else {
        let value = answer.json()?;
        let text = value["choices"][0]["message"]["content"]
            .as_str()
            .unwrap_or_default();
        let tokens = value["usage"]["completion_tokens"]
            .as_u64()
            .unwrap_or_default();
        (text.to_owned(), tokens as usize)
    };
    let start = expected_start(&chat.prompt);
    ensure!(
        text.starts_with(&start),
        "response to another prompt: {text}"
    );
    ensure!(
        tokens == chat.tokens as usize,
        "received {tokens} of {} tokens: {text}",
        chat.tokens
    );
    Ok(format!(
        "{tokens} tokens, the complete response to the caller's own prompt ({start}…)"
    ))
}

async fn plain(plain: Plain) -> anyhow::Result<String> {
    let caller = DemoCaller::new(plain.door, plain.key);
    let answer = caller
        .call(
            Method::POST,
            &plain.path,
            "text/plain",
            "proof 7".to_owned(),
        )
        .await?;
    let shown = String::from_utf8_lossy(&answer.body).into_owned();
    ensure!(answer.status.is_success(), "{}: {shown}", answer.status);
    ensure!(
        !shown.contains(&caller.key),
        "the backend server received the key"
    );
    Ok(format!(
        "answered with {}, {} bytes",
        answer.status,
        answer.body.len()
    ))
}

async fn ready(operators: &str) -> anyhow::Result<String> {
    let client = HttpClient::default();
    let deadline = Instant::now() + READY_TIMEOUT;
    loop {
        let request = Request::builder()
            .uri(format!("{operators}/readyz"))
            .body(MessageBody::empty())?;
        if let Ok(answer) = client.send(request).await
            && answer.status().is_success()
        {
            return Ok(format!("{operators} is ready"));
        }
        if Instant::now() > deadline {
            bail!("{operators} is not ready after {READY_TIMEOUT:?}");
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn refused(refused: Refused) -> anyhow::Result<String> {
    let caller = DemoCaller::new(refused.door, refused.key);
    let begun = Instant::now();
    loop {
        let answer = caller
            .call(Method::GET, "/v1/models", "text/plain", String::new())
            .await?;
        if answer.status.as_u16() == 401 {
            ensure!(
                answer.headers.contains_key("retry-after"),
                "the response has no Retry-After"
            );
            return Ok(format!(
                "refused {} ms after the withdrawal",
                begun.elapsed().as_millis()
            ));
        }
        ensure!(
            begun.elapsed() < WITHDRAWAL_TIMEOUT,
            "the withdrawn key still works"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
