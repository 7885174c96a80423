//! The `report` command.

use std::{fs, path::PathBuf};

use anyhow::Context as _;
use argh::FromArgs;
use comfreyramp_load::{outcome::RunResult, report::report_page};

/// Render one or two results as an HTML page with plots.
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
pub(crate) struct ReportCommand {
    /// one or two result files, as `run` writes them
    #[argh(positional)]
    results: Vec<PathBuf>,
    /// output file for the page (default report.html)
    #[argh(option, default = "PathBuf::from(\"report.html\")")]
    out: PathBuf,
}

impl ReportCommand {
    pub(crate) fn run(self) -> anyhow::Result<()> {
        anyhow::ensure!(
            matches!(self.results.len(), 1 | 2),
            "one or two results are needed"
        );
        let mut runs: Vec<RunResult> = Vec::new();
        for path in &self.results {
            let text = fs::read_to_string(path)
                .with_context(|| format!("can't read {}", path.display()))?;
            let run = serde_json::from_str(&text)
                .with_context(|| format!("{} is not a valid result file", path.display()))?;
            runs.push(run);
        }
        let runs: Vec<&RunResult> = runs.iter().collect();
        fs::write(&self.out, report_page(&runs)?)
            .with_context(|| format!("can't write {}", self.out.display()))?;
        println!("report in {}", self.out.display());
        Ok(())
    }
}
