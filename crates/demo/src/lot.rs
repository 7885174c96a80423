//! Steps that run a lot, from its upload to its results.

use std::time::{Duration, Instant};

use anyhow::{Context as _, ensure};
use argh::FromArgs;
use comfreyramp_http::Method;
use serde_json::{Value, json};

use crate::caller::{CompleteResponse, DemoCaller, chat_body, expected_start};

/// The timeout of a lot. A daemon may be lost during the run, and its segments only
/// become free again once its lease has expired.
const LOT_TIMEOUT: Duration = Duration::from_secs(60);
/// The interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The number of items that must run for a lot to count as started.
const MIN_RUNNING: usize = 3;
/// The multipart boundary of the upload.
const BOUNDARY: &str = "demo-between-fields";

/// Upload a file of items and create a lot; prints the lot's id.
#[derive(FromArgs)]
#[argh(subcommand, name = "lot-create")]
pub(crate) struct CreateLot {
    /// base URL of a daemon's caller listener
    #[argh(option)]
    door: String,
    /// the caller's key
    #[argh(option)]
    key: String,
    /// the model
    #[argh(option)]
    model: String,
    /// number of items
    #[argh(option)]
    items: usize,
    /// tokens to generate for each item (default 24)
    #[argh(option, default = "24")]
    tokens: u32,
}

/// Wait until a lot has ended and check its results.
#[derive(FromArgs)]
#[argh(subcommand, name = "lot-finish")]
pub(crate) struct FinishLot {
    /// base URL of a daemon's caller listener
    #[argh(option)]
    door: String,
    /// the caller's key
    #[argh(option)]
    key: String,
    /// the lot's id
    #[argh(option)]
    lot: String,
    /// number of items in the lot
    #[argh(option)]
    items: usize,
}

/// Wait until items of a lot run on an engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "lot-begun")]
pub(crate) struct AwaitLot {
    /// base URL of the engine stand-in
    #[argh(option)]
    engine: String,
}

/// Uploads the items, creates the lot and returns its id.
pub(crate) async fn create(lot: CreateLot) -> anyhow::Result<String> {
    let caller = DemoCaller::new(lot.door, lot.key);
    let items = (0..lot.items).map(|it| item(it, &lot.model, lot.tokens));
    let content_type = format!("multipart/form-data; boundary={BOUNDARY}");
    let form = form(&items.collect::<String>());
    let answer = caller
        .call(Method::POST, "/v1/files", &content_type, form)
        .await?;
    let file = read(&answer)?;
    let body = json!({
        "input_file_id": file["id"],
        "endpoint": "/v1/chat/completions",
        "completion_window": "1h",
    });
    let content_type = "application/json";
    let answer = caller.call(Method::POST, "/v1/batches", content_type, body.to_string());
    let lot = read(&answer.await?)?;
    let id = lot["id"].as_str().context("the lot has no id")?;
    Ok(id.to_owned())
}

/// Waits until enough items run on the engine.
pub(crate) async fn await_running(wait: AwaitLot) -> anyhow::Result<String> {
    let begun = Instant::now();
    let caller = DemoCaller::new(wait.engine, String::new());
    loop {
        let path = "/stand-in/requests";
        let answer = caller.call(Method::GET, path, "text/plain", String::new());
        let requests = answer.await?.json()?;
        let requests = requests["requests"].as_array().cloned().unwrap_or_default();
        let running = requests.iter().filter(|it| runs_for_lot(it)).count();
        if running >= MIN_RUNNING {
            return Ok(format!("{running} of its items are running"));
        }
        ensure!(begun.elapsed() < LOT_TIMEOUT, "too few items are running");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn runs_for_lot(request: &Value) -> bool {
    let id = request["id"].as_str().unwrap_or_default();
    id.starts_with("batch_req_") && request["end"] == "running"
}

/// Waits until the lot has ended and checks that each item has exactly one result,
/// with the response to its own prompt.
pub(crate) async fn finish(wait: FinishLot) -> anyhow::Result<String> {
    let caller = DemoCaller::new(wait.door, wait.key);
    let begun = Instant::now();
    let lot = loop {
        let lot = fetch_lot(&caller, &wait.lot).await?;
        if lot["status"] == "completed" {
            break lot;
        }
        ensure!(
            begun.elapsed() < LOT_TIMEOUT,
            "the lot did not end in time: {lot}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    };
    ensure!(lot["request_counts"]["completed"] == wait.items, "{lot}");
    let output = lot["output_file_id"]
        .as_str()
        .context("the lot has no output file")?;
    let path = format!("/v1/files/{output}/content");
    let answer = caller.call(Method::GET, &path, "text/plain", String::new());
    let answer = answer.await?;
    ensure!(
        answer.status.is_success(),
        "reading the results failed: {}",
        answer.status
    );
    check_results(std::str::from_utf8(&answer.body)?, wait.items)?;
    let seconds = begun.elapsed().as_secs_f64();
    Ok(format!(
        "{} results, each once and to its own prompt, after {seconds:.1} s",
        wait.items
    ))
}

fn check_results(results: &str, items: usize) -> anyhow::Result<()> {
    let mut seen = vec![0; items];
    for line in results.lines() {
        let line: Value = serde_json::from_str(line)?;
        let id = line["custom_id"].as_str().unwrap_or_default();
        let number: usize = id.trim_start_matches("item-").parse()?;
        let count = seen
            .get_mut(number)
            .context("a result for an unknown item")?;
        *count += 1;
        let choice = &line["response"]["body"]["choices"][0];
        let text = choice["message"]["content"].as_str().unwrap_or_default();
        let start = expected_start(&prompt(number));
        ensure!(
            text.starts_with(&start),
            "{id} has the response to another prompt"
        );
    }
    let wrong = seen.iter().position(|&it| it != 1);
    ensure!(
        wrong.is_none(),
        "item {wrong:?} does not have exactly one result"
    );
    Ok(())
}

async fn fetch_lot(caller: &DemoCaller, lot: &str) -> anyhow::Result<Value> {
    let path = format!("/v1/batches/{lot}");
    let answer = caller.call(Method::GET, &path, "text/plain", String::new());
    read(&answer.await?)
}

fn read(answer: &CompleteResponse) -> anyhow::Result<Value> {
    let shown = String::from_utf8_lossy(&answer.body);
    ensure!(answer.status.is_success(), "{}: {shown}", answer.status);
    answer.json()
}

fn prompt(number: usize) -> String {
    format!("chapter {number}")
}

fn item(number: usize, model: &str, tokens: u32) -> String {
    let item = json!({
        "custom_id": format!("item-{number}"),
        "method": "POST",
        "url": "/v1/chat/completions",
        "body": chat_body(model, &prompt(number), tokens, false),
    });
    format!("{item}\n")
}

fn form(items: &str) -> String {
    format!(
        "--{BOUNDARY}\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
         --{BOUNDARY}\r\nContent-Disposition: form-data; name=\"file\"; \
         filename=\"items.jsonl\"\r\n\r\n{items}\r\n--{BOUNDARY}--\r\n"
    )
}
