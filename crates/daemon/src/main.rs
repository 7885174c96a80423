//! The `comfreyrampd` binary: reads the settings file and runs the entry daemon until it is
//! signalled to stop.

use std::{path::PathBuf, process::ExitCode};

use anyhow::Context as _;
use argh::FromArgs;
use comfreyramp_daemon::{EntryDaemon, logs};
use comfreyramp_settings::DaemonSettings;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// The entry daemon of comfreyramp.
#[derive(FromArgs)]
struct Arguments {
    /// the daemon's own settings file (JSON)
    #[argh(option)]
    settings: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match start(&arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("comfreyrampd: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn start(arguments: &Arguments) -> anyhow::Result<()> {
    let path = &arguments.settings;
    let text = std::fs::read(path).with_context(|| format!("can't read {}", path.display()))?;
    let settings = DaemonSettings::check(&text)
        .with_context(|| format!("{} was not accepted", path.display()))?;
    logs::start(&settings.log)?;
    let stop = CancellationToken::new();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let stop_requested = stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        stop_requested.cancel();
    });
    EntryDaemon::bind(settings).await?.run(stop).await
}
