//! `comfreyramp-node`, the program of the fleet's VMs.

use std::{path::PathBuf, process::ExitCode, rc::Rc, time::Duration};

use anyhow::{Context as _, bail};
use argh::FromArgs;
use comfreyramp_platform::{KvSettings, KvStore, PlatformDialect};
use comfreyramp_serving::{
    logs, metrics::NodeMetrics, node::Node, run::run_node, settings::NodeSettings,
};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Where the platform says that the settings file lies.
const SETTINGS_VARIABLE: &str = "COMFREYRAMP_BOOT";
/// How long a call to the store may take. The store answers in milliseconds; a
/// slow one took a quarter of a second, one that is away never answers.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a watch waits before it is asked anew. Each asking is billed; but the
/// store keeps 20 s of history, and a watch that waits as long has to list anew
/// whenever anything else was written meanwhile.
const WATCH_WAIT: Duration = Duration::from_secs(17);

/// A daemon of comfreyramp on the users' platform.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(ServeArguments),
    Check(CheckArguments),
}

/// Serves until it is told to stop.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct ServeArguments {
    /// the settings file; without it the one that COMFREYRAMP_BOOT names
    #[argh(option)]
    settings: Option<PathBuf>,
}

/// Checks a settings file and says what is wrong in it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckArguments {
    /// the settings file; without it the one that COMFREYRAMP_BOOT names
    #[argh(option)]
    settings: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let result = match arguments.command {
        Command::Serve(serve) => serve_node(serve.settings),
        Command::Check(check) => read_settings(check.settings).map(|it| {
            println!("{}: nothing to find", it.name);
        }),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("comfreyramp-node: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// One thread runs everything: a VM has a part of a core, and each hand-over
/// between threads costs a wake-up.
fn serve_node(path: Option<PathBuf>) -> anyhow::Result<()> {
    let settings = read_settings(path.clone())?;
    logs::start(&settings.log_level)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = tokio::task::LocalSet::new();
    let result = local.block_on(&runtime, async move {
        let stop = CancellationToken::new();
        watch_signals(path, stop.clone())?;
        let metrics = NodeMetrics::new()?;
        let store = KvStore::new(
            KvSettings {
                address: settings.store.address.to_string(),
                call_timeout: CALL_TIMEOUT,
                watch_wait: WATCH_WAIT,
            },
            metrics.clone(),
        );
        let node: Node<PlatformDialect<NodeMetrics>> = Node::new(settings, store, metrics);
        run_node(Rc::new(node), stop).await
    });
    logs::drain();
    result
}

fn watch_signals(path: Option<PathBuf>, stop: CancellationToken) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    tokio::task::spawn_local(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = reload.recv() => check_again(path.clone()),
            }
        }
        stop.cancel();
    });
    Ok(())
}

/// A changed settings file holds for the next start: addresses and names can't
/// change while the daemon runs. What is wrong in it is said now.
fn check_again(path: Option<PathBuf>) {
    match read_settings(path) {
        Ok(settings) => log::info!(name = settings.name; "node: settings read again"),
        Err(error) => log::error!(error:% = format!("{error:#}"); "node: settings can't be used"),
    }
}

fn read_settings(path: Option<PathBuf>) -> anyhow::Result<NodeSettings> {
    let path = path.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    let Some(path) = path else {
        bail!("no settings file: name one with --settings or in {SETTINGS_VARIABLE}");
    };
    let text = std::fs::read(&path).with_context(|| format!("can't read {}", path.display()))?;
    NodeSettings::check(&text).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        anyhow::anyhow!("{}:\n{}", path.display(), lines.join("\n"))
    })
}
