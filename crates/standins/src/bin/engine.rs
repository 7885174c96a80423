//! The engine stand-in as a program.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use argh::FromArgs;
use comfreyramp_http::bind;
use comfreyramp_standins::{
    engine::{EngineOptions, EngineServer, EngineSettings, JournalOptions},
    process::{stop_on_signal, write_addresses},
};

/// A model engine with continuous batching, for tests.
#[derive(FromArgs)]
struct EngineArgs {
    /// address to listen on (default 127.0.0.1:0, a free port)
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// file to write the address to once the program listens
    #[argh(option)]
    addresses_file: Option<PathBuf>,
    /// names of the models, separated by commas
    #[argh(option, default = "String::from(\"demo-model\")")]
    models: String,
    /// requests that run at once
    #[argh(option, default = "EngineSettings::default().batch")]
    batch: usize,
    /// requests that may wait
    #[argh(option, default = "EngineSettings::default().queue")]
    queue: usize,
    /// prefill time of one prompt token, in microseconds
    #[argh(option, default = "100")]
    prefill_us_per_token: u64,
    /// prompt tokens prefilled in one step after which it admits no more requests
    #[argh(option, default = "EngineSettings::default().prefill_per_step")]
    prefill_per_step: u32,
    /// fixed duration of a step, in microseconds
    #[argh(option, default = "8000")]
    decode_us: u64,
    /// time added to a step for each running request, in microseconds
    #[argh(option, default = "500")]
    decode_us_per_running: u64,
    /// blocks in the prefix cache
    #[argh(option, default = "EngineSettings::default().cache_blocks")]
    cache_blocks: usize,
    /// age of the load reports, in milliseconds
    #[argh(option, default = "200")]
    report_lag_ms: u64,
    /// age of the cache events, in milliseconds
    #[argh(option, default = "300")]
    cache_event_lag_ms: u64,
    /// fraction of the cache events that are lost, from 0 to 1
    #[argh(option, default = "0.05")]
    cache_event_drop: f64,
    /// seed of the random choice of lost cache events
    #[argh(option, default = "1")]
    seed: u64,
    /// carry out orders with an outdated fencing number too
    #[argh(switch)]
    ignores_fencing: bool,
    /// text of a prompt that makes the process exit; empty for none
    #[argh(option, default = "EngineOptions::default().crash_on")]
    crash_on: String,
    /// factor on the prefill and decode times; 0.1 is ten times as fast
    #[argh(option, default = "1.0")]
    time_scale: f64,
}

impl EngineArgs {
    fn to_options(&self) -> EngineOptions {
        let settings = EngineSettings {
            batch: self.batch,
            queue: self.queue,
            prefill_per_token: Duration::from_micros(self.prefill_us_per_token),
            prefill_per_step: self.prefill_per_step,
            decode: Duration::from_micros(self.decode_us),
            decode_per_running: Duration::from_micros(self.decode_us_per_running),
            cache_blocks: self.cache_blocks,
            report_lag: Duration::from_millis(self.report_lag_ms),
        };
        EngineOptions {
            settings: settings.time_scale(self.time_scale),
            models: self.models.split(',').map(str::to_owned).collect(),
            ignores_fencing: self.ignores_fencing,
            crash_on: self.crash_on.clone(),
            journal: JournalOptions {
                lag: Duration::from_millis(self.cache_event_lag_ms),
                drop_fraction: self.cache_event_drop,
                seed: self.seed,
            },
        }
    }
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args: EngineArgs = argh::from_env();
    anyhow::ensure!(
        args.time_scale.is_finite() && args.time_scale > 0.0,
        "--time-scale: must be a factor above 0"
    );
    let stop = stop_on_signal()?;
    let listener = bind(args.listen).await?;
    if let Some(path) = &args.addresses_file {
        write_addresses(path, &[("http", listener.local_addr()?)])?;
    }
    EngineServer::new(args.to_options())
        .run(listener, stop)
        .await;
    Ok(())
}
