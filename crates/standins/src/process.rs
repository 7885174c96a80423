//! Functions that the stand-in programs share: the addresses file and shutdown.

use std::{collections::BTreeMap, fs, net::SocketAddr, path::Path, time::Duration};

use anyhow::Context as _;
use comfreyramp_http::ServeLimits;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Writes `{"name":"ip:port"}` to a file, for the program that started this process.
///
/// The text is written to a temporary file, which is then renamed, so that a reader that
/// polls for the file never sees it incomplete.
pub fn write_addresses(path: &Path, addresses: &[(&str, SocketAddr)]) -> anyhow::Result<()> {
    let addresses: BTreeMap<&str, String> = addresses
        .iter()
        .map(|(name, address)| (*name, address.to_string()))
        .collect();
    let mut partial = path.as_os_str().to_owned();
    partial.push(".partial");
    let text = serde_json::to_string(&addresses)?;
    fs::write(&partial, text)
        .with_context(|| format!("can't write a temporary file next to {}", path.display()))?;
    fs::rename(&partial, path).with_context(|| format!("can't write {}", path.display()))
}

/// Returns a token that SIGTERM or SIGINT cancels.
pub fn stop_on_signal() -> anyhow::Result<CancellationToken> {
    let stop = CancellationToken::new();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let token = stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        token.cancel();
    });
    Ok(stop)
}

/// Returns server limits with a short drain timeout, so that a stand-in stops soon after
/// it is asked to.
pub fn stand_in_limits() -> ServeLimits {
    ServeLimits {
        drain_timeout: Duration::from_millis(200),
        ..ServeLimits::default()
    }
}
