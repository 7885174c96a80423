//! The `generate` command.

use std::{
    fs::{self, File},
    io::BufWriter,
    path::PathBuf,
    time::Duration,
};

use anyhow::Context as _;
use argh::FromArgs;
use comfreyramp_load::trace::{PRESET_NAMES, TraceMix, generate_trace, preset_mix};

/// Generate a trace from a workload mix and a seed.
#[derive(FromArgs)]
#[argh(subcommand, name = "generate")]
pub(crate) struct GenerateCommand {
    /// a predefined mix: live, mixed, overdrive, daemon-loss or engine-loss
    #[argh(option)]
    preset: Option<String>,
    /// JSON file that contains a mix
    #[argh(option)]
    mix: Option<PathBuf>,
    /// how long requests arrive in a predefined mix, in seconds (default 60)
    #[argh(option, default = "60")]
    seconds: u64,
    /// seed of the random number generator (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// print the mix and generate no trace
    #[argh(switch)]
    print_mix: bool,
    /// output file for the trace (default trace.jsonl)
    #[argh(option, default = "PathBuf::from(\"trace.jsonl\")")]
    out: PathBuf,
}

impl GenerateCommand {
    pub(crate) fn run(self) -> anyhow::Result<()> {
        let mix = self.read_mix()?;
        if self.print_mix {
            println!("{}", serde_json::to_string_pretty(&mix)?);
            return Ok(());
        }
        let findings = mix.check();
        anyhow::ensure!(findings.is_empty(), "{}", findings.join("\n"));
        let trace = generate_trace(&mix, self.seed);
        let file = File::create(&self.out)
            .with_context(|| format!("can't write {}", self.out.display()))?;
        trace.write(BufWriter::new(file))?;
        println!("{} events in {}", trace.events.len(), self.out.display());
        Ok(())
    }

    fn read_mix(&self) -> anyhow::Result<TraceMix> {
        match (&self.preset, &self.mix) {
            (Some(name), None) => preset_mix(name, Duration::from_secs(self.seconds))
                .with_context(|| format!("--preset: one of {}", PRESET_NAMES.join(", "))),
            (None, Some(path)) => {
                let text = fs::read_to_string(path)
                    .with_context(|| format!("can't read {}", path.display()))?;
                serde_json::from_str(&text).with_context(|| format!("in {}", path.display()))
            }
            _ => anyhow::bail!("either --preset or --mix is needed"),
        }
    }
}
