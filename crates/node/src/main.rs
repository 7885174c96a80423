//! `comfreyramp-node`, the daemon that runs on each VM of the fleet on the users'
//! platform.

use std::{path::PathBuf, process::ExitCode, rc::Rc, time::Duration};

use anyhow::{Context as _, bail};
use argh::FromArgs;
use comfreyramp_platform::{KvSettings, KvStore, PlatformDialect};
use comfreyramp_serving::{
    logs, metrics::NodeMetrics, node::Node, run::run_node, settings::NodeSettings,
};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// The environment variable in which the platform passes the path of the settings file.
const SETTINGS_VARIABLE: &str = "COMFREYRAMP_BOOT";
/// The timeout of calls to the store. The store answers in milliseconds; a slow one
/// took 250 ms, and an unavailable one never answers.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a watch waits before its request is reissued. Each request is billed, so
/// the wait is long; but the store keeps only 20 s of history, and a watch that waits
/// that long has to list all keys again whenever an unrelated key was written in the
/// meantime.
const WATCH_WAIT: Duration = Duration::from_secs(17);

/// The comfreyramp daemon for the users' platform.
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

/// Serves until it receives SIGTERM or SIGINT.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct ServeArguments {
    /// path of the settings file; defaults to the value of COMFREYRAMP_BOOT
    #[argh(option)]
    settings: Option<PathBuf>,
}

/// Checks a settings file and lists its errors.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckArguments {
    /// path of the settings file; defaults to the value of COMFREYRAMP_BOOT
    #[argh(option)]
    settings: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let result = match arguments.command {
        Command::Serve(serve) => serve_node(serve.settings),
        Command::Check(check) => read_settings(check.settings).map(|it| {
            println!("{}: no errors found", it.name);
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

/// Runs everything on one thread: a VM has a fraction of a core, and each handover
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
                _ = reload.recv() => check_reloaded_settings(path.clone()),
            }
        }
        stop.cancel();
    });
    Ok(())
}

/// Checks the settings file on SIGHUP and logs its errors now. A changed file only
/// takes effect at the next start, since addresses and names can't change while the
/// daemon runs.
fn check_reloaded_settings(path: Option<PathBuf>) {
    match read_settings(path) {
        Ok(settings) => log::info!(name = settings.name; "node: settings file is valid"),
        Err(error) => log::error!(error:% = format!("{error:#}"); "node: invalid settings file"),
    }
}

fn read_settings(path: Option<PathBuf>) -> anyhow::Result<NodeSettings> {
    let path = path.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    let Some(path) = path else {
        bail!("no settings file: pass --settings or set {SETTINGS_VARIABLE}");
    };
    let text =
        std::fs::read(&path).with_context(|| format!("failed to read {}", path.display()))?;
    NodeSettings::check(&text).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        anyhow::anyhow!("{}:\n{}", path.display(), lines.join("\n"))
    })
}
