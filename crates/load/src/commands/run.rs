//! The `run` command.

use std::{
    fs::{self, File},
    io::BufReader,
    path::PathBuf,
    time::Duration,
};

use anyhow::Context as _;
use argh::FromArgs;
use comfreyramp_load::{
    outcome::RunResult,
    run::{RunOptions, RunTargets, play_trace},
    trace::TraceFile,
};
use tokio_util::sync::CancellationToken;

/// Play a trace against a fleet and write the result to a file.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub(crate) struct RunCommand {
    /// trace file to play
    #[argh(option)]
    trace: PathBuf,
    /// file with shell variables that describe a running fleet, as
    /// `scripts/demo --keep` writes it
    #[argh(option)]
    env: Option<PathBuf>,
    /// base URLs of the daemons' caller listeners, separated by commas
    #[argh(option)]
    callers: Option<String>,
    /// one key per customer of the trace, separated by commas
    #[argh(option)]
    keys: Option<String>,
    /// name of the model in generation requests
    #[argh(option)]
    model: Option<String>,
    /// path prefix of the plain HTTP service
    #[argh(option)]
    service: Option<String>,
    /// name of the run in a report (default: the trace's file name)
    #[argh(option)]
    label: Option<String>,
    /// timeout of one call, in seconds (default 120)
    #[argh(option, default = "120")]
    timeout_s: u64,
    /// how long a lot is polled after its deadline, in seconds (default 30)
    #[argh(option, default = "30")]
    lot_grace_s: u64,
    /// accept the responses of any engine, without checking their text
    #[argh(switch)]
    any_answer: bool,
    /// print no progress
    #[argh(switch)]
    quiet: bool,
    /// output file for the result (default result.json)
    #[argh(option, default = "PathBuf::from(\"result.json\")")]
    out: PathBuf,
}

impl RunCommand {
    pub(crate) fn run(self) -> anyhow::Result<()> {
        let file = File::open(&self.trace)
            .with_context(|| format!("can't read {}", self.trace.display()))?;
        let trace = TraceFile::read(BufReader::new(file))
            .with_context(|| format!("in {}", self.trace.display()))?;
        let targets = self.targets()?;
        let findings = targets.check(trace.customers.len());
        anyhow::ensure!(findings.is_empty(), "{}", findings.join("\n"));
        let options = self.options();
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .build()?;
        let result = runtime.block_on(play_until_interrupt(trace, targets, options));
        fs::write(&self.out, serde_json::to_vec_pretty(&result)?)
            .with_context(|| format!("can't write {}", self.out.display()))?;
        print_summary(&result);
        println!("result in {}", self.out.display());
        Ok(())
    }

    fn targets(&self) -> anyhow::Result<RunTargets> {
        let mut targets = match &self.env {
            None => RunTargets::default(),
            Some(path) => {
                let text = fs::read_to_string(path)
                    .with_context(|| format!("can't read {}", path.display()))?;
                RunTargets::from_shell(&text)
            }
        };
        let list = |text: &str| text.split(',').map(str::to_owned).collect();
        if let Some(callers) = &self.callers {
            targets.callers = list(callers);
        }
        if let Some(keys) = &self.keys {
            targets.keys = list(keys);
        }
        if let Some(model) = &self.model {
            targets.model.clone_from(model);
        }
        if let Some(service) = &self.service {
            targets.service.clone_from(service);
        }
        Ok(targets)
    }

    fn options(&self) -> RunOptions {
        let name = self.trace.file_stem().unwrap_or_default();
        let label = self.label.clone();
        RunOptions {
            label: label.unwrap_or_else(|| name.to_string_lossy().into_owned()),
            timeout: Duration::from_secs(self.timeout_s),
            lot_grace: Duration::from_secs(self.lot_grace_s),
            check_answers: !self.any_answer,
            quiet: self.quiet,
            ..RunOptions::default()
        }
    }
}

/// Plays a trace. Ctrl-C stops it early and keeps the outcomes recorded so far.
async fn play_until_interrupt(
    trace: TraceFile,
    targets: RunTargets,
    options: RunOptions,
) -> RunResult {
    let stop = CancellationToken::new();
    let interrupt = stop.clone();
    tokio::spawn(async move {
        if tokio::signal::ctrl_c().await.is_ok() {
            interrupt.cancel();
        }
    });
    play_trace(trace, targets, options, stop).await
}

fn print_summary(result: &RunResult) {
    if result.interrupted {
        println!("interrupted; requests in flight are not counted");
    }
    for engine in &result.engines {
        let error = engine.error.as_deref().unwrap_or("log read");
        println!(
            "engine {}: {error}; {} requests, {} done, {} cancelled, {} broken, {} refused, {} tokens, {} with a key",
            engine.url,
            engine.requests,
            engine.done,
            engine.cancelled,
            engine.broken,
            engine.refused,
            engine.tokens,
            engine.keys_seen
        );
    }
    for customer in &result.customers {
        let (live, plain, lots) = (&customer.live, &customer.plain, &customer.lots);
        println!("customer {}:", customer.name);
        println!(
            "  live   {} sent, {} done, {} refused; TTFT p50 {:.0} p95 {:.0} p99 {:.0} ms; between tokens p95 {:.1} ms",
            live.sent,
            live.done,
            live.refused(),
            live.ttft.p50_ms,
            live.ttft.p95_ms,
            live.ttft.p99_ms,
            live.inter_token.p95_ms
        );
        println!(
            "  plain  {} sent, {} done, {} refused; duration p95 {:.0} ms",
            plain.sent,
            plain.done,
            plain.refused(),
            plain.duration.p95_ms
        );
        println!(
            "  lots   {} sent, {} ended, {} on time; {} items done, {} failed, {} missing, {} repeated; {:.1} items/s",
            lots.sent,
            lots.ended,
            lots.on_time,
            lots.items_done,
            lots.items_failed,
            lots.items_missing,
            lots.items_repeated,
            lots.items_per_second
        );
        println!(
            "  wrongful refusals {} (clearly {}), maximum calls above rate and burst {:.1}",
            customer.wrongful_refusals, customer.clearly_wrongful_refusals, customer.overshoot
        );
    }
}
